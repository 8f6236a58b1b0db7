// SPDX-License-Identifier: Apache-2.0
//
// Clients that disconnect while their requests are pending: no attempt may start for them any more, in
// whatever order the proxy learns of the events.
#include <gtest/gtest.h>
#include <sys/ioctl.h>

#include <optional>

#include "proxy.h"
#include "support/late_listener.h"
#include "support/loopback.h"

namespace kestrelline::testing {
namespace {

// Far longer than the time limit of a test, so that nothing ends by a timeout of the proxy.
constexpr double kLongTimeoutMs = 600000;
void SetLongTimeouts(Site& site) {
  for (auto& c : site.config["settings"]["classes"]) c["goalTimeMs"] = c["deadlineMs"] = kLongTimeoutMs;
  site.config["settings"]["permissions"]["connectTimeoutMs"] = kLongTimeoutMs;
}

std::size_t BackendConnections(Site& site) {
  return site.proxy->Ask([](proxy::Proxy& p) { return p.backend_connections(); });
}

void WaitForARequest(Site& site) {
  while (site.proxy->Ask([](proxy::Proxy& p) { return p.held(); }) == 0) std::this_thread::yield();
}

void WaitForAnAttempt(Site& site) {
  while (BackendConnections(site) == 0) std::this_thread::yield();
}

TEST(ClientDisconnects, CancelAConnectionThatIsBeingEstablished) {
  LateListener late_listener;
  Site site(Members(MemberJson("s-1", late_listener.address)));
  SetLongTimeouts(site);
  site.Start();
  {
    Client client(site.proxy->address);
    client.Send(Book());
    WaitForAnAttempt(site);
  }
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  EXPECT_EQ(BackendConnections(site), 0u);
}

// The same for a backend that starts to drain while the connection to it is being established.
TEST(ClientDisconnects, AnUnwrittenAttemptMovesToAnotherBackendWhenItsBackendDrains) {
  LateListener late_listener;
  Backend other;
  Site site(Members(MemberJson("s-1", late_listener.address)));
  SetLongTimeouts(site);
  site.Start();
  ASSERT_TRUE(site.discovery.WaitForWatches(1));
  Client client(site.proxy->address);
  client.Send(Book());
  WaitForAnAttempt(site);
  site.discovery.Push(ListJson(
      42, false,
      Members(MemberJson("s-1", late_listener.address, "terminating"), MemberJson("s-2", other.address()))));
  EXPECT_EQ(client.Read().result_int(), 200u);
  EXPECT_EQ(other.seen.Get().requests.size(), 1u);
}

// A disconnect must be noticed behind unread pipelined bytes.
TEST(ClientDisconnects, AreNoticedBehindPipelinedBytes) {
  for (const std::string& ahead : {std::string("G"), Look(), std::string(200 * 1024, 'x')}) {
    Site site(Members());  // no backend: the request stays pending
    SetLongTimeouts(site);
    site.Start();
    {
      Client client(site.proxy->address);
      client.Send(Book());
      WaitForARequest(site);
      error_code full;
      client.socket.non_blocking(true);
      asio::write(client.socket, asio::buffer(ahead), full);  // as much as the socket takes
    }
    EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld()) << ahead.size();
  }
}

TEST(ClientDisconnects, PipelinedRequestsOfAConnectedClientAreAnsweredInOrder) {
  Backend backend;
  Site site(Members());
  SetLongTimeouts(site);
  site.Start();
  Client client(site.proxy->address);
  client.Send(Book());
  WaitForARequest(site);
  client.Send(WithId(Look(), "0c"));
  site.discovery.Push(ListJson(42, true, Members(MemberJson("s-1", backend.address()))));
  EXPECT_EQ(client.Read().result_int(), 200u);
  EXPECT_EQ(client.Read().result_int(), 200u);
  const auto requests = backend.seen.Get().requests;
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0]["Req-Id"], "0b");
  EXPECT_EQ(requests[1]["Req-Id"], "0c");
}

// The retry timer expires as the client disconnects, and the event loop handles the timer first. The other
// backend has an idle connection, so that the retry would be written at once.
TEST(ClientDisconnects, NoRetryStartsBeforeTheDisconnectIsHandled) {
  Watched<int> looks, books;
  const auto serve = [&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "look") {
      looks.Do([](int& n) { ++n; });
      looks.WaitFor([](int n) { return n == 2; });
      SendRaw(s, OkAnswer("warm"));
    } else {
      SendRaw(s, kDeclined);
      books.Do([](int& n) { ++n; });
    }
    return true;
  };
  Backend one(serve), two(serve);
  Site site(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  SetLongTimeouts(site);
  constexpr std::chrono::milliseconds kPause{500};
  site.operator_text = "version = 1\n[class.book]\npause = \"500ms\"\n";
  site.timeouts.reuse_delay = {};
  site.Start();
  Client here(site.proxy->address), there(site.proxy->address);
  here.Send(WithId(Look(), "1"));
  there.Send(WithId(Look(), "2"));
  EXPECT_EQ(here.Read().body(), "warm");
  EXPECT_EQ(there.Read().body(), "warm");
  ASSERT_EQ(one.seen.Get().opened, 1);
  ASSERT_EQ(two.seen.Get().opened, 1);

  Client client(site.proxy->address);
  client.Send(Book());
  ASSERT_TRUE(books.WaitFor([](int n) { return n == 1; }));
  // The response takes a few iterations of the event loop; each call is at least one.
  for (int turn = 0; turn < 20; ++turn) site.proxy->Ask([](proxy::Proxy& p) { return p.held(); });
  // The event loop is blocked until the pause is over. Then it collects the expired timer, the client
  // disconnects, and the timer runs: this iteration has already polled the sockets.
  std::promise<void> gone;
  site.proxy->Post([&] {
    const auto over = proxy::Steady::now() + 2 * kPause;
    while (proxy::Steady::now() < over) std::this_thread::yield();
    site.proxy->Post([&] {
      client.socket.close();
      gone.set_value();
    });
  });
  gone.get_future().wait();
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  EXPECT_EQ(books.Get(), 1);
}

// A retry that was decided within the deduplication window, on a connection that is established after it.
TEST(ClientDisconnects, AKeyedRetryDoesNotStartAfterItsWindow) {
  LateListener late_listener;
  Watched<bool> release;
  Backend first([&](Tcp::socket&, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    return false;  // it may have run
  });
  Site site(Members(MemberJson("s-1", first.address())));
  SetLongTimeouts(site);
  constexpr std::chrono::milliseconds kWindow{400};
  for (auto& c : site.config["settings"]["classes"]) c["windowMs"] = kWindow.count();
  site.Start();
  ASSERT_TRUE(site.discovery.WaitForWatches(1));
  Client client(site.proxy->address);
  client.Send(Change());
  ASSERT_TRUE(first.WaitForRequests(1));
  site.discovery.Push(ListJson(42, false, Members(MemberJson("s-2", late_listener.address))));
  while (site.proxy->Ask([](proxy::Proxy& p) { return p.backends_known(); }) < 2) std::this_thread::yield();
  release.Do([](bool& r) { r = true; });
  ASSERT_TRUE(first.WaitForClosed(1));
  WaitForAnAttempt(site);
  const auto over = proxy::Steady::now() + kWindow;
  while (proxy::Steady::now() < over) std::this_thread::yield();
  EXPECT_EQ(late_listener.FirstBytes(), "");
  EXPECT_EQ(client.Read().result_int(), 502u);  // it may have run and must not be sent again
}

// Result of one attempt, which is wanted as long as `wanted` says, and the bytes that the backend received.
struct AttemptEnd {
  proxy::AttemptResult result;
  std::string received;
};
AttemptEnd RunAttempt(Duration hold, const proxy::Backends::Wanted& wanted) {
  Watched<std::optional<std::string>> received;
  Listener listener([&](Tcp::socket& socket) {
    std::string all, some(4096, '\0');
    error_code failed;
    while (const std::size_t n = socket.read_some(asio::buffer(some), failed)) all.append(some, 0, n);
    received.Do([&](auto& r) { r = all; });
  });
  asio::io_context io(1);
  proxy::Backends backends(io, {});
  backends.Set(1, listener.address, 0);
  const auto message = std::make_shared<const HttpRequest>(http::verb::get, "/look", 11);
  std::optional<proxy::AttemptResult> result;
  backends.Send(
      1, message, Duration(20000), hold, [&](proxy::AttemptResult r) { result = std::move(r); }, wanted);
  while (!result) io.run_one();
  received.WaitFor([](const auto& r) { return r.has_value(); });
  return {std::move(*result), *received.Get()};
}

TEST(ClientDisconnects, AnUnwantedAttemptIsNotWrittenToItsNewConnection) {
  const auto ended = RunAttempt(Duration(0), [] { return false; });
  EXPECT_EQ(ended.result.outcome, Outcome::kMoot);  // not executed
  EXPECT_FALSE(ended.result.local_failure);
  EXPECT_EQ(ended.received, "");
}

TEST(ClientDisconnects, TheDelayedLastByteOfAnUnwantedAttemptIsNotWritten) {
  int asked = 0;
  const auto ended = RunAttempt(Duration(1), [&] { return ++asked == 1; });
  EXPECT_EQ(ended.result.outcome, Outcome::kMoot);
  EXPECT_TRUE(ended.received.ends_with("\r\n\r")) << ended.received;
}

// The backend closes the connection after the event loop has collected the timer of the last byte.
TEST(ClientDisconnects, ABackendThatClosesAsTheLastByteIsDueHasNotRunTheRequest) {
  Watched<bool> all_but_last, close, closed;
  Listener listener([&](Tcp::socket& socket) {
    std::string all, some(4096, '\0');
    error_code failed;
    while (!all.ends_with("\r\n\r")) all.append(some, 0, socket.read_some(asio::buffer(some), failed));
    all_but_last.Do([](bool& a) { a = true; });
    close.WaitFor([](bool c) { return c; });
    ::shutdown(socket.native_handle(), SHUT_RDWR);
    closed.Do([](bool& c) { c = true; });
  });
  asio::io_context io(1);
  proxy::Backends backends(io, {});
  backends.Set(1, listener.address, 0);
  const auto message = std::make_shared<const HttpRequest>(http::verb::get, "/look", 11);
  std::optional<proxy::AttemptResult> result;
  constexpr std::chrono::seconds kHold{1};
  backends.Send(
      1, message, Duration(20000), kHold, [&](proxy::AttemptResult r) { result = std::move(r); }, kWanted);
  io.run_one();  // connects and writes all but the last byte
  ASSERT_TRUE(all_but_last.WaitFor([](bool a) { return a; }));
  io.poll();  // completes the write, which sets the timer of the last byte
  const auto over = proxy::Steady::now() + kHold;
  while (proxy::Steady::now() < over) std::this_thread::yield();
  // Both timers are collected in one iteration; this one expired earlier and runs first.
  asio::steady_timer first(io, proxy::Steady::now() - std::chrono::hours(1));
  first.async_wait([&](const error_code&) {
    close.Do([](bool& c) { c = true; });
    closed.WaitFor([](bool c) { return c; });
  });
  while (!result) io.run_one();
  EXPECT_EQ(result->outcome, Outcome::kConnectFailed);  // proven not to have been executed
  EXPECT_TRUE(result->connection_broke);
}

// Req-Deadline-Ms is the time left when the request is written, not when the attempt was decided.
TEST(ClientDisconnects, TheDeadlineHeaderIsComputedWhenTheRequestIsWritten) {
  LateListener late_listener;
  Site site(Members(MemberJson("s-1", late_listener.address)));
  SetLongTimeouts(site);
  site.Start();
  Client client(site.proxy->address);
  client.Send(Post("book", "Req-Deadline-Ms: 500000\r\n"));
  WaitForAnAttempt(site);
  const auto seen = proxy::Steady::now();
  while (proxy::Steady::now() < seen + std::chrono::milliseconds(200)) std::this_thread::yield();
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(proxy::Steady::now() - seen);
  const std::string request = late_listener.FirstBytes();
  const std::size_t at = request.find("Req-Deadline-Ms: ");
  ASSERT_NE(at, std::string::npos) << request;
  EXPECT_LE(std::stoi(request.substr(at + 17)), 500000 - passed.count());
}

}  // namespace
}  // namespace kestrelline::testing

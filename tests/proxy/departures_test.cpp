// SPDX-License-Identifier: Apache-2.0
//
// Clients that go while their requests wait: nothing begins for them any more, in whatever order the proxy
// hears of it.
#include <gtest/gtest.h>
#include <sys/ioctl.h>

#include <optional>

#include "proxy.h"
#include "support/late_listener.h"
#include "support/loopback.h"

namespace kestrelline::testing {
namespace {

// Far longer than a test is waited for: what ends in time does not end by a limit of the proxy's.
constexpr double kFarOff = 600000;
void TakeTime(Site& site) {
  for (auto& c : site.config["settings"]["classes"]) c["goalTimeMs"] = c["deadlineMs"] = kFarOff;
  site.config["settings"]["permissions"]["connectTimeoutMs"] = kFarOff;
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

TEST(Departures, AConnectionThatIsStillComingUpIsGivenUpWithItsClient) {
  LateListener late;
  Site site(Members(MemberJson("s-1", late.address)));
  TakeTime(site);
  site.Start();
  {
    Client client(site.proxy->address);
    client.Send(Book());
    WaitForAnAttempt(site);
  }
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  EXPECT_EQ(BackendConnections(site), 0u);
}

// The same of a server that is to get nothing new while the connection to it comes up.
TEST(Departures, AnAttemptGoesElsewhereWhenItsServerDrainsBeforeItsFirstByte) {
  LateListener late;
  Backend other;
  Site site(Members(MemberJson("s-1", late.address)));
  TakeTime(site);
  site.Start();
  ASSERT_TRUE(site.discovery.WaitForWatches(1));
  Client client(site.proxy->address);
  client.Send(Book());
  WaitForAnAttempt(site);
  site.discovery.Push(
      ListJson(42, false,
               Members(MemberJson("s-1", late.address, "terminating"), MemberJson("s-2", other.address()))));
  EXPECT_EQ(client.Read().result_int(), 200u);
  EXPECT_EQ(other.seen.Get().requests.size(), 1u);
}

// A client that has gone is seen behind what it sent ahead, which nobody reads yet.
TEST(Departures, AClientThatSentAheadIsSeenToGo) {
  for (const std::string& ahead : {std::string("G"), Look(), std::string(200 * 1024, 'x')}) {
    Site site(Members());  // nothing to send to: the request waits
    TakeTime(site);
    site.Start();
    {
      Client client(site.proxy->address);
      client.Send(Book());
      WaitForARequest(site);
      error_code full;
      client.socket.non_blocking(true);
      asio::write(client.socket, asio::buffer(ahead), full);  // as much as there is room for
    }
    EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld()) << ahead.size();
  }
}

TEST(Departures, AClientThatSentAheadAndStaysIsAnsweredInOrder) {
  Backend backend;
  Site site(Members());
  TakeTime(site);
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

// The time of a repeat is there when its client goes, and the loop comes to it first. The other server has a
// connection at rest, so that the repeat would be written at once.
TEST(Departures, NoRepeatBeginsAheadOfTheNewsThatItsClientHasGone) {
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
  TakeTime(site);
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
  // The answer is there, and takes a few turns of the loop: each call is one at least.
  for (int turn = 0; turn < 20; ++turn) site.proxy->Ask([](proxy::Proxy& p) { return p.held(); });
  // The loop stands still until the pause is over. Then it finds the timer, the client goes, and the timer is
  // served: its turn has looked for events already.
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

// A repeat that the window permitted when it was decided, on a connection that comes up when the window is
// over.
TEST(Departures, AKeyedRepeatDoesNotBeginAfterItsWindow) {
  LateListener late;
  Watched<bool> release;
  Backend first([&](Tcp::socket&, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    return false;  // it may have run
  });
  Site site(Members(MemberJson("s-1", first.address())));
  TakeTime(site);
  constexpr std::chrono::milliseconds kWindow{400};
  for (auto& c : site.config["settings"]["classes"]) c["windowMs"] = kWindow.count();
  site.Start();
  ASSERT_TRUE(site.discovery.WaitForWatches(1));
  Client client(site.proxy->address);
  client.Send(Change());
  ASSERT_TRUE(first.WaitForRequests(1));
  site.discovery.Push(ListJson(42, false, Members(MemberJson("s-2", late.address))));
  while (site.proxy->Ask([](proxy::Proxy& p) { return p.backends_known(); }) < 2) std::this_thread::yield();
  release.Do([](bool& r) { r = true; });
  ASSERT_TRUE(first.WaitForClosed(1));
  WaitForAnAttempt(site);
  const auto over = proxy::Steady::now() + kWindow;
  while (proxy::Steady::now() < over) std::this_thread::yield();
  EXPECT_EQ(late.FirstBytes(), "");
  EXPECT_EQ(client.Read().result_int(), 502u);  // it may have run, and may not be sent again
}

// One attempt that is wanted for as long as `wanted` says; what the server got of it, and how it ended.
struct Ended {
  proxy::AttemptResult result;
  std::string received;
};
Ended Attempt(Duration hold, const proxy::Backends::Wanted& wanted) {
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

TEST(Departures, AConnectionThatComesUpForNobodyIsNotWrittenTo) {
  const auto ended = Attempt(Duration(0), [] { return false; });
  EXPECT_EQ(ended.result.outcome, Outcome::kMoot);  // it has not run
  EXPECT_FALSE(ended.result.local_failure);
  EXPECT_EQ(ended.received, "");
}

TEST(Departures, TheLastByteOfAHeldRequestIsNotWrittenForNobody) {
  int asked = 0;
  const auto ended = Attempt(Duration(1), [&] { return ++asked == 1; });
  EXPECT_EQ(ended.result.outcome, Outcome::kMoot);
  EXPECT_TRUE(ended.received.ends_with("\r\n\r")) << ended.received;
}

// The server's end comes after the loop has found that the time of the last byte is there.
TEST(Departures, AServerThatEndsInTheTurnOfTheLastByteHasNotRunIt) {
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
  io.run_one();  // the connection is up, and all but the last byte written
  ASSERT_TRUE(all_but_last.WaitFor([](bool a) { return a; }));
  io.poll();  // that write has ended, and with it the timer of the last byte is set
  const auto over = proxy::Steady::now() + kHold;
  while (proxy::Steady::now() < over) std::this_thread::yield();
  // Both timers are found in one turn; this one, due for longer, goes first.
  asio::steady_timer first(io, proxy::Steady::now() - std::chrono::hours(1));
  first.async_wait([&](const error_code&) {
    close.Do([](bool& c) { c = true; });
    closed.WaitFor([](bool c) { return c; });
  });
  while (!result) io.run_one();
  EXPECT_EQ(result->outcome, Outcome::kConnectFailed);  // known not to have run
  EXPECT_TRUE(result->connection_broke);
}

// How long its client will wait is told as of when the request goes out.
TEST(Departures, WhatIsLeftToTheClientIsToldAsOfTheWriteAndNotOfTheDecision) {
  LateListener late;
  Site site(Members(MemberJson("s-1", late.address)));
  TakeTime(site);
  site.Start();
  Client client(site.proxy->address);
  client.Send(Post("book", "Req-Deadline-Ms: 500000\r\n"));
  WaitForAnAttempt(site);
  const auto seen = proxy::Steady::now();
  while (proxy::Steady::now() < seen + std::chrono::milliseconds(200)) std::this_thread::yield();
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(proxy::Steady::now() - seen);
  const std::string request = late.FirstBytes();
  const std::size_t at = request.find("Req-Deadline-Ms: ");
  ASSERT_NE(at, std::string::npos) << request;
  EXPECT_LE(std::stoi(request.substr(at + 17)), 500000 - passed.count());
}

}  // namespace
}  // namespace kestrelline::testing

// SPDX-License-Identifier: Apache-2.0
//
// Requests after SIGTERM: a late request is accepted only if its deadline is before a possible SIGKILL;
// otherwise it is refused without being executed. Accepted requests are answered before the process exits.
#include <gtest/gtest.h>

#include "support/long_body.h"
#include "support/process.h"

namespace kestrelline::testing {
namespace {

// After this time, requests that are pending at SIGKILL would be lost; the rest of a request may arrive until
// 1.1 s.
constexpr std::chrono::milliseconds kLateForPending{800};
constexpr std::chrono::milliseconds kLateForRest{1500};

// Status of a response; 0 if there is none or it is truncated.
unsigned StatusOf(const Read<false>& answer) { return answer.whole ? answer.head.result_int() : 0; }

// Backends at one address, each for one pending request.
std::vector<nlohmann::json> BackendsInCells(std::size_t servers, const Backend& backend) {
  std::vector<nlohmann::json> all;
  while (all.size() < servers) {
    all.push_back(MemberJson("s-" + std::to_string(all.size()), backend.address()));
    all.back()["cell"] = all.size() - 1;
  }
  return all;
}

// Before SIGTERM the response announced a persistent connection, and it takes longer than idle connections
// are kept.
TEST(DrainAccepts, ARequestAfterALongResponseIsNotForwardedLongAfterSigterm) {
  for (const bool sent_ahead : {false, true}) {
    SCOPED_TRACE(sent_ahead ? "sent ahead" : "sent behind the answer");
    const std::string half(100 * 1024, 'x');
    Watched<bool> release;
    Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
      if (r["Req-Id"] == "next") {
        SendRaw(s, OkAnswer("taken"));
        return true;
      }
      SendRaw(s, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * half.size()) + "\r\n\r\n" + half);
      release.WaitFor([](bool r) { return r; });
      SendRaw(s, half);
      return true;
    });
    Site site(Members(MemberJson("s-1", backend.address())));
    site.Start();
    Client client(site.proxy->address);
    const std::string next = WithId(Book(), "next");
    client.Send(WithId(Look(), "first") + (sent_ahead ? next : ""));
    std::future<void> stopped;
    boost::beast::flat_buffer buffer;
    const auto first = ReadLong<false>(client.socket, buffer, [&](std::uint64_t bytes) {
      if (bytes == 0 || stopped.valid()) return true;
      stopped = site.proxy->Stop();
      EXPECT_EQ(stopped.wait_for(kLateForRest), std::future_status::timeout);
      release.Do([](bool& r) { r = true; });
      return true;
    });
    EXPECT_EQ(StatusOf(first), 200u);
    EXPECT_EQ(first.body.bytes, 2 * half.size());
    if (!sent_ahead) client.Send(next);
    const unsigned status = StatusOf(ReadLong<false>(client.socket, buffer));
    // A request sent after the response may cross the close of the connection, and is then not read.
    EXPECT_TRUE(status == 503 || (status == 0 && !sent_ahead)) << status;
    EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
    client.socket.close();
    EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
  }
}

// Its deadline is after a possible SIGKILL.
TEST(DrainAccepts, ARequestThatIsCompletedLateIsNotForwarded) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  Client client(site.proxy->address);
  const std::string request = Book();
  client.Send(request.substr(0, request.size() / 2));
  const auto stopped = site.proxy->Stop();
  EXPECT_EQ(stopped.wait_for(kLateForPending), std::future_status::timeout);
  client.Send(request.substr(request.size() / 2));
  const auto answer = client.Read();
  EXPECT_EQ(answer.result_int(), 503u);
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_EQ(backend.seen.Get().requests.size(), 0u);
}

// A streamed body: the backend has never received the complete request.
TEST(DrainAccepts, AStreamedBodyThatIsCompletedLateIsRefusedBeforeTheBackendHasIt) {
  LongBackend backend([&](Tcp::socket& s, const LongBackend::Request& r) {
    if (r.whole) SendRaw(s, OkAnswer("taken"));
    return r.whole;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  const std::string half(400 * 1024, 'x');
  Client client(site.proxy->address);
  client.Send(Head("book", "1", "Content-Length: " + std::to_string(2 * half.size()) + "\r\n") + half);
  ASSERT_TRUE(backend.seen.WaitFor([](const LongBackend::Seen& s) { return s.opened == 1; }));
  const auto stopped = site.proxy->Stop();
  EXPECT_EQ(stopped.wait_for(kLateForRest), std::future_status::timeout);
  client.Send(half);
  EXPECT_EQ(client.Read().result_int(), 503u);
  ASSERT_TRUE(backend.seen.WaitFor([](const LongBackend::Seen& s) { return s.requests.size() == 1; }));
  EXPECT_FALSE(backend.seen.Get().requests[0].whole);
}

// Responds at once, but to `book` only after the release.
Backend::Answer HoldBookRequests(Watched<bool>& release) {
  return [&release](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("served"));
    return true;
  };
}

// Closing an idle connection accepts the next client, which evicts another connection: the one that the check
// for the end of the drain visits next. Clients have borrowed descriptors that backends have taken back by
// then, and the event loop is blocked, so that the check runs before the sweep.
TEST(DrainAccepts, EvictionsWhileIdleConnectionsCloseLoseNoPendingRequest) {
  // The stop is halfway between two sweeps, which run every 50 ms from the first connection on.
  constexpr std::chrono::milliseconds kEvictAfter{2000}, kStopAfter{1575}, kBlocked{550};
  // All client connections that 64 sockets allow, and enough backend connections to lower that limit.
  constexpr int kClients = 29, kHeld = 10;
  for (int round = 0; round < 3; ++round) {
    Watched<bool> release;
    Backend backend(HoldBookRequests(release));
    Site site(BackendsInCells(kHeld, backend));
    site.config["limits"]["sockets"] = 64;
    site.timeouts.evict_idle = site.timeouts.linger = std::chrono::minutes(1);
    site.timeouts.evict_unused = kEvictAfter;
    site.Start();
    std::vector<std::unique_ptr<Client>> clients;
    const auto connect = [&] { clients.push_back(std::make_unique<Client>(site.proxy->address)); };
    connect();
    EXPECT_TRUE(clients[0]->Ask(Look()).keep_alive());
    connect();
    EXPECT_FALSE(clients[1]->Ask(Look("Connection: close\r\n")).keep_alive());
    const auto answered = proxy::Steady::now();
    while (clients.size() <= kClients) connect();  // one too many, which stays in the accept queue
    for (int held = 0; held < kHeld; ++held) {
      clients[2 + static_cast<std::size_t>(held)]->Send(WithId(Book(), std::to_string(held)));
    }
    ASSERT_TRUE(backend.WaitForRequests(2 + kHeld));
    while (proxy::Steady::now() < answered + kStopAfter) std::this_thread::yield();
    std::promise<void> over;
    site.proxy->Ask([&](proxy::Proxy& p) {
      p.Stop([&] { over.set_value(); });
      const auto until = proxy::Steady::now() + kBlocked;
      while (proxy::Steady::now() < until) std::this_thread::yield();
      return true;
    });
    release.Do([](bool& r) { r = true; });
    for (int held = 0; held < kHeld; ++held) {
      EXPECT_EQ(clients[2 + static_cast<std::size_t>(held)]->Read().result_int(), 200u);
    }
    clients.clear();
    EXPECT_EQ(over.get_future().wait_for(kGiveUp), std::future_status::ready);
  }
}

// Connections beyond the limit wait in the kernel's queue; closing the listener would reset them.
TEST(DrainAccepts, QueuedConnectionsAreAcceptedOnceThereIsRoom) {
  constexpr std::size_t kHeld = 10, kEnding = 20;  // all client connections that 64 sockets allow
  Watched<bool> release;
  Backend backend(HoldBookRequests(release));
  Site site(BackendsInCells(kHeld, backend));
  site.config["limits"]["sockets"] = 64;
  site.timeouts.evict_unused = site.timeouts.evict_idle = site.timeouts.linger = std::chrono::minutes(1);
  site.Start();
  std::vector<std::unique_ptr<Client>> held, ending, waiting;
  const auto connect = [&](auto& clients) {
    clients.push_back(std::make_unique<Client>(site.proxy->address));
  };
  while (held.size() < kHeld) connect(held);
  while (ending.size() < kEnding) {
    connect(ending);
    ending.back()->Ask("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  }
  for (std::size_t i = 0; i < kHeld; ++i) held[i]->Send(WithId(Book(), std::to_string(i)));
  ASSERT_TRUE(backend.WaitForRequests(kHeld));
  for (const char* id : {"a", "b", "c"}) {
    connect(waiting);
    waiting.back()->Send(WithId(Look("Req-Deadline-Ms: 1000\r\n"), id));
  }
  const auto stopped = site.proxy->Stop();
  EXPECT_EQ(stopped.wait_for(kLateForPending), std::future_status::timeout);
  ending.clear();
  for (const auto& client : waiting) {
    const unsigned status = client->Read().result_int();
    EXPECT_TRUE(status == 200 || status == 503) << status;  // a new process refuses some at random
  }
  release.Do([](bool& r) { r = true; });
  for (const auto& client : held) EXPECT_EQ(client->Read().result_int(), 200u);
  held.clear(), waiting.clear();
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
}

// A pending request ends at its deadline, also if its backend never responds.
TEST(DrainAccepts, PendingRequestsEndAtTheirDeadlineAndThenTheProcessExits) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket&, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    return false;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  auto client = std::make_unique<Client>(site.proxy->address);
  client->Send(Post("book", "Req-Deadline-Ms: 1000\r\n"));
  ASSERT_TRUE(backend.WaitForRequests(1));
  const auto stopped = site.proxy->Stop();
  EXPECT_EQ(client->Read().result_int(), 502u);  // the request may have been executed
  client.reset();
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
  release.Do([](bool& r) { r = true; });
}

// The response announces the close (RFC 9112, 9.6): the pipelined request is not executed, and its unread
// bytes must not turn the close into a reset.
TEST(DrainAccepts, APendingRequestGetsItsCompleteResponseDespitePipelinedBytes) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("held"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  Client client(site.proxy->address);
  client.Send(Book() + WithId(Look(), "ahead"));
  ASSERT_TRUE(backend.WaitForRequests(1));
  const auto stopped = site.proxy->Stop();
  client.Send(WithId(Post("change", "Idempotency-Key: 7e\r\n", std::string(60 * 1024, 'x')), "more"));
  release.Do([](bool& r) { r = true; });
  const auto answer = client.Read();
  EXPECT_EQ(answer.body(), "held");
  EXPECT_FALSE(answer.keep_alive());
  char byte;
  error_code failed;
  asio::read(client.socket, asio::buffer(&byte, 1), failed);
  EXPECT_EQ(failed, asio::error::eof);
  client.socket.close();
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

// Further signals during the drain neither end the process early nor cut off pending requests.
TEST(DrainAccepts, AnotherSigtermAndAReloadDuringTheDrainCutOffNothing) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("held"));
    return true;
  });
  FakeDiscovery here, there;
  there.SetWhole(ListJson(7, true, {}));  // without the backend that has the request
  const auto known = Members(MemberJson("s-1", backend.address()));
  const ConfigFile file(ConfigJson(here.address(), known).dump());
  const auto address = FreePort();
  Child child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  auto client = std::make_unique<Client>(address);
  client->Send(Book());
  ASSERT_TRUE(backend.WaitForRequests(1));
  child.Signal(SIGTERM);
  while (ReadyStatus(address) == 200) std::this_thread::yield();
  Replace(file, ConfigJson(there.address(), known).dump());
  child.Signal(SIGHUP);
  child.Signal(SIGTERM);
  child.Signal(SIGINT);
  ASSERT_TRUE(there.WaitForWatches(1));  // the list was applied
  release.Do([](bool& r) { r = true; });
  EXPECT_EQ(client->Read().body(), "held");
  client.reset();
  EXPECT_EQ(child.Wait(), 0);
}

}  // namespace
}  // namespace kestrelline::testing

// SPDX-License-Identifier: Apache-2.0
//
// The stand-in site on sockets: what it answers, and each fault as a client of it sees it. Times are only
// compared with the least that a fault must take.
#include <poll.h>

#include <chrono>

#include "support/process.h"
#include "support/running_fleet.h"
#include "support/temporary.h"

namespace kestrelline::testing {
namespace {

using Steady = std::chrono::steady_clock;
using Kind = Event::Kind;

std::string Changing(const std::string& id, const std::string& key) {
  return "POST /change HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: 2\r\n\r\nhi";
}
std::string Looking(const std::string& id) {
  return "GET /look HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\n\r\n";
}
std::string MadeFor(const HttpResponse& answer) { return answer.body().substr(0, answer.body().find('\n')); }

TEST(Fleet, AConverterAnswersWithWhatItMadeAndTellsOfIt) {
  RunningFleet fleet;
  Client client(fleet.At("s-00"));
  const auto answer = client.Ask(Looking("7a"));
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_EQ(MadeFor(answer), "made for 7a");
  EXPECT_EQ(answer.body().size(), 1000u);
  EXPECT_EQ(client.Ask(Looking("7b")).result_int(), 200u);  // the connection is kept
  const auto events = fleet.events.Get();
  std::string told;
  for (const Event& e : events)
    if (!e.request.empty()) told += static_cast<char>(e.kind) + e.request + e.proxy + e.subject + " ";
  EXPECT_EQ(told, "B7an0s-00 F7an0s-00 B7bn0s-00 F7bn0s-00 ");
  EXPECT_EQ(client.Ask("GET /look HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(client.Ask("GET /odd HTTP/1.1\r\nHost: x\r\nReq-Id: 7c\r\n\r\n").result_int(), 400u);
}

TEST(Fleet, WhatTheQueueCannotHoldIsDeclinedAndNeverRan) {
  auto site = SmallSite();
  site.classes[0].work_s = 600;  // the first keeps the core, the second the queue
  site.converters[0].queue = 1;
  RunningFleet fleet(site);
  Client first(fleet.At("s-00")), second(fleet.At("s-00")), third(fleet.At("s-00"));
  first.Send(Looking("a"));
  ASSERT_TRUE(fleet.WaitFor(Kind::kBegan, "s-00", 1));
  second.Send(Looking("b"));
  ASSERT_TRUE(fleet.WaitFor(Kind::kBegan, "s-00", 2));
  const auto answer = third.Ask(Looking("c"));
  EXPECT_EQ(answer.result_int(), 503u);
  EXPECT_EQ(answer["Srv-Declined"], "1");
  EXPECT_TRUE(fleet.WaitFor(Kind::kFinished, "s-00", 1, 0));
}

TEST(Fleet, AKeyedRepeatIsDroppedInItsCellAlone) {
  RunningFleet fleet;
  const auto dropped = [&](std::size_t i) {
    return fleet.Ask([&](standin::Fleet& f) { return f.converters()[i]->dropped(); });
  };
  Client here(fleet.At("s-00")), there(fleet.At("s-01"));
  EXPECT_EQ(MadeFor(here.Ask(Changing("a", "k"))), "made for a");
  EXPECT_EQ(dropped(0), 0u);
  EXPECT_EQ(MadeFor(here.Ask(Changing("b", "k"))), "made for b");
  EXPECT_EQ(dropped(0), 1u);
  there.Ask(Changing("c", "k"));
  EXPECT_EQ(dropped(1), 0u);
}

TEST(Fleet, AnAttemptThatItsSenderGivesUpIsOverBeforeTheNextBegins) {
  auto site = SmallSite();
  site.classes[2].work_s = 600;
  RunningFleet fleet(site);
  {
    Client first(fleet.At("s-00"));
    first.Send("POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(fleet.WaitFor(Kind::kBegan, "s-00"));
  }
  Client second(fleet.At("s-01"));
  second.Send("POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(fleet.WaitFor(Kind::kBegan, "s-01"));
  std::string order;
  for (const Event& e : fleet.events.Get())
    if (e.request == "a") order += static_cast<char>(e.kind);
  EXPECT_EQ(order, "BFB");
}

TEST(Fleet, AStalledConverterAnswersOnceItIsOver) {
  RunningFleet fleet;
  Client client(fleet.At("s-00"));
  client.Ask(Looking("a"));
  const auto begun = Steady::now();
  fleet.Apply("stall s-00 300ms");
  EXPECT_EQ(client.Ask(Looking("b")).result_int(), 200u);
  EXPECT_GE(Steady::now() - begun, std::chrono::milliseconds(300));
  EXPECT_EQ(Client(fleet.At("s-00")).Ask(Looking("c")).result_int(), 200u);
}

TEST(Fleet, AnAnswerMayPauseInItsMiddle) {
  RunningFleet fleet;
  Client client(fleet.At("s-00"));
  fleet.Apply("stall_body s-00 10m 200");
  const auto begun = Steady::now();
  client.Send(Looking("a"));
  char first = 0;
  asio::read(client.socket, asio::buffer(&first, 1));
  EXPECT_EQ(first, 'H');
  std::string rest(1000, ' ');
  asio::read(client.socket, asio::buffer(rest));
  EXPECT_GE(Steady::now() - begun, std::chrono::milliseconds(200));
}

TEST(Fleet, AnAnswerMayEndInAResetInItsMiddle) {
  RunningFleet fleet;
  fleet.Apply("reset s-00 10m 1");
  Client client(fleet.At("s-00"));
  client.Send(Looking("a"));
  std::string got;
  error_code failed;
  char piece[4096];
  while (!failed) got.append(piece, client.socket.read_some(asio::buffer(piece), failed));
  EXPECT_TRUE(fleet.WaitFor(Kind::kFinished, "s-00", 1, 1));
  EXPECT_EQ(failed, asio::error::connection_reset);
  EXPECT_LT(got.size(), 1000u);
}

TEST(Fleet, OneThatRefusesIsBackAtTheSameAddress) {
  RunningFleet fleet;
  const auto at = fleet.At("s-00");
  Client client(at);
  client.Ask(Looking("a"));
  fleet.Apply("refuse s-00 200ms");
  EXPECT_TRUE(client.Ended());
  EXPECT_FALSE(Connects(at));
  while (!Connects(at)) std::this_thread::yield();
  EXPECT_EQ(Client(at).Ask(Looking("b")).result_int(), 200u);
}

TEST(Fleet, OneThatVanishesSaysNothingAndResetsWhenItIsBack) {
  RunningFleet fleet;
  const auto at = fleet.At("s-00");
  Client client(at);
  client.Ask(Looking("a"));
  fleet.Apply("vanish s-00 600ms");
  asio::io_context io;
  Tcp::socket fresh(io, Tcp::v4());
  fresh.non_blocking(true);
  EXPECT_EQ(::connect(fresh.native_handle(), at.data(), static_cast<socklen_t>(at.size())), -1);
  EXPECT_EQ(errno, EINPROGRESS);
  pollfd up{fresh.native_handle(), POLLOUT, 0};
  EXPECT_EQ(poll(&up, 1, 100), 0);
  client.Send(Looking("b"));
  EXPECT_TRUE(client.Ended());  // at its return, and not answered
  EXPECT_EQ(Client(at).Ask(Looking("c")).result_int(), 200u);
  for (const Event& e : fleet.events.Get()) EXPECT_NE(e.request, "b");
}

TEST(Fleet, ADrainIsListedThenGone) {
  RunningFleet fleet;
  const auto at = fleet.At("s-00");
  Client client(at);
  Client watch(fleet.Discovery());
  watch.Send("GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(fleet.WaitFor(Kind::kTold, "s-00", 1, 0));
  fleet.Apply("drain s-00 200ms");
  EXPECT_EQ(client.Ask(Looking("a"))["Srv-Declined"], "1");
  ASSERT_TRUE(fleet.WaitFor(Kind::kTold, "s-00", 1, 1));
  ASSERT_TRUE(fleet.WaitFor(Kind::kTold, "s-00", 1, 2));
  EXPECT_FALSE(Connects(at));
}

TEST(Fleet, OneThatRestartsIsColdAndAReplacementHasANewIdAtTheOldAddress) {
  RunningFleet fleet;
  const auto at = fleet.At("s-00"), other = fleet.At("s-01");
  fleet.Apply("restart s-00 100ms");
  EXPECT_FALSE(Connects(at));
  ASSERT_TRUE(fleet.WaitFor(Kind::kStarted, "s-00", 2));
  EXPECT_EQ(fleet.At("s-00"), at);
  EXPECT_GT(fleet.events.Get().back().cold, 0);
  EXPECT_GT(fleet.Ask([](standin::Fleet& f) { return f.membership().Find("s-00")->up_since_unix_ms; }), 0);
  fleet.Apply("replace s-01 100ms");
  ASSERT_TRUE(fleet.WaitFor(Kind::kStarted, "s-01+1"));
  EXPECT_EQ(fleet.At("s-01+1"), other);
  EXPECT_EQ(fleet.Ask([](standin::Fleet& f) { return f.membership().Find("s-01")->state; }),
            load::Listed::kGone);
  EXPECT_EQ(Client(other).Ask(Looking("a")).result_int(), 200u);
}

TEST(Fleet, ALateListIsToldOnceItIsOver) {
  RunningFleet fleet;
  Client watch(fleet.Discovery());
  watch.Send("GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(fleet.WaitFor(Kind::kTold, "s-00"));
  const auto begun = Steady::now();
  fleet.Apply("late_list 300ms");
  fleet.Apply("drain s-00 10m");
  ASSERT_TRUE(fleet.WaitFor(Kind::kTold, "s-00", 1, 1));
  EXPECT_GE(Steady::now() - begun, std::chrono::milliseconds(300));
}

// Half a list comes, of which a reader can make nothing.
TEST(Fleet, AGarbledListIsNoneAndTellsNobody) {
  RunningFleet fleet;
  const auto list = [&] {
    const auto body = Client(fleet.Discovery()).Ask("GET /v1/endpoints HTTP/1.1\r\nHost: x\r\n\r\n").body();
    return nlohmann::json::accept(body);
  };
  EXPECT_TRUE(list());
  fleet.Apply("garble_list 10m");
  EXPECT_FALSE(list());
}

TEST(Fleet, DiscoveryThatIsDownEndsItsWatchesAndComesBack) {
  RunningFleet fleet;
  Client watch(fleet.Discovery());
  watch.Send("GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(fleet.WaitFor(Kind::kTold, "s-00"));
  fleet.Apply("discovery_down 200ms");
  std::string rest;
  error_code failed;
  while (!failed) asio::read(watch.socket, asio::dynamic_buffer(rest), asio::transfer_at_least(1), failed);
  EXPECT_FALSE(Connects(fleet.Discovery()));
  while (!Connects(fleet.Discovery())) std::this_thread::yield();
  Client list(fleet.Discovery());
  const auto whole = list.Ask("GET /v1/endpoints HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_NE(whole.body().find("\"s-01\""), std::string::npos);
  EXPECT_EQ(list.Ask("GET /v1/endpoints?stream=1&index=x HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 404u);
}

TEST(Fleet, WhatCannotBeIsSaid) {
  RunningFleet fleet;
  std::string why;
  const auto fault = standin::ParseCommand("slow s-09 1s 2", &why);
  EXPECT_EQ(fleet.Ask([&](standin::Fleet& f) { return f.Apply(*fault); }), "slow: there is no 's-09'");
  const auto kill = standin::ParseCommand("kill n0 1s", &why);
  EXPECT_EQ(fleet.Ask([&](standin::Fleet& f) { return f.Apply(*kill); }), "kill: there is no 'n0'");
}

TEST(Fleet, ProxiesAreKilledRestartedAndPausedAndComeBackAtTheirAddresses) {
  const TemporaryFolder directory;
  auto site = SmallSite();
  site.proxies = 2;
  RunningFleet fleet(site, PROXY_PATH, directory / "");
  const auto at = [&](std::size_t i) {
    return RunningFleet::EndpointOf(fleet.Ask([&](standin::Fleet& f) { return f.proxy_addresses()[i]; }));
  };
  const auto first = at(0), second = at(1);
  EXPECT_EQ(MadeFor(Client(first).Ask(WithId(Look(), "a1"))), "made for a1");
  fleet.Apply("kill n0 10ms");
  ASSERT_TRUE(fleet.WaitFor(Kind::kKilled, ""));
  EXPECT_EQ(Client(second).Ask(WithId(Look(), "a2")).result_int(), 200u);
  ASSERT_TRUE(WaitUntilReady(first));
  EXPECT_EQ(MadeFor(Client(first).Ask(WithId(Look(), "a3"))), "made for a3");
  const auto begun = Steady::now();
  fleet.Apply("pause n0 300ms");
  EXPECT_EQ(Client(first).Ask(WithId(Look(), "a4")).result_int(), 200u);
  EXPECT_GE(Steady::now() - begun, std::chrono::milliseconds(300));
  ASSERT_TRUE(fleet.WaitFor(Kind::kResumed, ""));
  EXPECT_EQ(fleet.Ask([](standin::Fleet& f) { return f.crashes(); }), 0u);
}

}  // namespace
}  // namespace kestrelline::testing

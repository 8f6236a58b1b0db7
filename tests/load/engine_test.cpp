// SPDX-License-Identifier: Apache-2.0
//
// The generator on sockets, against stand-ins that stall, refuse and close.
#include "load/engine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <set>

#include "support/loopback.h"

namespace kestrelline::load {
namespace {

using kestrelline::testing::Backend;
using kestrelline::testing::HttpRequest;
using kestrelline::testing::kDeclined;
using kestrelline::testing::OkAnswer;
using kestrelline::testing::SendRaw;
using kestrelline::testing::Tcp;
using kestrelline::testing::Watched;

Plan PlanOf(double rate, double seconds) {
  Plan plan;
  plan.classes = {{"look", Effect::kSafe, Microseconds(30000000)},
                  {"book", Effect::kUnsafe, Microseconds(30000000)}};
  plan.mixture.shapes = {Constant{rate}};
  plan.mixture.spacing = Spacing::kEven;
  plan.mixture.classes = {{"look", 1, 0, 0}, {"book", 1, 10, 1000}};
  plan.mixture.seconds = seconds;
  return plan;
}

struct Played {
  explicit Played(const Plan& plan, std::vector<Tcp::endpoint> targets) : results({"look", "book"}) {
    boost::asio::io_context io(1);
    Arrivals arrivals(plan.mixture, plan.seed);
    Engine engine(
        io, plan, std::move(targets), [&] { return arrivals.Next(); },
        [&](const Arrival& a, Outcome outcome, const Timing& t) {
          results.Add(a.request_class, outcome, t);
          ended.push_back({outcome, t});
        });
    engine.Start([&] { over = true; });
    io.run();
    opened = engine.opened();
  }
  Results results;
  std::vector<std::pair<Outcome, Timing>> ended;
  bool over = false;
  std::uint64_t opened = 0;
};

// One connection stands for a client that waits. The stand-in stops answering for a second; the requests that
// were meant for that second all show it, though only one of them was on its way.
TEST(Engine, AStallOfASecondIsSeenByAllThatWereMeantForIt) {
  Watched<int> asked;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    int n = 0;
    asked.Do([&](int& all) { n = ++all; });
    if (n == 50) std::this_thread::sleep_for(std::chrono::seconds(1));  // the fault itself
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  Plan plan = PlanOf(200, 2);
  plan.connections = 1;
  const Played played(plan, {backend.address()});
  EXPECT_TRUE(played.over);
  ASSERT_EQ(played.results.Count(Outcome::kServed), 400u);
  const Latencies open = played.results.Served(true), closed = played.results.Served(false);
  EXPECT_GE(open.most(), std::chrono::seconds(1));
  // 200 a second: those of the first half of the stall waited for half a second and more. A slow machine has
  // more.
  EXPECT_GE(open.Over(Microseconds(500000)), 99u);
  EXPECT_LT(closed.Over(Microseconds(500000)), 3u) << "a count from the send hides them";
  EXPECT_GE(played.results.waited().Over(Microseconds(500000)), 98u) << "and it is told why";
}

// The one connection is held by a patient request; the others wait for it until their clients would have
// gone.
TEST(Engine, WhatFindsNoConnectionBeforeItsDeadlineIsNotSentAndSaidSo) {
  Watched<bool> go;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    go.WaitFor([](bool g) { return g; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  Plan plan = PlanOf(1, 1);
  plan.connections = 1;
  plan.classes[1].deadline = Microseconds(50000);
  std::vector<Arrival> arrivals{{Microseconds(0), 0, 0, 0, 0}};
  for (int i = 1; i <= 10; ++i) arrivals.push_back({Microseconds(1000 * i), 1, 0, 0, 0});
  std::size_t next = 0;
  Results results({"look", "book"});
  boost::asio::io_context io(1);
  Engine engine(
      io, plan, {backend.address()},
      [&]() -> std::optional<Arrival> {
        return next < arrivals.size() ? std::optional(arrivals[next++]) : std::nullopt;
      },
      [&](const Arrival& a, Outcome outcome, const Timing& t) {
        results.Add(a.request_class, outcome, t);
        if (results.total() == 10) go.Do([](bool& g) { g = true; });
      });
  engine.Start([] {});
  io.run();
  EXPECT_EQ(results.Count(Outcome::kUnsent), 10u);
  EXPECT_EQ(results.Count(Outcome::kServed), 1u);
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

TEST(Engine, ConnectionsAreKeptAndOpenedAsNeeded) {
  Backend backend;
  const Played played(PlanOf(300, 1), {backend.address()});
  EXPECT_EQ(played.results.Count(Outcome::kServed), 300u);
  EXPECT_LT(played.opened, 150u);
  const auto seen = backend.seen.Get();
  EXPECT_EQ(seen.requests.size(), 300u);
  std::set<std::string> ids;
  for (const auto& request : seen.requests) {
    ids.emplace(request["Req-Id"]);
    EXPECT_EQ(request.method() == boost::beast::http::verb::get, request["Req-Kind"] == "look");
    EXPECT_GT(std::stoi(std::string(request["Req-Deadline-Ms"])), 0);
  }
  EXPECT_EQ(ids.size(), 300u) << "each has an id of its own";
}

TEST(Engine, RefusedRequestsAreTriedAgainAsOftenAsThePlanSays) {
  for (const int retries : {0, 2}) {
    Backend backend([](Tcp::socket& s, const HttpRequest&) {
      SendRaw(s, kDeclined);
      return true;
    });
    Plan plan = PlanOf(100, 0.2);
    plan.retries = retries;
    plan.retry_pause = Microseconds(1000);
    const Played played(plan, {backend.address()});
    EXPECT_EQ(played.results.Count(Outcome::kRefused), 20u);
    // What another program asks at this port, which may have been another test's, is not the engine's.
    const auto requests = backend.seen.Get().requests;
    const auto sent = std::count_if(requests.begin(), requests.end(),
                                    [](const HttpRequest& request) { return !request["Req-Id"].empty(); });
    EXPECT_EQ(sent, 20 * (1 + retries));
  }
}

// Closed between requests without a word: what crosses the close is sent once more, and each is served.
TEST(Engine, AKeptConnectionThatWasClosedCostsNoRequest) {
  Backend backend([](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, OkAnswer("served"));
    return false;
  });
  const Played played(PlanOf(200, 0.5), {backend.address()});
  EXPECT_EQ(played.results.Count(Outcome::kServed), 100u);
}

TEST(Engine, NobodyListensAndEachRequestFails) {
  Tcp::endpoint nobody;
  {
    boost::asio::io_context io;
    nobody = Tcp::acceptor(io, kestrelline::testing::kAnyPort).local_endpoint();
  }
  const Played played(PlanOf(100, 0.3), {nobody});
  EXPECT_EQ(played.results.Count(Outcome::kFailed), 30u);
}

TEST(Engine, StoppedEarlyItEndsWhatIsOpenAndNothingIsLost) {
  Backend backend;
  const Plan plan = PlanOf(1000, 3600);
  boost::asio::io_context io(1);
  Arrivals arrivals(plan.mixture, plan.seed);
  std::uint64_t drawn = 0, ended = 0;
  bool over = false;
  Engine* running = nullptr;
  Engine engine(
      io, plan, {backend.address()},
      [&] {
        ++drawn;
        return arrivals.Next();
      },
      [&](const Arrival&, Outcome outcome, const Timing&) {
        EXPECT_EQ(outcome, Outcome::kServed);
        if (++ended == 100) running->Stop();
      });
  running = &engine;
  engine.Start([&] { over = true; });
  io.run();
  EXPECT_TRUE(over);
  EXPECT_EQ(engine.open_requests(), 0u);
  EXPECT_EQ(ended, drawn - 1);  // the one drawn ahead was never due
}

// A proxy that is gone is passed over: its share goes to the others, and nobody fails.
TEST(Engine, ATargetThatCannotBeReachedIsPassedOver) {
  Backend backend;
  Tcp::endpoint nobody;
  {
    boost::asio::io_context io;
    nobody = Tcp::acceptor(io, kestrelline::testing::kAnyPort).local_endpoint();
  }
  const Played played(PlanOf(200, 0.5), {nobody, backend.address()});
  EXPECT_EQ(played.results.Count(Outcome::kServed), 100u);
  EXPECT_EQ(backend.seen.Get().requests.size(), 100u);
}

// Answers leave just as their clients do, some before and some after: each request ends once, and what its
// client saw has one end too.
TEST(Engine, AClientThatGivesUpAsItsAnswerArrivesEndsOnce) {
  for (const bool watched : {false, true}) {
    Backend backend([](Tcp::socket& s, const HttpRequest& request) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(std::stoi(std::string(request["Req-Deadline-Ms"]))));
      SendRaw(s, OkAnswer("made for " + std::string(request["Req-Id"]) + "\n"));
      return true;
    });
    Plan plan = PlanOf(400, 0.5);
    for (auto& c : plan.classes) c.deadline = Microseconds(20000);
    std::map<std::string, std::string> told;  // by Req-Id
    std::size_t ended = 0;
    boost::asio::io_context io(1);
    Arrivals arrivals(plan.mixture, plan.seed);
    Engine engine(
        io, plan, {backend.address()}, [&] { return arrivals.Next(); },
        [&](const Arrival&, Outcome, const Timing&) { ++ended; });
    if (watched) engine.Watch([&](const Event& e) { told[e.request] += static_cast<char>(e.kind); });
    engine.Start([] {});
    io.run();
    EXPECT_EQ(ended, 200u);
    EXPECT_EQ(told.size(), watched ? 200u : 0u);
    for (const auto& [id, kinds] : told) EXPECT_TRUE(kinds == "SA" || kinds == "SG") << id << ": " << kinds;
  }
}

// A jump ahead is as if the machine had slept: all that was meant for the gap is sent at once, late, and said
// to be. A jump back stands still until the clock has caught up. Nothing is lost either way.
TEST(Engine, AClockThatJumpsLosesNothingAndShowsAsLateness) {
  for (const int jump_ms : {500, -200}) {
    Backend backend;
    const Plan plan = PlanOf(200, 1);
    Results results({"look", "book"});
    boost::asio::io_context io(1);
    Arrivals arrivals(plan.mixture, plan.seed);
    bool jumped = false;
    Engine engine(
        io, plan, {backend.address()}, [&] { return arrivals.Next(); },
        [&](const Arrival& a, Outcome outcome, const Timing& t) {
          EXPECT_GE(t.answered, t.sent);
          results.Add(a.request_class, outcome, t);
          jumped |= results.total() == 50;
        });
    engine.SetClock(
        [&] { return std::chrono::steady_clock::now() + std::chrono::milliseconds(jumped ? jump_ms : 0); });
    engine.Start([] {});
    io.run();
    EXPECT_EQ(results.Count(Outcome::kServed), 200u);
    if (jump_ms > 0) {
      EXPECT_GE(results.lateness().Over(Microseconds(250000)), 45u);
    }
  }
}

}  // namespace
}  // namespace kestrelline::load

// SPDX-License-Identifier: Apache-2.0
//
// The site in virtual time: one history for one seed, the four rules kept through the rehearsal's faults, and
// each rule's breach found where what guards it is taken away.
#include "sim/simulation.h"

#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <numeric>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "sim/shrink.h"
#include "sim/words.h"
#include "standin/site.h"

namespace kestrelline::sim {
namespace {

std::string Read(const std::string& path) {
  std::ifstream in(std::string(SOURCE_PATH) + "/" + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// The rehearsal's site and load, for `seconds`.
Scenario Rehearsal(double seconds, std::uint64_t seed) {
  operator_file::Diagnostics diagnostics("rehearsal");
  auto site = standin::ReadSite(Read("deploy/rehearsal.site.toml"), &diagnostics);
  auto plan = load::ReadPlan(Read("deploy/rehearsal.load.toml"), &diagnostics);
  EXPECT_TRUE(site && plan);
  Scenario scenario;
  scenario.site = std::move(*site);
  scenario.plan = std::move(*plan);
  scenario.plan.mixture.seconds = seconds;
  scenario.seed = seed;
  return scenario;
}

std::string Violations(const Report& report) {
  std::string all;
  for (const auto& v : report.verdict.violations) {
    all += std::string(load::NameOf(v.rule)) + " " + v.subject + ": " + v.text + '\n';
    for (const auto& line : v.history) all += "    " + line + '\n';
  }
  return all;
}

TEST(Simulation, OneSeedHasOneHistoryOnAnyThread) {
  const Scenario scenario = Rehearsal(8, 42);
  const Report first = Simulation(scenario, {}).Run();
  EXPECT_GT(first.results.total(), 1500u);
  std::vector<std::uint64_t> histories(4);
  std::vector<std::thread> threads;
  for (auto& history : histories)
    threads.emplace_back([&] { history = Simulation(scenario, {}).Run().history; });
  for (auto& thread : threads) thread.join();
  for (const auto history : histories) EXPECT_EQ(history, first.history);
  EXPECT_NE(Simulation(Rehearsal(8, 43), {}).Run().history, first.history);
}

TEST(Simulation, TheRehearsalKeepsTheFourRules) {
#ifdef __SANITIZE_ADDRESS__
  constexpr std::uint64_t kSeeds = 1;
#else
  constexpr std::uint64_t kSeeds = 8;
#endif
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const Scenario scenario = Rehearsal(60, seed);
    const Report report = Simulation(scenario, {}).Run();
    EXPECT_TRUE(report.verdict.clean()) << Violations(report);
    EXPECT_GT(report.results.total(), 20000u);
    EXPECT_GT(static_cast<double>(report.results.Count(load::Outcome::kServed)),
              0.98 * static_cast<double>(report.results.total()));
  }
}

TEST(Simulation, AReplayBringsTheSameStateBack) {
  const Scenario scenario = Rehearsal(20, 9);
  Simulation::Options options;
  options.until = Microseconds(12345678);
  std::vector<std::string> logs[2];
  std::optional<Simulation::State> states[2];
  for (int time = 0; time < 2; ++time) {
    options.on_decision = [&, time](std::uint32_t node, Microseconds at, const Event& event,
                                    const std::vector<Action>& actions) {
      std::string line = std::to_string(at.count()) + " " + std::to_string(node) + " " + InWords(event);
      for (const auto& action : actions) line += "; " + InWords(action);
      logs[time].push_back(line);
    };
    Simulation simulation(scenario, options);
    EXPECT_EQ(simulation.Run().took, options.until);
    states[time] = simulation.Look();
  }
  EXPECT_TRUE(*states[0] == *states[1]);
  EXPECT_EQ(logs[0], logs[1]);
  EXPECT_GT(logs[0].size(), 1000u);
  std::size_t held = 0;
  for (const auto& proxy : states[0]->proxies) held += proxy.held;
  EXPECT_GT(held, 0u);
}

// What was recorded is played at its own times, and once.
TEST(Simulation, ATraceIsPlayedInPlaceOfThePlan) {
  Scenario scenario = Rehearsal(5, 3);
  auto trace = std::make_shared<std::vector<load::Arrival>>();
  for (int i = 0; i < 400; ++i)
    trace->push_back({Microseconds(i * 5000), static_cast<std::uint32_t>(i % 3), 0, 0, 0});
  scenario.trace = trace;
  const Report report = Simulation(scenario, {}).Run();
  EXPECT_EQ(report.results.total(), 400u);
  EXPECT_TRUE(report.verdict.clean()) << Violations(report);
  ASSERT_GE(report.results.seconds().size(), 2u);
  EXPECT_EQ(std::accumulate(report.results.seconds()[0].outcomes.begin(),
                            report.results.seconds()[0].outcomes.end(), std::uint64_t{0}),
            200u);
}

double FailedShare(const Report& report) {
  return static_cast<double>(report.results.Count(load::Outcome::kFailed)) /
         static_cast<double>(report.results.total());
}

// One in twenty connections breaks as a request comes on it: what cannot be repeated is lost with it, unless
// its last byte was held back.
TEST(Simulation, HeldLastBytesSaveWhatBreaksUnderThem) {
  Scenario scenario = Rehearsal(30, 5);
  scenario.site.faults = {
      {Microseconds(0), standin::Fault::Kind::kLose, "100%", Microseconds(30000000), 0.05}};
  const Report held = Simulation(scenario, {}).Run();
  scenario.hold = false;
  const Report at_once = Simulation(scenario, {}).Run();
  EXPECT_TRUE(held.verdict.clean()) << Violations(held);
  EXPECT_TRUE(at_once.verdict.clean()) << Violations(at_once);
  EXPECT_GT(FailedShare(at_once), 0.008);
  EXPECT_LT(FailedShare(held), FailedShare(at_once) / 5);
}

// A third of the servers answers half of its certified copies with silence, and all else.
TEST(Simulation, AClassThatSomeServersLoseGoesToTheOthers) {
  Scenario scenario = Rehearsal(40, 6);
  scenario.site.faults = {
      {Microseconds(5000000), standin::Fault::Kind::kMute, "33%", Microseconds(35000000), 0.5}};
  const Report report = Simulation(scenario, {}).Run();
  EXPECT_TRUE(report.verdict.clean()) << Violations(report);
  // 23 % are certified copies; by even shares 23 % x 33 % x 50 % = 3.8 % would be lost for seven eighths of
  // it.
  const double lost = 1 - static_cast<double>(report.results.Count(load::Outcome::kServed)) /
                              static_cast<double>(report.results.total());
  EXPECT_LT(lost, 0.012);
  EXPECT_GT(lost, 0);
}

// Breaks what `tamper` guards; the rule that is found broken first, by name.
std::string FirstBroken(const Scenario& scenario, Simulation::Options options) {
  const Report report = Simulation(scenario, std::move(options)).Run();
  EXPECT_TRUE(report.stopped);
  if (report.verdict.violations.empty()) return "none";
  EXPECT_FALSE(report.verdict.violations.front().history.empty() &&
               report.verdict.violations.front().rule == load::Rule::kNoneLost);
  return std::string(load::NameOf(report.verdict.violations.front().rule));
}

TEST(Simulation, ALostRequestIsFound) {
  int answers = 0;
  Simulation::Options options;
  options.tamper_with_actions = [&](std::vector<Action>* actions) {
    std::erase_if(*actions, [&](const Action& action) {
      const bool last = std::holds_alternative<kestrelline::Refuse>(action) ||
                        std::holds_alternative<kestrelline::Fail>(action);
      return last && ++answers % 2 == 0;
    });
  };
  Scenario scenario = Rehearsal(30, 1);
  for (auto& converter : scenario.site.converters) converter.speed = 0.2;  // overloaded: much is refused
  EXPECT_EQ(FirstBroken(scenario, options), load::NameOf(load::Rule::kNoneLost));
}

TEST(Simulation, AnEffectTwiceIsFound) {
  Simulation::Options options;
  options.tamper_with_event = [](Event* event) {  // the module believes that what broke never ran
    auto* end = std::get_if<kestrelline::AttemptEnded>(event);
    if (end &&
        (end->outcome == kestrelline::Outcome::kReset || end->outcome == kestrelline::Outcome::kTimeout))
      end->outcome = kestrelline::Outcome::kConnectFailed;
  };
  EXPECT_EQ(FirstBroken(Rehearsal(60, 1), options), load::NameOf(load::Rule::kNoEffectTwice));
}

TEST(Simulation, ADrainThatIsNotKeptIsFound) {
  Simulation::Options options;
  options.tamper_with_event = [](Event* event) {  // no list says that a server drains
    if (auto* list = std::get_if<kestrelline::ListUpdate>(event)) {
      for (auto& entry : list->entries) {
        if (entry.state == kestrelline::ServerState::kDraining)
          entry.state = kestrelline::ServerState::kReady;
      }
    }
  };
  EXPECT_EQ(FirstBroken(Rehearsal(60, 1), options), load::NameOf(load::Rule::kDrainsKept));
}

TEST(Simulation, AColdServerPushedOverIsFound) {
  Simulation::Options options;
  options.tamper_with_event = [](Event* event) {  // every server seems to have been up for long
    if (auto* list = std::get_if<kestrelline::ListUpdate>(event)) {
      for (auto& entry : list->entries) entry.up_since = kestrelline::TimePoint();
    }
  };
  Scenario scenario = Rehearsal(40, 1);
  for (auto& converter : scenario.site.converters) converter.speed = 0.4;
  scenario.site.cold_from = 0.05;
  scenario.site.warm_up = Microseconds(60000000);
  scenario.site.fall_multiple = 1.2;
  scenario.site.faults.clear();
  scenario.site.faults.push_back(
      {Microseconds(10000000), standin::Fault::Kind::kReplace, "s-05", Microseconds(2000000), 0});
  EXPECT_EQ(FirstBroken(scenario, options), load::NameOf(load::Rule::kNoneColdPushedOver));
}

TEST(Simulation, WhatBreaksIsShrunk) {
  const std::function<bool(const Scenario&)> fails = [](const Scenario& scenario) {
    Simulation::Options options;
    options.tamper_with_event = [](Event* event) {
      if (auto* list = std::get_if<kestrelline::ListUpdate>(event)) {
        for (auto& entry : list->entries) {
          if (entry.state == kestrelline::ServerState::kDraining)
            entry.state = kestrelline::ServerState::kReady;
        }
      }
    };
    return !Simulation(scenario, options).Run().verdict.violations.empty();
  };
  Scenario scenario = Rehearsal(18, 1);
  ASSERT_TRUE(fails(scenario));
  const Shrunk shrunk = Shrink(scenario, fails, 60);
  EXPECT_TRUE(fails(shrunk.scenario));
  ASSERT_EQ(shrunk.scenario.site.faults.size(), 1u);  // of 18
  EXPECT_EQ(shrunk.scenario.site.faults.front().kind, standin::Fault::Kind::kDrain);
  EXPECT_LT(shrunk.scenario.site.converters.size(), 8u);
  EXPECT_LE(shrunk.scenario.plan.mixture.seconds, 10);
}

// A zone is cut off while lists come garbled: what connects across does not come up, no proxy takes a list
// until they are whole again, and no rule is broken.
TEST(Simulation, AZoneCutOffAndGarbledListsBreakNoRule) {
  using enum standin::Fault::Kind;
  const auto seconds = [](int s) { return Microseconds(s * 1000000); };
  const auto play = [&](bool cut, int until) {
    Scenario scenario = Rehearsal(20, 5);
    scenario.site.faults = {{seconds(6), kGarble, "", seconds(6), 0},
                            {seconds(7), kDrain, "s-02", seconds(12), 0}};
    if (cut) scenario.site.faults.push_back({seconds(5), kCut, "zone:ebene", seconds(5), 0});
    std::size_t unreached = 0;
    Simulation::Options options;
    options.until = seconds(until);
    options.on_decision = [&](std::uint32_t, Microseconds, const Event& event, const std::vector<Action>&) {
      const auto* end = std::get_if<kestrelline::AttemptEnded>(&event);
      unreached += end && end->outcome == kestrelline::Outcome::kConnectFailed;
    };
    Simulation simulation(scenario, options);
    const Report report = simulation.Run();
    EXPECT_TRUE(report.verdict.clean()) << Violations(report);
    return std::pair(simulation.Look().proxies, unreached);
  };
  const auto [garbled, unreached] = play(true, 12);
  const auto [whole, unreached_whole] = play(true, 30);
  for (std::size_t n = 0; n < garbled.size(); ++n) EXPECT_LT(garbled[n].revision, whole[n].revision) << n;
  EXPECT_GT(unreached, 0u);
  EXPECT_EQ(play(false, 30).second, 0u);
}

// More work than there ever is time for: queues end where their bounds are, and every request has its answer.
TEST(Simulation, ASiteOverloadedWithoutEndAnswersAll) {
  Scenario scenario = Rehearsal(15, 3);
  for (auto& converter : scenario.site.converters) converter.speed = 0.05;
  const Report report = Simulation(scenario, {}).Run();
  EXPECT_TRUE(report.verdict.clean()) << Violations(report);
  EXPECT_GT(report.results.Count(load::Outcome::kRefused), 1000u);
}

}  // namespace
}  // namespace kestrelline::sim

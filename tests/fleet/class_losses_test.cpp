// SPDX-License-Identifier: Apache-2.0
//
// Servers that fail one class and serve the others must be detected quickly and without false alarms, be
// avoided for a limited time only, and be avoided by the Balancer.
#include "fleet/class_losses.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "harness.h"

namespace kestrelline::fleet {
namespace {

using kestrelline::testing::At;
using kestrelline::testing::Rig;

constexpr int kServers = 15, kClasses = 3;

struct SimulationResult {
  int sent_to_faulty = 0, avoided = 0, detected_after = -1;
};

// Sends requests of three classes every 3 ms, each to a random server that is not avoided for its class.
// Server 0 loses class 2 with probability `faulty`; all other requests are lost with probability `base_loss`.
SimulationResult Simulate(ClassLosses* losses, double base_loss, double faulty, int requests,
                          std::uint64_t seed, double* now) {
  std::mt19937_64 draw(seed);
  const auto unit = [&] { return static_cast<double>(draw() >> 11) * 0x1.0p-53; };
  SimulationResult result;
  for (int i = 0; i < requests; ++i) {
    *now += 3;
    const int request_class = static_cast<int>(draw() % kClasses);
    std::uint32_t server = 0;
    do {
      server = static_cast<std::uint32_t>(draw() % kServers);
    } while (losses->Avoids(At(*now), server, request_class));
    const bool is_faulty = server == 0 && request_class == 2 && faulty > 0;
    result.sent_to_faulty += is_faulty;
    const bool lost = unit() < (is_faulty ? faulty : base_loss);
    if (!losses->Add(At(*now), server, request_class, lost, kServers)) continue;
    ++result.avoided;
    if (is_faulty && result.detected_after < 0) result.detected_after = result.sent_to_faulty;
  }
  return result;
}

TEST(ClassLosses, AServerThatNeverAnswersOneClassIsFoundByTheSecondRequest) {
  ClassLosses losses;
  double now = 1e6;
  Simulate(&losses, 0.005, 0, 3000, 1, &now);
  const SimulationResult result = Simulate(&losses, 0.005, 1, 6000, 2, &now);
  EXPECT_LE(result.detected_after, 3);
  // In 18 s: a third of 6,000 requests over 15 servers would be 133.
  EXPECT_LE(result.sent_to_faulty, 15);
  EXPECT_GE(result.sent_to_faulty, 2);  // it is probed again
}

TEST(ClassLosses, HalfOfTheClassLostIsEnoughWhileOthersLoseAFew) {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ClassLosses losses;
    double now = 1e6;
    Simulate(&losses, 0.02, 0, 3000, seed, &now);
    const SimulationResult result = Simulate(&losses, 0.02, 0.5, 3000, seed + 100, &now);
    found += result.detected_after >= 0 && result.detected_after <= 15;
  }
  EXPECT_GE(found, 45) << "of 50";
}

TEST(ClassLosses, FewFalseAlarmsIfAllServersLoseTheSameShare) {
  for (const double base_loss : {0.001, 0.02, 0.2, 0.6}) {
    ClassLosses losses;
    double now = 1e6;
    // 100 s with 45 pairs. Each false alarm keeps a class from a fifteenth of the fleet for 3 s.
    const SimulationResult result = Simulate(&losses, base_loss, 0, 33000, 7, &now);
    EXPECT_LE(result.avoided, 40) << base_loss;
    EXPECT_LE(losses.pairs(), static_cast<std::size_t>(kServers * kClasses));
  }
}

TEST(ClassLosses, AServerThatAnswersNothingIsLeftToOutlierEjection) {
  ClassLosses losses;
  double now = 1e6;
  Simulate(&losses, 0.005, 0, 3000, 6, &now);
  for (int i = 0; i < 50; ++i) EXPECT_FALSE(losses.Add(At(now + i), 0, 2, true, kServers));
}

TEST(ClassLosses, AClassThatFailsFromTheStartIsAvoidedNowhere) {
  ClassLosses losses;
  for (int i = 0; i < 60; ++i) {
    const auto server = static_cast<std::uint32_t>(i % 3);
    EXPECT_FALSE(losses.Add(At(1e6 + i), server, 0, true, 3));
    losses.Add(At(1e6 + i), server, 1, false, 3);
  }
}

TEST(ClassLosses, NeverMoreThanHalfOfTheServers) {
  ClassLosses losses;
  double now = 1e6;
  int most = 0;
  for (int i = 0; i < 2000; ++i, now += 1) {
    for (std::uint32_t server = 0; server < 10; ++server) {
      losses.Add(At(now), server, 0, server < 7, 10);  // seven of ten lose all of the class
      losses.Add(At(now), server, 1, false, 10);
    }
    int avoided = 0;
    for (std::uint32_t server = 0; server < 10; ++server) avoided += losses.Avoids(At(now), server, 0);
    ASSERT_LE(avoided, 5);
    most = std::max(most, avoided);
  }
  EXPECT_GE(most, 4);
}

TEST(ClassLosses, ARecoveredServerIsUsedAgainAndOtherClassesWereNeverAvoided) {
  ClassLosses losses;
  double now = 1e6;
  Simulate(&losses, 0.005, 1, 3000, 3, &now);
  EXPECT_FALSE(losses.Avoids(At(now), 0, 0));
  EXPECT_FALSE(losses.Avoids(At(now), 0, 1));
  now += ClassLosses::kMaxAvoid.count();
  Simulate(&losses, 0, 0, 6000, 4, &now);
  EXPECT_FALSE(losses.Avoids(At(now), 0, 2));
  now += 1e5;
  losses.Add(At(now), 3, 1, false, kServers);
  EXPECT_EQ(losses.pairs(), 0u);  // all pairs have been erased
}

TEST(ClassLosses, ARelapseIsDetectedByOneLossAndAvoidedForLonger) {
  ClassLosses losses;
  double now = 1e6;
  Simulate(&losses, 0, 0, 3000, 5, &now);
  double before = 0;
  for (int time = 0; time < 4; ++time) {
    int needed = 0;
    while (!losses.Avoids(At(now), 0, 2)) {
      ++needed;
      losses.Add(At(now), 0, 2, true, kServers);
      losses.Add(At(now), 0, 0, false, kServers);
      ASSERT_LT(needed, 10);
    }
    EXPECT_EQ(needed, time == 0 ? 2 : 1);
    const double from = now;
    while (losses.Avoids(At(now), 0, 2)) {
      now += 10;
      losses.Add(At(now), 5, 2, false, kServers);
      losses.Add(At(now), 0, 0, false, kServers);
    }
    EXPECT_GT(now - from, before);
    before = now - from;
  }
}

TEST(ClassLosses, PairsAreBoundedWhateverIsLost) {
  ClassLosses losses;
  for (std::uint32_t server = 0; server < 20000; ++server)
    losses.Add(At(1e6), server, static_cast<int>(server % 3), true, 20000);
  EXPECT_LE(losses.pairs(), ClassLosses::kMaxPairs);
  losses.Forget(1);
  EXPECT_LT(losses.pairs(), ClassLosses::kMaxPairs);
}

// Balancer test: server 1 does not answer class 2, and answers all other requests in time.
TEST(ClassLosses, TheBalancerAvoidsTheServerForThatClassOnly) {
  Rig rig;
  rig.Servers(6);
  std::multimap<int, std::pair<kestrelline::RequestId, kestrelline::ServerId>> ends;  // by turn
  int to_faulty = 0, of_class = 0, others_to_faulty = 0;
  for (int turn = 0; turn < 30000; ++turn) {
    rig.Tick(1);
    const auto is_silent = [](kestrelline::RequestId id, kestrelline::ServerId server) {
      return server == 1 && id % 3 == 2;
    };
    for (; !ends.empty() && ends.begin()->first <= turn; ends.erase(ends.begin())) {
      const auto [id, server] = ends.begin()->second;
      const bool silent = is_silent(id, server);
      rig.End(id, 0, server, silent ? Outcome::kTimeout : Outcome::kOk, silent ? 600 : 60, true);
    }
    if (turn % 3 == 0) rig.Ask(static_cast<kestrelline::RequestId>(turn / 3), turn / 3 % 3, 10, 600);
    for (const auto& sent : std::exchange(rig.sent, {})) {
      const bool silent = is_silent(sent.request, sent.server);
      ends.emplace(turn + (silent ? 600 : 60), std::make_pair(sent.request, sent.server));
      if (turn < 8000) continue;  // time to detect it
      of_class += sent.request % 3 == 2;
      to_faulty += silent;
      others_to_faulty += sent.server == 1 && !silent;
    }
  }

  EXPECT_GT(of_class, 2000);
  EXPECT_GT(others_to_faulty, 300);  // it still serves the other classes
  EXPECT_GT(to_faulty, 0);           // it is probed again
  EXPECT_LT(to_faulty, of_class / 200);
}

}  // namespace
}  // namespace kestrelline::fleet

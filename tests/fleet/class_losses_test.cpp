// SPDX-License-Identifier: Apache-2.0
//
// Servers that lose one class and serve the others: found soon, not where none is, given up on for a while
// only, and passed over by the module itself.
#include "fleet/class_losses.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "harness.h"

namespace kestrelline::fleet {
namespace {

using brackenspoke::Duration;
using brackenspoke::Outcome;
using brackenspoke::TimePoint;
using brackenspoke::testing::At;
using brackenspoke::testing::Rig;

constexpr int kServers = 15, kClasses = 3;

struct Played {
  int sent_to_sick = 0, avoided = 0, found_after = -1;
};

// Requests every 3 ms of three classes, to any server that is not avoided for the class. Server 0 loses class
// 2 with probability `sick`; all others lose `usual` of all.
Played Play(ClassLosses* losses, double usual, double sick, int requests, std::uint64_t seed, double* now) {
  std::mt19937_64 draw(seed);
  const auto unit = [&] { return static_cast<double>(draw() >> 11) * 0x1.0p-53; };
  Played played;
  for (int i = 0; i < requests; ++i) {
    *now += 3;
    const int request_class = static_cast<int>(draw() % kClasses);
    std::uint32_t server = 0;
    do {
      server = static_cast<std::uint32_t>(draw() % kServers);
    } while (losses->Avoids(At(*now), server, request_class));
    const bool is_sick = server == 0 && request_class == 2 && sick > 0;
    played.sent_to_sick += is_sick;
    const bool lost = unit() < (is_sick ? sick : usual);
    if (!losses->Add(At(*now), server, request_class, lost, kServers)) continue;
    ++played.avoided;
    if (is_sick && played.found_after < 0) played.found_after = played.sent_to_sick;
  }
  return played;
}

TEST(ClassLosses, AServerThatNeverAnswersOneClassIsFoundByTheSecondRequest) {
  ClassLosses losses;
  double now = 1e6;
  Play(&losses, 0.005, 0, 3000, 1, &now);
  const Played played = Play(&losses, 0.005, 1, 6000, 2, &now);
  EXPECT_LE(played.found_after, 3);
  // 18 s: a third of 6,000 over 15 servers would have been 133.
  EXPECT_LE(played.sent_to_sick, 15);
  EXPECT_GE(played.sent_to_sick, 2);  // it is tried again
}

TEST(ClassLosses, HalfOfTheClassLostIsEnoughWhileOthersLoseAFew) {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ClassLosses losses;
    double now = 1e6;
    Play(&losses, 0.02, 0, 3000, seed, &now);
    const Played played = Play(&losses, 0.02, 0.5, 3000, seed + 100, &now);
    found += played.found_after >= 0 && played.found_after <= 15;
  }
  EXPECT_GE(found, 45) << "of 50";
}

TEST(ClassLosses, WhereAllLoseTheSameFewAreAvoided) {
  for (const double usual : {0.001, 0.02, 0.2, 0.6}) {
    ClassLosses losses;
    double now = 1e6;
    // 100 s, 45 pairs. Each false alarm keeps a fifteenth of the fleet from a class for 3 s.
    const Played played = Play(&losses, usual, 0, 33000, 7, &now);
    EXPECT_LE(played.avoided, 40) << usual;
    EXPECT_LE(losses.pairs(), static_cast<std::size_t>(kServers * kClasses));
  }
}

TEST(ClassLosses, OneThatAnswersNothingIsNotItsBusiness) {
  ClassLosses losses;
  double now = 1e6;
  Play(&losses, 0.005, 0, 3000, 6, &now);
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

TEST(ClassLosses, OneThatHasRecoveredIsBackAndAnotherClassWasNeverKeptAway) {
  ClassLosses losses;
  double now = 1e6;
  Play(&losses, 0.005, 1, 3000, 3, &now);
  EXPECT_FALSE(losses.Avoids(At(now), 0, 0));
  EXPECT_FALSE(losses.Avoids(At(now), 0, 1));
  now += ClassLosses::kMaxAvoid.count();
  Play(&losses, 0, 0, 6000, 4, &now);
  EXPECT_FALSE(losses.Avoids(At(now), 0, 2));
  now += 1e5;
  losses.Add(At(now), 3, 1, false, kServers);
  EXPECT_EQ(losses.pairs(), 0u);  // all of it is forgotten
}

TEST(ClassLosses, EachRelapseIsFoundByOneAndLastsLonger) {
  ClassLosses losses;
  double now = 1e6;
  Play(&losses, 0, 0, 3000, 5, &now);
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

// The module: server 1 keeps silent on class 2 and answers all else within 10 ms.
TEST(ClassLosses, TheModuleSendsTheClassElsewhereAndAllElseThere) {
  Rig rig;
  rig.Servers(6);
  std::multimap<int, std::pair<brackenspoke::RequestId, brackenspoke::ServerId>> ends;  // by turn
  int to_sick = 0, of_class = 0, others_to_sick = 0;
  for (int turn = 0; turn < 30000; ++turn) {
    rig.Tick(1);
    const auto is_silent = [](brackenspoke::RequestId id, brackenspoke::ServerId server) {
      return server == 1 && id % 3 == 2;
    };
    for (; !ends.empty() && ends.begin()->first <= turn; ends.erase(ends.begin())) {
      const auto [id, server] = ends.begin()->second;
      const bool silent = is_silent(id, server);
      rig.End(id, 0, server, silent ? Outcome::kTimeout : Outcome::kOk, silent ? 600 : 60, true);
    }
    if (turn % 3 == 0) rig.Ask(static_cast<brackenspoke::RequestId>(turn / 3), turn / 3 % 3, 10, 600);
    for (const auto& sent : std::exchange(rig.sent, {})) {
      const bool silent = is_silent(sent.request, sent.server);
      ends.emplace(turn + (silent ? 600 : 60), std::make_pair(sent.request, sent.server));
      if (turn < 8000) continue;  // until it was found
      of_class += sent.request % 3 == 2;
      to_sick += silent;
      others_to_sick += sent.server == 1 && !silent;
    }
  }

  EXPECT_GT(of_class, 2000);
  EXPECT_GT(others_to_sick, 300);  // it serves what it can
  EXPECT_GT(to_sick, 0);           // it is tried again
  EXPECT_LT(to_sick, of_class / 200);
}

}  // namespace
}  // namespace kestrelline::fleet

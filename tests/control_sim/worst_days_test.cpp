// SPDX-License-Identifier: Apache-2.0
//
// The five things that the users met on their worst days, each brought about in virtual time.
#include <gtest/gtest.h>

#include <cstdlib>

#include "control_sim/decide.h"
#include "control_sim/schedule.h"
#include "support/sanitized.h"

namespace kestrelline::control_sim {
namespace {

constexpr Duration kCatchUpOfThree{4000};  // catch_up_s of the small deployments
constexpr Duration kCatchUpOfFive{6000};   // and of the large ones

WorldOptions Options(std::uint64_t seed, int members = 3, int proxies = 0) {
  WorldOptions options;
  options.seed = seed;
  options.members = members;
  options.max_lost_members = members / 2;
  options.proxies = proxies;
  return options;
}

bool Whole(World& world, int members) {
  const std::string leader = world.Leader();
  if (leader.empty() || !world.FullyReplicated()) return false;
  return static_cast<int>(world.replica(leader).committed()->members.size()) == members;
}

// --- 1: a member that is cut off for twenty seconds ---

TEST(WorstDays, ALeaderThatIsCutOffStepsDownAndItsProxiesGetTheNewest) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(Options(seed, 3, 3));
    ASSERT_TRUE(world.RunUntilLed());
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    world.Run(Duration(1000));
    const std::string away = world.Leader();
    world.CutOff(away);
    ASSERT_TRUE(world.RunUntil([&] { return world.replica(away).role() != Role::kLeader; }, Duration(2200)));
    ASSERT_EQ(Decide(world, 2, 1, "two"), Outcome::kCommitted);
    const Time taken = world.now();
    // All of them may still be at the one that is cut off: they leave it by the age of what it tells.
    const auto in_force = [&] {
      return world.proxy(0).version() == 2 && world.proxy(1).version() == 2 && world.proxy(2).version() == 2;
    };
    EXPECT_TRUE(world.RunUntil(in_force, Duration(2000))) << "seed " << seed;
    world.RestartProxy(0, {away});
    for (const std::string& other : world.Except(away)) world.CutProxy(0, other);
    world.Run(Duration(20000) - (world.now() - taken));
    EXPECT_EQ(world.proxy(0).version(), 0u) << "it took a configuration that nobody vouches for";
    world.HealAll();
    EXPECT_TRUE(world.RunUntil(in_force, Duration(3500))) << "seed " << seed;
    EXPECT_EQ(world.broken(), "");
  }
}

// --- 2: one number, two operators; the same order again ---

TEST(WorstDays, TheSameOrderAgainIsTakenWhereverItComes) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(Options(seed));
    ASSERT_TRUE(world.RunUntilLed());
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    // Again while the first is under way, at the same leader.
    const std::string first = world.Leader();
    world.OrderAt(first, 2, 1, "two");
    world.OrderAt(first, 2, 1, "two");
    world.Run(Duration(300));
    EXPECT_EQ(world.last_outcome(), Outcome::kCommitted);
    // With another If-Match: that very configuration has been taken.
    EXPECT_EQ(Decide(world, 2, 7, "two"), Outcome::kCommitted);
    // Lost on its way to an answer, committed by the next leader, sent again there.
    world.OrderAt(first, 3, 2, "three");
    world.Run(Duration(20));
    world.Kill(first);
    ASSERT_TRUE(world.RunUntilLed());
    EXPECT_EQ(Decide(world, 3, 2, "three"), Outcome::kCommitted) << "seed " << seed;
    EXPECT_EQ(Decide(world, 3, 2, "another three"), Outcome::kConflict);
    EXPECT_EQ(world.broken(), "");
  }
}

TEST(WorstDays, AnOrderOlderThanTheHistoryGetsNoVerdict) {
  wire::Record record;
  record.version = 10000;
  for (std::uint64_t i = 0; i < control_plane::kMaxHistory; ++i) record.history.push_back({5000 + i, {i, i}});
  const Change old{7, 3, {9, 9}, "old"};
  EXPECT_EQ(control_plane::EvaluateChange(record, old), Outcome::kHistoryExpired);
  const Change known{5003, 1, {3, 3}, "known"};
  EXPECT_EQ(control_plane::EvaluateChange(record, known), Outcome::kCommitted);
  const Change stale{9000, 8000, {1, 2}, "stale"};
  EXPECT_EQ(control_plane::EvaluateChange(record, stale), Outcome::kConflict);
  record.history.erase(record.history.begin());
  EXPECT_EQ(control_plane::EvaluateChange(record, old), Outcome::kConflict) << "nothing was forgotten yet";
}

TEST(WorstDays, FortyRacesWithAMemberInTheDarkTakeOneOfTwoEach) {
  World world(Options(5));
  ASSERT_TRUE(world.RunUntilLed());
  world.Kill(world.Except(world.Leader())[0], false);
  std::uint64_t version = 0;
  for (int race = 0; race < 40; ++race) {
    const auto one = world.Submit({version + 1, version, "one " + std::to_string(race)});
    const auto two = world.Submit({version + 1, version, "two " + std::to_string(race)});
    ASSERT_TRUE(world.RunUntil([&] { return one->verdict && two->verdict; }, Duration(6000)));
    EXPECT_NE(*one->verdict == Outcome::kCommitted, *two->verdict == Outcome::kCommitted);
    ++version;
  }
  EXPECT_EQ(world.broken(), "");
}

// --- 3: a second loss right after a repair ---

struct Repair {
  int members;
  std::size_t bytes;  // of the configuration
  double link;        // bytes a millisecond of the repaired one; 0: no limit
  Duration sync;
};
class RepairWindow : public ::testing::TestWithParam<Repair> {};

// Wiped, and replaced for good: until the next loss is borne again.
TEST_P(RepairWindow, IsShorterThanCatchUp) {
  const Repair& repair = GetParam();
  const Duration most = repair.members == 3 ? kCatchUpOfThree : kCatchUpOfFive;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool replaced : {false, true}) {
      WorldOptions options = Options(seed, repair.members);
      options.sync = repair.sync;
      World world(options);
      ASSERT_TRUE(world.RunUntil([&] { return Whole(world, repair.members); }, Duration(10000)));
      ASSERT_EQ(Decide(world, 1, 0, std::string(repair.bytes, 'x')), Outcome::kCommitted);
      ASSERT_TRUE(world.RunUntil([&] { return Whole(world, repair.members); }, Duration(5000)));
      const std::string victim = world.names()[seed % world.names().size()];
      world.Wipe(victim);
      world.Run(Duration(1000));
      const std::string back = replaced ? world.AddMachine() : victim;
      if (repair.link > 0) world.SetLinkRate(back, repair.link);
      world.Start(back);
      const Time began = world.now();
      const auto whole = [&] { return Whole(world, repair.members) && world.disk(back).record; };
      ASSERT_TRUE(world.RunUntil(whole, most)) << "seed " << seed << (replaced ? " replaced" : " wiped");
      RecordProperty("window_ms", static_cast<int>((world.now() - began).count()));
      for (const std::string& other : world.Except(back)) {
        if (other == victim) continue;
        world.Wipe(other);  // the second loss, at once
        break;
      }
      ASSERT_TRUE(world.RunUntilLed(Duration(6000))) << "seed " << seed;
      EXPECT_EQ(world.replica(world.Leader()).committed()->version, 1u);
      EXPECT_EQ(world.broken(), "");
    }
  }
}
INSTANTIATE_TEST_SUITE_P(Windows, RepairWindow,
                         ::testing::Values(Repair{3, 1000, 0, Duration(5)},
                                           Repair{3, 400 * 1000, 1250, Duration(5)},
                                           Repair{3, 1000, 0, Duration(150)}, Repair{5, 1000, 0, Duration(5)},
                                           Repair{5, 400 * 1000, 1250, Duration(5)},
                                           Repair{5, 1000, 0, Duration(150)}));

TEST(WorstDays, TwoThatAreWipedAtOnceOfFiveLearnFromTheOtherThree) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World world(Options(seed, 5));
    ASSERT_TRUE(world.RunUntil([&] { return Whole(world, 5); }, Duration(10000)));
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    const std::string one = world.names()[seed % 5], two = world.names()[(seed + 1) % 5];
    const std::string restarts = world.names()[(seed + 2) % 5];
    world.Wipe(one);
    world.Wipe(two);
    world.Start(one);
    world.Start(two);
    world.Run(Duration(100));
    world.Kill(restarts);  // one of those to learn from, in the middle of it
    world.Run(Duration(200));
    world.Start(restarts);
    ASSERT_TRUE(world.RunUntil([&] { return Whole(world, 5); }, kCatchUpOfFive)) << "seed " << seed;
    EXPECT_EQ(world.broken(), "");
  }
}

// --- 4: hundreds of changes while a member is away ---

TEST(WorstDays, CatchingUpCostsTheSameAfterTenAndAfterAThousandChanges) {
  constexpr std::size_t kBytes = 20 * 1000;
  std::vector<std::size_t> bytes;
  for (const std::uint64_t changes : {10, 100, 1000}) {
    World world(Options(changes));
    ASSERT_TRUE(world.RunUntilLed());
    const std::string away = world.Except(world.Leader())[0];
    world.Kill(away);
    for (std::uint64_t version = 1; version <= changes; ++version) {
      ASSERT_EQ(Decide(world, version, version - 1, std::to_string(version) + std::string(kBytes, 'x')),
                Outcome::kCommitted);
    }
    world.Run(Duration(1000));
    const std::size_t before = world.RecordBytesTo(away);
    world.Start(away);
    ASSERT_TRUE(world.RunUntil([&] { return world.FullyReplicated(); }, Duration(1500)))
        << changes << " changes";
    bytes.push_back(world.RecordBytesTo(away) - before);
    EXPECT_EQ(world.broken(), "");
  }
  for (const std::size_t each : bytes) EXPECT_LE(each, 2 * (kBytes + 10));
}

TEST(WorstDays, WhoWasAwayLeadsOnlyWithTheNewest) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(Options(seed));
    ASSERT_TRUE(world.RunUntilLed());
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    world.CutOff(others[0]);
    for (std::uint64_t version = 1; version <= 30; ++version) {
      ASSERT_EQ(Decide(world, version, version - 1, std::to_string(version)), Outcome::kCommitted);
    }
    // The one that missed them all and one that has them: together they lead only with the newest.
    world.Kill(leader, false);
    world.HealAll();
    ASSERT_TRUE(world.RunUntilLed());
    EXPECT_EQ(world.replica(world.Leader()).committed()->version, 30u) << "seed " << seed;
    EXPECT_EQ(world.broken(), "");
  }
}

// --- random days ---

void PlayDays(int members, std::uint64_t all) {
  if (const char* one = std::getenv("KESTRELLINE_SEED")) {
    const Day day = DrawDay(std::strtoull(one, nullptr, 10), members);
    EXPECT_EQ(Play(day).broken, "") << Describe(Shrink(day));
    return;
  }
  const char* many = std::getenv("KESTRELLINE_SEEDS");
  const std::uint64_t seeds = many ? std::strtoull(many, nullptr, 10) : all;
  for (std::uint64_t seed = 1; seed <= seeds && !::testing::Test::HasFailure(); ++seed) {
    const Day day = DrawDay(seed, members);
    EXPECT_EQ(Play(day).broken, "") << Describe(Shrink(day));
  }
}
TEST(RandomDays, OfThreeMembersKeepEveryPromise) {
  PlayDays(3, ::kestrelline::testing::OrFewer<std::uint64_t>(400, 40));
}
TEST(RandomDays, OfFiveMembersKeepEveryPromise) {
  PlayDays(5, ::kestrelline::testing::OrFewer<std::uint64_t>(200, 20));
}

}  // namespace
}  // namespace kestrelline::control_sim

// SPDX-License-Identifier: Apache-2.0
//
// Each safeguard of the control plane, switched off alone: the scenario that it is meant for must break then,
// and must hold with all of them. docs/design/control-safety.md has the table.
#include "safeguards/safeguards.h"

#include <gtest/gtest.h>

#include <functional>

#include "control_sim/decide.h"
#include "control_sim/driven_replica.h"
#include "control_sim/schedule.h"

namespace kestrelline::control_sim {
namespace {

using control_plane::DrivenReplica;
using control_plane::kSecond;
using control_plane::kThird;
using control_plane::RecordAt;

class Without {
 public:
  explicit Without(Safeguard safeguard) { switched_off = safeguard; }
  ~Without() { switched_off = Safeguard::kNone; }
  Without(const Without&) = delete;
  Without& operator=(const Without&) = delete;
};

// A scenario returns what broke; empty if nothing did.
using Scenario = std::function<std::string(std::uint64_t seed)>;

void MustNeed(Safeguard safeguard, const Scenario& scenario, std::uint64_t seeds = 20) {
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    ASSERT_EQ(scenario(seed), "") << "with every safeguard, seed " << seed;
    const Without without(safeguard);
    if (!scenario(seed).empty() && found == 0) found = seed;
  }
  ASSERT_NE(found, 0u) << "the scenario does not need it";
  ::testing::Test::RecordProperty("found_by_seed", static_cast<int>(found));
}

// Random days find it within so many seeds.
void MustBeFoundByDays(Safeguard safeguard, int members, std::uint64_t seeds) {
  const Without without(safeguard);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    if (!Play(DrawDay(seed, members)).broken.empty()) return;
  }
  FAIL() << "no day of " << seeds << " needs it";
}

// What the leader and the audit say once all is calm.
std::string BrokenInTheEnd(World& world, const std::string& must_show = "") {
  world.HealAll();
  world.ThawAll();
  for (const std::string& name : world.names()) {
    if (!world.Running(name)) world.Start(name);
  }
  if (!world.RunUntilLed()) return "nobody leads";
  world.Run(Duration(1000));
  const std::string leader = world.Leader();
  const bool lost =
      !must_show.empty() && !leader.empty() && world.replica(leader).committed()->configuration != must_show;
  if (lost) return "acknowledged and lost";
  return world.broken();
}

// Somebody leads, and the change that each scenario builds on is taken.
bool Begin(World& world) { return world.RunUntilLed() && Decide(world, 1, 0, "one") == Outcome::kCommitted; }

WorldOptions Options(std::uint64_t seed, int proxies = 0) {
  WorldOptions options;
  options.seed = seed;
  options.proxies = proxies;
  return options;
}

// --- one safeguard each ---

TEST(Safeguards, WhatALeaderVouchesForIsDatedByTheProbeItEchoes) {
  const auto scenario = [](std::uint64_t) -> std::string {
    DrivenReplica follower({4, 0, true, RecordAt({4, 1}, 3)});
    wire::Heartbeat beat;
    beat.epoch = 4;
    beat.leased = true;
    beat.committed = {4, 1};
    follower.Receive(kSecond, beat);
    const auto* asked = follower.Sent<wire::HeartbeatReply>(kSecond);
    if (asked == nullptr) return "no reply";
    // The next heartbeat is composed at once, and held up for ten seconds.
    beat.echo = asked->probe;
    const Time sent = follower.now;
    follower.now += Duration(10000);
    follower.Receive(kSecond, beat);
    const auto certain = follower.replica().committed_confirmed_at(follower.now);
    if (!certain) return "never certain";
    return *certain > sent + Duration(50) ? "vouches for what it knew ten seconds ago" : "";
  };
  MustNeed(Safeguard::kDateByProbe, scenario, 1);
}

TEST(Safeguards, AProxyDatesWhatItIsToldByItsOwnProbe) {
  // The first publication to a proxy is held up while changes are made.
  const auto scenario = [](std::uint64_t seed) -> std::string {
    World world(Options(seed, 1));
    if (!Begin(world)) return "no first change";
    world.Run(Duration(500));
    const std::string member = world.names()[seed % 3];
    world.RestartProxy(0, {member});
    for (const std::string& other : world.Except(member)) world.CutProxy(0, other);
    world.Hold(member, World::ProxyName(0));
    world.Run(Duration(100));
    if (Decide(world, 2, 1, "two") != Outcome::kCommitted) return "not taken";
    world.Run(Duration(2600));
    // The proxy stands still meanwhile, so that it does not give the member up.
    return BrokenInTheEnd(world);
  };
  const auto frozen = [scenario](std::uint64_t seed) -> std::string {
    World world(Options(seed, 1));
    if (!Begin(world)) return "no first change";
    world.Run(Duration(500));
    world.RestartProxy(0);
    world.Run(Duration(10));  // it has just subscribed
    world.FreezeProxy(0, Duration(4000));
    world.Run(Duration(100));
    if (Decide(world, 2, 1, "two") != Outcome::kCommitted) return "not taken";
    world.Run(Duration(5000));
    return BrokenInTheEnd(world);
  };
  for (std::uint64_t seed = 1; seed <= 10; ++seed) EXPECT_EQ(scenario(seed), "");
  MustNeed(Safeguard::kDateByProbe, frozen);
}

TEST(Safeguards, ARefusalNeedsContactAfterTheOrderCame) {
  // A leader stands still with an order in its queue and the replies to the one before it in its socket.
  // Others lead meanwhile and take both.
  const auto scenario = [](std::uint64_t seed) -> std::string {
    World world(Options(seed));
    if (!Begin(world)) return "no first change";
    const std::string frozen = world.Leader();
    world.OrderAt(frozen, 2, 1, "two");
    world.OrderAt(frozen, 5, 3, "five");
    world.Freeze(frozen, Duration(5000));
    world.Run(Duration(50));
    if (Decide(world, 2, 1, "two") != Outcome::kCommitted) return "not taken";
    if (Decide(world, 3, 2, "three") != Outcome::kCommitted) return "not taken";
    if (Decide(world, 5, 3, "five") != Outcome::kCommitted) return "not taken";
    world.Run(Duration(6000));
    return BrokenInTheEnd(world, "five");
  };
  MustNeed(Safeguard::kContactBeforeRefusal, scenario);
}

TEST(Safeguards, RepliesFromALostDiskCountNoMore) {
  const auto scenario = [](std::uint64_t) -> std::string {
    DrivenReplica leader({4, 0, true, RecordAt({4, 1})});
    leader.Elect();
    if (!leader.replica().Leads(leader.now)) return "does not lead";
    leader.Answer(kThird, leader.replica().epoch());
    leader.Forget();
    leader.Propose({1, 0, {1, 1}, "one"});
    const auto* append = leader.Sent<wire::Append>(kThird);
    if (append == nullptr) return "no record sent";
    const wire::Position position = append->record->position;
    // The third member stores it, loses its disk and asks to learn, which overtakes its reply.
    leader.Receive(kThird, wire::LearnRequest{77, false});
    wire::HeartbeatReply late;
    late.epoch = leader.replica().epoch();
    late.promised = late.epoch;
    late.stored = position;
    late.writing = position;
    leader.Receive(kThird, late);
    return leader.decided.empty() ? "" : "a copy on a lost disk was counted";
  };
  MustNeed(Safeguard::kDiskIdentity, scenario, 1);
}

TEST(Safeguards, OnceItHasLearnedItsRepliesCountAgain) {
  DrivenReplica leader({4, 0, true, RecordAt({4, 1})});
  leader.Elect();
  leader.Receive(kThird, wire::LearnRequest{77, false});
  leader.Forget();
  leader.now += Duration(300);
  leader.Tick();
  leader.Propose({1, 0, {1, 1}, "one"});
  wire::HeartbeatReply reply;
  reply.epoch = leader.replica().epoch();
  reply.promised = reply.epoch;
  reply.sent_ms = leader.Sent<wire::Heartbeat>(kThird)->sent_ms;
  reply.stored = leader.Sent<wire::Append>(kSecond)->record->position;
  reply.writing = reply.stored;
  reply.disk = 77;
  leader.Receive(kThird, reply);
  ASSERT_EQ(leader.decided.size(), 1u);
  EXPECT_EQ(leader.decided[0].outcome, Outcome::kCommitted);
}

TEST(Safeguards, CopiesOnLostDisksAreForgotten) {
  // The first copy of a change is lost with its disk, its holder learns from one that has none, and the next
  // copy would make two of one.
  const auto scenario = [](std::uint64_t seed) -> std::string {
    World world(Options(seed));
    if (!Begin(world)) return "no first change";
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    world.SetSync(leader, Duration(1500));
    world.CutOff(others[1]);
    world.Order(2, 1, "two");
    world.Run(Duration(10));
    world.Wipe(others[0]);
    world.HealAll();
    world.Cut(leader, others[1]);
    world.Start(others[0]);
    world.Run(Duration(1700));
    if (world.last_outcome() != Outcome::kCommitted) return "";
    world.Wipe(leader);
    return BrokenInTheEnd(world, "two");
  };
  MustNeed(Safeguard::kForgetLostCopies, scenario, 40);
}

TEST(Safeguards, AnExchangeNeedsQuorumsOfBothElectorates) {
  // The leader and a newcomer are cut off from the other two at each moment of the exchange.
  const auto scenario = [](std::uint64_t seed) -> std::string {
    WorldOptions options = Options(7 + seed % 3);
    options.most_delay = Duration(60);
    World world(options);
    if (!Begin(world)) return "no first change";
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    const std::string fresh = world.AddMachine();
    world.Start(fresh);
    world.Run(Duration(1000));
    const auto part = [&](const std::string& other) {
      for (const std::string& side : {leader, fresh}) {
        world.Cut(side, other);
        world.Cut(other, side);
      }
    };
    part(others[0]);
    world.Run(Duration(1000) + World::kStep * static_cast<int>(seed));
    part(others[1]);
    world.Run(Duration(6000));
    return BrokenInTheEnd(world);
  };
  MustNeed(Safeguard::kJointElectorate, scenario, 80);
}

TEST(Safeguards, AProxyNeverGoesBack) {
  const auto scenario = [](std::uint64_t) -> std::string {
    data_plane::ConfigurationGate gate;
    if (!gate.Offer(7, /*contents=*/true, /*fresh=*/true)) return "seven was not put in force";
    return !gate.Offer(5, /*contents=*/true, /*fresh=*/true) && gate.version() == 7 ? "" : "went back";
  };
  MustNeed(Safeguard::kNeverBack, scenario, 1);
}

TEST(Safeguards, ASlowMemberGetsTheNewestRecordNext) {
  // Changes of 200 KB in quick succession, one link of 10 Mbit/s.
  const auto scenario = [](std::uint64_t seed) -> std::string {
    World world(Options(seed));
    if (!world.RunUntilLed()) return "nobody leads";
    const std::string leader = world.Leader();
    const std::string slow = world.Except(leader)[0];
    world.SetLinkRate(slow, 1250);
    const std::string filler(200 * 1000, 'x');
    for (std::uint64_t version = 1; version <= 60; ++version) {
      if (Decide(world, version, version - 1, std::to_string(version) + filler) != Outcome::kCommitted)
        return "not taken";
    }
    const bool caught_up = world.RunUntil([&] { return world.FullyReplicated(); }, Duration(2000));
    return caught_up ? "" : "the slow member is still taking old records";
  };
  MustNeed(Safeguard::kOneRecordUnderWay, scenario, 2);
}

TEST(Safeguards, APromiseBinds) {
  const auto scenario = [](std::uint64_t) -> std::string {
    DrivenReplica member({9, 0, true, RecordAt({4, 1})});
    member.Receive(kSecond, wire::Append{5, RecordAt({5, 2}, 1)});
    const auto* reply = member.Sent<wire::HeartbeatReply>(kSecond);
    if (reply == nullptr) return "no reply";
    return reply->stored == wire::Position{4, 1} ? ""
                                                 : "stored a record of an earlier epoch than it promised";
  };
  MustNeed(Safeguard::kPromiseBinds, scenario, 1);
}

TEST(Safeguards, OneThatRestartedKeepsQuietForALease) {
  // It had supported the leader, and has forgotten it; the third member has not heard of that leader for
  // long.
  const auto scenario = [](std::uint64_t seed) -> std::string {
    World world(Options(seed));
    if (!world.RunUntilLed()) return "nobody leads";
    world.Run(Duration(300));
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    world.Cut(leader, others[1]);
    world.Cut(others[1], leader);
    world.Run(Duration(1400));
    world.Cut(leader, others[0]);
    world.Cut(others[0], leader);
    world.Kill(others[0]);
    world.Start(others[0]);
    world.Run(Duration(3000));
    return BrokenInTheEnd(world);
  };
  MustNeed(Safeguard::kQuietAfterRestart, scenario, 40);
}

TEST(Safeguards, OnlyAPristineDiskFounds) {
  // A disk is damaged while the settings still say that this is the first start; the one that missed the
  // change comes up later, the one that has it last.
  const auto scenario = [](std::uint64_t seed) -> std::string {
    World world(Options(seed));
    if (!Begin(world)) return "no first change";
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    world.CutOff(others[1]);
    if (Decide(world, 2, 1, "two") != Outcome::kCommitted) return "not taken";
    world.Kill(leader);
    world.Kill(others[1]);
    world.DamageDisk(others[0]);
    world.SetBootstrap(others[0]);
    world.HealAll();
    world.Start(others[0]);
    world.Run(Duration(1500));
    world.Start(others[1]);
    world.Run(Duration(3000));
    return BrokenInTheEnd(world, "two");
  };
  MustNeed(Safeguard::kFoundOnPristineDisk, scenario);
}

TEST(Safeguards, AFounderThatFindsALaterEpochLearnsInstead) {
  // An empty disk at its first start by the settings: another founder answers and knows better.
  World world(Options(3));
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  const std::string victim = world.Except(world.Leader())[0];
  world.Wipe(victim);
  world.SetBootstrap(victim);
  world.Start(victim);
  ASSERT_TRUE(world.RunUntil([&] { return world.FullyReplicated(); }, Duration(4000)));
  EXPECT_NE(world.disk(victim).disk, 0u) << "it founded";
  EXPECT_EQ(world.disk(victim).record->configuration, "one");
  EXPECT_EQ(world.broken(), "");
}

TEST(Safeguards, OneThatStopsForGoodIsReplacedFirst) {
  const auto scenario = [](std::uint64_t seed) -> std::string {
    Day day = DrawDay(seed);
    day.rounds = {{Trouble::kPlannedLeave, seed}};
    return Play(day).broken;
  };
  MustNeed(Safeguard::kLeaveByAgreement, scenario);
}

// --- those that any day needs ---

TEST(Safeguards, OnlyALeaderWithALeaseServes) { MustBeFoundByDays(Safeguard::kLeaseBeforeServing, 3, 40); }
TEST(Safeguards, OrdersAreRecognised) { MustBeFoundByDays(Safeguard::kRecogniseOrders, 3, 20); }
TEST(Safeguards, OneCopyIsNoCommit) { MustBeFoundByDays(Safeguard::kQuorumOfCopies, 3, 20); }
TEST(Safeguards, ACandidateTakesTheNewestCopyOver) {
  MustBeFoundByDays(Safeguard::kNewestCopyAtElection, 3, 40);
}
TEST(Safeguards, AnEmptyDiskLearnsFirst) { MustBeFoundByDays(Safeguard::kLearnBeforeVoting, 3, 40); }
TEST(Safeguards, AProxyStartsWithAProof) { MustBeFoundByDays(Safeguard::kProofBeforeReady, 3, 60); }
TEST(Safeguards, ANewLeaderWaitsWithItsOrders) { MustBeFoundByDays(Safeguard::kFenceAfterLease, 3, 20); }

}  // namespace
}  // namespace kestrelline::control_sim

// SPDX-License-Identifier: Apache-2.0
//
// The replicated control state in virtual time: each failure that it must survive, then random schedules of
// failures. A failing test prints its seed; KESTRELLINE_SEED runs only that seed, KESTRELLINE_SEEDS sets how
// many seeds run.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "control_sim/decide.h"
#include "support/sanitized.h"

namespace kestrelline::control_plane {
namespace {

using control_sim::Decide;
using control_sim::World;
using control_sim::WorldOptions;

TEST(Replica, AChangeIsAcknowledgedAndKnownToAll) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  EXPECT_EQ(Decide(world, 3, 0, "first"), Outcome::kCommitted);
  world.Run(Duration(100));
  for (const std::string& name : world.names()) {
    ASSERT_TRUE(world.replica(name).committed());
    EXPECT_EQ(world.replica(name).committed()->configuration, "first");
    EXPECT_TRUE(world.replica(name).committed_confirmed_at(world.now()));
  }
  EXPECT_EQ(world.broken(), "");
}

TEST(Replica, OnlyOneOfTwoChangesToTheSameVersionIsCommitted) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 1, 0, "base"), Outcome::kCommitted);
  ASSERT_EQ(Decide(world, 2, 1, "one"), Outcome::kCommitted);
  EXPECT_EQ(Decide(world, 2, 1, "other"), Outcome::kConflict);
  EXPECT_EQ(Decide(world, 3, 1, "third"), Outcome::kConflict);
  EXPECT_EQ(world.broken(), "");
}

TEST(Replica, AResentChangeIsAcknowledgedEvenAfterALaterOne) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  ASSERT_EQ(Decide(world, 2, 1, "two"), Outcome::kCommitted);
  EXPECT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  EXPECT_EQ(world.replica(world.Leader()).committed()->configuration, "two");
}

TEST(Replica, AVersionThatIsNotAboveTheCurrentOneIsRejected) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 5, 0, "five"), Outcome::kCommitted);
  EXPECT_EQ(Decide(world, 5, 5, "five again, but other"), Outcome::kOldVersion);
  EXPECT_EQ(Decide(world, 4, 5, "four"), Outcome::kOldVersion);
}

// One failure right after a change was acknowledged; the change must still be there afterwards.
class AfterAnAcknowledgement : public ::testing::TestWithParam<const char*> {};

TEST_P(AfterAnAcknowledgement, TheChangeSurvives) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    WorldOptions options;
    options.seed = seed;
    World world(options);
    ASSERT_TRUE(world.RunUntilLed());
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    ASSERT_EQ(Decide(world, 2, 1, "two"), Outcome::kCommitted);
    const std::string leader = world.Leader();
    const std::string failure = GetParam();
    if (failure == "leader loses power") world.Kill(leader, false);
    if (failure == "leader loses its disk") world.Wipe(leader);
    if (failure == "leader is cut off") world.CutOff(leader);
    if (failure == "all lose power" || failure == "leader loses its disk, all power") {
      for (const std::string& name : world.names()) world.Kill(name, false);
      if (failure != "all lose power") world.Wipe(leader);
    }
    world.Run(Duration(900));
    for (const std::string& name : world.names()) {
      if (!world.Running(name)) world.Start(name);
    }
    ASSERT_TRUE(world.RunUntilLed(Duration(4000))) << failure << ", seed " << seed;
    EXPECT_EQ(world.replica(world.Leader()).committed()->configuration, "two") << failure;
    EXPECT_EQ(Decide(world, 2, 1, "two"), Outcome::kCommitted);
    EXPECT_EQ(Decide(world, 3, 2, "three"), Outcome::kCommitted);
    EXPECT_EQ(world.broken(), "");
  }
}

INSTANTIATE_TEST_SUITE_P(Losses, AfterAnAcknowledgement,
                         ::testing::Values("leader loses power", "leader loses its disk", "leader is cut off",
                                           "all lose power", "leader loses its disk, all power"));

TEST(Replica, AFullRestartDoesNotWaitForLeasesThatAllForgot) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  for (const std::string& name : world.names()) world.Kill(name, false);
  for (const std::string& name : world.names()) world.Start(name);
  EXPECT_TRUE(world.RunUntilLed(Duration(700)));
  EXPECT_EQ(world.broken(), "");
}

TEST(Replica, ARestartedMemberDoesNotVoteAgainstALeaseThatItGranted) {
  // The third member is cut off from the leader, so that it could win an election only with the restarted
  // one.
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    WorldOptions options;
    options.seed = seed;
    World world(options);
    ASSERT_TRUE(world.RunUntilLed());
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    world.Cut(leader, others[1]);
    world.Cut(others[1], leader);
    world.Run(Duration(1500));
    world.Kill(others[0]);
    world.Start(others[0]);
    world.Run(Duration(4000));
    EXPECT_EQ(world.broken(), "");
  }
}

TEST(Replica, AFullDiskDoesNotBlockCommits) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  world.SetDiskFull(world.Leader(), true);
  EXPECT_EQ(Decide(world, 2, 1, "two", Duration(1500)), Outcome::kCommitted);
  EXPECT_EQ(world.broken(), "");
}

TEST(Replica, OneSlowDiskDoesNotBlockCommits) {
  for (const bool leaders : {true, false}) {
    World world({});
    ASSERT_TRUE(world.RunUntilLed());
    std::string slow = world.Leader();
    if (!leaders) slow = world.names()[0] == slow ? world.names()[1] : world.names()[0];
    world.SetSync(slow, Duration(3000));
    EXPECT_EQ(Decide(world, 1, 0, "one", Duration(500)), Outcome::kCommitted);
  }
}

TEST(Replica, ACopyCountsOnlyOnceItIsOnDisk) {
  // The leader's disk is slow: the copy of one follower and the leader's unwritten one must not count as a
  // quorum.
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  const std::string leader = world.Leader();
  const std::vector<std::string> others = world.Except(leader);
  world.SetSync(leader, Duration(2000));
  world.SetSync(others[1], Duration(2000));
  ASSERT_TRUE(world.Order(2, 1, "two"));
  world.Run(Duration(500));
  EXPECT_EQ(world.last_outcome(), std::nullopt);
  world.RunUntil([&] { return world.last_outcome().has_value(); }, Duration(3000));
  EXPECT_EQ(world.last_outcome(), Outcome::kCommitted);
}

TEST(Replica, ACopyOnALostDiskIsNotCounted) {
  // Found by models/epochs.pml: the first copy of a change is lost with its disk, its holder learns from
  // members without a copy, and then the second copy was counted as two.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    WorldOptions options;
    options.seed = seed;
    World world(options);
    ASSERT_TRUE(world.RunUntilLed());
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    world.SetSync(leader, Duration(1500));
    world.CutOff(others[1]);
    ASSERT_TRUE(world.Order(2, 1, "two"));
    world.Run(Duration(10));
    world.Wipe(others[0]);
    world.HealAll();
    world.Cut(leader, others[1]);
    world.Start(others[0]);
    world.Run(Duration(1000));
    if (world.last_outcome() == Outcome::kCommitted) {
      // Two disks hold the change, so losing either one is safe.
      world.Wipe(leader);
      world.HealAll();
      ASSERT_TRUE(world.RunUntilLed()) << "seed " << seed;
      EXPECT_EQ(world.replica(world.Leader()).committed()->configuration, "two") << "seed " << seed;
    }
    EXPECT_EQ(world.broken(), "") << "seed " << seed;
  }
}

TEST(Replica, AnsweringALearnerPromisesALaterEpoch) {
  wire::Record stored;
  stored.position = {4, 1};
  stored.members = {World::NameOf(0), World::NameOf(1), World::NameOf(2)};
  const auto record = std::make_shared<const wire::Record>(stored);
  ReplicaOptions options;
  options.self = World::NameOf(0);
  Replica voter(options, {4, 0, true, record}, Time(1000));
  voter.Receive(Time(1100), World::NameOf(1), wire::LearnRequest{77});
  const auto effects = voter.TakeEffects();
  ASSERT_EQ(effects.size(), 1u);
  const Persist& persist = std::get<Persist>(effects[0]);
  EXPECT_EQ(persist.promised, 5u);
  voter.Persisted(Time(1110), persist.ticket, true);
  const auto replies = voter.TakeEffects();
  ASSERT_EQ(replies.size(), 1u);
  const auto& reply = std::get<wire::LearnReply>(std::get<Send>(replies[0]).body);
  EXPECT_EQ(reply.promised, 5u);
  EXPECT_EQ(reply.record, record);
  // A repeated request of the same learner raises no further promise.
  voter.Receive(Time(1200), World::NameOf(1), wire::LearnRequest{77});
  EXPECT_TRUE(std::holds_alternative<Send>(voter.TakeEffects().at(0)));
  // Records of the earlier epoch are not stored any more.
  voter.Receive(Time(1300), World::NameOf(2), wire::Append{4, record});
  for (const Effect& effect : voter.TakeEffects()) EXPECT_FALSE(std::holds_alternative<Persist>(effect));
}

TEST(Replica, ARecordBelowThePromisedEpochIsNotStored) {
  wire::Record stored;
  stored.position = {4, 1};
  stored.members = {World::NameOf(0), World::NameOf(1), World::NameOf(2)};
  ReplicaOptions options;
  options.self = World::NameOf(0);
  Replica receiver(options, {9, 0, true, std::make_shared<const wire::Record>(stored)}, Time(1000));
  wire::Record outdated = stored;
  outdated.position = {5, 2};
  receiver.Receive(Time(1100), World::NameOf(1),
                   wire::Append{5, std::make_shared<const wire::Record>(outdated)});
  for (const Effect& effect : receiver.TakeEffects()) EXPECT_FALSE(std::holds_alternative<Persist>(effect));
}

// Runs a replica whose disk completes each write at once, and returns what it sends.
std::vector<Send> RunAlone(Replica& replica, Time from, Time until) {
  std::vector<Send> sent;
  for (Time now = from; now <= until; now += Duration(50)) {
    replica.Tick(now);
    for (Effect& effect : replica.TakeEffects()) {
      if (const auto* persist = std::get_if<Persist>(&effect)) replica.Persisted(now, persist->ticket, true);
      if (auto* send = std::get_if<Send>(&effect)) sent.push_back(std::move(*send));
    }
  }
  return sent;
}

bool SendsTo(const std::vector<Send>& sent, const std::string& node) {
  return std::any_of(sent.begin(), sent.end(), [&](const Send& send) { return send.to == node; });
}

std::vector<std::string> DepartedNodes(std::size_t count) {
  std::vector<std::string> nodes;
  for (std::size_t i = 0; i < count; ++i) nodes.push_back("departed" + std::to_string(i));
  return nodes;
}

// Guards against a full table of machines that are gone, after which a new machine is never asked.
TEST(Replica, AtTheLimitOfKnownNodesANewOneReplacesOneWithoutAVote) {
  ReplicaOptions options;
  options.self = "self";
  Replica learner(options, {}, Time(0));
  learner.AddKnownNodes(DepartedNodes(Replica::kMaxKnownNodes));
  learner.AddKnownNodes({"new"});
  const std::vector<Send> sent = RunAlone(learner, Time(0), Time(1000));
  EXPECT_TRUE(SendsTo(sent, "new"));
  EXPECT_EQ(learner.KnownNodes().size(), Replica::kMaxKnownNodes + 1);  // and itself
}

// The same for a leader, which would never give a seat to a new machine.
TEST(Replica, AtTheLimitOfPeersANewOneReplacesADepartedOne) {
  ReplicaOptions options;
  options.self = "self";
  options.max_lost_members = 0;
  wire::Record stored;
  stored.position = {4, 1};
  stored.members = {options.self};
  Replica leader(options, {4, 0, true, std::make_shared<const wire::Record>(stored)}, Time(0));
  RunAlone(leader, Time(0), Time(5000));
  ASSERT_TRUE(leader.Leads(Time(5000)));
  for (const std::string& node : DepartedNodes(Replica::kMaxKnownNodes)) {
    leader.Receive(Time(5000), node, wire::Hello{true, 1});
  }
  leader.Receive(Time(5000), "early", wire::Hello{true, 1});
  EXPECT_FALSE(SendsTo(RunAlone(leader, Time(5000), Time(5100)), "early"));
  const Time later = Time(5100) + options.forget_timeout;
  RunAlone(leader, Time(5100), later);
  leader.Receive(later, "new", wire::Hello{true, 1});
  EXPECT_TRUE(SendsTo(RunAlone(leader, later, later + Duration(100)), "new"));
}

TEST(Replica, AMembershipChangeNeedsAQuorumOfTheOldMembersToo) {
  // The leader and a new member are cut off from the other two, at each step of the membership change.
  for (int moment = 0; moment < 60; ++moment) {
    WorldOptions options;
    options.seed = 7 + static_cast<std::uint64_t>(moment % 3);
    options.most_delay = Duration(60);
    World world(options);
    ASSERT_TRUE(world.RunUntilLed());
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    const std::string leader = world.Leader();
    const std::vector<std::string> others = world.Except(leader);
    const std::string replacement = world.AddMachine();
    world.Start(replacement);
    world.Run(Duration(1000));
    const auto cut_off = [&](const std::string& other) {
      for (const std::string& side : {leader, replacement}) {
        world.Cut(side, other);
        world.Cut(other, side);
      }
    };
    cut_off(others[0]);
    world.Run(Duration(1200) + World::kStep * moment);
    cut_off(others[1]);
    world.Run(Duration(6000));
    ASSERT_EQ(world.broken(), "") << "moment " << moment;
    world.HealAll();
    ASSERT_TRUE(world.RunUntilLed());
    EXPECT_EQ(Decide(world, 2, 1, "two"), Outcome::kCommitted);
    ASSERT_EQ(world.broken(), "") << "moment " << moment;
  }
}

TEST(Replica, AMemberWithAnEmptyDiskDoesNotAcknowledgeBeforeItHasLearned) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  const std::string leader = world.Leader();
  const std::vector<std::string> others = world.Except(leader);
  // Only the leader can be learned from, which is not a quorum of the others.
  world.Kill(others[0], false);
  world.Wipe(others[1]);
  world.Start(others[1]);
  world.Run(Duration(3000));
  EXPECT_EQ(world.replica(others[1]).role(), Role::kLearner);
  EXPECT_EQ(world.Leader(), "");
  world.Start(others[0]);
  ASSERT_TRUE(world.RunUntilLed());
  EXPECT_TRUE(
      world.RunUntil([&] { return world.replica(others[1]).role() != Role::kLearner; }, Duration(3000)));
  EXPECT_EQ(world.broken(), "");
}

TEST(Replica, AReplacementTakesTheSeatOfALostMember) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    WorldOptions options;
    options.seed = seed;
    World world(options);
    ASSERT_TRUE(world.RunUntilLed());
    ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
    const std::string lost_member = world.names()[seed % 3];
    world.Wipe(lost_member);
    const std::string replacement = world.AddMachine();
    world.Start(replacement);
    ASSERT_TRUE(world.RunUntil(
        [&] {
          const std::string leader = world.Leader();
          if (leader.empty()) return false;
          const auto& record = *world.replica(leader).committed();
          return record.next_members.empty() && !Electors(record).contains(lost_member) &&
                 Electors(record).contains(replacement);
        },
        Duration(4000)));
    // Now another member may be lost.
    const std::string second = world.names()[(seed + 1) % 3];
    world.Wipe(second);
    ASSERT_TRUE(world.RunUntilLed());
    EXPECT_EQ(world.replica(world.Leader()).committed()->configuration, "one");
    EXPECT_EQ(Decide(world, 2, 1, "two"), Outcome::kCommitted);
    EXPECT_EQ(world.broken(), "");
  }
}

TEST(Replica, AMemberIsNotRemovedWithoutASuccessor) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  const std::string follower = world.Leader() == world.names()[0] ? world.names()[1] : world.names()[0];
  world.CutOff(follower);
  world.Run(Duration(10000));
  ASSERT_FALSE(world.Leader().empty());
  EXPECT_TRUE(Electors(*world.replica(world.Leader()).committed()).contains(follower));
}

TEST(Replica, AnElectorateOfThreeGrowsToFiveAndSurvivesTheLossOfTwoDisks) {
  WorldOptions options;
  options.members = 5;
  options.max_lost_members = 2;
  World world(options);
  ASSERT_TRUE(world.RunUntil(
      [&] {
        const std::string leader = world.Leader();
        return !leader.empty() && Electors(*world.replica(leader).committed()).size() == 5 &&
               world.replica(leader).committed()->next_members.empty();
      },
      Duration(6000)));
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  const std::string leader = world.Leader();
  int wiped = 0;
  for (const std::string& name : world.names()) {
    if (name != leader && wiped == 1) continue;
    if (wiped < 2) world.Wipe(name), ++wiped;
  }
  ASSERT_TRUE(world.RunUntilLed());
  EXPECT_EQ(world.replica(world.Leader()).committed()->configuration, "one");
  EXPECT_EQ(world.broken(), "");
}

TEST(Replica, AQuorumIsAMajorityAndMoreThanMayBeLost) {
  EXPECT_EQ(QuorumSize(3, 1), 2u);
  EXPECT_EQ(QuorumSize(5, 2), 3u);
  EXPECT_EQ(QuorumSize(3, 2), 3u);
  EXPECT_EQ(QuorumSize(4, 1), 3u);
  EXPECT_EQ(QuorumSize(1, 1), 1u);
}

TEST(Replica, AResigningLeaderIsReplacedAtOnce) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  const std::string leader = world.Leader();
  world.replica(leader).Resign(world.now());
  EXPECT_TRUE(
      world.RunUntil([&] { return !world.Leader().empty() && world.Leader() != leader; }, Duration(600)));
}

TEST(Replica, ExcessProposalsAreRejectedAndNotLost) {
  World world({});
  ASSERT_TRUE(world.RunUntilLed());
  world.HealAll();
  const std::string leader = world.Leader();
  for (std::size_t i = 0; i < Replica::kMaxPendingProposals + 1; ++i)
    world.OrderAt(leader, i + 1, i, std::to_string(i));
  world.OrderAt(leader, 1000, 999, "too many");
  EXPECT_EQ(world.last_outcome(), Outcome::kOverloaded);
  world.Run(Duration(3000));
  EXPECT_EQ(world.newest_acknowledged(), Replica::kMaxPendingProposals + 1);
}

// --- random schedules ---

// One member fails at a time, which is what a deployment guarantees; sometimes all lose power at once.
void RunSchedule(std::uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  options.loss = seed % 4 == 0 ? 0.05 : 0;
  options.straggle = seed % 5 == 0 ? 0.02 : 0;
  options.most_delay = Duration(seed % 3 == 0 ? 40 : 4);
  World world(options);
  ASSERT_TRUE(world.RunUntilLed()) << "seed " << seed;
  std::uint64_t version = 0;
  std::string body;
  for (int round = 0; round < 12; ++round) {
    const std::string victim = world.names()[world.random()() % world.names().size()];
    const std::string target = world.random()() % 2 == 0 && !world.Leader().empty() ? world.Leader() : victim;
    const std::uint64_t kind = world.random()() % 9;
    // A proposal is in flight when the failure happens.
    if (world.random()() % 2 == 0)
      world.Order(version + 1, version, body = "during " + std::to_string(round));
    world.Run(Duration(static_cast<std::int64_t>(world.random()() % 3) * 10));
    if (kind == 0) world.Kill(target);
    if (kind == 1) world.Kill(target, false);
    if (kind == 2) world.Wipe(target);
    if (kind == 3) world.CutOff(target);
    if (kind == 4) world.Cut(target, world.names()[world.random()() % 3]);
    if (kind == 5) world.SetDiskFull(target, true);
    if (kind == 6) world.SetSync(target, Duration(400));
    if (kind == 7) {
      for (const std::string& name : world.names()) world.Kill(name, false);
      if (world.random()() % 2 == 0) world.Wipe(target);
    }
    if (kind == 8) {
      world.Kill(target);
      world.Start(target);
    }
    world.Run(Duration(static_cast<std::int64_t>(world.random()() % 2500)));
    if (!world.Leader().empty() && world.random()() % 2 == 0) {
      world.Order(version + 1, version, "in trouble " + std::to_string(round));
      world.Run(Duration(300));
    }
    world.HealAll();
    for (const std::string& name : world.names()) {
      world.SetDiskFull(name, false);
      world.SetSync(name, Duration(5));
      if (!world.Running(name)) world.Start(name);
    }
    // The system recovers within the time that the deployment allows.
    ASSERT_TRUE(world.RunUntilLed(Duration(6000))) << "seed " << seed << " round " << round;
    world.Run(Duration(1500));
    ASSERT_TRUE(world.RunUntilLed(Duration(6000))) << "seed " << seed << " round " << round;
    version = world.replica(world.Leader()).committed()->version;
    const std::uint64_t next = version + 1 + world.random()() % 3;
    ASSERT_EQ(Decide(world, next, version, "calm " + std::to_string(round)), Outcome::kCommitted)
        << "seed " << seed << " round " << round;
    version = next;
    ASSERT_EQ(world.broken(), "");
  }
}

// A member is cut off, a new machine takes its seat, and the leader fails at some point in between. Then the
// member that was cut off returns with its outdated state.
void RunReplacement(std::uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  World world(options);
  ASSERT_TRUE(world.RunUntilLed()) << "seed " << seed;
  ASSERT_EQ(Decide(world, 1, 0, "one"), Outcome::kCommitted);
  const std::string leader = world.Leader();
  std::string cut_off_member = world.names()[world.random()() % 3];
  world.CutOff(cut_off_member);
  const std::string replacement = world.AddMachine();
  world.Start(replacement);
  world.Cut(cut_off_member, replacement);
  world.Cut(replacement, cut_off_member);
  world.Run(Duration(static_cast<std::int64_t>(1200 + world.random()() % 1500)));
  // The leader fails, so that a step of the membership change may have reached no other member.
  const std::string lost = world.Leader();
  if (!lost.empty()) {
    world.Kill(lost, world.random()() % 2 == 0);
    world.Run(Duration(static_cast<std::int64_t>(world.random()() % 1500)));
    world.HealAll();
    if (world.random()() % 2 == 0) world.CutOff(replacement);
    world.Run(Duration(static_cast<std::int64_t>(world.random()() % 2500)));
    world.Order(2, 1, "between");
    world.Run(Duration(300));
    world.Start(lost);
  }
  world.HealAll();
  ASSERT_TRUE(world.RunUntilLed(Duration(8000))) << "seed " << seed;
  world.Run(Duration(2000));
  ASSERT_TRUE(world.RunUntilLed(Duration(8000))) << "seed " << seed;
  const std::uint64_t version = world.replica(world.Leader()).committed()->version;
  ASSERT_EQ(Decide(world, version + 1, version, "after"), Outcome::kCommitted) << "seed " << seed;
  ASSERT_EQ(world.broken(), "");
}

// Runs the seed or the number of seeds set in the environment, else the seeds 1 to `all`.
template <typename Body>
void RunSeeds(Body body, std::uint64_t all) {
  if (const char* one = std::getenv("KESTRELLINE_SEED")) return body(std::strtoull(one, nullptr, 10));
  const char* many = std::getenv("KESTRELLINE_SEEDS");
  const std::uint64_t seeds = many ? std::strtoull(many, nullptr, 10) : all;
  for (std::uint64_t seed = 1; seed <= seeds && !::testing::Test::HasFailure(); ++seed) body(seed);
}

TEST(Replica, RandomSchedulesLoseNoAcknowledgedChange) {
  RunSeeds(RunSchedule, ::kestrelline::testing::OrFewer<std::uint64_t>(300, 30));
}

TEST(Replica, ReplacementsDuringFailuresLoseNoAcknowledgedChange) {
  RunSeeds(RunReplacement, ::kestrelline::testing::OrFewer<std::uint64_t>(400, 40));
}

}  // namespace
}  // namespace kestrelline::control_plane

// SPDX-License-Identifier: Apache-2.0
//
// When a leaving member may stop: not while a record that it has acknowledged may depend on its copy.
#include <gtest/gtest.h>

#include "control_sim/driven_replica.h"

namespace kestrelline::control_plane {
namespace {

constexpr Duration kShortTime{100};  // far below every timeout of a leaving member

wire::RecordPtr RecordWithoutSelf(wire::Position position) {
  wire::Record record = *RecordAt(position, 1);
  record.members = {kSecond, kThird, "10.0.0.4"};
  return std::make_shared<const wire::Record>(std::move(record));
}

wire::Heartbeat HeartbeatWithCommitted(wire::Position position) {
  wire::Heartbeat beat;
  beat.epoch = position.epoch;
  beat.held = position;
  beat.committed = position;
  beat.leased = true;
  return beat;
}

// A member that waits for a seat: it knows a committed record that does not include it.
DrivenReplica WaitingMember() {
  PersistentState stored;
  stored.ever_written = true;
  stored.promised = 1;
  stored.record = RecordWithoutSelf({1, 5});
  DrivenReplica member(std::move(stored));
  member.Receive(kSecond, HeartbeatWithCommitted({1, 5}));
  return member;
}

TEST(Leave, AMemberWithoutASeatMayStopAtOnce) {
  DrivenReplica member = WaitingMember();
  member.replica().Leave(member.now);
  EXPECT_TRUE(member.replica().CanStop(member.now));
}

// Guards against losing an acknowledged change: the leader may have counted this copy for a commit that the
// member has not heard of yet.
TEST(Leave, AMemberThatAcknowledgedARecordGivingItASeatStays) {
  DrivenReplica member = WaitingMember();
  member.Receive(kSecond, wire::Append{1, RecordAt({1, 6}, 2)});
  const auto* reply = member.Sent<wire::HeartbeatReply>(kSecond);
  ASSERT_NE(reply, nullptr);
  ASSERT_EQ(reply->stored, (wire::Position{1, 6}));
  member.replica().Leave(member.now);
  EXPECT_FALSE(member.replica().CanStop(member.now + kShortTime));
}

// A record without the member releases it only once that record is committed.
TEST(Leave, AMemberStaysUntilARecordWithoutItIsCommitted) {
  PersistentState stored;
  stored.ever_written = true;
  stored.promised = 1;
  stored.record = RecordAt({1, 5}, 1);
  DrivenReplica member(std::move(stored));
  member.Receive(kSecond, HeartbeatWithCommitted({1, 5}));
  member.replica().Leave(member.now);
  member.Receive(kSecond, wire::Append{1, RecordWithoutSelf({1, 6})});
  EXPECT_FALSE(member.replica().CanStop(member.now + kShortTime));
  member.Receive(kSecond, HeartbeatWithCommitted({1, 6}));
  EXPECT_TRUE(member.replica().CanStop(member.now + kShortTime));
}

// A leader of three members whose newest record is committed by its own copy and that of the second member;
// the third is slow to store it.
DrivenReplica LeaderWithSlowThirdMember() {
  PersistentState stored;
  stored.ever_written = true;
  stored.promised = 1;
  stored.record = RecordAt({1, 5}, 1);
  DrivenReplica leader(std::move(stored));
  leader.Elect();
  return leader;
}

// Answers heartbeats without storing anything.
void AnswerHeartbeat(DrivenReplica& leader, const std::string& member) {
  wire::HeartbeatReply reply;
  reply.epoch = leader.replica().epoch();
  reply.promised = reply.epoch;
  reply.sent_ms = static_cast<std::uint64_t>(leader.now.count());
  leader.Receive(member, reply);
}

// Runs past resign_timeout, but not to leave_timeout.
Time RunPastResignTimeout(DrivenReplica& leader) {
  const Time until = leader.now + 2 * ReplicaOptions().resign_timeout;
  while (leader.now < until) {
    leader.now += kShortTime;
    AnswerHeartbeat(leader, kThird);
    leader.Tick();
  }
  return leader.now;
}

TEST(Leave, ALeaderDoesNotWaitForASlowMemberIfAnotherHoldsACopy) {
  DrivenReplica leader = LeaderWithSlowThirdMember();
  leader.now += 4 * ReplicaOptions().hello_interval;  // long enough to have heard of waiting members
  AnswerHeartbeat(leader, kThird);
  leader.Tick();
  ASSERT_TRUE(leader.replica().Leads(leader.now));
  leader.replica().Leave(leader.now);
  EXPECT_TRUE(leader.replica().CanStop(RunPastResignTimeout(leader)));
}

TEST(Leave, ALeaderWithTheOnlyCopyStaysUntilAnotherMemberHasStoredIt) {
  DrivenReplica leader = LeaderWithSlowThirdMember();
  leader.now += 4 * ReplicaOptions().hello_interval;
  AnswerHeartbeat(leader, kThird);
  leader.Tick();
  ASSERT_TRUE(leader.replica().Leads(leader.now));
  constexpr std::uint64_t kNewDisk = 77;
  leader.Receive(kSecond, wire::LearnRequest{kNewDisk, false});  // its disk and its copy are lost
  leader.replica().Leave(leader.now);
  EXPECT_FALSE(leader.replica().CanStop(RunPastResignTimeout(leader)));
  leader.Answer(kThird, leader.replica().epoch());
  EXPECT_TRUE(leader.replica().CanStop(leader.now));
}

}  // namespace
}  // namespace kestrelline::control_plane

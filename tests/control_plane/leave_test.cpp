// SPDX-License-Identifier: Apache-2.0
//
// When a member that is asked to leave may stop: not while a record that it has acknowledged counts on it.
#include <gtest/gtest.h>

#include "control_sim/driven_replica.h"

namespace kestrelline::control_plane {
namespace {

constexpr Duration kSoon{100};  // far less than a leaving member waits for anything

wire::RecordPtr WithoutSelf(wire::Position position) {
  wire::Record record = *RecordAt(position, 1);
  record.members = {kSecond, kThird, "10.0.0.4"};
  return std::make_shared<const wire::Record>(std::move(record));
}

wire::Heartbeat CommittedAt(wire::Position position) {
  wire::Heartbeat beat;
  beat.epoch = position.epoch;
  beat.held = position;
  beat.committed = position;
  beat.leased = true;
  return beat;
}

// A member that waited for a seat: it knows a committed record in which it has none.
DrivenReplica Newcomer() {
  PersistentState stored;
  stored.ever_written = true;
  stored.promised = 1;
  stored.record = WithoutSelf({1, 5});
  DrivenReplica member(std::move(stored));
  member.Receive(kSecond, CommittedAt({1, 5}));
  return member;
}

TEST(Leave, ANewcomerWithoutASeatMayStopAtOnce) {
  DrivenReplica member = Newcomer();
  member.replica().Leave(member.now);
  EXPECT_TRUE(member.replica().CanStop(member.now));
}

// Its copy may be one of those that an acknowledgement to the operator rests on: the leader commits with it
// before it can tell so.
TEST(Leave, ANewcomerThatAcknowledgedARecordWithASeatForItStays) {
  DrivenReplica member = Newcomer();
  member.Receive(kSecond, wire::Append{1, RecordAt({1, 6}, 2)});
  const auto* reply = member.Sent<wire::HeartbeatReply>(kSecond);
  ASSERT_NE(reply, nullptr);
  ASSERT_EQ(reply->stored, (wire::Position{1, 6}));
  member.replica().Leave(member.now);
  EXPECT_FALSE(member.replica().CanStop(member.now + kSoon));
}

// The rule that was there before: a record without it frees a member only once it is committed.
TEST(Leave, AMemberStaysUntilARecordWithoutItIsCommitted) {
  PersistentState stored;
  stored.ever_written = true;
  stored.promised = 1;
  stored.record = RecordAt({1, 5}, 1);
  DrivenReplica member(std::move(stored));
  member.Receive(kSecond, CommittedAt({1, 5}));
  member.replica().Leave(member.now);
  member.Receive(kSecond, wire::Append{1, WithoutSelf({1, 6})});
  EXPECT_FALSE(member.replica().CanStop(member.now + kSoon));
  member.Receive(kSecond, CommittedAt({1, 6}));
  EXPECT_TRUE(member.replica().CanStop(member.now + kSoon));
}

// A leader of three whose newest record is committed by its own copy and the second member's; the third is
// slow to store it.
DrivenReplica LeaderWithASlowThird() {
  PersistentState stored;
  stored.ever_written = true;
  stored.promised = 1;
  stored.record = RecordAt({1, 5}, 1);
  DrivenReplica leader(std::move(stored));
  leader.Elect();
  return leader;
}

// Answers heartbeats, and stores nothing.
void StayInContact(DrivenReplica& leader, const std::string& member) {
  wire::HeartbeatReply reply;
  reply.epoch = leader.replica().epoch();
  reply.promised = reply.epoch;
  reply.sent_ms = static_cast<std::uint64_t>(leader.now.count());
  leader.Receive(member, reply);
}

// Long enough after Leave for anything but the end of the whole patience.
Time RunPastResignPatience(DrivenReplica& leader) {
  const Time until = leader.now + 2 * ReplicaOptions().resign_timeout;
  while (leader.now < until) {
    leader.now += kSoon;
    StayInContact(leader, kThird);
    leader.Tick();
  }
  return leader.now;
}

TEST(Leave, ALeaderDoesNotWaitForASlowMemberIfAnotherHoldsACopy) {
  DrivenReplica leader = LeaderWithASlowThird();
  leader.now += 4 * ReplicaOptions().hello_interval;  // it would have heard of those that wait by now
  StayInContact(leader, kThird);
  leader.Tick();
  ASSERT_TRUE(leader.replica().Leads(leader.now));
  leader.replica().Leave(leader.now);
  EXPECT_TRUE(leader.replica().CanStop(RunPastResignPatience(leader)));
}

TEST(Leave, ALeaderWithTheOnlyCopyStaysUntilAnotherMemberHasStoredIt) {
  DrivenReplica leader = LeaderWithASlowThird();
  leader.now += 4 * ReplicaOptions().hello_interval;
  StayInContact(leader, kThird);
  leader.Tick();
  ASSERT_TRUE(leader.replica().Leads(leader.now));
  constexpr std::uint64_t kNewDisk = 77;
  leader.Receive(kSecond, wire::LearnRequest{kNewDisk, false});  // its disk is gone, and the copy with it
  leader.replica().Leave(leader.now);
  EXPECT_FALSE(leader.replica().CanStop(RunPastResignPatience(leader)));
  leader.Answer(kThird, leader.replica().epoch());
  EXPECT_TRUE(leader.replica().CanStop(leader.now));
}

}  // namespace
}  // namespace kestrelline::control_plane

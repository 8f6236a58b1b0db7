// SPDX-License-Identifier: Apache-2.0
//
// Following a leader, and voting in elections.
#include <algorithm>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::SendHeartbeatReply(Time now, const std::string& to, std::uint64_t epoch,
                                 std::uint64_t sent_ms) {
  wire::HeartbeatReply reply;
  reply.epoch = epoch;
  reply.sent_ms = sent_ms;
  reply.promised = promised_;
  reply.stored = StoredPosition();
  reply.proxies = local_proxies_;
  reply.probe = probes_.Send(now);
  reply.disk = disk_id_;
  reply.writing = pending_position_;
  reply.leaving = leaving_since_.has_value();
  SendTo(to, reply);
}

void Replica::TickFollower(Time now) {
  if (!IsElector()) {
    if (!options_.counts_for_quorum || leaving_since_ || now < next_hello_) return;
    next_hello_ = now + options_.hello_interval;
    for (const std::string& node : known_nodes_) SendTo(node, wire::Hello{true, nonce_});
    return;
  }
  if (leaving_since_ || now < lease_until_ || now < election_at_) return;
  StartPreVote(now);
}

void Replica::Follow(Time now, const std::string& leader, std::uint64_t epoch) {
  if (role_ == Role::kLeader || role_ == Role::kCandidate) StepDown(now);
  epoch_ = epoch;
  promised_ = std::max(promised_, epoch);
  highest_seen_epoch_ = std::max(highest_seen_epoch_, epoch);
  leader_ = leader;
  lease_holder_ = leader;
  lease_until_ = now + options_.lease;
  ScheduleElection(now);
}

// The leader's statement was true when it sent the heartbeat, which was after this member sent the probe that
// the heartbeat echoes. The time of receipt proves nothing, since the message may have been delayed.
void Replica::On(Time now, const std::string& from, const wire::Heartbeat& beat) {
  AddKnownNode(from);
  if (!can_vote_) return;
  if (beat.epoch < promised_) {
    highest_seen_epoch_ = std::max(highest_seen_epoch_, beat.epoch);
    SendHeartbeatReply(now, from, beat.epoch, beat.sent_ms);
    return;
  }
  Follow(now, from, beat.epoch);
  if (beat.resigning) {
    lease_until_ = now;
    ScheduleElection(now);
    return;
  }
  if (leaving_since_) successor_expected_ = beat.successor_waits;
  if (record_ && record_->position == beat.committed) committed_ = record_;
  const auto sent_no_earlier_than =
      Enforced(Safeguard::kDateByProbe) ? probes_.SentAt(beat.echo) : std::optional<Time>(now);
  if (sent_no_earlier_than) {
    const bool newest = beat.leased && committed_ && committed_->position == beat.committed;
    if (newest) confirmed_at_ = std::max(confirmed_at_.value_or(Time(0)), *sent_no_earlier_than);
  }
  total_proxies_ = beat.proxies;
  SendHeartbeatReply(now, from, beat.epoch, beat.sent_ms);
}

void Replica::On(Time now, const std::string& from, const wire::Append& append) {
  AddKnownNode(from);
  if (!can_vote_ || !append.record) return;
  if (append.epoch < promised_ && Enforced(Safeguard::kPromiseBinds)) {
    SendHeartbeatReply(now, from, append.epoch, 0);
    return;
  }
  Follow(now, from, append.epoch);
  for (const std::string& elector : Electors(*append.record)) AddKnownNode(elector);
  if (append.record->position <= StoredPosition()) {
    SendHeartbeatReply(now, from, append.epoch, 0);
    return;
  }
  if (append.record->position <= pending_position_ || pending_writes_.size() >= kMaxPendingWrites) return;
  PendingWrite write;
  write.completion = PendingWrite::Completion::kAcknowledgeRecord;
  write.record = append.record;
  write.to = from;
  write.epoch = append.epoch;
  Write(std::move(write));
}

bool Replica::CanGrantVote(Time now, const std::string& candidate, std::uint64_t epoch) const {
  if (!can_vote_ || epoch <= promised_) return false;
  if (role_ == Role::kLeader && Leads(now)) return false;
  return now >= lease_until_ || lease_holder_ == candidate;
}

void Replica::On(Time now, const std::string& from, const wire::VoteRequest& request) {
  AddKnownNode(from);
  if (!request.pre_vote) highest_seen_epoch_ = std::max(highest_seen_epoch_, request.epoch);
  const bool grantable = CanGrantVote(now, from, request.epoch);
  const bool restarted_lately = now < restart_quiet_until_;
  if (grantable && !request.pre_vote && (!restarted_lately || request.nobody_leads))
    return GrantVote(now, from, request);
  wire::VoteReply reply;
  reply.epoch = request.epoch;
  reply.pre_vote = request.pre_vote;
  reply.granted = grantable && request.pre_vote;
  reply.promised = promised_;
  reply.restarted_lately = restarted_lately;
  reply.leading = role_ == Role::kLeader && Leads(now);
  SendTo(from, std::move(reply));
}

void Replica::GrantVote(Time now, const std::string& to, const wire::VoteRequest& request) {
  if (role_ == Role::kLeader || role_ == Role::kCandidate) StepDown(now);
  promised_ = request.epoch;
  epoch_ = request.epoch;
  // Give the candidate one round before standing for election. A vote grants no lease.
  election_at_ = now + options_.vote_timeout;
  PendingWrite write;
  write.completion = PendingWrite::Completion::kSendVote;
  write.to = to;
  write.epoch = request.epoch;
  write.candidate_position = request.held;
  Write(std::move(write));
}

}  // namespace kestrelline::control_plane

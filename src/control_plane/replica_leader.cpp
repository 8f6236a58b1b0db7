// SPDX-License-Identifier: Apache-2.0
//
// Leading: copies, commits, the operator's orders.
#include <algorithm>
#include <utility>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::BecomeLeader(Time now) {
  wire::Record initial = *candidate_state_.newest_record;
  candidate_state_ = {};
  role_ = Role::kLeader;
  leader_ = options_.self;
  leader_state_ = {};
  leader_state_.leading_since = now;
  leader_state_.last_quorum_contact = now;
  leader_state_.next_heartbeat_at = now;
  Replicate(now, std::move(initial));
  SendHeartbeats(now, false);
}

void Replica::Replicate(Time now, wire::Record record) {
  const std::uint64_t before =
      leader_state_.proposed ? leader_state_.proposed->position.sequence : record.position.sequence;
  record.position = {epoch_, before + 1};
  leader_state_.proposed = std::make_shared<const wire::Record>(std::move(record));
  for (const std::string& elector : Electors(*leader_state_.proposed)) AddKnownNode(elector);
  PendingWrite write;
  write.completion = PendingWrite::Completion::kTryCommit;
  write.record = leader_state_.proposed;
  Write(std::move(write));
  for (const std::string& node : ReplicationTargets(now)) {
    Peer& peer = leader_state_.peers[node];
    // One that is still taking an older record gets the newest next: a slow link never fills with old ones.
    const bool behind = peer.append_sent_at && peer.append_position > peer.stored_position;
    if (!behind || !Enforced(Safeguard::kOneRecordUnderWay)) SendRecord(now, node, peer);
  }
}

NodeSet Replica::ReplicationTargets(Time now) const {
  NodeSet targets = Electors(*leader_state_.proposed);
  for (const auto& [node, peer] : leader_state_.peers) {
    const bool waits = peer.last_hello_at && now - *peer.last_hello_at < options_.failure_timeout;
    const bool leaves =
        peer.leaving && peer.last_reply_at && now - *peer.last_reply_at < options_.failure_timeout;
    if (waits || leaves) targets.insert(node);
  }
  targets.erase(options_.self);
  return targets;
}

void Replica::SendRecord(Time now, const std::string& to, Peer& peer) {
  peer.append_sent_at = now;
  peer.append_position = leader_state_.proposed->position;
  SendTo(to, wire::Append{epoch_, leader_state_.proposed});
}

void Replica::SendHeartbeats(Time now, bool resigning) {
  leader_state_.last_heartbeat_at = now;
  leader_state_.next_heartbeat_at = now + options_.heartbeat;
  wire::Heartbeat beat;
  beat.epoch = epoch_;
  beat.sent_ms = static_cast<std::uint64_t>(now.count());
  beat.held = leader_state_.proposed->position;
  beat.leased = Leads(now);
  if (beat.leased) beat.committed = committed_->position;
  beat.proxies = total_proxies_;
  beat.resigning = resigning;
  beat.successor_waits = ExpectsSuccessor(now);
  for (const std::string& node : ReplicationTargets(now)) {
    beat.echo = leader_state_.peers[node].latest_probe;
    SendTo(node, beat);
  }
}

bool Replica::HasQuorumContactSince(Time since) const {
  NodeSet in_contact = {options_.self};
  for (const auto& [node, peer] : leader_state_.peers) {
    if (peer.last_acked_heartbeat && *peer.last_acked_heartbeat > since) in_contact.insert(node);
  }
  return IsQuorum(*leader_state_.proposed, in_contact, options_.max_lost_members);
}

bool Replica::Leads(Time now) const {
  if (role_ != Role::kLeader || !committed_ || stopping_) return false;
  if (committed_->position.epoch != epoch_) return false;
  if (!Enforced(Safeguard::kLeaseBeforeServing)) return true;
  return HasQuorumContactSince(now - options_.lease + options_.lease_margin);
}

void Replica::On(Time now, const std::string& from, const wire::HeartbeatReply& reply) {
  highest_seen_epoch_ = std::max(highest_seen_epoch_, reply.promised);
  if (role_ != Role::kLeader) return;
  if (reply.promised > epoch_) {
    // A member promised a later epoch; it can't take this leader's records. An epoch above that one heals it.
    if (leaving_since_) return StepDown(now);
    FailProposals();
    leader_.clear();
    return StartPreVote(now);
  }
  if (reply.epoch != epoch_) return;
  if (!leader_state_.peers.contains(from) && leader_state_.peers.size() >= kMaxKnownNodes) return;
  Peer& peer = leader_state_.peers[from];
  const Time answered(static_cast<std::int64_t>(reply.sent_ms));
  // A reply that was on its way as its disk was lost speaks of a copy that is no more.
  if (peer.disk_id && answered > peer.disk_id_since) peer.disk_id = reply.disk;
  const bool of_lost_disk = peer.disk_id && *peer.disk_id != reply.disk;
  if (of_lost_disk && Enforced(Safeguard::kDiskIdentity)) return;
  peer.last_reply_at = now;
  peer.proxies = reply.proxies;
  peer.latest_probe = reply.probe;
  peer.leaving = reply.leaving;
  if (reply.sent_ms > 0)
    peer.last_acked_heartbeat = std::max(peer.last_acked_heartbeat.value_or(answered), answered);
  peer.stored_position = std::max(peer.stored_position, reply.stored);
  if (peer.stored_position >= leader_state_.proposed->position) {
    TryCommit(now);
  } else {
    CatchUpPeer(now, from, peer, reply);
  }
  StartNextChange(now);
}

// The newest record, unless one is on its way there. What answers a heartbeat that was sent after a record
// came after it on the same connection: if the record is not even being written, it was lost.
void Replica::CatchUpPeer(Time now, const std::string& to, Peer& peer, const wire::HeartbeatReply& reply) {
  const bool under_way = peer.append_sent_at && peer.append_position > peer.stored_position;
  if (under_way) {
    const bool being_written = reply.writing >= peer.append_position;
    const bool passed_by = Time(static_cast<std::int64_t>(reply.sent_ms)) > *peer.append_sent_at;
    const bool lost = passed_by && !being_written && now - *peer.append_sent_at >= options_.resend_interval;
    if (!lost) return;
  }
  SendRecord(now, to, peer);
}

void Replica::TryCommit(Time now) {
  if (role_ != Role::kLeader || (committed_ && committed_->position == leader_state_.proposed->position))
    return;
  NodeSet holders;
  if (StoredPosition() >= leader_state_.proposed->position) holders.insert(options_.self);
  for (const auto& [node, peer] : leader_state_.peers) {
    if (peer.stored_position >= leader_state_.proposed->position) holders.insert(node);
  }
  const bool enough = IsQuorum(*leader_state_.proposed, holders, options_.max_lost_members);
  if (!enough && Enforced(Safeguard::kQuorumOfCopies)) return;
  committed_ = leader_state_.proposed;
  if (leader_state_.proposal_in_flight) {
    Emit(ProposalResult{*std::exchange(leader_state_.proposal_in_flight, std::nullopt), Outcome::kCommitted});
  }
  SendHeartbeats(now, false);
  StartNextChange(now);
}

void Replica::TickLeader(Time now) {
  total_proxies_ = local_proxies_;
  for (const auto& [node, peer] : leader_state_.peers) {
    if (peer.last_reply_at && now - *peer.last_reply_at < options_.failure_timeout)
      total_proxies_ += peer.proxies;
  }
  if (HasQuorumContactSince(now - options_.lease)) leader_state_.last_quorum_contact = now;
  if (now - leader_state_.last_quorum_contact >= options_.lease)
    return StepDown(now);  // others may lead by now
  if (now >= leader_state_.next_heartbeat_at) SendHeartbeats(now, false);
  StartNextChange(now);
}

// Begins the next change of the record, where the last one is committed.
void Replica::StartNextChange(Time now) {
  while (role_ == Role::kLeader && committed_ && committed_->position == leader_state_.proposed->position) {
    if (ChangeMembership(now) || leader_state_.proposals.empty() || !ProcessFrontProposal(now)) return;
  }
}

// False if the front order has to wait, for its copies or for contact.
bool Replica::ProcessFrontProposal(Time now) {
  Proposal& front = leader_state_.proposals.front();
  const auto outcome = EvaluateChange(*leader_state_.proposed, front.change);
  if (!outcome) {
    leader_state_.proposal_in_flight = front.id;
    wire::Record next = ApplyChange(*leader_state_.proposed, std::move(front.change));
    leader_state_.proposals.pop_front();
    Replicate(now, std::move(next));
    return true;
  }
  // What was taken stays taken. Any other verdict goes by the newest state: a quorum has to confirm, after
  // the order came, that there is no later epoch.
  const bool refused = *outcome == Outcome::kConflict || *outcome == Outcome::kOldVersion;
  const bool proven = HasQuorumContactSince(front.received_at) || !Enforced(Safeguard::kContactBeforeRefusal);
  if (refused && !proven) {
    if (leader_state_.last_heartbeat_at <= front.received_at && now > front.received_at)
      SendHeartbeats(now, false);
    return false;
  }
  Emit(ProposalResult{front.id, *outcome});
  leader_state_.proposals.pop_front();
  return true;
}

std::uint64_t Replica::Propose(Time now, Change change) {
  const std::uint64_t id = next_proposal_id_++;
  if (!Leads(now)) {
    Emit(ProposalResult{id, Outcome::kNotLeader});
  } else if (leader_state_.proposals.size() >= kMaxPendingProposals) {
    Emit(ProposalResult{id, Outcome::kOverloaded});
  } else {
    leader_state_.proposals.push_back({id, std::move(change), now});
    StartNextChange(now);
  }
  return id;
}

void Replica::FailProposals() {
  if (leader_state_.proposal_in_flight) {
    Emit(ProposalResult{*std::exchange(leader_state_.proposal_in_flight, std::nullopt), Outcome::kNotLeader});
  }
  for (const Proposal& proposal : leader_state_.proposals)
    Emit(ProposalResult{proposal.id, Outcome::kNotLeader});
  leader_state_.proposals.clear();
}

}  // namespace kestrelline::control_plane

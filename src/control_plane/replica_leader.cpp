// SPDX-License-Identifier: Apache-2.0
//
// Leading: replication, commits, and the proposals of the operator.
#include <algorithm>
#include <utility>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::BecomeLeader(Time now) {
  wire::Record record = *candidate_state_.newest_record;
  candidate_state_ = {};
  role_ = Role::kLeader;
  leader_ = options_.self;
  leader_state_ = {};
  leader_state_.leading_since = now;
  leader_state_.last_quorum_contact = now;
  leader_state_.next_heartbeat_at = now;
  Replicate(now, std::move(record));
  SendHeartbeats(now, false);
}

void Replica::Replicate(Time now, wire::Record record) {
  const std::uint64_t last_sequence =
      leader_state_.proposed ? leader_state_.proposed->position.sequence : record.position.sequence;
  record.position = {epoch_, last_sequence + 1};
  leader_state_.proposed = std::make_shared<const wire::Record>(std::move(record));
  for (const std::string& elector : Electors(*leader_state_.proposed)) AddKnownNode(elector);
  PendingWrite write;
  write.completion = PendingWrite::Completion::kTryCommit;
  write.record = leader_state_.proposed;
  Write(std::move(write));
  for (const std::string& node : ReplicationTargets(now)) {
    Peer& peer = leader_state_.peers[node];
    // A peer that is still receiving an older record gets the newest one afterwards, so that a slow link does
    // not fill up with outdated records.
    const bool behind = peer.append_sent_at && peer.append_position > peer.stored_position;
    if (!behind || !Enforced(Safeguard::kOneRecordUnderWay)) SendRecord(now, node, peer);
  }
}

Replica::Peer* Replica::FindOrAddPeer(Time now, const std::string& node) {
  auto& peers = leader_state_.peers;
  if (!peers.contains(node) && peers.size() >= kMaxKnownNodes) {
    const NodeSet electors = Electors(*leader_state_.proposed);
    const auto forgotten = std::find_if(peers.begin(), peers.end(), [&](const auto& entry) {
      const Peer& peer = entry.second;
      const Time never = leader_state_.leading_since;
      const Time heard_at = std::max(
          {peer.last_reply_at.value_or(never), peer.last_hello_at.value_or(never), peer.disk_id_since});
      return !electors.contains(entry.first) && now - heard_at >= options_.forget_timeout;
    });
    if (forgotten == peers.end()) return nullptr;
    peers.erase(forgotten);
  }
  return &peers[node];
}

NodeSet Replica::ReplicationTargets(Time now) const {
  NodeSet targets = Electors(*leader_state_.proposed);
  for (const auto& [node, peer] : leader_state_.peers) {
    const bool waiting = peer.last_hello_at && now - *peer.last_hello_at < options_.failure_timeout;
    const bool leaving =
        peer.leaving && peer.last_reply_at && now - *peer.last_reply_at < options_.failure_timeout;
    if (waiting || leaving) targets.insert(node);
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
    // A member promised a later epoch and cannot store this leader's records. A new election, for an epoch
    // above that promise, resolves this.
    if (leaving_since_) return StepDown(now);
    FailProposals();
    leader_.clear();
    return StartPreVote(now);
  }
  if (reply.epoch != epoch_) return;
  Peer* const entry = FindOrAddPeer(now, from);
  if (entry == nullptr) return;
  Peer& peer = *entry;
  const Time heartbeat_sent(static_cast<std::int64_t>(reply.sent_ms));
  // A reply that was in transit when the member lost its disk reports a copy that no longer exists.
  if (peer.disk_id && heartbeat_sent > peer.disk_id_since) peer.disk_id = reply.disk;
  const bool from_lost_disk = peer.disk_id && *peer.disk_id != reply.disk;
  if (from_lost_disk && Enforced(Safeguard::kDiskIdentity)) return;
  peer.last_reply_at = now;
  peer.proxies = reply.proxies;
  peer.latest_probe = reply.probe;
  peer.leaving = reply.leaving;
  if (reply.sent_ms > 0)
    peer.last_acked_heartbeat = std::max(peer.last_acked_heartbeat.value_or(heartbeat_sent), heartbeat_sent);
  peer.stored_position = std::max(peer.stored_position, reply.stored);
  if (peer.stored_position >= leader_state_.proposed->position) {
    TryCommit(now);
  } else {
    CatchUpPeer(now, from, peer, reply);
  }
  StartNextChange(now);
}

// Sends the newest record unless one is in transit to the peer. A heartbeat that was sent after a record
// arrives after it on the same connection. So if the peer answers that heartbeat and is not writing the
// record, the record was lost.
void Replica::CatchUpPeer(Time now, const std::string& to, Peer& peer, const wire::HeartbeatReply& reply) {
  const bool in_transit = peer.append_sent_at && peer.append_position > peer.stored_position;
  if (in_transit) {
    const bool being_written = reply.writing >= peer.append_position;
    const bool overtaken = Time(static_cast<std::int64_t>(reply.sent_ms)) > *peer.append_sent_at;
    const bool lost = overtaken && !being_written && now - *peer.append_sent_at >= options_.resend_interval;
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
    return StepDown(now);  // another member may lead by now
  if (now >= leader_state_.next_heartbeat_at) SendHeartbeats(now, false);
  StartNextChange(now);
}

void Replica::StartNextChange(Time now) {
  while (role_ == Role::kLeader && committed_ && committed_->position == leader_state_.proposed->position) {
    if (ChangeMembership(now) || leader_state_.proposals.empty() || !ProcessFrontProposal(now)) return;
  }
}

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
  // An earlier commit is final. A rejection depends on the newest state: a quorum has to confirm, after the
  // proposal arrived, that there is no later epoch.
  const bool rejected = *outcome == Outcome::kConflict || *outcome == Outcome::kOldVersion;
  const bool confirmed =
      HasQuorumContactSince(front.received_at) || !Enforced(Safeguard::kContactBeforeRefusal);
  if (rejected && !confirmed) {
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

// SPDX-License-Identifier: Apache-2.0
//
// Leading: copies, commits, the operator's orders.
#include <algorithm>
#include <utility>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::Lead(Time now) {
  wire::Record first = *candidate_.best;
  candidate_ = {};
  role_ = Role::kLeader;
  leader_ = options_.self;
  lead_ = {};
  lead_.since = now;
  lead_.last_contact = now;
  lead_.next_heartbeat = now;
  Replicate(now, std::move(first));
  SendHeartbeats(now, false);
}

void Replica::Replicate(Time now, wire::Record record) {
  const std::uint64_t before = lead_.current ? lead_.current->position.sequence : record.position.sequence;
  record.position = {epoch_, before + 1};
  lead_.current = std::make_shared<const wire::Record>(std::move(record));
  for (const std::string& elector : Electors(*lead_.current)) Know(elector);
  Writing writing;
  writing.then = Writing::Then::kOwnCopy;
  writing.record = lead_.current;
  Write(std::move(writing));
  for (const std::string& node : Audience(now)) {
    Peer& peer = lead_.peers[node];
    // One that is still taking an older record gets the newest next: a slow link never fills with old ones.
    const bool behind = peer.append_sent && peer.append_position > peer.stored;
    if (!behind || !Enforced(Safeguard::kOneRecordUnderWay)) SendRecord(now, node, peer);
  }
}

NodeSet Replica::Audience(Time now) const {
  NodeSet audience = Electors(*lead_.current);
  for (const auto& [node, peer] : lead_.peers) {
    const bool waits = peer.last_hello && now - *peer.last_hello < options_.lost_after;
    const bool leaves = peer.leaving && peer.last_reply && now - *peer.last_reply < options_.lost_after;
    if (waits || leaves) audience.insert(node);
  }
  audience.erase(options_.self);
  return audience;
}

void Replica::SendRecord(Time now, const std::string& to, Peer& peer) {
  peer.append_sent = now;
  peer.append_position = lead_.current->position;
  SendTo(to, wire::Append{epoch_, lead_.current});
}

void Replica::SendHeartbeats(Time now, bool resigning) {
  lead_.last_heartbeat = now;
  lead_.next_heartbeat = now + options_.heartbeat;
  wire::Heartbeat beat;
  beat.epoch = epoch_;
  beat.sent_ms = static_cast<std::uint64_t>(now.count());
  beat.held = lead_.current->position;
  beat.leased = Leads(now);
  if (beat.leased) beat.committed = committed_->position;
  beat.proxies = proxies_everywhere_;
  beat.resigning = resigning;
  beat.successor_waits = SuccessorInSight(now);
  for (const std::string& node : Audience(now)) {
    beat.echo = lead_.peers[node].probe;
    SendTo(node, beat);
  }
}

bool Replica::HasContactSince(Time since) const {
  NodeSet in_contact = {options_.self};
  for (const auto& [node, peer] : lead_.peers) {
    if (peer.acked && *peer.acked > since) in_contact.insert(node);
  }
  return IsQuorum(*lead_.current, in_contact, options_.max_lost_members);
}

bool Replica::Leads(Time now) const {
  if (role_ != Role::kLeader || !committed_ || stopping_) return false;
  if (committed_->position.epoch != epoch_) return false;
  if (!Enforced(Safeguard::kLeaseBeforeServing)) return true;
  return HasContactSince(now - options_.lease + options_.lease_margin);
}

void Replica::On(Time now, const std::string& from, const wire::HeartbeatReply& reply) {
  highest_seen_ = std::max(highest_seen_, reply.promised);
  if (role_ != Role::kLeader) return;
  if (reply.promised > epoch_) {
    // A member promised a later epoch; it can't take this leader's records. An epoch above that one heals it.
    if (leaving_since_) return StepDown(now);
    FailOrders();
    leader_.clear();
    return BeginPreVote(now);
  }
  if (reply.epoch != epoch_) return;
  if (!lead_.peers.contains(from) && lead_.peers.size() >= kMostKnownNodes) return;
  Peer& peer = lead_.peers[from];
  const Time answered(static_cast<std::int64_t>(reply.sent_ms));
  // A reply that was on its way as its disk was lost speaks of a copy that is no more.
  if (peer.disk && answered > peer.disk_since) peer.disk = reply.disk;
  const bool of_lost_disk = peer.disk && *peer.disk != reply.disk;
  if (of_lost_disk && Enforced(Safeguard::kDiskIdentity)) return;
  peer.last_reply = now;
  peer.proxies = reply.proxies;
  peer.probe = reply.probe;
  peer.leaving = reply.leaving;
  if (reply.sent_ms > 0) peer.acked = std::max(peer.acked.value_or(answered), answered);
  peer.stored = std::max(peer.stored, reply.stored);
  if (peer.stored >= lead_.current->position) {
    TryCommit(now);
  } else {
    BringUpToDate(now, from, peer, reply);
  }
  NextWork(now);
}

// The newest record, unless one is on its way there. What answers a heartbeat that was sent after a record
// came after it on the same connection: if the record is not even being written, it was lost.
void Replica::BringUpToDate(Time now, const std::string& to, Peer& peer, const wire::HeartbeatReply& reply) {
  const bool under_way = peer.append_sent && peer.append_position > peer.stored;
  if (under_way) {
    const bool being_written = reply.writing >= peer.append_position;
    const bool passed_by = Time(static_cast<std::int64_t>(reply.sent_ms)) > *peer.append_sent;
    const bool lost = passed_by && !being_written && now - *peer.append_sent >= options_.resend;
    if (!lost) return;
  }
  SendRecord(now, to, peer);
}

void Replica::TryCommit(Time now) {
  if (role_ != Role::kLeader || (committed_ && committed_->position == lead_.current->position)) return;
  NodeSet holders;
  if (StoredPosition() >= lead_.current->position) holders.insert(options_.self);
  for (const auto& [node, peer] : lead_.peers) {
    if (peer.stored >= lead_.current->position) holders.insert(node);
  }
  const bool enough = IsQuorum(*lead_.current, holders, options_.max_lost_members);
  if (!enough && Enforced(Safeguard::kQuorumOfCopies)) return;
  committed_ = lead_.current;
  if (lead_.order_in_flight) {
    Emit(ProposalResult{*std::exchange(lead_.order_in_flight, std::nullopt), Outcome::kCommitted});
  }
  SendHeartbeats(now, false);
  NextWork(now);
}

void Replica::TickLeader(Time now) {
  proxies_everywhere_ = proxies_here_;
  for (const auto& [node, peer] : lead_.peers) {
    if (peer.last_reply && now - *peer.last_reply < options_.lost_after) proxies_everywhere_ += peer.proxies;
  }
  if (HasContactSince(now - options_.lease)) lead_.last_contact = now;
  if (now - lead_.last_contact >= options_.lease) return StepDown(now);  // others may lead by now
  if (now >= lead_.next_heartbeat) SendHeartbeats(now, false);
  NextWork(now);
}

// Begins the next change of the record, where the last one is committed.
void Replica::NextWork(Time now) {
  while (role_ == Role::kLeader && committed_ && committed_->position == lead_.current->position) {
    if (ChangeMembership(now) || lead_.orders.empty() || !DecideFront(now)) return;
  }
}

// False if the front order has to wait, for its copies or for contact.
bool Replica::DecideFront(Time now) {
  Order& front = lead_.orders.front();
  const auto outcome = EvaluateChange(*lead_.current, front.change);
  if (!outcome) {
    lead_.order_in_flight = front.number;
    wire::Record next = Apply(*lead_.current, std::move(front.change));
    lead_.orders.pop_front();
    Replicate(now, std::move(next));
    return true;
  }
  // What was taken stays taken. Any other verdict goes by the newest state: a quorum has to confirm, after
  // the order came, that there is no later epoch.
  const bool refused = *outcome == Outcome::kConflict || *outcome == Outcome::kOldVersion;
  const bool proven = HasContactSince(front.arrived) || !Enforced(Safeguard::kContactBeforeRefusal);
  if (refused && !proven) {
    if (lead_.last_heartbeat <= front.arrived && now > front.arrived) SendHeartbeats(now, false);
    return false;
  }
  Emit(ProposalResult{front.number, *outcome});
  lead_.orders.pop_front();
  return true;
}

std::uint64_t Replica::Propose(Time now, Change change) {
  const std::uint64_t number = next_order_++;
  if (!Leads(now)) {
    Emit(ProposalResult{number, Outcome::kNotLeader});
  } else if (lead_.orders.size() >= kMaxPendingProposals) {
    Emit(ProposalResult{number, Outcome::kOverloaded});
  } else {
    lead_.orders.push_back({number, std::move(change), now});
    NextWork(now);
  }
  return number;
}

void Replica::FailOrders() {
  if (lead_.order_in_flight) {
    Emit(ProposalResult{*std::exchange(lead_.order_in_flight, std::nullopt), Outcome::kNotLeader});
  }
  for (const Order& order : lead_.orders) Emit(ProposalResult{order.number, Outcome::kNotLeader});
  lead_.orders.clear();
}

}  // namespace kestrelline::control_plane

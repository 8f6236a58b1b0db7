// SPDX-License-Identifier: Apache-2.0
//
// What the roles of a member share: message dispatch, disk writes, known nodes and election timing.
#include "control_plane/replica.h"

#include <algorithm>
#include <utility>

#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

const char* NameOf(Role role) {
  switch (role) {
    case Role::kLearner:
      return "learner";
    case Role::kFollower:
      return "follower";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "unknown";
}

Replica::Replica(ReplicaOptions options, PersistentState stored, Time now)
    : options_(std::move(options)),
      random_(options_.random_seed),
      promised_(stored.promised),
      disk_id_(stored.disk),
      record_(std::move(stored.record)),
      nonce_(random_()),
      probes_(random_()) {
  for (const std::string& seed : options_.seeds) AddKnownNode(seed);
  highest_seen_epoch_ = promised_;
  if (record_) {
    role_ = Role::kFollower;
    can_vote_ = true;
    pending_position_ = record_->position;
    for (const std::string& elector : Electors(*record_)) AddKnownNode(elector);
    if (Enforced(Safeguard::kQuietAfterRestart)) restart_quiet_until_ = now + options_.lease;
    ScheduleElection(now);
    return;
  }
  const bool founder =
      std::find(options_.seeds.begin(), options_.seeds.end(), options_.self) != options_.seeds.end();
  // A disk that once held state may have held a promise, so its owner must learn instead of founding.
  const bool pristine = !stored.ever_written || !Enforced(Safeguard::kFoundOnPristineDisk);
  if (!options_.bootstrap || !founder || !pristine) return;
  wire::Record initial;
  initial.position = {0, 1};
  initial.members = options_.seeds;
  std::sort(initial.members.begin(), initial.members.end());
  learner_state_.initial_record = std::make_shared<const wire::Record>(std::move(initial));
}

void Replica::AddKnownNode(const std::string& node) {
  if (node == options_.self || known_nodes_.contains(node)) return;
  if (known_nodes_.size() >= kMaxKnownNodes) {
    const NodeSet electors = record_ ? Electors(*record_) : NodeSet();
    const auto replaced = std::find_if(known_nodes_.begin(), known_nodes_.end(),
                                       [&](const auto& known) { return !electors.contains(known); });
    if (replaced == known_nodes_.end()) return;
    known_nodes_.erase(replaced);
  }
  known_nodes_.insert(node);
}

void Replica::AddKnownNodes(const std::vector<std::string>& members) {
  for (const std::string& member : members) AddKnownNode(member);
}

std::vector<std::string> Replica::KnownNodes() const {
  NodeSet nodes;
  if (committed_) {
    nodes = Electors(*committed_);
  } else {
    nodes = known_nodes_;
    nodes.insert(options_.self);
  }
  return {nodes.begin(), nodes.end()};
}

std::vector<Effect> Replica::TakeEffects() { return std::exchange(effects_, {}); }

void Replica::Write(PendingWrite write) {
  const std::uint64_t ticket = next_ticket_++;
  if (write.record) pending_position_ = std::max(pending_position_, write.record->position);
  Emit(Persist{ticket, promised_, disk_id_, write.record});
  pending_writes_.emplace(ticket, std::move(write));
}

void Replica::Persisted(Time now, std::uint64_t ticket, bool written) {
  const auto found = pending_writes_.find(ticket);
  if (found == pending_writes_.end()) return;
  const PendingWrite write = std::move(found->second);
  pending_writes_.erase(found);
  if (!written) {
    // Allow the record to be sent and written again.
    pending_position_ = StoredPosition();
    if (write.completion == PendingWrite::Completion::kRequestVotes && role_ == Role::kCandidate)
      StepDown(now);
    return;
  }
  if (write.record && (!record_ || write.record->position > record_->position)) record_ = write.record;
  switch (write.completion) {
    case PendingWrite::Completion::kSendVote: {
      wire::VoteReply reply;
      reply.epoch = write.epoch;
      reply.granted = promised_ == write.epoch;
      reply.promised = promised_;
      if (StoredPosition() > write.candidate_position) reply.record = record_;
      SendTo(write.to, std::move(reply));
      break;
    }
    case PendingWrite::Completion::kAcknowledgeRecord:
      SendHeartbeatReply(now, write.to, write.epoch, 0);
      break;
    case PendingWrite::Completion::kRequestVotes:
      if (role_ != Role::kCandidate || candidate_state_.pre_vote || epoch_ != write.epoch) break;
      candidate_state_.own_promise_stored = true;
      candidate_state_.votes.insert(options_.self);
      RequestVotes();
      CountVotes(now);
      break;
    case PendingWrite::Completion::kTryCommit:
      TryCommit(now);
      break;
    case PendingWrite::Completion::kReplyToLearner:
      ReplyToLearner(write.to, write.epoch);
      break;
    case PendingWrite::Completion::kFinishLearning:
    case PendingWrite::Completion::kFinishFounding:
      role_ = Role::kFollower;
      can_vote_ = true;
      learner_state_ = {};
      for (const std::string& elector : Electors(*record_)) AddKnownNode(elector);
      if (write.completion == PendingWrite::Completion::kFinishLearning)
        restart_quiet_until_ = now + options_.lease;
      ScheduleElection(now);
      break;
  }
}

void Replica::Tick(Time now) {
  switch (role_) {
    case Role::kLearner:
      return TickLearner(now);
    case Role::kFollower:
      return TickFollower(now);
    case Role::kCandidate:
      return TickCandidate(now);
    case Role::kLeader:
      return TickLeader(now);
  }
}

void Replica::Receive(Time now, const std::string& from, const wire::Body& body) {
  if (from == options_.self) return;
  std::visit([&](const auto& message) { On(now, from, message); }, body);
}

std::optional<Time> Replica::committed_confirmed_at(Time now) const {
  if (Leads(now)) return now;
  return confirmed_at_;
}

std::uint64_t Replica::LatestProbeFrom(const std::string& member) const {
  const auto peer = leader_state_.peers.find(member);
  return role_ == Role::kLeader && peer != leader_state_.peers.end() ? peer->second.latest_probe : 0;
}

void Replica::ScheduleElection(Time now) {
  const auto jitter = static_cast<std::uint64_t>(options_.election_jitter.count());
  const Duration wait(static_cast<std::int64_t>(jitter == 0 ? 0 : random_() % jitter));
  election_at_ = std::max(now, lease_until_) + wait;
}

}  // namespace kestrelline::control_plane

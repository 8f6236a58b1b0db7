// SPDX-License-Identifier: Apache-2.0
//
// What all roles of a member share: messages, the disk, what others are told.
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
      disk_(stored.disk),
      record_(std::move(stored.record)),
      nonce_(random_()),
      probes_(random_()) {
  for (const std::string& seed : options_.seeds) Know(seed);
  highest_seen_ = promised_;
  if (record_) {
    role_ = Role::kFollower;
    voter_ = true;
    pending_position_ = record_->position;
    for (const std::string& elector : Electors(*record_)) Know(elector);
    if (Enforced(Safeguard::kQuietAfterRestart)) quiet_until_ = now + options_.lease;
    RollElection(now);
    return;
  }
  const bool founder =
      std::find(options_.seeds.begin(), options_.seeds.end(), options_.self) != options_.seeds.end();
  // A disk that held something once may have held a promise.
  const bool pristine = !stored.ever_written || !Enforced(Safeguard::kFoundOnPristineDisk);
  if (!options_.bootstrap || !founder || !pristine) return;
  wire::Record first;
  first.position = {0, 1};
  first.members = options_.seeds;
  std::sort(first.members.begin(), first.members.end());
  learner_.founding = std::make_shared<const wire::Record>(std::move(first));
}

void Replica::Know(const std::string& node) {
  if (node == options_.self || known_.size() >= kMostKnownNodes) return;
  known_.insert(node);
}

void Replica::Introduce(const std::vector<std::string>& members) {
  for (const std::string& member : members) Know(member);
}

std::vector<std::string> Replica::KnownNodes() const {
  NodeSet nodes;
  if (committed_) {
    nodes = Electors(*committed_);
  } else {
    nodes = known_;
    nodes.insert(options_.self);
  }
  return {nodes.begin(), nodes.end()};
}

std::vector<Effect> Replica::TakeEffects() { return std::exchange(effects_, {}); }

void Replica::Write(Writing writing) {
  const std::uint64_t ticket = next_ticket_++;
  if (writing.record) pending_position_ = std::max(pending_position_, writing.record->position);
  Emit(Persist{ticket, promised_, disk_, writing.record});
  writings_.emplace(ticket, std::move(writing));
}

void Replica::Persisted(Time now, std::uint64_t ticket, bool written) {
  const auto found = writings_.find(ticket);
  if (found == writings_.end()) return;
  const Writing writing = std::move(found->second);
  writings_.erase(found);
  if (!written) {
    // What was meant to be stored may be sent again.
    pending_position_ = StoredPosition();
    if (writing.then == Writing::Then::kStand && role_ == Role::kCandidate) StepDown(now);
    return;
  }
  if (writing.record && (!record_ || writing.record->position > record_->position)) record_ = writing.record;
  switch (writing.then) {
    case Writing::Then::kVote: {
      wire::VoteReply reply;
      reply.epoch = writing.epoch;
      reply.granted = promised_ == writing.epoch;
      reply.promised = promised_;
      if (StoredPosition() > writing.candidate_held) reply.record = record_;
      SendTo(writing.to, std::move(reply));
      break;
    }
    case Writing::Then::kStored:
      Reply(now, writing.to, writing.epoch, 0);
      break;
    case Writing::Then::kStand:
      if (role_ != Role::kCandidate || candidate_.pre_vote || epoch_ != writing.epoch) break;
      candidate_.on_disk = true;
      candidate_.votes.insert(options_.self);
      AskForVotes();
      CountVotes(now);
      break;
    case Writing::Then::kOwnCopy:
      TryCommit(now);
      break;
    case Writing::Then::kAnswerLearner:
      AnswerLearner(writing.to, writing.epoch);
      break;
    case Writing::Then::kLearned:
    case Writing::Then::kFounded:
      role_ = Role::kFollower;
      voter_ = true;
      learner_ = {};
      for (const std::string& elector : Electors(*record_)) Know(elector);
      if (writing.then == Writing::Then::kLearned) quiet_until_ = now + options_.lease;
      RollElection(now);
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
  return heard_certain_;
}

std::uint64_t Replica::EchoFor(const std::string& member) const {
  const auto peer = lead_.peers.find(member);
  return role_ == Role::kLeader && peer != lead_.peers.end() ? peer->second.probe : 0;
}

void Replica::RollElection(Time now) {
  const auto jitter = static_cast<std::uint64_t>(options_.election_jitter.count());
  const Duration wait(static_cast<std::int64_t>(jitter == 0 ? 0 : random_() % jitter));
  election_at_ = std::max(now, lease_until_) + wait;
}

}  // namespace kestrelline::control_plane

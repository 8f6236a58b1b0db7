// SPDX-License-Identifier: Apache-2.0
//
// What a member does at any role: messages, disk, learning. replica_leader.cpp: elections and leading.
#include "control_plane/replica.h"

#include <algorithm>
#include <utility>

namespace kestrelline::control_plane {

const char* NameOf(Role role) {
  switch (role) {
    case Role::kLearning:
      return "learning";
    case Role::kFollower:
      return "follower";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "unknown";
}

Replica::Replica(ReplicaOptions options, Stored stored, Time now)
    : options_(std::move(options)),
      random_(options_.random_seed),
      promised_(stored.promised),
      record_(std::move(stored.record)) {
  for (const std::string& seed : options_.seeds) Know(seed);
  highest_seen_ = promised_;
  nonce_ = random_();
  if (record_) {
    role_ = Role::kFollower;
    voter_ = true;
    pending_position_ = record_->position;
    for (const std::string& elector : Electors(*record_)) Know(elector);
    silent_until_ = now + options_.lease;
    RollElection(now);
    return;
  }
  const bool founder =
      std::find(options_.seeds.begin(), options_.seeds.end(), options_.self) != options_.seeds.end();
  if (!options_.bootstrap || !founder) return;
  wire::Record first;
  first.position = {0, 1};
  first.members = options_.seeds;
  std::sort(first.members.begin(), first.members.end());
  founding_ = std::make_shared<const wire::Record>(std::move(first));
}

void Replica::Know(const std::string& node) {
  if (node == options_.self || known_.size() >= kMostKnownNodes) return;
  known_.insert(node);
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
  Emit(Persist{ticket, promised_, writing.record});
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
      wire::VoteReply reply{writing.epoch, false, promised_ == writing.epoch, promised_, nullptr,
                            false,         false};
      if (StoredPosition() > writing.candidate_held) reply.record = record_;
      SendTo(writing.to, std::move(reply));
      break;
    }
    case Writing::Then::kStored:
      Reply(writing.to, writing.epoch, 0);
      break;
    case Writing::Then::kStand:
      if (role_ != Role::kCandidate || trial_ || epoch_ != writing.epoch) break;
      standing_on_disk_ = true;
      votes_.insert(options_.self);
      AskForVotes();
      CountVotes(now);
      break;
    case Writing::Then::kOwnCopy:
      TryCommit(now);
      break;
    case Writing::Then::kTaught:
      if (taught_.size() >= kMostKnownNodes) taught_.clear();
      taught_[writing.to] = writing.epoch;
      SendTo(writing.to, wire::LearnReply{writing.epoch, promised_, true, record_});
      break;
    case Writing::Then::kLearned:
    case Writing::Then::kBootstrapped:
      role_ = Role::kFollower;
      voter_ = true;
      for (const std::string& elector : Electors(*record_)) Know(elector);
      if (writing.then == Writing::Then::kLearned) silent_until_ = now + options_.lease;
      RollElection(now);
      break;
  }
}

void Replica::Tick(Time now) {
  switch (role_) {
    case Role::kLearning:
      return TickLearning(now);
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

// --- learning ---

void Replica::TickLearning(Time now) {
  if (!writings_.empty() || now < next_learn_) return;
  next_learn_ = now + options_.learn_interval;
  if (founding_) {
    Writing writing;
    writing.then = Writing::Then::kBootstrapped;
    writing.record = founding_;
    return Write(std::move(writing));
  }
  for (const std::string& node : known_) SendTo(node, wire::LearnRequest{nonce_});
}

// Whoever lost its disk may have been counted for a record that is not committed yet. Nobody may count that
// copy from now on: a leader forgets it, another member promises a later epoch, so that the one before it
// commits nothing any more.
void Replica::On(Time now, const std::string& from, const wire::LearnRequest& request) {
  Know(from);
  if (!voter_) {
    SendTo(from, wire::LearnReply{request.nonce, promised_, false, nullptr});
    return;
  }
  if (role_ == Role::kLeader) {
    peers_[from].stored = {};
    taught_[from] = request.nonce;
  }
  const auto taught = taught_.find(from);
  if (taught != taught_.end() && taught->second == request.nonce) {
    SendTo(from, wire::LearnReply{request.nonce, promised_, true, record_});
    return;
  }
  const bool under_way = std::any_of(writings_.begin(), writings_.end(), [&](const auto& entry) {
    return entry.second.then == Writing::Then::kTaught && entry.second.to == from;
  });
  if (under_way) return;
  if (role_ == Role::kCandidate) StepDown(now);
  ++promised_;
  highest_seen_ = std::max(highest_seen_, promised_);
  Writing writing;
  writing.then = Writing::Then::kTaught;
  writing.to = from;
  writing.epoch = request.nonce;
  Write(std::move(writing));
}

void Replica::On(Time, const std::string& from, const wire::LearnReply& reply) {
  if (role_ != Role::kLearning || reply.nonce != nonce_ || !reply.voter || !reply.record) return;
  for (const std::string& elector : Electors(*reply.record)) Know(elector);
  lessons_[from] = {reply.promised, reply.record};
  wire::RecordPtr newest;
  std::uint64_t promised = 0;
  NodeSet teachers;
  for (const auto& [node, lesson] : lessons_) {
    teachers.insert(node);
    promised = std::max(promised, lesson.promised);
    if (!newest || lesson.record->position > newest->position) newest = lesson.record;
  }
  if (!IsQuorum(*newest, teachers, options_.tolerated) || !writings_.empty()) return;
  promised_ = std::max(promised_, promised);
  highest_seen_ = std::max(highest_seen_, promised_);
  Writing writing;
  writing.then = Writing::Then::kLearned;
  writing.record = newest;
  Write(std::move(writing));
}

// --- following ---

void Replica::Reply(const std::string& to, std::uint64_t epoch, std::uint64_t sent_ms) {
  SendTo(to, wire::HeartbeatReply{epoch, sent_ms, promised_, StoredPosition(), proxies_here_});
}

void Replica::RollElection(Time now) {
  const auto jitter = static_cast<std::uint64_t>(options_.election_jitter.count());
  const Span wait(static_cast<std::int64_t>(jitter == 0 ? 0 : random_() % jitter));
  election_at_ = std::max(now, lease_until_) + wait;
}

void Replica::TickFollower(Time now) {
  const bool elector = record_ && Electors(*record_).contains(options_.self);
  if (!elector) {
    if (!options_.counts_for_quorum || stopping_ || now < next_hello_) return;
    next_hello_ = now + options_.hello_interval;
    for (const std::string& node : known_) SendTo(node, wire::Hello{true, nonce_});
    return;
  }
  if (stopping_ || now < lease_until_ || now < election_at_) return;
  StandTrial(now);
}

void Replica::Follow(Time now, const std::string& leader, std::uint64_t epoch) {
  if (role_ == Role::kLeader || role_ == Role::kCandidate) StepDown(now);
  epoch_ = epoch;
  promised_ = std::max(promised_, epoch);
  highest_seen_ = std::max(highest_seen_, epoch);
  leader_ = leader;
  lease_holder_ = leader;
  lease_until_ = now + options_.lease;
  RollElection(now);
}

void Replica::On(Time now, const std::string& from, const wire::Heartbeat& beat) {
  Know(from);
  if (!voter_) return;
  if (beat.epoch < promised_) {
    highest_seen_ = std::max(highest_seen_, beat.epoch);
    Reply(from, beat.epoch, beat.sent_ms);
    return;
  }
  Follow(now, from, beat.epoch);
  if (beat.resigning) {
    lease_until_ = now;
    RollElection(now);
    return;
  }
  if (record_ && record_->position == beat.committed) committed_ = record_;
  if (beat.leased && committed_ && committed_->position == beat.committed) heard_certain_ = now;
  proxies_everywhere_ = beat.proxies;
  Reply(from, beat.epoch, beat.sent_ms);
}

void Replica::On(Time now, const std::string& from, const wire::Append& append) {
  Know(from);
  if (!voter_ || !append.record) return;
  if (append.epoch < promised_) {
    Reply(from, append.epoch, 0);
    return;
  }
  Follow(now, from, append.epoch);
  for (const std::string& elector : Electors(*append.record)) Know(elector);
  if (append.record->position <= StoredPosition()) {
    Reply(from, append.epoch, 0);
    return;
  }
  if (append.record->position <= pending_position_ || writings_.size() >= kMostPersists) return;
  Writing writing;
  writing.then = Writing::Then::kStored;
  writing.record = append.record;
  writing.to = from;
  writing.epoch = append.epoch;
  Write(std::move(writing));
}

bool Replica::MayGrant(Time now, const std::string& candidate, std::uint64_t epoch) const {
  if (!voter_ || epoch <= promised_) return false;
  if (role_ == Role::kLeader && Leads(now)) return false;
  return now >= lease_until_ || lease_holder_ == candidate;
}

void Replica::On(Time now, const std::string& from, const wire::VoteRequest& request) {
  Know(from);
  highest_seen_ = std::max(highest_seen_, request.trial ? 0 : request.epoch);
  const bool granted = MayGrant(now, from, request.epoch);
  const bool silent = now < silent_until_;
  if (!granted || request.trial || (silent && !request.waive_silence)) {
    const bool would = granted && (request.trial || !silent);
    const bool leading = role_ == Role::kLeader && Leads(now);
    SendTo(from, wire::VoteReply{request.epoch, request.trial, would, promised_, nullptr, silent, leading});
    return;
  }
  if (role_ == Role::kLeader || role_ == Role::kCandidate) StepDown(now);
  promised_ = request.epoch;
  epoch_ = request.epoch;
  // The candidate has its time; a vote is no lease.
  election_at_ = now + options_.vote_patience;
  Writing writing;
  writing.then = Writing::Then::kVote;
  writing.to = from;
  writing.epoch = request.epoch;
  writing.candidate_held = request.held;
  Write(std::move(writing));
}

std::optional<Time> Replica::certain_at(Time now) const {
  if (Leads(now)) return now;
  return heard_certain_;
}

}  // namespace kestrelline::control_plane

// SPDX-License-Identifier: Apache-2.0
//
// A member with an empty disk: it founds the system at its first start, else it learns promises and records
// from a quorum of the others before it votes or acknowledges. And how a voter answers one.
#include <algorithm>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::TickLearner(Time now) {
  if (!writings_.empty() || now < learner_.next_request) return;
  if (learner_.founding) return TickFounder(now);
  learner_.next_request = now + options_.learn_interval;
  for (const std::string& node : known_) SendTo(node, wire::LearnRequest{nonce_, false});
}

// Asks the other founders first: where one of them votes in an epoch already, there is something to learn.
void Replica::TickFounder(Time now) {
  if (!learner_.founding_until) learner_.founding_until = now + options_.founding_wait;
  if (MayFound(now)) {
    Writing writing;
    writing.then = Writing::Then::kFounded;
    writing.record = learner_.founding;
    return Write(std::move(writing));
  }
  learner_.next_request = now + options_.founding_interval;
  for (const std::string& node : known_) SendTo(node, wire::LearnRequest{nonce_, true});
}

bool Replica::MayFound(Time now) const {
  const auto has_nothing = [this](const std::string& founder) {
    return founder == options_.self || learner_.not_founded.contains(founder);
  };
  const auto& founders = learner_.founding->members;
  return now >= *learner_.founding_until || std::all_of(founders.begin(), founders.end(), has_nothing);
}

// Whoever lost its disk may have been counted for a record that is not committed yet. Nobody may count that
// copy from now on: a leader forgets it, another member promises a later epoch, so that the one before it
// commits nothing any more.
void Replica::On(Time now, const std::string& from, const wire::LearnRequest& request) {
  Know(from);
  if (request.founding) {
    // Promises alone tell nothing: a founder makes them to newcomers that learn before the others have
    // founded.
    SendTo(from, wire::LearnReply{request.nonce, StoredPosition().epoch, voter_, nullptr});
    return;
  }
  if (!voter_) {
    SendTo(from, wire::LearnReply{request.nonce, promised_, false, nullptr});
    return;
  }
  if (role_ == Role::kLeader) {
    if (!lead_.peers.contains(from) && lead_.peers.size() >= kMostKnownNodes) return;
    Peer& peer = lead_.peers[from];
    if (Enforced(Safeguard::kForgetLostCopies)) peer.stored = {};
    peer.append_sent.reset();
    peer.disk = request.nonce;
    peer.disk_since = now;
    if (!Electors(*lead_.current).contains(from)) lead_.learner_seen = now;
    return AnswerLearner(from, request.nonce);
  }
  const auto answered = answered_learners_.find(from);
  if (answered != answered_learners_.end() && answered->second == request.nonce) {
    return AnswerLearner(from, request.nonce);
  }
  const bool under_way = std::any_of(writings_.begin(), writings_.end(), [&](const auto& entry) {
    return entry.second.then == Writing::Then::kAnswerLearner && entry.second.to == from;
  });
  if (under_way) return;
  if (role_ == Role::kCandidate) StepDown(now);
  if (Enforced(Safeguard::kForgetLostCopies)) ++promised_;
  highest_seen_ = std::max(highest_seen_, promised_);
  Writing writing;
  writing.then = Writing::Then::kAnswerLearner;
  writing.to = from;
  writing.epoch = request.nonce;
  Write(std::move(writing));
}

void Replica::AnswerLearner(const std::string& to, std::uint64_t nonce) {
  if (answered_learners_.size() >= kMostKnownNodes) answered_learners_.clear();
  answered_learners_[to] = nonce;
  SendTo(to, wire::LearnReply{nonce, promised_, true, record_});
}

void Replica::On(Time, const std::string& from, const wire::LearnReply& reply) {
  if (role_ != Role::kLearner || reply.nonce != nonce_) return;
  if (learner_.founding) {
    if (reply.voter && reply.promised > 0) {
      learner_.founding = nullptr;  // others went on without this member, or before its disk was emptied
    } else {
      learner_.not_founded.insert(from);
    }
    return;
  }
  if (!reply.voter || !reply.record) return;
  for (const std::string& elector : Electors(*reply.record)) Know(elector);
  if (!learner_.answers.contains(from) && learner_.answers.size() >= kMostKnownNodes) return;
  learner_.answers[from] = {reply.promised, reply.record};
  TakeLearned();
}

void Replica::TakeLearned() {
  wire::RecordPtr newest;
  std::uint64_t promised = 0;
  NodeSet teachers;
  for (const auto& [node, answer] : learner_.answers) {
    teachers.insert(node);
    promised = std::max(promised, answer.promised);
    if (!newest || answer.record->position > newest->position) newest = answer.record;
  }
  const bool enough =
      IsQuorum(*newest, teachers, options_.max_lost_members) || !Enforced(Safeguard::kLearnBeforeVoting);
  if (!enough || !writings_.empty()) return;
  promised_ = std::max(promised_, promised);
  highest_seen_ = std::max(highest_seen_, promised_);
  disk_ = nonce_;
  Writing writing;
  writing.then = Writing::Then::kLearned;
  writing.record = newest;
  Write(std::move(writing));
}

}  // namespace kestrelline::control_plane

// SPDX-License-Identifier: Apache-2.0
//
// A member with an empty disk. At the first start of the system it takes part in founding it. Otherwise it
// learns the promises and records of a quorum of the others before it votes or acknowledges. Also how a voter
// answers such a learner.
#include <algorithm>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::TickLearner(Time now) {
  if (!pending_writes_.empty() || now < learner_state_.next_request_at) return;
  if (learner_state_.initial_record) return TickFounder(now);
  learner_state_.next_request_at = now + options_.learn_interval;
  for (const std::string& node : known_nodes_) SendTo(node, wire::LearnRequest{nonce_, false});
}

// Asks the other founders first: if one of them already votes in an epoch, there is state to learn from it.
void Replica::TickFounder(Time now) {
  if (!learner_state_.founding_deadline) learner_state_.founding_deadline = now + options_.founding_wait;
  if (CanFoundSystem(now)) {
    PendingWrite write;
    write.completion = PendingWrite::Completion::kFinishFounding;
    write.record = learner_state_.initial_record;
    return Write(std::move(write));
  }
  learner_state_.next_request_at = now + options_.founding_interval;
  for (const std::string& node : known_nodes_) SendTo(node, wire::LearnRequest{nonce_, true});
}

bool Replica::CanFoundSystem(Time now) const {
  const auto has_nothing = [this](const std::string& founder) {
    return founder == options_.self || learner_state_.uninitialized_founders.contains(founder);
  };
  const auto& founders = learner_state_.initial_record->members;
  return now >= *learner_state_.founding_deadline ||
         std::all_of(founders.begin(), founders.end(), has_nothing);
}

// A member that lost its disk may have been counted as holding a record that is not committed yet. From now
// on that copy must not be counted: a leader discards it from its tally, and any other member promises a
// later epoch, so that nothing more is committed in the earlier one.
void Replica::On(Time now, const std::string& from, const wire::LearnRequest& request) {
  AddKnownNode(from);
  if (request.founding) {
    // The highest promise does not show that the system runs: a founder also promises epochs to learners that
    // ask before the others have founded. The epoch of the stored record does.
    SendTo(from, wire::LearnReply{request.nonce, StoredPosition().epoch, can_vote_, nullptr});
    return;
  }
  if (!can_vote_) {
    SendTo(from, wire::LearnReply{request.nonce, promised_, false, nullptr});
    return;
  }
  if (role_ == Role::kLeader) {
    Peer* const entry = FindOrAddPeer(now, from);
    if (entry == nullptr) return;
    Peer& peer = *entry;
    if (Enforced(Safeguard::kForgetLostCopies)) peer.stored_position = {};
    peer.append_sent_at.reset();
    peer.disk_id = request.nonce;
    peer.disk_id_since = now;
    if (!Electors(*leader_state_.proposed).contains(from)) leader_state_.learner_seen_at = now;
    return ReplyToLearner(from, request.nonce);
  }
  const auto last_answer = answered_learners_.find(from);
  if (last_answer != answered_learners_.end() && last_answer->second == request.nonce) {
    return ReplyToLearner(from, request.nonce);
  }
  const bool reply_pending =
      std::any_of(pending_writes_.begin(), pending_writes_.end(), [&](const auto& entry) {
        return entry.second.completion == PendingWrite::Completion::kReplyToLearner &&
               entry.second.to == from;
      });
  if (reply_pending) return;
  if (role_ == Role::kCandidate) StepDown(now);
  if (Enforced(Safeguard::kForgetLostCopies)) ++promised_;
  highest_seen_epoch_ = std::max(highest_seen_epoch_, promised_);
  PendingWrite write;
  write.completion = PendingWrite::Completion::kReplyToLearner;
  write.to = from;
  write.epoch = request.nonce;
  Write(std::move(write));
}

void Replica::ReplyToLearner(const std::string& to, std::uint64_t nonce) {
  if (answered_learners_.size() >= kMaxKnownNodes) answered_learners_.clear();
  answered_learners_[to] = nonce;
  SendTo(to, wire::LearnReply{nonce, promised_, true, record_});
}

void Replica::On(Time, const std::string& from, const wire::LearnReply& reply) {
  if (role_ != Role::kLearner || reply.nonce != nonce_) return;
  if (learner_state_.initial_record) {
    if (reply.voter && reply.promised > 0) {
      learner_state_.initial_record =
          nullptr;  // the system already runs without this member, or ran before its disk was lost
    } else {
      learner_state_.uninitialized_founders.insert(from);
    }
    return;
  }
  if (!reply.voter || !reply.record) return;
  for (const std::string& elector : Electors(*reply.record)) AddKnownNode(elector);
  if (!learner_state_.replies.contains(from) && learner_state_.replies.size() >= kMaxKnownNodes) return;
  learner_state_.replies[from] = {reply.promised, reply.record};
  TryFinishLearning();
}

void Replica::TryFinishLearning() {
  wire::RecordPtr newest;
  std::uint64_t promised = 0;
  NodeSet responders;
  for (const auto& [node, answer] : learner_state_.replies) {
    responders.insert(node);
    promised = std::max(promised, answer.promised);
    if (!newest || answer.record->position > newest->position) newest = answer.record;
  }
  const bool enough =
      IsQuorum(*newest, responders, options_.max_lost_members) || !Enforced(Safeguard::kLearnBeforeVoting);
  if (!enough || !pending_writes_.empty()) return;
  promised_ = std::max(promised_, promised);
  highest_seen_epoch_ = std::max(highest_seen_epoch_, promised_);
  disk_id_ = nonce_;
  PendingWrite write;
  write.completion = PendingWrite::Completion::kFinishLearning;
  write.record = newest;
  Write(std::move(write));
}

}  // namespace kestrelline::control_plane

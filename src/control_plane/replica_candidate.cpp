// SPDX-License-Identifier: Apache-2.0
//
// Elections: a non-binding pre-vote, then a vote in which a quorum promises the new epoch.
#include <algorithm>
#include <utility>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::StartPreVote(Time now) {
  role_ = Role::kCandidate;
  candidate_state_ = {};
  candidate_state_.pre_vote = true;
  candidate_state_.round_deadline = now + options_.vote_timeout;
  candidate_state_.newest_record = record_;
  candidate_state_.not_leading = {options_.self};
  (now < restart_quiet_until_ ? candidate_state_.conditional_votes : candidate_state_.votes)
      .insert(options_.self);
  epoch_ = std::max(promised_, highest_seen_epoch_) + 1;
  RequestVotes();
  CountVotes(now);
}

// Whether each elector reported that it does not lead. A leader that restarted no longer leads, so in this
// case there is no valid lease that a restarted voter could have forgotten.
bool Replica::NoElectorLeads() const {
  const NodeSet electors = Electors(*candidate_state_.newest_record);
  const NodeSet& not_leading = candidate_state_.not_leading;
  return std::includes(not_leading.begin(), not_leading.end(), electors.begin(), electors.end());
}

void Replica::StartElection(Time now) {
  const bool no_elector_leads = candidate_state_.no_elector_leads;
  wire::RecordPtr newest = std::move(candidate_state_.newest_record);
  candidate_state_ = {};
  candidate_state_.no_elector_leads = no_elector_leads;
  candidate_state_.round_deadline = now + 2 * options_.vote_timeout;
  candidate_state_.newest_record = record_->position > newest->position ? record_ : std::move(newest);
  epoch_ = std::max(promised_, highest_seen_epoch_) + 1;
  promised_ = epoch_;
  highest_seen_epoch_ = epoch_;
  PendingWrite write;
  write.completion = PendingWrite::Completion::kRequestVotes;
  write.epoch = epoch_;
  Write(std::move(write));
}

void Replica::RequestVotes() {
  const wire::VoteRequest request{epoch_, candidate_state_.pre_vote, candidate_state_.newest_record->position,
                                  candidate_state_.no_elector_leads};
  for (const std::string& elector : Electors(*candidate_state_.newest_record)) {
    if (elector != options_.self && !candidate_state_.votes.contains(elector)) SendTo(elector, request);
  }
}

void Replica::On(Time now, const std::string& from, const wire::VoteReply& reply) {
  highest_seen_epoch_ = std::max(highest_seen_epoch_, reply.promised);
  const bool current_round = reply.epoch == epoch_ && reply.pre_vote == candidate_state_.pre_vote;
  if (role_ != Role::kCandidate || !current_round) return;
  if (candidate_state_.pre_vote && !reply.leading) candidate_state_.not_leading.insert(from);
  if (!reply.granted) {
    if (!candidate_state_.pre_vote && reply.promised > epoch_) return StepDown(now);
    return CountVotes(now);
  }
  const bool conditional = candidate_state_.pre_vote && reply.restarted_lately;
  (conditional ? candidate_state_.conditional_votes : candidate_state_.votes).insert(from);
  const bool newer = reply.record && reply.record->position > candidate_state_.newest_record->position;
  if (newer && Enforced(Safeguard::kNewestCopyAtElection)) {
    const NodeSet previous_electors = Electors(*candidate_state_.newest_record);
    candidate_state_.newest_record = reply.record;
    if (Electors(*candidate_state_.newest_record) != previous_electors) RequestVotes();
  }
  CountVotes(now);
}

void Replica::CountVotes(Time now) {
  if (candidate_state_.pre_vote && NoElectorLeads()) {
    candidate_state_.no_elector_leads = true;
    candidate_state_.votes.insert(candidate_state_.conditional_votes.begin(),
                                  candidate_state_.conditional_votes.end());
  }
  if (!IsQuorum(*candidate_state_.newest_record, candidate_state_.votes, options_.max_lost_members)) return;
  if (candidate_state_.pre_vote) return StartElection(now);
  if (candidate_state_.own_promise_stored &&
      Electors(*candidate_state_.newest_record).contains(options_.self))
    BecomeLeader(now);
}

void Replica::TickCandidate(Time now) {
  if (now < candidate_state_.round_deadline) return;
  if (!candidate_state_.pre_vote && !candidate_state_.own_promise_stored) {
    // The disk is slow: the round starts after the write.
    candidate_state_.round_deadline = now + options_.vote_timeout;
    return;
  }
  StepDown(now);
}

void Replica::StepDown(Time now) {
  if (role_ == Role::kLeader) FailProposals();
  role_ = Role::kFollower;
  if (leader_ == options_.self) leader_.clear();
  ScheduleElection(now);
}

}  // namespace kestrelline::control_plane

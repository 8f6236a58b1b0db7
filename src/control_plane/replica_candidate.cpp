// SPDX-License-Identifier: Apache-2.0
//
// Elections: a pre-vote that binds nobody, then an epoch that a quorum promises.
#include <algorithm>
#include <utility>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::BeginPreVote(Time now) {
  role_ = Role::kCandidate;
  candidate_ = {};
  candidate_.pre_vote = true;
  candidate_.round_until = now + options_.vote_patience;
  candidate_.best = record_;
  candidate_.not_leading = {options_.self};
  (now < quiet_until_ ? candidate_.held_votes : candidate_.votes).insert(options_.self);
  epoch_ = std::max(promised_, highest_seen_) + 1;
  AskForVotes();
  CountVotes(now);
}

// No elector leads, and each said so itself. Whoever led before a restart has forgotten it, so no lease can
// hold that a voter forgot.
bool Replica::NobodyLeads() const {
  const NodeSet electors = Electors(*candidate_.best);
  const NodeSet& not_leading = candidate_.not_leading;
  return std::includes(not_leading.begin(), not_leading.end(), electors.begin(), electors.end());
}

void Replica::StandForEpoch(Time now) {
  const bool nobody_leads = candidate_.nobody_leads;
  wire::RecordPtr best = std::move(candidate_.best);
  candidate_ = {};
  candidate_.nobody_leads = nobody_leads;
  candidate_.round_until = now + 2 * options_.vote_patience;
  candidate_.best = record_->position > best->position ? record_ : std::move(best);
  epoch_ = std::max(promised_, highest_seen_) + 1;
  promised_ = epoch_;
  highest_seen_ = epoch_;
  Writing writing;
  writing.then = Writing::Then::kStand;
  writing.epoch = epoch_;
  Write(std::move(writing));
}

void Replica::AskForVotes() {
  const wire::VoteRequest request{epoch_, candidate_.pre_vote, candidate_.best->position,
                                  candidate_.nobody_leads};
  for (const std::string& elector : Electors(*candidate_.best)) {
    if (elector != options_.self && !candidate_.votes.contains(elector)) SendTo(elector, request);
  }
}

void Replica::On(Time now, const std::string& from, const wire::VoteReply& reply) {
  highest_seen_ = std::max(highest_seen_, reply.promised);
  const bool of_this_round = reply.epoch == epoch_ && reply.pre_vote == candidate_.pre_vote;
  if (role_ != Role::kCandidate || !of_this_round) return;
  if (candidate_.pre_vote && !reply.leading) candidate_.not_leading.insert(from);
  if (!reply.granted) {
    if (!candidate_.pre_vote && reply.promised > epoch_) return StepDown(now);
    return CountVotes(now);
  }
  const bool held = candidate_.pre_vote && reply.restarted_lately;
  (held ? candidate_.held_votes : candidate_.votes).insert(from);
  const bool newer = reply.record && reply.record->position > candidate_.best->position;
  if (newer && Enforced(Safeguard::kNewestCopyAtElection)) {
    const NodeSet before = Electors(*candidate_.best);
    candidate_.best = reply.record;
    if (Electors(*candidate_.best) != before) AskForVotes();
  }
  CountVotes(now);
}

void Replica::CountVotes(Time now) {
  if (candidate_.pre_vote && NobodyLeads()) {
    candidate_.nobody_leads = true;
    candidate_.votes.insert(candidate_.held_votes.begin(), candidate_.held_votes.end());
  }
  if (!IsQuorum(*candidate_.best, candidate_.votes, options_.max_lost_members)) return;
  if (candidate_.pre_vote) return StandForEpoch(now);
  if (candidate_.on_disk && Electors(*candidate_.best).contains(options_.self)) Lead(now);
}

void Replica::TickCandidate(Time now) {
  if (now < candidate_.round_until) return;
  if (!candidate_.pre_vote && !candidate_.on_disk) {  // the disk is slow: the round begins when it is done
    candidate_.round_until = now + options_.vote_patience;
    return;
  }
  StepDown(now);
}

void Replica::StepDown(Time now) {
  if (role_ == Role::kLeader) FailOrders();
  role_ = Role::kFollower;
  if (leader_ == options_.self) leader_.clear();
  RollElection(now);
}

}  // namespace kestrelline::control_plane

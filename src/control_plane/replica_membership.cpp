// SPDX-License-Identifier: Apache-2.0
//
// Changes of the electorate, by joint consensus only: waiting members that hold a copy fill up an electorate
// that is too small, and replace members that leave or have failed. Also the planned departure of a member.
#include <algorithm>
#include <utility>

#include "control_plane/replica.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

void Replica::On(Time now, const std::string& from, const wire::Hello& hello) {
  AddKnownNode(from);
  if (role_ != Role::kLeader || !hello.counts_for_quorum) return;
  if (Electors(*leader_state_.proposed).contains(from)) return;
  Peer* const entry = FindOrAddPeer(now, from);
  if (entry == nullptr) return;
  Peer& peer = *entry;
  peer.last_hello_at = now;
  if (peer.stored_position < leader_state_.proposed->position && !peer.append_sent_at)
    SendRecord(now, from, peer);
}

// Members without a vote that are reachable and hold the newest record.
std::vector<std::string> Replica::Successors(Time now) const {
  std::vector<std::string> successors;
  const NodeSet electors = Electors(*leader_state_.proposed);
  for (const auto& [node, peer] : leader_state_.peers) {
    const bool reachable = peer.last_hello_at && !peer.leaving && peer.last_reply_at &&
                           now - *peer.last_reply_at < options_.failure_timeout / 2;
    const bool ready = reachable && peer.stored_position >= leader_state_.proposed->position;
    if (ready && !electors.contains(node)) successors.push_back(node);
  }
  return successors;
}

// Whether some member holds the newest record without a vote, or is about to. A new leader assumes so until
// it has had time to hear from the waiting members.
bool Replica::ExpectsSuccessor(Time now) const {
  if (now - leader_state_.leading_since < 4 * options_.hello_interval) return true;
  if (!leader_state_.proposed->next_members.empty()) return true;  // one is being added
  if (leader_state_.learner_seen_at && now - *leader_state_.learner_seen_at < options_.failure_timeout)
    return true;
  const NodeSet electors = Electors(*leader_state_.proposed);
  return std::any_of(leader_state_.peers.begin(), leader_state_.peers.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    const bool present = peer.last_hello_at && now - *peer.last_hello_at < options_.failure_timeout;
    return present && !peer.leaving && !electors.contains(entry.first);
  });
}

bool Replica::IsLeaving(const std::string& member) const {
  if (member == options_.self) return leaving_since_.has_value();
  const auto peer = leader_state_.peers.find(member);
  return peer != leader_state_.peers.end() && peer->second.leaving;
}

bool Replica::IsLost(Time now, const std::string& member) const {
  if (member == options_.self) return false;
  const auto peer = leader_state_.peers.find(member);
  const bool replied = peer != leader_state_.peers.end() && peer->second.last_reply_at;
  return now - (replied ? *peer->second.last_reply_at : leader_state_.leading_since) >=
         options_.failure_timeout;
}

bool Replica::ChangeMembership(Time now) {
  if (!leader_state_.proposed->next_members.empty()) {
    wire::Record settled = *leader_state_.proposed;
    settled.members = std::exchange(settled.next_members, {});
    Replicate(now, std::move(settled));
    return true;
  }
  const std::vector<std::string> successors = Successors(now);
  if (successors.empty()) return false;
  std::vector<std::string> next = leader_state_.proposed->members;
  auto replaced =
      std::find_if(next.begin(), next.end(), [this](const std::string& member) { return IsLeaving(member); });
  const std::size_t target = TargetSize(options_.max_lost_members);
  if (replaced == next.end() && next.size() < target) {
    const std::size_t room = std::min(target - next.size(), successors.size());
    next.insert(next.end(), successors.begin(), successors.begin() + static_cast<std::ptrdiff_t>(room));
  } else {
    if (replaced == next.end()) {
      replaced = std::find_if(next.begin(), next.end(),
                              [&](const std::string& member) { return IsLost(now, member); });
    }
    if (replaced == next.end()) return false;
    *replaced = successors.front();
  }
  std::sort(next.begin(), next.end());
  wire::Record joint = *leader_state_.proposed;
  if (Enforced(Safeguard::kJointElectorate)) {
    joint.next_members = std::move(next);
  } else {
    joint.members = std::move(next);
  }
  Replicate(now, std::move(joint));
  return true;
}

// Number of electors other than this member that hold the newest record.
std::size_t Replica::CountOtherCopies() const {
  const auto holds = [this](const std::string& node) {
    const auto peer = leader_state_.peers.find(node);
    return node != options_.self && peer != leader_state_.peers.end() &&
           peer->second.stored_position >= leader_state_.proposed->position;
  };
  const NodeSet electors = Electors(*leader_state_.proposed);
  return static_cast<std::size_t>(std::count_if(electors.begin(), electors.end(), holds));
}

// Whether all other electors hold the newest record or, after resign_timeout, at least as many as members may
// be lost: the only copy never leaves.
bool Replica::HasEnoughOtherCopies(Duration since_leaving) const {
  const std::size_t other_electors = Electors(*leader_state_.proposed).size() - 1;
  const std::size_t needed =
      std::min(other_electors, static_cast<std::size_t>(std::max(1, options_.max_lost_members)));
  const std::size_t copies = CountOtherCopies();
  return copies >= other_electors || (copies >= needed && since_leaving >= options_.resign_timeout);
}

void Replica::Leave(Time now) {
  if (leaving_since_) return;
  leaving_since_ = now;
  successor_expected_ = true;  // until the leader reports otherwise
  if (role_ == Role::kCandidate) StepDown(now);
  if (role_ == Role::kLeader) return StartNextChange(now);
  const std::string leader = LeaderWithinLease(now);
  if (can_vote_ && !leader.empty()) SendHeartbeatReply(now, leader, epoch_, 0);
}

bool Replica::CanStop(Time now) const {
  if (!Enforced(Safeguard::kLeaveByAgreement)) return true;
  if (!leaving_since_) return true;
  // A record without this member releases it only once that record is committed: before that, the disks of
  // the others may hold only the electorate that needs this member. A newer record that includes it binds it
  // as soon as it is stored here: this copy may already have been counted for a commit that this member has
  // not heard of yet.
  const bool in_committed = committed_ && Electors(*committed_).contains(options_.self);
  const bool newer_here = !committed_ || StoredPosition() > committed_->position;
  const bool has_seat = in_committed || (newer_here && IsElector());
  if (!has_seat) return true;
  const Duration leaving_for = now - *leaving_since_;
  if (leaving_for >= options_.leave_timeout) return true;
  if (leaving_for < options_.min_leave_time) return false;
  if (role_ != Role::kLeader) {
    const bool leaderless = LeaderWithinLease(now).empty();
    return leaderless ? leaving_for >= options_.leaderless_timeout : !successor_expected_;
  }
  if (ExpectsSuccessor(now)) return false;
  const bool all_committed = committed_ && committed_->position == leader_state_.proposed->position;
  return all_committed && HasEnoughOtherCopies(leaving_for);
}

void Replica::Resign(Time now) {
  if (!leaving_since_) leaving_since_ = now;
  stopping_ = true;
  if (role_ != Role::kLeader) return;
  FailProposals();
  SendHeartbeats(now, true);
  role_ = Role::kFollower;
  leader_.clear();
}

}  // namespace kestrelline::control_plane

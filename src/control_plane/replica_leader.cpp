// SPDX-License-Identifier: Apache-2.0
//
// Elections and leading.
#include <algorithm>
#include <utility>

#include "control_plane/replica.h"

namespace kestrelline::control_plane {

// --- standing ---

void Replica::StandTrial(Time now) {
  role_ = Role::kCandidate;
  trial_ = true;
  standing_on_disk_ = false;
  epoch_ = std::max(promised_, highest_seen_) + 1;
  round_until_ = now + options_.vote_patience;
  best_ = record_;
  waive_silence_ = false;
  votes_.clear();
  silent_votes_.clear();
  (now < silent_until_ ? silent_votes_ : votes_).insert(options_.self);
  not_leading_ = {options_.self};
  AskForVotes();
  CountVotes(now);
}

// No elector leads, and each said so itself. Whoever led before a restart has forgotten it, so no lease can
// hold that a voter forgot.
bool Replica::NobodyLeads() const {
  const NodeSet electors = Electors(*best_);
  return std::includes(not_leading_.begin(), not_leading_.end(), electors.begin(), electors.end());
}

void Replica::StandForEpoch(Time now) {
  role_ = Role::kCandidate;
  trial_ = false;
  standing_on_disk_ = false;
  epoch_ = std::max(promised_, highest_seen_) + 1;
  promised_ = epoch_;
  highest_seen_ = epoch_;
  round_until_ = now + 2 * options_.vote_patience;
  if (!best_ || (record_ && record_->position > best_->position)) best_ = record_;
  votes_.clear();
  Writing writing;
  writing.then = Writing::Then::kStand;
  writing.epoch = epoch_;
  Write(std::move(writing));
}

void Replica::AskForVotes() {
  const wire::VoteRequest request{epoch_, trial_, best_ ? best_->position : wire::Position{}, waive_silence_};
  for (const std::string& elector : Electors(*best_)) {
    if (elector != options_.self && !votes_.contains(elector)) SendTo(elector, request);
  }
}

void Replica::On(Time now, const std::string& from, const wire::VoteReply& reply) {
  highest_seen_ = std::max(highest_seen_, reply.promised);
  if (role_ != Role::kCandidate || reply.epoch != epoch_ || reply.trial != trial_) return;
  if (trial_ && !reply.leading) not_leading_.insert(from);
  if (!reply.granted) {
    if (!trial_ && reply.promised > epoch_) return StepDown(now);
    return CountVotes(now);
  }
  (trial_ && reply.silent ? silent_votes_ : votes_).insert(from);
  if (reply.record && reply.record->position > best_->position) {
    const NodeSet before = Electors(*best_);
    best_ = reply.record;
    if (Electors(*best_) != before) AskForVotes();
  }
  CountVotes(now);
}

void Replica::CountVotes(Time now) {
  if (trial_ && NobodyLeads()) {
    waive_silence_ = true;
    votes_.insert(silent_votes_.begin(), silent_votes_.end());
  }
  if (!IsQuorum(*best_, votes_, options_.tolerated)) return;
  if (trial_) return StandForEpoch(now);
  if (standing_on_disk_ && Electors(*best_).contains(options_.self)) Lead(now);
}

void Replica::TickCandidate(Time now) {
  if (now < round_until_) return;
  if (!trial_ && !standing_on_disk_) {  // the disk is slow: the round begins when it is done
    round_until_ = now + options_.vote_patience;
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

// --- leading ---

void Replica::Lead(Time now) {
  role_ = Role::kLeader;
  leader_ = options_.self;
  led_since_ = now;
  peers_.clear();
  wire::Record first = *best_;
  best_ = nullptr;
  current_ = nullptr;
  next_heartbeat_ = now;
  Replicate(now, std::move(first));
  SendHeartbeats(now, false);
}

void Replica::Replicate(Time now, wire::Record record) {
  const std::uint64_t before = current_ ? current_->position.sequence : record.position.sequence;
  record.position = {epoch_, before + 1};
  current_ = std::make_shared<const wire::Record>(std::move(record));
  for (const std::string& elector : Electors(*current_)) Know(elector);
  Writing writing;
  writing.then = Writing::Then::kOwnCopy;
  writing.record = current_;
  Write(std::move(writing));
  for (const std::string& node : Audience()) SendRecord(now, node, peers_[node]);
}

NodeSet Replica::Audience() const {
  NodeSet audience = Electors(*current_);
  for (const auto& [node, peer] : peers_) {
    if (peer.last_hello) audience.insert(node);
  }
  audience.erase(options_.self);
  return audience;
}

void Replica::SendRecord(Time now, const std::string& to, Peer& peer) {
  peer.append_sent = now;
  peer.append_position = current_->position;
  SendTo(to, wire::Append{epoch_, current_});
}

void Replica::SendHeartbeats(Time now, bool resigning) {
  wire::Heartbeat beat;
  beat.epoch = epoch_;
  beat.sent_ms = static_cast<std::uint64_t>(now.count());
  beat.held = current_->position;
  beat.leased = Leads(now);
  if (beat.leased && committed_) beat.committed = committed_->position;
  beat.proxies = proxies_everywhere_;
  beat.resigning = resigning;
  for (const std::string& node : Audience()) SendTo(node, beat);
}

bool Replica::Leads(Time now) const {
  if (role_ != Role::kLeader || !committed_ || !current_ || stopping_) return false;
  if (committed_->position.epoch != epoch_) return false;
  NodeSet supporters = {options_.self};
  for (const auto& [node, peer] : peers_) {
    if (peer.acked && *peer.acked + options_.lease - options_.lease_margin > now) supporters.insert(node);
  }
  return IsQuorum(*current_, supporters, options_.tolerated);
}

void Replica::On(Time now, const std::string& from, const wire::HeartbeatReply& reply) {
  highest_seen_ = std::max(highest_seen_, reply.promised);
  if (role_ != Role::kLeader) return;
  if (reply.promised > epoch_) {
    // A member promised a later epoch; it can't take this leader's records. An epoch above that one heals it.
    FailOrders();
    leader_.clear();
    return StandTrial(now);
  }
  if (reply.epoch != epoch_) return;
  Peer& peer = peers_[from];
  peer.last_reply = now;
  peer.proxies = reply.proxies;
  if (reply.sent_ms > 0) {
    const Time sent(static_cast<std::int64_t>(reply.sent_ms));
    peer.acked = peer.acked ? std::max(*peer.acked, sent) : sent;
  }
  peer.stored = std::max(peer.stored, reply.stored);
  if (peer.stored >= current_->position) return TryCommit(now);
  const bool sent_this = peer.append_position == current_->position;
  if (!sent_this || now - peer.append_sent.value_or(now - options_.resend) >= options_.resend) {
    SendRecord(now, from, peer);
  }
}

void Replica::TryCommit(Time now) {
  if (role_ != Role::kLeader || (committed_ && committed_->position == current_->position)) return;
  NodeSet holders;
  if (StoredPosition() >= current_->position) holders.insert(options_.self);
  for (const auto& [node, peer] : peers_) {
    if (peer.stored >= current_->position) holders.insert(node);
  }
  if (!IsQuorum(*current_, holders, options_.tolerated)) return;
  committed_ = current_;
  if (order_in_flight_) Emit(Decided{*std::exchange(order_in_flight_, std::nullopt), Outcome::kTaken});
  SendHeartbeats(now, false);
  next_heartbeat_ = now + options_.heartbeat;
  NextWork(now);
}

void Replica::TickLeader(Time now) {
  proxies_everywhere_ = proxies_here_;
  for (const auto& [node, peer] : peers_) {
    if (peer.last_reply && now - *peer.last_reply < options_.lost_after) proxies_everywhere_ += peer.proxies;
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat;
    SendHeartbeats(now, false);
  }
  NextWork(now);
}

void Replica::On(Time now, const std::string& from, const wire::Hello& hello) {
  Know(from);
  if (role_ != Role::kLeader || !hello.counts_for_quorum || Electors(*current_).contains(from)) return;
  if (peers_.size() >= kMostKnownNodes) return;
  Peer& peer = peers_[from];
  peer.last_hello = now;
  if (peer.stored < current_->position && !peer.append_sent) SendRecord(now, from, peer);
}

// Begins the next change of the record, where the last one is committed.
void Replica::NextWork(Time now) {
  while (role_ == Role::kLeader && committed_ && committed_->position == current_->position) {
    if (ExchangeMembers(now) || orders_.empty()) return;
    Order order = std::move(orders_.front());
    orders_.pop_front();
    if (const auto outcome = Judge(order.change)) {
      Emit(Decided{order.number, *outcome});
      continue;
    }
    wire::Record next = *current_;
    next.version = order.change.version;
    next.configuration = std::move(order.change.configuration);
    next.history.push_back({order.change.version, order.change.digest});
    if (next.history.size() > kMostHistory) next.history.erase(next.history.begin());
    order_in_flight_ = order.number;
    Replicate(now, std::move(next));
  }
}

std::optional<Outcome> Replica::Judge(const Change& change) const {
  const wire::AcceptedChange same{change.version, change.digest};
  const auto& history = current_->history;
  if (std::find(history.rbegin(), history.rend(), same) != history.rend()) return Outcome::kTaken;
  if (change.builds_on != current_->version) return Outcome::kConflict;
  if (change.version <= current_->version) return Outcome::kOldVersion;
  return std::nullopt;
}

// Ends an exchange that is committed on both sides, or begins one. True if the record changed.
bool Replica::ExchangeMembers(Time now) {
  if (!current_->next_members.empty()) {
    wire::Record settled = *current_;
    settled.members = std::exchange(settled.next_members, {});
    Replicate(now, std::move(settled));
    return true;
  }
  std::vector<std::string> waiting;
  for (const auto& [node, peer] : peers_) {
    const bool present =
        peer.last_hello && peer.last_reply && now - *peer.last_reply < options_.lost_after / 2;
    if (present && peer.stored >= current_->position) waiting.push_back(node);
  }
  std::erase_if(waiting, [this](const std::string& node) { return Electors(*current_).contains(node); });
  if (waiting.empty()) return false;
  std::vector<std::string> next = current_->members;
  const std::size_t target = TargetSize(options_.tolerated);
  for (const std::string& node : waiting) {
    if (next.size() < target) next.push_back(node);
  }
  if (next.size() == current_->members.size()) {
    const auto lost = std::find_if(next.begin(), next.end(), [&](const std::string& member) {
      if (member == options_.self) return false;
      const auto peer = peers_.find(member);
      const bool heard = peer != peers_.end() && peer->second.last_reply;
      return now - (heard ? *peer->second.last_reply : led_since_) >= options_.lost_after;
    });
    if (lost == next.end()) return false;
    *lost = waiting.front();
  }
  std::sort(next.begin(), next.end());
  wire::Record joint = *current_;
  joint.next_members = std::move(next);
  Replicate(now, std::move(joint));
  return true;
}

std::uint64_t Replica::Propose(Time now, Change change) {
  const std::uint64_t number = next_order_++;
  if (!Leads(now)) {
    Emit(Decided{number, Outcome::kNotLeader});
  } else if (orders_.size() >= kMostOrders) {
    Emit(Decided{number, Outcome::kOverloaded});
  } else {
    orders_.push_back({number, std::move(change)});
    NextWork(now);
  }
  return number;
}

void Replica::FailOrders() {
  if (order_in_flight_) Emit(Decided{*std::exchange(order_in_flight_, std::nullopt), Outcome::kNotLeader});
  for (const Order& order : orders_) Emit(Decided{order.number, Outcome::kNotLeader});
  orders_.clear();
}

void Replica::Resign(Time now) {
  stopping_ = true;
  if (role_ != Role::kLeader) return;
  FailOrders();
  SendHeartbeats(now, true);
  role_ = Role::kFollower;
  leader_.clear();
}

}  // namespace kestrelline::control_plane

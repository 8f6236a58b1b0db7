// SPDX-License-Identifier: Apache-2.0
#include "quota/node.h"

#include <algorithm>

namespace kestrelline::quota {
namespace {

// Rounds of claims per lease. With four rounds and a fifth of all datagrams lost, some part of the pool was
// unused four fifths of the time; eight rounds leave less unused.
constexpr int kRoundsPerLease = 8;
// Members that stand as candidates one after the other; all further ones stand together with the last.
constexpr int kCandidateRanks = 16;

}  // namespace

Node::Node(Options options, Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      voter_(options_.lease, now),
      pool_(1 - options_.reserve) {
  ScheduleCandidacy(now);
}

double Node::Reserve() const {
  return HasVote() ? options_.reserve / static_cast<double>(options_.configured_members) : 0;
}

Node::ShareLease Node::share_lease() const {
  const double reserve = Reserve();
  if (!has_grant_) return {reserve, {}, reserve};
  return {reserve + grant_.share, grant_until_, reserve};
}

// ---- membership ----------------------------------------------------------------------------------------

void Node::OnPeer(Time now, const peers::Event& event) {
  using Kind = peers::Event::Kind;
  const peers::Member& member = event.member;
  switch (event.kind) {
    case Kind::kJoined:
    case Kind::kReturned:
    case Kind::kCleared: {
      if (member.name == options_.name) return;
      std::erase_if(peers_,
                    [&](const auto& p) { return p.second.name == member.name && p.first != member.boot; });
      Peer& peer = peers_[member.boot];
      peer.name = member.name, peer.address = member.address;
      break;
    }
    case Kind::kFailed:
    case Kind::kLeft:
      std::erase_if(peers_, [&](const auto& p) { return p.second.name == member.name; });
      break;
    case Kind::kNameHeld:
      Deactivate(now);
      break;
    case Kind::kNameRegained:
      deactivated_ = false;
      voter_ = Voter(options_.lease, now);  // the process that had the name may have promised its support
      ScheduleCandidacy(now);
      break;
    default:
      break;
  }
}

void Node::Deactivate(Time now) {
  if (candidate_) StepDown(now);
  deactivated_ = true;
  has_grant_ = false;
}

// ---- election and grants -------------------------------------------------------------------------------

// Sets the time to stand as a candidate: after an allocator would have been heard, and staggered by the order
// of names, so that the candidates do not all stand at once.
void Node::ScheduleCandidacy(Time now) {
  const auto rank = std::min<std::ptrdiff_t>(
      kCandidateRanks, std::count_if(peers_.begin(), peers_.end(),
                                     [this](const auto& p) { return p.second.name < options_.name; }));
  const Span stagger =
      options_.lease * rank / kCandidateRanks + options_.lease * static_cast<int>(random_() % 100) / 800;
  candidacy_due_ = std::max(voter_.until(), now + LengthenedByDrift(options_.lease)) + stagger;
}

void Node::StartCandidacy(Time now) {
  // Without a majority in sight a candidacy can't succeed, and would only bind the votes of members that
  // might support another candidate.
  if (!HasVote() || peers_.size() + 1 < Majority()) return ScheduleCandidacy(now);
  candidate_ = true;
  candidate_since_ = now;
  term_ = {voter_.highest_term() + 1, options_.boot};
  for (auto& [boot, peer] : peers_) peer.reply_number = 0;
  StartRound(now);
}

void Node::StepDown(Time now) {
  candidate_ = false;
  authority_until_ = {};
  if (std::exchange(elected_, false)) events_.push_back({Event::Kind::kLostAllocator, ""});
  ScheduleCandidacy(now);
  // Random delay, so that two candidates that split the votes do not stand at the same time again.
  candidacy_due_ += options_.lease * static_cast<int>(random_() % 100) / 100;
}

// Asks all members for their support and, while this proxy has that of a majority, grants shares.
void Node::StartRound(Time now) {
  round_due_ = now + options_.lease / kRoundsPerLease;
  ++round_;
  rounds_[round_ % rounds_.size()] = {round_, now, {}};
  if (voter_.RequestVote(now, term_)) OnSupport(round_, options_.member_index);
  pool_.Tick(now);
  std::vector<std::uint64_t> holders{options_.boot};
  std::vector<double> rates{rate_};
  const bool allocates = IsAllocator(now);
  for (const auto& [boot, peer] : peers_) {
    if (peer.reply_number == 0 || now - peer.replied_at >= options_.lease) continue;
    holders.push_back(boot);
    rates.push_back(peer.rate);
  }
  const std::vector<double> parts = DivideByRates(pool_.size(), rates);
  const Span duration = std::min(options_.lease, authority_until_ - now);
  if (allocates) {
    grant_term_ = term_;
    grant_ = pool_.Issue(now, options_.boot, parts[0], duration, 0);
    grant_until_ = now + ShortenedByDrift(grant_.duration);
    pool_.OnAccepted(options_.boot, grant_.number);
    if (!std::exchange(has_grant_, true)) events_.push_back({Event::Kind::kGranted, options_.name});
  }
  std::size_t next = 1;
  for (const auto& [boot, peer] : peers_) {
    Message claim;
    claim.term = term_;
    claim.round = round_;
    if (next < holders.size() && holders[next] == boot) {
      if (allocates) claim.grant = pool_.Issue(now, boot, parts[next], duration, peer.reply_number);
      ++next;
    }
    outgoing_.push_back({peer.address, claim});
  }
}

void Node::OnSupport(std::uint64_t number, std::uint32_t member_index) {
  Round& round = rounds_[number % rounds_.size()];
  if (round.number != number) return;
  round.supporters.insert(member_index);
  if (round.supporters.size() < Majority()) return;
  authority_until_ = std::max(authority_until_, round.sent + ShortenedByDrift(options_.lease));
  if (!std::exchange(elected_, true)) {
    events_.push_back({Event::Kind::kBecameAllocator, ""});
    round_due_ = round.sent;  // start the next round at once: the members wait for their grants
  }
}

// ---- messages ------------------------------------------------------------------------------------------

void Node::Receive(Time now, std::uint64_t boot, const Message& message) {
  const auto from = peers_.find(boot);
  if (from == peers_.end() || deactivated_) return;
  if (message.kind == Message::Kind::kClaim) {
    OnClaim(now, boot, from->second, message);
  } else {
    OnReply(now, boot, &from->second, message);
  }
}

void Node::OnClaim(Time now, std::uint64_t boot, const Peer& from, const Message& message) {
  if (message.term.boot != boot) return;  // a member may claim only for itself
  const bool supports = HasVote() && voter_.RequestVote(now, message.term);
  voter_.ObserveTerm(message.term.number);
  if (candidate_ && message.term > term_ && !IsAllocator(now)) StepDown(now);
  // A grant is accepted also without this proxy's support: only a candidate with a majority issues grants.
  const bool later =
      message.term > grant_term_ || (message.term == grant_term_ && message.grant.number > grant_.number);
  const auto& [number, sent] = replies_[message.grant.reply_number % replies_.size()];
  if (message.grant.reply_number != 0 && later && number == message.grant.reply_number) {
    grant_term_ = message.term;
    grant_ = message.grant;
    grant_until_ = sent + ShortenedByDrift(message.grant.duration);
    if (!std::exchange(has_grant_, true)) events_.push_back({Event::Kind::kGranted, from.name});
    if (std::exchange(allocator_boot_, boot) != boot)
      events_.push_back({Event::Kind::kFollowsAllocator, from.name});
  }
  if (supports && !candidate_) ScheduleCandidacy(now);
  Message reply;
  reply.kind = Message::Kind::kReply;
  reply.term = message.term;
  reply.round = supports ? message.round : 0;
  reply.highest_term = voter_.highest_term();
  reply.number = ++last_reply_;
  reply.member_index = options_.member_index;
  reply.accepted_grant = grant_term_ == message.term ? grant_.number : 0;
  reply.rate = rate_;
  replies_[last_reply_ % replies_.size()] = {last_reply_, now};
  outgoing_.push_back({from.address, reply});
}

void Node::OnReply(Time now, std::uint64_t boot, Peer* from, const Message& message) {
  voter_.ObserveTerm(message.highest_term);
  if (!candidate_ || message.term != term_) return;
  if (message.number > from->reply_number)
    from->reply_number = message.number, from->replied_at = now, from->rate = message.rate;
  pool_.OnAccepted(boot, message.accepted_grant);
  if (message.round != 0 && message.member_index < options_.configured_members &&
      message.member_index != options_.member_index)
    OnSupport(message.round, message.member_index);
}

// ---- timers --------------------------------------------------------------------------------------------

void Node::Tick(Time now) {
  if (has_grant_ && now >= grant_until_) {
    has_grant_ = false;
    allocator_boot_ = 0;
    events_.push_back({Event::Kind::kGrantExpired, ""});
  }
  if (deactivated_) return;
  if (candidate_ && now >= authority_until_ &&
      now - std::max(candidate_since_, authority_until_) >= options_.lease)
    StepDown(now);
  if (candidate_ && now >= round_due_) StartRound(now);
  if (!candidate_ && now >= candidacy_due_) StartCandidacy(now);
}

Time Node::NextDue() const {
  Time due = has_grant_ ? grant_until_ : Time::max();
  if (deactivated_) return due;
  return std::min(due, candidate_ ? round_due_ : candidacy_due_);
}

}  // namespace kestrelline::quota

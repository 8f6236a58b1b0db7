// SPDX-License-Identifier: Apache-2.0
#include "concert/node.h"

#include <algorithm>

namespace kestrelline::quota {
namespace {

// With four, a fifth of all datagrams lost left something unused four fifths of the time; with eight: see the
// note.
constexpr int kAsksALease = 8;
constexpr int kRanks = 16;  // that stand one after the other; all others with the last

}  // namespace

Node::Node(Options options, Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      voter_(options_.lease, now),
      pool_(1 - options_.reserve) {
  Wait(now);
}

double Node::Reserve() const {
  return Votes() ? options_.reserve / static_cast<double>(options_.configured_members) : 0;
}

Node::ShareLease Node::standing() const {
  const double reserve = Reserve();
  if (!has_grant_) return {reserve, {}, reserve};
  return {reserve + granted_.share, granted_until_, reserve};
}

// ---- who there is --------------------------------------------------------------------------------------

void Node::OnPeer(Time now, const peers::Event& event) {
  using Kind = peers::Event::Kind;
  const peers::Member& m = event.member;
  switch (event.kind) {
    case Kind::kJoined:
    case Kind::kReturned:
    case Kind::kCleared: {
      if (m.name == options_.name) return;
      std::erase_if(peers_, [&](const auto& p) { return p.second.name == m.name && p.first != m.boot; });
      Peer& peer = peers_[m.boot];
      peer.name = m.name, peer.address = m.address;
      break;
    }
    case Kind::kFailed:
    case Kind::kLeft:
      std::erase_if(peers_, [&](const auto& p) { return p.second.name == m.name; });
      break;
    case Kind::kNameHeld:
      Quit(now);
      break;
    case Kind::kNameRegained:
      quiet_ = false;
      voter_ = Voter(options_.lease, now);  // the other one may have promised something
      Wait(now);
      break;
    default:
      break;
  }
}

void Node::Quit(Time now) {
  if (leading_) StepBack(now);
  quiet_ = true;
  has_grant_ = false;
}

// ---- leading -------------------------------------------------------------------------------------------

// Until somebody should have been heard: whoever comes first by name is first to stand.
void Node::Wait(Time now) {
  const auto rank = std::min<std::ptrdiff_t>(
      kRanks, std::count_if(peers_.begin(), peers_.end(),
                            [this](const auto& p) { return p.second.name < options_.name; }));
  const Span late = options_.lease * rank / kRanks + options_.lease * static_cast<int>(random_() % 100) / 800;
  stand_due_ = std::max(voter_.until(), now + Longer(options_.lease)) + late;
}

void Node::Stand(Time now) {
  // Where so few are seen that they cannot be enough, asking would only bind those that might support
  // another.
  if (!Votes() || peers_.size() + 1 < Majority()) return Wait(now);
  leading_ = true;
  stood_at_ = now;
  term_ = {voter_.greatest() + 1, options_.boot};
  for (auto& [boot, peer] : peers_) peer.word = 0;
  Ask(now);
}

void Node::StepBack(Time now) {
  leading_ = false;
  authority_until_ = {};
  if (std::exchange(led_, false)) events_.push_back({Event::Kind::kLed, ""});
  Wait(now);
  stand_due_ += options_.lease * static_cast<int>(random_() % 100) / 100;  // two that split the votes part
}

// One round: asks all for their support and, while it has that of enough, grants.
void Node::Ask(Time now) {
  ask_due_ = now + options_.lease / kAsksALease;
  ++round_;
  rounds_[round_ % rounds_.size()] = {round_, now, {}};
  if (voter_.Ask(now, term_)) OnSupport(round_, options_.member_index);
  pool_.Tick(now);
  std::vector<std::uint64_t> holders{options_.boot};
  std::vector<double> rates{rate_};
  const bool leads = Leads(now);
  for (const auto& [boot, peer] : peers_) {
    if (peer.word == 0 || now - peer.word_at >= options_.lease) continue;
    holders.push_back(boot);
    rates.push_back(peer.rate);
  }
  const std::vector<double> parts = Divided(pool_.size(), rates);
  const Span lasts = std::min(options_.lease, authority_until_ - now);
  if (leads) {
    granted_by_ = term_;
    granted_ = pool_.Give(now, options_.boot, parts[0], lasts, 0);
    granted_until_ = now + Shorter(granted_.lasts);
    pool_.OnTaken(options_.boot, granted_.number);
    if (!std::exchange(has_grant_, true)) events_.push_back({Event::Kind::kGranted, options_.name});
  }
  std::size_t next = 1;
  for (const auto& [boot, peer] : peers_) {
    Message claim;
    claim.term = term_;
    claim.round = round_;
    if (next < holders.size() && holders[next] == boot) {
      if (leads) claim.grant = pool_.Give(now, boot, parts[next], lasts, peer.word);
      ++next;
    }
    outgoing_.push_back({peer.address, claim});
  }
}

void Node::OnSupport(std::uint64_t round, std::uint32_t place) {
  Round& r = rounds_[round % rounds_.size()];
  if (r.number != round) return;
  r.supporters.insert(place);
  if (r.supporters.size() < Majority()) return;
  authority_until_ = std::max(authority_until_, r.sent + Shorter(options_.lease));
  if (!std::exchange(led_, true)) {
    events_.push_back({Event::Kind::kLeads, ""});
    ask_due_ = r.sent;  // others wait for their grants
  }
}

// ---- what comes ----------------------------------------------------------------------------------------

void Node::Receive(Time now, std::uint64_t boot, const Message& m) {
  const auto from = peers_.find(boot);
  if (from == peers_.end() || quiet_) return;
  if (m.kind == Message::Kind::kClaim) {
    OnClaim(now, boot, from->second, m);
  } else {
    OnWord(now, boot, &from->second, m);
  }
}

void Node::OnClaim(Time now, std::uint64_t boot, const Peer& from, const Message& m) {
  if (m.term.boot != boot) return;  // nobody speaks for another
  const bool supports = Votes() && voter_.Ask(now, m.term);
  voter_.Learn(m.term.number);
  if (leading_ && m.term > term_ && !Leads(now)) StepBack(now);
  // Whoever has what it takes grants: without that there is none.
  const bool later = m.term > granted_by_ || (m.term == granted_by_ && m.grant.number > granted_.number);
  const auto& [number, sent] = words_[m.grant.answers % words_.size()];
  if (m.grant.answers != 0 && later && number == m.grant.answers) {
    granted_by_ = m.term;
    granted_ = m.grant;
    granted_until_ = sent + Shorter(m.grant.lasts);
    if (!std::exchange(has_grant_, true)) events_.push_back({Event::Kind::kGranted, from.name});
    if (std::exchange(follows_, boot) != boot) events_.push_back({Event::Kind::kFollows, from.name});
  }
  if (supports && !leading_) Wait(now);
  Message word;
  word.kind = Message::Kind::kWord;
  word.term = m.term;
  word.round = supports ? m.round : 0;
  word.greatest = voter_.greatest();
  word.number = ++word_;
  word.place = options_.member_index;
  word.taken = granted_by_ == m.term ? granted_.number : 0;
  word.rate = rate_;
  words_[word_ % words_.size()] = {word_, now};
  outgoing_.push_back({from.address, word});
}

void Node::OnWord(Time now, std::uint64_t boot, Peer* from, const Message& m) {
  voter_.Learn(m.greatest);
  if (!leading_ || m.term != term_) return;
  if (m.number > from->word) from->word = m.number, from->word_at = now, from->rate = m.rate;
  pool_.OnTaken(boot, m.taken);
  if (m.round != 0 && m.place < options_.configured_members && m.place != options_.member_index)
    OnSupport(m.round, m.place);
}

// ---- time ----------------------------------------------------------------------------------------------

void Node::Tick(Time now) {
  if (has_grant_ && now >= granted_until_) {
    has_grant_ = false;
    follows_ = 0;
    events_.push_back({Event::Kind::kLapsed, ""});
  }
  if (quiet_) return;
  if (leading_ && now >= authority_until_ && now - std::max(stood_at_, authority_until_) >= options_.lease)
    StepBack(now);
  if (leading_ && now >= ask_due_) Ask(now);
  if (!leading_ && now >= stand_due_) Stand(now);
}

Time Node::NextDue() const {
  Time due = has_grant_ ? granted_until_ : Time::max();
  if (quiet_) return due;
  return std::min(due, leading_ ? ask_due_ : stand_due_);
}

}  // namespace kestrelline::quota

// SPDX-License-Identifier: Apache-2.0
#include "peers/view.h"

#include <utility>

namespace kestrelline::peers {

View::View(Member self, Time now, Span fresh) : self_name_(self.name), fresh_(fresh) {
  Store(self_name_, self, now);
}

View::Entry* View::Find(std::string_view name) {
  const auto entry = entries_.find(name);
  return entry == entries_.end() ? nullptr : &entry->second;
}

void View::UpdateTotals(const Member& member, bool add) {
  const std::size_t delta = add ? 1 : std::size_t(-1);
  if (member.state == State::kFaulty) faulty_ += delta;
  if (!Present(member.state)) return;
  present_ += delta;
  hash_ ^= IdentityHash(member);
  digest_[BucketOf(member.name)] ^= static_cast<std::uint32_t>(StatementHash(member));
}

void View::Store(std::string_view name, const Member& member, Time now) {
  const auto [position, is_new] = entries_.try_emplace(std::string(name));
  Entry& entry = position->second;
  if (!is_new) UpdateTotals(entry.member, false);
  if (is_new || entry.member.state != member.state || entry.member.boot != member.boot) entry.changed = now;
  if (entry.member.boot != member.boot) {
    entry.last_heard = {};
    entry.reported_view_hash = 0;
    entry.deviation = 0;
  }
  if (member.state != State::kSuspect || entry.member.incarnation != member.incarnation)
    entry.accusers.clear();
  entry.member = member;
  UpdateTotals(entry.member, true);
}

View::MergeResult View::Merge(const Member& statement, Source source, Time now, bool learning) {
  if (statement.name == self_name_) return MergeResult::kUnchanged;
  const Entry* held = Find(statement.name);
  if (!held) {
    if (!Present(statement.state) && !learning) return MergeResult::kUnknown;
    if (statement.address.port == 0) return MergeResult::kUnknown;  // a short statement has no address
    if (entries_.size() >= kMaxMembers && !EvictOldest()) {
      ++rejected_;
      return MergeResult::kFull;
    }
    Store(statement.name, statement, now);
    return MergeResult::kStored;
  }
  // Short statements are completed from the entry, which works only for the same boot.
  Member whole = statement;
  if (statement.address.port == 0) {
    if (statement.boot != held->member.boot) return MergeResult::kUnchanged;
    whole.address = held->member.address;
    whole.zone = held->member.zone;
    whole.version = held->member.version;
    whole.wire = held->member.wire;
  }
  if (!Supersedes(whole, held->member)) return MergeResult::kUnchanged;
  // A copy may be outdated, and gossip may declare a member faulty that still answers this proxy. Such a
  // failure is stored as a suspicion only, which the member can refute before anyone acts on it.
  const bool doubtful =
      source == Source::kExchange || (source == Source::kGossip && now - held->last_heard < fresh_);
  if (whole.state == State::kFaulty && whole.boot == held->member.boot && Present(held->member.state) &&
      doubtful) {
    whole.state = State::kSuspect;
    if (!Supersedes(whole, held->member)) return MergeResult::kUnchanged;
    Store(whole.name, whole, now);
    return MergeResult::kStoredAsSuspect;
  }
  Store(whole.name, whole, now);
  return MergeResult::kStored;
}

bool View::EvictOldest() {
  auto oldest = entries_.end();
  const auto before = [](const Entry& a, const Entry& b) {
    const bool a_left = a.member.state == State::kLeft, b_left = b.member.state == State::kLeft;
    return a_left != b_left ? a_left : a.changed < b.changed;
  };
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (Present(it->second.member.state)) continue;
    if (oldest == entries_.end() || before(it->second, oldest->second)) oldest = it;
  }
  if (oldest == entries_.end()) return false;
  UpdateTotals(oldest->second.member, false);
  entries_.erase(oldest);
  return true;
}

std::size_t View::Forget(Time now, Span left, Span failed) {
  std::size_t forgotten = 0;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& entry = it->second;
    const State state = entry.member.state;
    if (Present(state) || now - entry.changed < (state == State::kLeft ? left : failed)) {
      ++it;
      continue;
    }
    UpdateTotals(entry.member, false);
    it = entries_.erase(it);
    ++forgotten;
  }
  return forgotten;
}

}  // namespace kestrelline::peers

// SPDX-License-Identifier: Apache-2.0
#include "peers/view.h"

#include <utility>

namespace kestrelline::peers {

View::View(Member self, Time now, Span fresh) : self_name_(self.name), fresh_(fresh) {
  Store(self_name_, self, now);
}

View::Entry* View::Find(std::string_view name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

void View::Account(const Member& member, bool add) {
  const std::size_t one = add ? 1 : std::size_t(-1);
  if (member.state == State::kFaulty) faulty_ += one;
  if (!Present(member.state)) return;
  present_ += one;
  hash_ ^= IdentityHash(member);
  digest_[BucketOf(member.name)] ^= static_cast<std::uint32_t>(StatementHash(member));
}

void View::Store(std::string_view name, const Member& member, Time now) {
  const auto [at, is_new] = entries_.try_emplace(std::string(name));
  Entry& entry = at->second;
  if (!is_new) Account(entry.member, false);
  if (is_new || entry.member.state != member.state || entry.member.boot != member.boot) entry.changed = now;
  if (entry.member.boot != member.boot) {
    entry.heard = {};
    entry.its_view = 0;
    entry.deviation = 0;
  }
  if (member.state != State::kSuspect || entry.member.incarnation != member.incarnation)
    entry.accusers.clear();
  entry.member = member;
  Account(entry.member, true);
}

View::Merged View::Merge(const Member& statement, Source source, Time now, bool learning) {
  if (statement.name == self_name_) return Merged::kOld;
  const Entry* held = Find(statement.name);
  if (!held) {
    if (!Present(statement.state) && !learning) return Merged::kUnknown;
    if (statement.address.port == 0) return Merged::kUnknown;  // a short statement tells of no address
    if (entries_.size() >= kMostMembers && !MakeRoom()) {
      ++refused_;
      return Merged::kFull;
    }
    Store(statement.name, statement, now);
    return Merged::kStored;
  }
  // Short statements leave out what they do not change; of another boot they say nothing that can be kept.
  Member whole = statement;
  if (statement.address.port == 0) {
    if (statement.boot != held->member.boot) return Merged::kOld;
    whole.address = held->member.address;
    whole.zone = held->member.zone;
    whole.version = held->member.version;
    whole.wire = held->member.wire;
  }
  if (!Wins(whole, held->member)) return Merged::kOld;
  // A copy may be older than the member's own word on it, and news may come of one that answers here: that
  // it is dead is then only a suspicion, which the member can take back before anybody acts on it.
  const bool doubtful =
      source == Source::kExchange || (source == Source::kNews && now - held->heard < fresh_);
  if (whole.state == State::kFaulty && whole.boot == held->member.boot && Present(held->member.state) &&
      doubtful) {
    whole.state = State::kSuspect;
    if (!Wins(whole, held->member)) return Merged::kOld;
    Store(whole.name, whole, now);
    return Merged::kDoubted;
  }
  Store(whole.name, whole, now);
  return Merged::kStored;
}

bool View::MakeRoom() {
  auto oldest = entries_.end();
  const auto before = [](const Entry& a, const Entry& b) {
    const bool a_left = a.member.state == State::kLeft, b_left = b.member.state == State::kLeft;
    return a_left != b_left ? a_left : a.changed < b.changed;
  };
  for (auto at = entries_.begin(); at != entries_.end(); ++at) {
    if (Present(at->second.member.state)) continue;
    if (oldest == entries_.end() || before(at->second, oldest->second)) oldest = at;
  }
  if (oldest == entries_.end()) return false;
  Account(oldest->second.member, false);
  entries_.erase(oldest);
  return true;
}

std::size_t View::Forget(Time now, Span left, Span failed) {
  std::size_t forgotten = 0;
  for (auto at = entries_.begin(); at != entries_.end();) {
    const Entry& entry = at->second;
    const State state = entry.member.state;
    if (Present(state) || now - entry.changed < (state == State::kLeft ? left : failed)) {
      ++at;
      continue;
    }
    Account(entry.member, false);
    at = entries_.erase(at);
    ++forgotten;
  }
  return forgotten;
}

}  // namespace kestrelline::peers

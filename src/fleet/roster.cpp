// SPDX-License-Identifier: Apache-2.0
#include "fleet/roster.h"

#include <algorithm>

namespace kestrelline::fleet {
namespace {

constexpr kestrelline::Duration kForgetSoon{60000};
constexpr std::size_t kFewChanges = 1024;

}  // namespace

void Roster::Take(const ListUpdate& list) {
  if (list.kind != ListKind::kDelta) {
    // All that waits and is not begun is overtaken by it.
    while (!waiting_.empty() && waiting_.back().read == 0) waiting_.pop_back();
  }
  waiting_.push_back({list.kind, list.entries, 0});
}

bool Roster::Read(TimePoint now, const InUse& in_use, std::size_t* left) {
  if (waiting_.empty()) return false;
  List& list = waiting_.front();
  if (list.read == 0) changes_.clear(), staged_spots_.clear(), ++list_;
  std::size_t here = std::min(*left, list.entries.size() - list.read);
  if (waiting_.size() > kMostWaiting) here = list.entries.size() - list.read;
  const auto sorted = static_cast<std::ptrdiff_t>(staged_spots_.size());
  for (const std::size_t end = list.read + here; list.read < end; ++list.read)
    Stage(now, list.entries[list.read], in_use);
  std::sort(staged_spots_.begin() + sorted, staged_spots_.end());
  std::inplace_merge(staged_spots_.begin(), staged_spots_.begin() + sorted, staged_spots_.end());
  *left -= std::min(*left, std::max<std::size_t>(here, 1));
  if (list.read < list.entries.size()) return false;
  TakeEffect(now, list);
  waiting_.pop_front();
  return true;
}

// Finds the numbers that the entry will need; nothing that holds is changed.
void Roster::Stage(TimePoint now, const ServerEntry& entry, const InUse& in_use) {
  const auto found = numbers_.find(entry.server);
  const bool placed = found == numbers_.end();
  const Member member = placed ? NewNumber(now, in_use) : found->second;
  if (placed) {
    numbers_.emplace(entry.server, member);
    known_[member].entry.server = entry.server;
    known_[member].place = kestrelline::MixBits(entry.server);
  }
  known_[member].in_list = list_;
  changes_.push_back({member, placed, placed, ServerState::kGone, entry.state,
                      zones_.NumberOf(ZoneKey(entry.zone)),
                      cells_.NumberOf(CellKey({entry.zone, entry.cell}))});
  if (entry.state == ServerState::kReady) staged_spots_.push_back({known_[member].place, member});
}

// That of a server gone so long that no request can remember it, or a new one.
Member Roster::NewNumber(TimePoint now, const InUse& in_use) {
  while (!gone_.empty() && !StillGone(gone_.front())) gone_.pop_front();
  const auto kept = gone_.size() > options_.most_gone ? std::min(options_.forget_after, kForgetSoon)
                                                      : options_.forget_after;
  for (auto it = gone_.begin(); it != gone_.end() && now - it->first > kept; ++it) {
    if (!StillGone(*it) || known_[it->second].in_list == list_ || in_use(it->second)) continue;
    const Member member = it->second;
    gone_.erase(it);
    numbers_.erase(known_[member].entry.server);
    known_[member] = Known();
    known_[member].gone_since = now;
    return member;
  }
  known_.Add().gone_since = now;
  return static_cast<Member>(known_.size() - 1);
}

void Roster::TakeEffect(TimePoint now, const List& list) {
  for (std::size_t k = 0; k < list.entries.size(); ++k) {
    Change& change = changes_[k];
    const ServerEntry& entry = list.entries[k];
    Known& known = known_[change.member];
    change.started = change.placed || entry.up_since != known.entry.up_since;
    change.before = known.entry.state;
    if (change.zone_group != known.zone_group || change.cell_group != known.cell_group) {
      Ungroup(change.member);
      known.zone_group = change.zone_group, known.cell_group = change.cell_group;
    }
    known.entry = {entry.server, entry.zone, entry.cell, entry.state, entry.up_since};
    if (entry.state == ServerState::kGone && (change.before != entry.state || change.placed))
      NoteGone(now, change.member);
    Move(change.member);
  }
  if (list.kind != ListKind::kDelta) {
    for (Member member = 0; member < known_.size(); ++member) {
      Known& known = known_[member];
      if (known.in_list == list_ || known.entry.state == ServerState::kGone) continue;
      changes_.push_back({member, false, false, std::exchange(known.entry.state, ServerState::kGone)});
      NoteGone(now, member);
      Move(member);
    }
  }
  ChangeRings();
}

Roster::Side Roster::SideOf(const Known& known) const {
  if (known.entry.state != ServerState::kReady) return kNoSide;
  return known.entry.zone == options_.zone ? kHomeSide : kAwaySide;
}

// Leaves what it is no longer of, and is marked to join what it is of now.
void Roster::Move(Member member) {
  Known& known = known_[member];
  const Side side = SideOf(known);
  if (side == kNoSide) Ungroup(member);
  if (side != kNoSide && !std::exchange(known.grouped, true)) {
    zones_.Add(known.zone_group, member);
    cells_.Add(known.cell_group, member);
  }
  if (side == known.side) return;
  known.joins = side != kNoSide;
  some_join_ |= known.joins;
  if (known.side != kNoSide) {
    if (options_.apart) leaving_[known.side].push_back({known.place, member});
    leaving_[0].push_back({known.place, member});
  }
  known.side = side;
}

// Those that have gone leave the rings and those that have come join them: no ring is made anew for a few.
void Roster::ChangeRings() {
  if (!std::exchange(some_join_, false)) staged_spots_.clear();
  std::vector<Spot> joining[3];
  std::erase_if(staged_spots_, [&](const Spot& spot) {
    Known& known = known_[spot.member];
    if (!std::exchange(known.joins, false)) return true;
    if (options_.apart) joining[known.side].push_back(spot);
    return false;
  });
  for (int k = 0; k < (options_.apart ? 3 : 1); ++k) {
    rings_[k].Change(&leaving_[k], k == 0 ? staged_spots_ : joining[k], [this, k](Member m) {
      return k == 0 ? known_[m].side != kNoSide : known_[m].side == k;
    });
    leaving_[k].clear();
  }
}

void Roster::DropChanges() {
  if (changes_.capacity() <= kFewChanges) return;
  std::vector<Change>().swap(changes_);
  std::vector<Spot>().swap(staged_spots_);
}

void Roster::Ungroup(Member member) {
  Known& known = known_[member];
  if (!std::exchange(known.grouped, false)) return;
  zones_.Remove(known.zone_group, member);
  cells_.Remove(known.cell_group, member);
}

bool Roster::StillGone(const std::pair<TimePoint, Member>& gone) const {
  const Known& known = known_[gone.second];
  return known.entry.state == ServerState::kGone && known.gone_since == gone.first;
}

// In the order in which they went. Those that came back meanwhile are skipped, and swept out once they are
// the most.
void Roster::NoteGone(TimePoint now, Member member) {
  known_[member].gone_since = now;
  gone_.emplace_back(now, member);
  if (gone_.size() > 2 * known_.size())
    std::erase_if(gone_, [this](const auto& gone) { return !StillGone(gone); });
}

}  // namespace kestrelline::fleet

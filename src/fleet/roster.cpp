// SPDX-License-Identifier: Apache-2.0
#include "fleet/roster.h"

#include <algorithm>

namespace kestrelline::fleet {
namespace {

constexpr kestrelline::Duration kMinForgetAfter{60000};
constexpr std::size_t kRetainedChanges = 1024;

}  // namespace

void Roster::Take(const ListUpdate& list) {
  if (list.kind != ListKind::kDelta) {
    // A full list supersedes all waiting lists of which nothing was read yet.
    while (!waiting_.empty() && waiting_.back().read == 0) waiting_.pop_back();
  }
  waiting_.push_back({list.kind, list.entries, 0});
}

bool Roster::Read(TimePoint now, const InUse& in_use, std::size_t* left) {
  if (waiting_.empty()) return false;
  List& list = waiting_.front();
  if (list.read == 0) changes_.clear(), staged_points_.clear(), ++list_;
  std::size_t count = std::min(*left, list.entries.size() - list.read);
  if (waiting_.size() > kMaxWaiting) count = list.entries.size() - list.read;
  const auto sorted = static_cast<std::ptrdiff_t>(staged_points_.size());
  for (const std::size_t end = list.read + count; list.read < end; ++list.read)
    Stage(now, list.entries[list.read], in_use);
  std::sort(staged_points_.begin() + sorted, staged_points_.end());
  std::inplace_merge(staged_points_.begin(), staged_points_.begin() + sorted, staged_points_.end());
  *left -= std::min(*left, std::max<std::size_t>(count, 1));
  if (list.read < list.entries.size()) return false;
  TakeEffect(now, list);
  waiting_.pop_front();
  return true;
}

// Allocates the numbers that the entry will need, without changing anything that is in effect.
void Roster::Stage(TimePoint now, const ServerEntry& entry, const InUse& in_use) {
  const auto found = numbers_.find(entry.server);
  const bool placed = found == numbers_.end();
  const Member member = placed ? NewNumber(now, in_use) : found->second;
  if (placed) {
    numbers_.emplace(entry.server, member);
    members_[member].entry.server = entry.server;
    members_[member].place = kestrelline::MixBits(entry.server);
  }
  members_[member].in_list = list_;
  changes_.push_back({member, placed, placed, ServerState::kGone, entry.state,
                      zones_.NumberOf(ZoneKey(entry.zone)),
                      cells_.NumberOf(CellKey({entry.zone, entry.cell}))});
  if (entry.state == ServerState::kReady) staged_points_.push_back({members_[member].place, member});
}

// Reuses the number of a server that has been gone long enough and is not in use; else returns a new one.
Member Roster::NewNumber(TimePoint now, const InUse& in_use) {
  while (!gone_.empty() && !StillGone(gone_.front())) gone_.pop_front();
  const auto kept = gone_.size() > options_.max_gone ? std::min(options_.forget_after, kMinForgetAfter)
                                                     : options_.forget_after;
  for (auto it = gone_.begin(); it != gone_.end() && now - it->first > kept; ++it) {
    if (!StillGone(*it) || members_[it->second].in_list == list_ || in_use(it->second)) continue;
    const Member member = it->second;
    gone_.erase(it);
    numbers_.erase(members_[member].entry.server);
    members_[member] = MemberRecord();
    members_[member].gone_since = now;
    return member;
  }
  members_.Add().gone_since = now;
  return static_cast<Member>(members_.size() - 1);
}

void Roster::TakeEffect(TimePoint now, const List& list) {
  for (std::size_t k = 0; k < list.entries.size(); ++k) {
    Change& change = changes_[k];
    const ServerEntry& entry = list.entries[k];
    MemberRecord& record = members_[change.member];
    change.started = change.placed || entry.up_since != record.entry.up_since;
    change.before = record.entry.state;
    if (change.zone_group != record.zone_group || change.cell_group != record.cell_group) {
      Ungroup(change.member);
      record.zone_group = change.zone_group, record.cell_group = change.cell_group;
    }
    record.entry = {entry.server, entry.zone, entry.cell, entry.state, entry.up_since};
    if (entry.state == ServerState::kGone && (change.before != entry.state || change.placed))
      RecordGone(now, change.member);
    Move(change.member);
  }
  if (list.kind != ListKind::kDelta) {
    for (Member member = 0; member < members_.size(); ++member) {
      MemberRecord& record = members_[member];
      if (record.in_list == list_ || record.entry.state == ServerState::kGone) continue;
      changes_.push_back({member, false, false, std::exchange(record.entry.state, ServerState::kGone)});
      RecordGone(now, member);
      Move(member);
    }
  }
  ChangeRings();
}

Roster::Side Roster::SideOf(const MemberRecord& record) const {
  if (record.entry.state != ServerState::kReady) return kNoSide;
  return record.entry.zone == options_.zone ? kHomeSide : kAwaySide;
}

// Updates the groups of a member, and schedules it to leave and join rings.
void Roster::Move(Member member) {
  MemberRecord& record = members_[member];
  const Side side = SideOf(record);
  if (side == kNoSide) Ungroup(member);
  if (side != kNoSide && !std::exchange(record.grouped, true)) {
    zones_.Add(record.zone_group, member);
    cells_.Add(record.cell_group, member);
  }
  if (side == record.side) return;
  record.joins = side != kNoSide;
  some_join_ |= record.joins;
  if (record.side != kNoSide) {
    if (options_.separate_zones) leaving_[record.side].push_back({record.place, member});
    leaving_[0].push_back({record.place, member});
  }
  record.side = side;
}

// Applies scheduled changes to the rings, without rebuilding a ring for a few members.
void Roster::ChangeRings() {
  if (!std::exchange(some_join_, false)) staged_points_.clear();
  std::vector<RingPoint> joining[3];
  std::erase_if(staged_points_, [&](const RingPoint& point) {
    MemberRecord& record = members_[point.member];
    if (!std::exchange(record.joins, false)) return true;
    if (options_.separate_zones) joining[record.side].push_back(point);
    return false;
  });
  for (int k = 0; k < (options_.separate_zones ? 3 : 1); ++k) {
    rings_[k].Change(&leaving_[k], k == 0 ? staged_points_ : joining[k], [this, k](Member m) {
      return k == 0 ? members_[m].side != kNoSide : members_[m].side == k;
    });
    leaving_[k].clear();
  }
}

void Roster::DropChanges() {
  if (changes_.capacity() <= kRetainedChanges) return;
  std::vector<Change>().swap(changes_);
  std::vector<RingPoint>().swap(staged_points_);
}

void Roster::Ungroup(Member member) {
  MemberRecord& record = members_[member];
  if (!std::exchange(record.grouped, false)) return;
  zones_.Remove(record.zone_group, member);
  cells_.Remove(record.cell_group, member);
}

bool Roster::StillGone(const std::pair<TimePoint, Member>& gone) const {
  const MemberRecord& record = members_[gone.second];
  return record.entry.state == ServerState::kGone && record.gone_since == gone.first;
}

// Appends in order of time. Entries of members that came back are skipped by readers, and erased once they
// are more than half.
void Roster::RecordGone(TimePoint now, Member member) {
  members_[member].gone_since = now;
  gone_.emplace_back(now, member);
  if (gone_.size() > 2 * members_.size())
    std::erase_if(gone_, [this](const auto& gone) { return !StillGone(gone); });
}

}  // namespace kestrelline::fleet

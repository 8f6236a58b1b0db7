// SPDX-License-Identifier: Apache-2.0
#include "fleet/pick_index.h"

namespace kestrelline::fleet {
namespace {

constexpr std::size_t kMinPlaces = 64;  // capacity doubles, so that Enter takes amortized constant time

}  // namespace

void PickIndex::Enter(Member member, Side side) {
  if (Has(member)) return;
  places_.GrowTo(member + 1, kOut);
  auto& members = members_[side];
  auto& empty = empty_[side];
  if (empty.empty()) {
    const auto old = static_cast<LeastWork::Position>(members.size());
    members.resize(std::max<std::size_t>(kMinPlaces, members.size() * 2), kNoMember);
    keys_[side].Resize(members.size());
    for (auto at = static_cast<LeastWork::Position>(members.size()); at > old;) empty.push_back(--at);
  }
  const LeastWork::Position at = empty.back();
  empty.pop_back();
  members[at] = member;
  places_[member] = at << 1 | side;
  ++size_;
}

void PickIndex::Leave(Member member) {
  if (!Has(member)) return;
  const auto [side, at] = Unpacked(places_[member]);
  keys_[side].Remove(at);
  members_[side][at] = kNoMember;
  empty_[side].push_back(at);
  places_[member] = kOut;
  --size_;
}

void PickIndex::Set(Member member, double work, double excess, TimePoint since) {
  if (!Has(member)) return;
  const auto [side, at] = Unpacked(places_[member]);
  keys_[side].Put(at, work, excess == 0 ? 0 : excess * std::exp((since - since_) / memory_));
}

void PickIndex::Hide(Member member) {
  if (!Has(member)) return;
  const auto [side, at] = Unpacked(places_[member]);
  keys_[side].Remove(at);
}

void PickIndex::Refresh(TimePoint now, double usual) {
  if (now - since_ < memory_ / 2) return;
  const double factor = std::exp((since_ - now) / memory_);
  for (LeastWork& keys : keys_) keys.Rescale(factor, usual);
  since_ = now;
}

bool PickIndex::IsConsistent() const {
  std::size_t found = 0;
  for (Member member = 0; member < places_.size(); ++member) {
    if (places_[member] == kOut) continue;
    const auto [side, at] = Unpacked(places_[member]);
    if (members_[side][at] != member) return false;
    ++found;
  }
  std::size_t empty = 0, places = 0;
  for (const Side side : {kHome, kAway}) {
    empty += empty_[side].size(), places += members_[side].size();
    for (std::size_t at = 0; at < members_[side].size(); ++at) {
      if (members_[side][at] == kNoMember && keys_[side].Holds(static_cast<LeastWork::Position>(at)))
        return false;
    }
    if (!keys_[side].IsConsistent()) return false;
  }
  return found == size_ && found + empty == places;
}

}  // namespace kestrelline::fleet

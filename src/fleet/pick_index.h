// SPDX-License-Identifier: Apache-2.0
//
// Index of the members that a pick chooses from, on two sides (the home zone and all others). Finds the least
//
//   work + asked * excess(now) (+ crossing, on the away side)
//
// in a time that hardly grows with the number of members. `excess` is a member's response time over the usual
// one, minus 1. All excesses decay with the time constant `memory`, so that a single factor brings all keys
// up to date.
//
// Memory: 12 bytes for each member number up to the highest in use, 24.3 for each member entered.
#ifndef KESTRELLINE_FLEET_PICK_INDEX_H_
#define KESTRELLINE_FLEET_PICK_INDEX_H_

#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

#include "fleet/least_work.h"
#include "fleet/table.h"
#include "kestrelline/balancer.h"

namespace kestrelline::fleet {

using Member = std::uint32_t;
inline constexpr Member kNoMember = ~Member{0};

class PickIndex {
 public:
  using Duration = kestrelline::Duration;
  using TimePoint = kestrelline::TimePoint;
  enum Side : std::uint8_t { kHome, kAway };

  explicit PickIndex(Duration memory) : memory_(memory) {}

  // Adds a member. It can be picked once Set has given it a key.
  void Enter(Member member, Side side);
  void Leave(Member member);
  bool Has(Member member) const { return member < places_.size() && places_[member] != kOut; }
  std::size_t size() const { return size_; }
  // True if it was entered on the other side.
  bool OnOtherSide(Member member, Side side) const { return Has(member) && (places_[member] & 1) != side; }

  // Sets the key of a member; `excess` (finite) is the value at `since`. Ignored unless it was entered.
  void Set(Member member, double work, double excess, TimePoint since);
  // Excludes a member from picks until Set is called again.
  void Hide(Member member);

  // Rescales all keys if that is due, every half `memory`, and optimizes the search for requests of `usual`
  // work.
  void Refresh(TimePoint now, double usual);

  // Returns the member with the least score, or kNoMember; `fits` and `below` as for LeastWork::Least. Ties
  // within a side are broken uniformly; of a tie between sides, each wins in proportion to its size.
  template <typename Fits, typename Below>
  Member Least(TimePoint now, double asked, double crossing, Fits&& fits, Below&& below) {
    const double faded = asked * std::exp((since_ - now) / memory_);
    const auto side_fits = [&](Side side) {
      return [this, side, &fits](LeastWork::Position at) { return fits(members_[side][at]); };
    };
    auto home = keys_[kHome].Least(faded, LeastWork::kNone, side_fits(kHome), below);
    const double less_than = home.at == LeastWork::kNoPosition
                                 ? LeastWork::kNone
                                 : std::nextafter(home.score - crossing, LeastWork::kNone);
    auto away = keys_[kAway].Least(faded, less_than, side_fits(kAway), below);
    if (away.at == LeastWork::kNoPosition)
      return home.at == LeastWork::kNoPosition ? kNoMember : members_[kHome][home.at];
    const bool tie = home.at != LeastWork::kNoPosition && away.score == home.score - crossing;
    if (tie && below(members_[kHome].size() + members_[kAway].size()) < members_[kHome].size())
      return members_[kHome][home.at];
    return members_[kAway][away.at];
  }

  // The score of a member that was entered, without the crossing.
  double Score(Member member, TimePoint now, double asked) const {
    const auto [side, at] = Unpacked(places_[member]);
    return keys_[side].Score(at, asked * std::exp((since_ - now) / memory_));
  }

  // A uniformly random member; kNoMember if the draw hit an empty position.
  template <typename Below>
  Member RandomMember(Below&& below) const {
    const std::uint64_t all = members_[kHome].size() + members_[kAway].size();
    if (all == 0) return kNoMember;
    const std::uint64_t at = below(all), homes = members_[kHome].size();
    return at < homes ? members_[kHome][at] : members_[kAway][at - homes];
  }

  template <typename Visit>
  void ForEach(Visit&& visit) const {
    for (const auto& side : members_) {
      for (const Member member : side) {
        if (member != kNoMember) visit(member);
      }
    }
  }

  // For tests: checks that positions, sizes and bounds agree. Linear in the number of members.
  bool IsConsistent() const;

 private:
  static constexpr std::uint32_t kOut = ~0u;  // other places: position << 1 | side

  static std::pair<Side, LeastWork::Position> Unpacked(std::uint32_t place) {
    return {static_cast<Side>(place & 1), place >> 1};
  }

  Duration memory_;
  TimePoint since_{};                                      // the moment for which excesses in keys hold
  Table<std::uint32_t> places_;                            // by member
  std::array<std::vector<Member>, 2> members_;             // by position
  std::array<std::vector<LeastWork::Position>, 2> empty_;  // free positions
  std::array<LeastWork, 2> keys_;
  std::size_t size_ = 0;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_PICK_INDEX_H_

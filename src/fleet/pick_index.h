// SPDX-License-Identifier: Apache-2.0
//
// The members that a pick chooses from, on two sides (the own zone and the others), and the least of
//
//   work + asked * excess(now) (+ crossing, on the away side)
//
// among them, in a time that hardly grows with their number. `excess` is what a member's answers take over
// the usual, less 1; it fades with time as all excesses do (by 1/e each `memory`), so that one factor for all
// of them brings the keys up to date and no key has to be touched for its age.
//
// Bounds: 12 bytes for each member number up to the highest in use, 24.3 for each member entered.
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
inline constexpr Member kNobody = ~Member{0};

class PickIndex {
 public:
  using Duration = kestrelline::Duration;
  using TimePoint = kestrelline::TimePoint;
  enum Side : std::uint8_t { kHome, kAway };

  explicit PickIndex(Duration memory) : memory_(memory) {}

  // A member that has entered is found once Set has given it a key.
  void Enter(Member member, Side side);
  void Leave(Member member);
  bool Has(Member member) const { return member < places_.size() && places_[member] != kOut; }
  std::size_t size() const { return size_; }
  // It has entered on another side.
  bool Differs(Member member, Side side) const { return Has(member) && (places_[member] & 1) != side; }

  // `excess` (finite) as it was at `since`. Ignored unless it has entered.
  void Set(Member member, double work, double excess, TimePoint since);
  // Not found until it is set again.
  void Hide(Member member);

  // Brings the keys of all members up to date where that is due, every half `memory`, and centres the search
  // on requests of `usual` work.
  void Refresh(TimePoint now, double usual);

  // The member of the least score, even among equal ones of a side; `fits` and `below` as LeastWork has them.
  // Of equal scores on both sides, each side has the chance that its number of members gives it.
  template <typename Fits, typename Below>
  Member Least(TimePoint now, double asked, double crossing, Fits&& fits, Below&& below) {
    const double faded = asked * std::exp((since_ - now) / memory_);
    const auto side_fits = [&](Side side) {
      return [this, side, &fits](LeastWork::Position at) { return fits(members_[side][at]); };
    };
    auto home = keys_[kHome].Least(faded, LeastWork::kNone, side_fits(kHome), below);
    const double less_than = home.at == LeastWork::kNowhere
                                 ? LeastWork::kNone
                                 : std::nextafter(home.score - crossing, LeastWork::kNone);
    auto away = keys_[kAway].Least(faded, less_than, side_fits(kAway), below);
    if (away.at == LeastWork::kNowhere)
      return home.at == LeastWork::kNowhere ? kNobody : members_[kHome][home.at];
    const bool tie = home.at != LeastWork::kNowhere && away.score == home.score - crossing;
    if (tie && below(members_[kHome].size() + members_[kAway].size()) < members_[kHome].size())
      return members_[kHome][home.at];
    return members_[kAway][away.at];
  }

  // The score by which Least judges a member that has entered, without a crossing.
  double Score(Member member, TimePoint now, double asked) const {
    const auto [side, at] = Unpacked(places_[member]);
    return keys_[side].Score(at, asked * std::exp((since_ - now) / memory_));
  }

  // One drawn evenly of all that entered; kNobody where the draw hit an empty place.
  template <typename Below>
  Member Drawn(Below&& below) const {
    const std::uint64_t all = members_[kHome].size() + members_[kAway].size();
    if (all == 0) return kNobody;
    const std::uint64_t at = below(all), homes = members_[kHome].size();
    return at < homes ? members_[kHome][at] : members_[kAway][at - homes];
  }

  template <typename Visit>
  void ForEach(Visit&& visit) const {
    for (const auto& side : members_) {
      for (const Member member : side) {
        if (member != kNobody) visit(member);
      }
    }
  }

  // For tests: places, sizes and bounds agree, by a look at every member.
  bool Sound() const;

 private:
  static constexpr std::uint32_t kOut = ~0u;  // a place: a position, and in the last bit its side

  static std::pair<Side, LeastWork::Position> Unpacked(std::uint32_t place) {
    return {static_cast<Side>(place & 1), place >> 1};
  }

  Duration memory_;
  TimePoint since_{};                                      // the moment that excesses in keys are of
  Table<std::uint32_t> places_;                            // by member
  std::array<std::vector<Member>, 2> members_;             // by position
  std::array<std::vector<LeastWork::Position>, 2> empty_;  // positions to be used again
  std::array<LeastWork, 2> keys_;
  std::size_t size_ = 0;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_PICK_INDEX_H_

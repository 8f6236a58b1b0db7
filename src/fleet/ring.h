// SPDX-License-Identifier: Apache-2.0
//
// Hash ring of members, stored as a sorted array. An update takes one pass over 8 bytes per member, and sorts
// only what changes.
#ifndef KESTRELLINE_FLEET_RING_H_
#define KESTRELLINE_FLEET_RING_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "fleet/pick_index.h"

namespace kestrelline::fleet {

struct RingPoint {
  std::uint32_t place = 0;  // hash of the member's id, the same in all processes
  Member member = kNoMember;
  auto operator<=>(const RingPoint&) const = default;
};

class Ring {
 public:
  std::size_t size() const { return points_.size(); }
  Member operator[](std::size_t k) const { return points_[k].member; }
  std::uint32_t PlaceOf(std::size_t k) const { return points_[k].place; }

  // Removes `leaving`, which are those for which `stays(member)` is false, and adds `joining`, which must be
  // sorted and not be on the ring. Sorts `leaving`.
  template <typename Stays>
  void Change(std::vector<RingPoint>* leaving, const std::vector<RingPoint>& joining, Stays&& stays) {
    if (leaving->size() > kFew) {
      std::erase_if(points_, [&](const RingPoint& point) { return !stays(point.member); });
    } else if (!leaving->empty()) {
      std::sort(leaving->begin(), leaving->end());
      auto next = leaving->begin();
      const auto first = std::lower_bound(points_.begin(), points_.end(), *next);
      points_.erase(std::remove_if(first, points_.end(),
                                   [&](const RingPoint& point) {
                                     while (next != leaving->end() && *next < point) ++next;
                                     return next != leaving->end() && *next == point;
                                   }),
                    points_.end());
    }
    if (joining.empty()) return;
    // Reserves exactly if many join: doubling would leave up to half of a large ring unused.
    if (joining.size() > points_.size() / 8) points_.reserve(points_.size() + joining.size());
    const auto old = static_cast<std::ptrdiff_t>(points_.size());
    points_.insert(points_.end(), joining.begin(), joining.end());
    std::inplace_merge(points_.begin(), points_.begin() + old, points_.end());
    // A member that left and joined in the same change may not have been removed.
    points_.erase(std::unique(points_.begin(), points_.end()), points_.end());
  }

  // Index of the first member at or after `place`, wrapping around. The ring must not be empty.
  std::size_t At(std::uint32_t place) const {
    const auto found = std::lower_bound(points_.begin(), points_.end(), RingPoint{place, 0});
    return found == points_.end() ? 0 : static_cast<std::size_t>(found - points_.begin());
  }

 private:
  // Up to this many leaving members, sorting them is cheaper than calling `stays` for each member.
  static constexpr std::size_t kFew = 64;

  std::vector<RingPoint> points_;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_RING_H_

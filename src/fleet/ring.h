// SPDX-License-Identifier: Apache-2.0
//
// Members on a ring, by a hash that everybody shares, kept in order: a change costs one pass over 8 bytes a
// member, sorting only what changes.
#ifndef KESTRELLINE_FLEET_RING_H_
#define KESTRELLINE_FLEET_RING_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "fleet/pick_index.h"

namespace kestrelline::fleet {

struct Spot {
  std::uint32_t place = 0;  // a hash of what the member is called
  Member member = kNobody;
  auto operator<=>(const Spot&) const = default;
};

class Ring {
 public:
  std::size_t size() const { return spots_.size(); }
  Member operator[](std::size_t k) const { return spots_[k].member; }
  std::uint32_t PlaceOf(std::size_t k) const { return spots_[k].place; }

  // Takes out those that leave, for which `stays(member)` is false, and adds those that join, which are in
  // order and were not there.
  template <typename Stays>
  void Change(std::vector<Spot>* leaving, const std::vector<Spot>& joining, Stays&& stays) {
    if (leaving->size() > kFew) {
      std::erase_if(spots_, [&](const Spot& spot) { return !stays(spot.member); });
    } else if (!leaving->empty()) {
      std::sort(leaving->begin(), leaving->end());
      auto next = leaving->begin();
      const auto first = std::lower_bound(spots_.begin(), spots_.end(), *next);
      spots_.erase(std::remove_if(first, spots_.end(),
                                  [&](const Spot& spot) {
                                    while (next != leaving->end() && *next < spot) ++next;
                                    return next != leaving->end() && *next == spot;
                                  }),
                   spots_.end());
    }
    if (joining.empty()) return;
    // Exactly, where much joins: half of a large ring would stand empty.
    if (joining.size() > spots_.size() / 8) spots_.reserve(spots_.size() + joining.size());
    const auto old = static_cast<std::ptrdiff_t>(spots_.size());
    spots_.insert(spots_.end(), joining.begin(), joining.end());
    std::inplace_merge(spots_.begin(), spots_.begin() + old, spots_.end());
    // One that left and came back at once may not have been taken out.
    spots_.erase(std::unique(spots_.begin(), spots_.end()), spots_.end());
  }

  // The first at `place` or after it, round the ring. The ring is not empty.
  std::size_t At(std::uint32_t place) const {
    const auto found = std::lower_bound(spots_.begin(), spots_.end(), Spot{place, 0});
    return found == spots_.end() ? 0 : static_cast<std::size_t>(found - spots_.begin());
  }

 private:
  static constexpr std::size_t kFew =
      64;  // that leave: sorting them is cheaper than asking about each that stays

  std::vector<Spot> spots_;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_RING_H_

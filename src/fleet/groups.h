// SPDX-License-Identifier: Apache-2.0
//
// Who belongs to which group (a zone, a cell), each change at the same cost whatever the sizes.
#ifndef KESTRELLINE_FLEET_GROUPS_H_
#define KESTRELLINE_FLEET_GROUPS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

#include "fleet/pick_index.h"

namespace kestrelline::fleet {

class Groups {
 public:
  using Key = std::uint64_t;

  // A member is in one group at the most.
  void Add(Key key, Member member) {
    if (member >= places_.size()) places_.resize(member + 1);
    auto& group = groups_[key];
    places_[member] = static_cast<std::uint32_t>(group.size());
    group.push_back(member);
  }
  void Remove(Key key, Member member) {
    const auto found = groups_.find(key);
    if (found == groups_.end()) return;
    auto& group = found->second;
    const std::uint32_t at = places_[member];
    group[at] = group.back();
    places_[group[at]] = at;
    group.pop_back();
    if (group.empty()) groups_.erase(found);
  }
  const std::vector<Member>& Of(Key key) const {
    static const std::vector<Member> kNone;
    const auto found = groups_.find(key);
    return found == groups_.end() ? kNone : found->second;
  }

 private:
  boost::unordered_flat_map<Key, std::vector<Member>> groups_;
  std::vector<std::uint32_t> places_;  // by member: where in its group
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_GROUPS_H_

// SPDX-License-Identifier: Apache-2.0
//
// Members by group (zone or cell). Adding and removing takes constant time. A group gets its number from its
// key before the first change, and keeps it; groups are never erased.
#ifndef KESTRELLINE_FLEET_GROUPS_H_
#define KESTRELLINE_FLEET_GROUPS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

#include "fleet/pick_index.h"
#include "fleet/table.h"

namespace kestrelline::fleet {

class Groups {
 public:
  using Key = std::uint64_t;
  using Number = std::uint32_t;

  Number NumberOf(Key key) {
    const auto [found, added] = numbers_.emplace(key, static_cast<Number>(groups_.size()));
    if (added) groups_.emplace_back();
    return found->second;
  }
  // A member must not be in any group when it is added, and is removed from the group that it is in.
  void Add(Number group, Member member) {
    places_.GrowTo(member + 1);
    places_[member] = static_cast<std::uint32_t>(groups_[group].size());
    groups_[group].push_back(member);
  }
  void Remove(Number group, Member member) {
    auto& members = groups_[group];
    const std::uint32_t at = places_[member];
    members[at] = members.back();
    places_[members[at]] = at;
    members.pop_back();
  }
  // Empty for a key without a number.
  const std::vector<Member>& At(Key key) const {
    static const std::vector<Member> kNoMembers;
    const auto found = numbers_.find(key);
    return found == numbers_.end() ? kNoMembers : groups_[found->second];
  }

 private:
  boost::unordered_flat_map<Key, Number> numbers_;
  std::vector<std::vector<Member>> groups_;
  Table<std::uint32_t> places_;  // by member: its position in its group
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_GROUPS_H_

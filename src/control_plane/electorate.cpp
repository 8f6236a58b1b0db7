// SPDX-License-Identifier: Apache-2.0
#include "control_plane/electorate.h"

#include <algorithm>

namespace kestrelline::control_plane {
namespace {

bool IsQuorumOf(const std::vector<std::string>& members, const NodeSet& nodes, int max_lost_members) {
  const auto present = std::count_if(members.begin(), members.end(),
                                     [&nodes](const std::string& member) { return nodes.contains(member); });
  return static_cast<std::size_t>(present) >= QuorumSize(members.size(), max_lost_members);
}

}  // namespace

std::size_t QuorumSize(std::size_t members, int max_lost_members) {
  const std::size_t majority = members / 2 + 1;
  const std::size_t copies = std::min(members, static_cast<std::size_t>(std::max(0, max_lost_members)) + 1);
  return std::max(majority, copies);
}

bool IsQuorum(const wire::Record& record, const NodeSet& nodes, int max_lost_members) {
  if (!IsQuorumOf(record.members, nodes, max_lost_members)) return false;
  return record.next_members.empty() || IsQuorumOf(record.next_members, nodes, max_lost_members);
}

NodeSet Electors(const wire::Record& record) {
  NodeSet electors(record.members.begin(), record.members.end());
  electors.insert(record.next_members.begin(), record.next_members.end());
  return electors;
}

std::size_t TargetSize(int max_lost_members) {
  constexpr std::size_t kSmallest = 3;
  return std::max(kSmallest, 2 * static_cast<std::size_t>(std::max(0, max_lost_members)) + 1);
}

}  // namespace kestrelline::control_plane

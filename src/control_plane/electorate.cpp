// SPDX-License-Identifier: Apache-2.0
#include "control_plane/electorate.h"

#include <algorithm>

namespace kestrelline::control_plane {
namespace {

bool IsQuorumOf(const std::vector<std::string>& members, const NodeSet& nodes, int tolerated) {
  const auto present = std::count_if(members.begin(), members.end(),
                                     [&nodes](const std::string& member) { return nodes.contains(member); });
  return static_cast<std::size_t>(present) >= QuorumSize(members.size(), tolerated);
}

}  // namespace

std::size_t QuorumSize(std::size_t members, int tolerated) {
  const std::size_t majority = members / 2 + 1;
  const std::size_t copies = std::min(members, static_cast<std::size_t>(std::max(0, tolerated)) + 1);
  return std::max(majority, copies);
}

bool IsQuorum(const wire::Record& record, const NodeSet& nodes, int tolerated) {
  if (!IsQuorumOf(record.members, nodes, tolerated)) return false;
  return record.next_members.empty() || IsQuorumOf(record.next_members, nodes, tolerated);
}

NodeSet Electors(const wire::Record& record) {
  NodeSet electors(record.members.begin(), record.members.end());
  electors.insert(record.next_members.begin(), record.next_members.end());
  return electors;
}

std::size_t TargetSize(int tolerated) {
  constexpr std::size_t kSmallest = 3;
  return std::max(kSmallest, 2 * static_cast<std::size_t>(std::max(0, tolerated)) + 1);
}

}  // namespace kestrelline::control_plane

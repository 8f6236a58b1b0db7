// SPDX-License-Identifier: Apache-2.0
//
// The set of voting members (electors) and the quorum rules. Pure functions.
#ifndef KESTRELLINE_CONTROL_PLANE_ELECTORATE_H_
#define KESTRELLINE_CONTROL_PLANE_ELECTORATE_H_

#include <set>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::control_plane {

using NodeSet = std::set<std::string>;

// The quorum size for `members` electors: a majority, and at least one more than may be lost with their
// disks.
std::size_t QuorumSize(std::size_t members, int max_lost_members);

// Whether `nodes` contain a quorum of the record's electorate; during a membership change, of both the old
// and the new electorate.
bool IsQuorum(const wire::Record& record, const NodeSet& nodes, int max_lost_members);

// All members with a vote according to the record, those of a joint electorate included.
NodeSet Electors(const wire::Record& record);

// The size to which an electorate grows if there are enough machines.
std::size_t TargetSize(int max_lost_members);

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_ELECTORATE_H_

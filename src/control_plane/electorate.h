// SPDX-License-Identifier: Apache-2.0
//
// Who votes, and what makes a quorum of them. No I/O, no clock.
#ifndef KESTRELLINE_CONTROL_PLANE_ELECTORATE_H_
#define KESTRELLINE_CONTROL_PLANE_ELECTORATE_H_

#include <set>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::control_plane {

using NodeSet = std::set<std::string>;

// How many of `members` make a quorum: a majority, and one more than may be lost with their disks.
std::size_t QuorumSize(std::size_t members, int max_lost_members);

// Whether `nodes` are a quorum of the record's electorate: while it is exchanged, of the old and of the new
// one.
bool IsQuorum(const wire::Record& record, const NodeSet& nodes, int max_lost_members);

// All who have a vote by that record.
NodeSet Electors(const wire::Record& record);

// The size that an electorate is grown to where there are enough machines.
std::size_t TargetSize(int max_lost_members);

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_ELECTORATE_H_

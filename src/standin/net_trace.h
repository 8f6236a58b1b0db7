// SPDX-License-Identifier: Apache-2.0
//
// What a network with faults did, as a text: to be read, and to be done again. No clock.
//
// The first line is "kestrelnet 1"; each further one is a datagram: the microsecond, "FROM>TO", its number
// among those of this pair, and how many microseconds late each copy came ("-": it was dropped).
#ifndef KESTRELLINE_STANDIN_NET_TRACE_H_
#define KESTRELLINE_STANDIN_NET_TRACE_H_

#include <iosfwd>
#include <string>

#include "standin/net_faults.h"

namespace kestrelline::standin {

inline constexpr std::size_t kMostTraced = 20000000;  // datagrams of a trace that is read

// Writes what `faults` does from now on to `out`, which outlives it.
void WriteTrace(NetFaults* faults, std::ostream& out);

// Makes `faults` do what a trace says, pair by pair and number by number, for as far as it reaches; after
// that, its own. Nothing is changed, and `why` has "LINE: what is wrong", if the trace is none.
bool ReadTrace(std::istream& in, NetFaults* faults, std::string* why);
// The same of a file; what is wrong goes to standard error as "FILE:LINE: what is wrong".
bool LoadTrace(const std::string& path, NetFaults* faults);

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_NET_TRACE_H_

// SPDX-License-Identifier: Apache-2.0
//
// Which part of the fleet one of many proxies uses: an arc of the ring of servers. Proxies know nothing of
// each other but how many they are and who each is; they stand on the ring by the golden ratio, so that any
// part of them covers it evenly. Part of the decision: docs/design/scale.md.
#ifndef KESTRELLINE_FLEET_SUBSET_H_
#define KESTRELLINE_FLEET_SUBSET_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "fleet/ring.h"

namespace kestrelline::fleet {

// Price of a crossing of zones: over it a proxy uses its own zone beside an arc of the others; below, one
// even choice is worth more.
constexpr double kWorthStaying = 0.02;
constexpr double kGoldenRatio = 0.6180339887498949;
constexpr int kLeastSubset = 8;       // half may be ejected, and the rest is still a choice
constexpr int kFewest = 3;            // where hundreds of proxies share few servers
constexpr double kMostSharers = 64;   // proxies that hold a connection to one server
constexpr std::size_t kLarge = 64;    // servers; of more, each has to be reached by some proxies
constexpr double kLeastSharers = 8;   // that reach a server of a large fleet
constexpr double kLongArc = 32;       // of so many servers chance of their places evens out
constexpr double kMostUnasked = 128;  // servers that a proxy uses though its traffic does not ask for so many

// Exception, subsetting, where a proxy's own traffic is too thin to judge the whole fleet: it picks among as
// many servers as its traffic brings to the volume floor within an interval, but no fewer than kLeastSubset,
// those in service counted. Servers stand on the ring by a hash of their id. Without this, every proxy held a
// connection to every server, and hundreds of proxies exhausted what servers accept (incident i0f08a6).
//
// How many servers in service a proxy uses, of `servers` that `proxies` share, where its traffic can judge
// `judged`.
inline std::size_t SubsetSize(std::size_t servers, int proxies, std::size_t judged) {
  const double each = static_cast<double>(servers) / proxies;
  double size = std::clamp<double>(kMostSharers * each, kFewest, kLeastSubset);
  if (servers > kLarge) size = std::max(size, std::min(std::ceil(kLeastSharers * each), kMostUnasked));
  return std::max(judged, static_cast<std::size_t>(size));
}

// Where the arc of proxy `me` begins, as a number on the ring: at its share of the ring. Where arcs are short
// that is counted in servers, so that each server has as many proxies as the next. Each that joins or goes
// then moves half of all proxies on by one; where arcs are long it is counted in places, and nothing moves
// but next to the change.
inline std::size_t ArcBegin(const Ring& ring, int me, int proxies) {
  if (ring.size() == 0) return 0;
  const double turns = me * kGoldenRatio, share = turns - std::floor(turns);
  const auto servers = static_cast<double>(ring.size());
  return kLeastSharers * servers / proxies < kLongArc
             ? static_cast<std::size_t>(share * servers)
             : ring.At(static_cast<std::uint32_t>(share * 4294967296.0));
}

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_SUBSET_H_

// SPDX-License-Identifier: Apache-2.0
//
// Deterministic subsetting: the part of the fleet that one of many proxies uses is an arc of the hash ring of
// servers. A proxy knows only its index and the number of proxies. The arcs start at multiples of the golden
// ratio, so that any part of the proxies covers the ring evenly. See docs/design/scale.md.
#ifndef KESTRELLINE_FLEET_SUBSET_H_
#define KESTRELLINE_FLEET_SUBSET_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "fleet/ring.h"

namespace kestrelline::fleet {

// Cross-zone price above which a proxy uses an arc of its own zone and another of the other zones; below, one
// arc over all zones balances better.
constexpr double kMinPriceForSeparateZones = 0.02;
constexpr double kGoldenRatio = 0.6180339887498949;
constexpr int kMinSubset = 8;                // enough to choose from with half of them ejected
constexpr int kMinSharedSubset = 3;          // lower limit where hundreds of proxies share few servers
constexpr double kMaxProxiesPerServer = 64;  // proxies connected to one server
constexpr std::size_t kLargeFleet = 64;  // servers; in a larger fleet each has to be used by several proxies
constexpr double kMinProxiesPerServer = 8;  // proxies that use each server of a large fleet
constexpr double kLongArcServers = 32;  // servers of an arc above which random gaps on the ring average out
constexpr double kMaxUnjudged = 128;    // servers that a proxy uses beyond what its traffic can judge

// Exception, subsetting, where a proxy's own traffic is too thin to judge the whole fleet: it picks among as
// many servers as its traffic brings to the volume floor within an interval, but no fewer than kMinSubset
// servers in service. Without this, every proxy connected to every server, and hundreds of proxies exhausted
// the servers' connection limits.
//
// Returns the number of servers in service that a proxy uses, where `proxies` share `servers` and this
// proxy's traffic can judge `judged` of them.
inline std::size_t SubsetSize(std::size_t servers, int proxies, std::size_t judged) {
  const double each = static_cast<double>(servers) / proxies;
  double size = std::clamp<double>(kMaxProxiesPerServer * each, kMinSharedSubset, kMinSubset);
  if (servers > kLargeFleet)
    size = std::max(size, std::min(std::ceil(kMinProxiesPerServer * each), kMaxUnjudged));
  return std::max(judged, static_cast<std::size_t>(size));
}

// Index on the ring at which the arc of proxy `me` begins. Short arcs are placed by server count, so that all
// servers get the same number of proxies; a server that joins or leaves then shifts half of the proxies by
// one. Long arcs are placed by position on the ring, and a change affects only the arcs next to it.
inline std::size_t ArcBegin(const Ring& ring, int me, int proxies) {
  if (ring.size() == 0) return 0;
  const double turns = me * kGoldenRatio, share = turns - std::floor(turns);
  const auto servers = static_cast<double>(ring.size());
  return kMinProxiesPerServer * servers / proxies < kLongArcServers
             ? static_cast<std::size_t>(share * servers)
             : ring.At(static_cast<std::uint32_t>(share * 4294967296.0));
}

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_SUBSET_H_

// SPDX-License-Identifier: Apache-2.0
//
// The proxies of a simulation as peers of each other, where its site says so: their view, and what they
// divide, by the code of the daemon, over a network that has the site's faults.
#ifndef KESTRELLINE_SIM_PEERING_H_
#define KESTRELLINE_SIM_PEERING_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kestrelline/balancer.h"
#include "quota/rate_meter.h"
#include "quota/settings.h"
#include "sim/kernel.h"
#include "sim/peers_world.h"
#include "standin/faults.h"
#include "standin/site.h"

namespace kestrelline::sim {

class Peering {
 public:
  using OnShare = std::function<void(std::uint32_t proxy, const kestrelline::Share&)>;

  // [concert] as the site words it, by the checks of the operator's file. Nothing if the site has none;
  // throws std::invalid_argument, with the reasons, if it is not right.
  static std::optional<quota::Settings> ConcertOf(const standin::SiteSpec& site);

  // Both must outlive it. `on_share`: what a proxy's part is from now on.
  Peering(Kernel& kernel, const standin::SiteSpec& site, std::uint64_t seed, OnShare on_share);

  void Start(std::uint32_t proxy);
  void Kill(std::uint32_t proxy) { world_.Kill(static_cast<int>(proxy)); }
  void Leave(std::uint32_t proxy) { world_.Leave(static_cast<int>(proxy)); }
  void Pause(std::uint32_t proxy) { world_.Pause(static_cast<int>(proxy)); }
  void Resume(std::uint32_t proxy) { world_.Resume(static_cast<int>(proxy)); }
  // A fault of the network between proxies, until it is over.
  void Apply(const standin::Fault& fault);
  // A request has come to it.
  void Arrived(std::uint32_t proxy) { ++proxies_[proxy].requests; }

  PeersWorld& world() { return world_; }

 private:
  struct Proxy {
    std::uint64_t requests = 0, life = 0;
    quota::RateMeter meter;
  };

  void Measure(std::uint32_t proxy, std::uint64_t life);

  Kernel& kernel_;
  PeersWorld world_;
  std::vector<standin::Candidate> names_;
  std::vector<Proxy> proxies_;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_PEERING_H_

// SPDX-License-Identifier: Apache-2.0
//
// What is simulated: a site and a plan of load, as kestrelfleet and kestrelload read them, and what sockets
// bring along by themselves and a simulation has to be told.
#ifndef KESTRELLINE_SIM_SCENARIO_H_
#define KESTRELLINE_SIM_SCENARIO_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kestrelline/balancer.h"
#include "load/plan.h"
#include "sim/kernel.h"
#include "standin/site.h"

namespace kestrelline::sim {

struct Network {
  Microseconds client{150};    // one way, from a client to its proxy
  Microseconds server{150};    // one way, from a proxy to a server of its zone
  Microseconds across{500};    // more, between zones
  Microseconds jitter{50};     // at most, of each message
  Microseconds list{500};      // from discovery to a proxy
  Microseconds proxy{100};     // what a proxy spends on a message: it has no core of its own here
  double connection_ms = 0.4;  // of work, that a new connection costs a server
};

struct Scenario {
  standin::SiteSpec site;
  load::Plan plan;  // its targets are the proxies of the site
  // A recorded trace in place of the plan's arrivals, in the order of its times; classes are the plan's.
  std::shared_ptr<const std::vector<load::Arrival>> trace;
  Network network;
  std::uint64_t seed = 1;  // of the order of events, delays and chance in the proxies; load has the plan's,
                           // and faults and work the site's
  bool hints = false;      // clients say what their requests cost
  bool memory_survives = false;  // a proxy that is killed starts with what its predecessor had learned
  bool hold = true;              // proxies hold last bytes back where src/handover says so
  // Values of the proxies' configuration in place of those that ProxyConfig gives the site: the path below
  // its "settings" ("rules.fallMultiple"), and the value as JSON.
  std::vector<std::pair<std::string, std::string>> config;
  // A proxy is told this of itself and the platform; empty: as the configuration has it.
  std::function<void(kestrelline::Settings*)> adjust;
};

// Whether the proxies would take the configuration; if not, why.
bool ConfigIsValid(const Scenario& scenario, std::string* why);

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_SCENARIO_H_

// SPDX-License-Identifier: Apache-2.0
//
// A proxy as far as it follows the control plane: the daemon's subscription and its decision what to put in
// force, without requests.
#ifndef KESTRELLINE_CONTROL_SIM_SIMULATED_PROXY_H_
#define KESTRELLINE_CONTROL_SIM_SIMULATED_PROXY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "data_plane/subscription.h"

namespace kestrelline::control_sim {

class SimulatedProxy {
 public:
  using Time = data_plane::Subscription::Time;

  SimulatedProxy(const std::string& name, std::vector<std::string> seeds, std::uint64_t seed)
      : subscription_(name, std::move(seeds), seed) {}

  // Puts what it may in force; true if that is the first of this life.
  bool Take(Time now, const wire::Publication& publication, std::uint64_t echo) {
    subscription_.HandlePublication(now, publication, subscription_.ComposedAfter(echo));
    const bool first = gate_.version() == 0;
    return gate_.Offer(publication.version, !publication.configuration.empty(), subscription_.fresh()) &&
           first;
  }
  data_plane::Subscription& subscription() { return subscription_; }
  std::uint64_t version() const { return gate_.version(); }
  std::uint64_t known_version() const { return gate_.known_version(); }

  // The member it is connected to; empty if none.
  std::string peer;
  std::uint64_t connection = 0;  // names the connection; rises with each

 private:
  data_plane::Subscription subscription_;
  data_plane::ConfigurationGate gate_;
};

}  // namespace kestrelline::control_sim

#endif  // KESTRELLINE_CONTROL_SIM_SIMULATED_PROXY_H_

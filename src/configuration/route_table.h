// SPDX-License-Identifier: Apache-2.0
//
// Looks up the route of a request by host and path. Immutable; keeps its configuration alive. Performs no
// I/O.
#ifndef KESTRELLINE_CONFIGURATION_ROUTE_TABLE_H_
#define KESTRELLINE_CONFIGURATION_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration/configuration.h"

namespace kestrelline::configuration {

class RouteTable {
 public:
  explicit RouteTable(ConfigurationPtr configuration);

  // Returns the route of `host` with the longest path prefix that matches `target`, or null if there is none.
  // Ignores the query of the target, and the port and case of the host.
  const Route* Find(std::string_view host, std::string_view target) const;

  // Selects a service of `route` by weight. `random_unit` is a uniform random number from 0 up to 1.
  static const WeightedService& Choose(const Route& route, double random_unit);

  const Configuration& configuration() const { return *configuration_; }

 private:
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };

  ConfigurationPtr configuration_;
  // Routes of each host, longest path prefix first.
  std::unordered_map<std::string, std::vector<const Route*>, TextHash, std::equal_to<>> by_host_;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_ROUTE_TABLE_H_

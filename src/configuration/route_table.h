// SPDX-License-Identifier: Apache-2.0
//
// Looks a request's route up by host and path. Immutable; keeps its configuration alive. No I/O.
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

  // The route with the longest prefix of `target` (query not counted) at `host` (a port is not counted, nor
  // case); null if there is none.
  const Route* Find(std::string_view host, std::string_view target) const;

  // The service of `route` for a request whose place in the split is `draw` (0 <= draw < 1).
  static const WeightedService& Choose(const Route& route, double draw);

  const Configuration& configuration() const { return *configuration_; }

 private:
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };

  ConfigurationPtr configuration_;
  // Of each host, the longest prefixes first.
  std::unordered_map<std::string, std::vector<const Route*>, TextHash, std::equal_to<>> by_host_;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_ROUTE_TABLE_H_

// SPDX-License-Identifier: Apache-2.0
#include "configuration/route_table.h"

#include <algorithm>
#include <utility>

#include "configuration/lower_case.h"

namespace kestrelline::configuration {
namespace {

std::string HostName(std::string_view host) { return LowerCase(std::string(host.substr(0, host.find(':')))); }

}  // namespace

RouteTable::RouteTable(ConfigurationPtr configuration) : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_->routes) by_host_[route.host].push_back(&route);
  for (auto& [host, routes] : by_host_) {
    std::sort(routes.begin(), routes.end(),
              [](const Route* a, const Route* b) { return a->path_prefix.size() > b->path_prefix.size(); });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  const auto host_routes = by_host_.find(HostName(host));
  if (host_routes == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : host_routes->second) {
    if (path.starts_with(route->path_prefix)) return route;
  }
  return nullptr;
}

const WeightedService& RouteTable::Choose(const Route& route, double random_unit) {
  std::uint64_t total_weight = 0;
  for (const WeightedService& service : route.services) total_weight += service.weight;
  double remaining = random_unit * static_cast<double>(total_weight);
  for (const WeightedService& service : route.services) {
    remaining -= static_cast<double>(service.weight);
    if (remaining < 0 && service.weight > 0) return service;
  }
  // Rounding may leave a remainder: fall back to the last service with a weight.
  return *std::find_if(route.services.rbegin(), route.services.rend(),
                       [](const WeightedService& service) { return service.weight > 0; });
}

}  // namespace kestrelline::configuration

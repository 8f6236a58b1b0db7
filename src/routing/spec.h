// SPDX-License-Identifier: Apache-2.0
//
// The contents of an operator's file as parsed: routes, classes and budgets by name, each with its position
// in the file. Names are not resolved yet.
#ifndef KESTRELLINE_ROUTING_SPEC_H_
#define KESTRELLINE_ROUTING_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kestrelline/balancer.h"
#include "operator/diagnostics.h"

namespace kestrelline::routing {

using operator_file::Located;
using operator_file::Position;
using Names = std::vector<Located<std::string>>;

template <typename T>
using Maybe = std::optional<Located<T>>;

// Limits that are absent are inherited: those of a route from its class, those of a class from the defaults,
// and those of the defaults from the platform.
struct LimitsSpec {
  Maybe<Duration> attempt_timeout, patience, pause, second_copy_after;
  Maybe<std::int64_t> max_attempts, max_in_flight;
  Maybe<std::string> affinity, claim;
  Maybe<double> load_bound;
  Maybe<Names> retry_on, retry_budgets;
};

// The conditions of a route. All that are given must be met; one that is absent matches every request.
struct MatchSpec {
  Maybe<Names> classes, tenants, methods, zones;
  Maybe<std::string> path_prefix;
  Maybe<std::string> tag;                                                      // route tag set by a plug-in
  std::vector<std::pair<Located<std::string>, Located<std::string>>> headers;  // name, value
};

struct RouteSpec {
  Located<std::string> name;  // its position is that of the route
  MatchSpec match;
  LimitsSpec limits;
};

struct ClassSpec {
  Located<std::string> name;
  LimitsSpec limits;
};

// A retry budget.
struct BudgetSpec {
  Located<std::string> name;
  double share = 0;           // retries per first attempt over the window
  Duration window{10000};     // milliseconds
  std::int64_t at_least = 0;  // retries per window that need no first attempts
};

struct Spec {
  LimitsSpec defaults;
  std::vector<ClassSpec> classes;
  std::vector<BudgetSpec> budgets;
  std::vector<RouteSpec> routes;  // in order of precedence: the first match applies
};

// Properties of this installation, as given by the platform.
struct Site {
  kestrelline::Settings settings;
  std::vector<std::string> classes, tenants, zones;  // names, by index
};

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_SPEC_H_

// SPDX-License-Identifier: Apache-2.0
//
// Routes as an operator's file words them: names, each with its place in the file, nothing resolved yet.
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

// What is absent is inherited: a route's from its class, a class's from the defaults, these from the
// platform.
struct LimitsSpec {
  Maybe<Duration> attempt_timeout, patience, pause, second_copy_after;
  Maybe<std::int64_t> max_attempts, max_in_flight;
  Maybe<std::string> affinity, claim;
  Maybe<double> load_bound;
  Maybe<Names> retry_on, retry_budgets;
};

// All that is given must hold; what is absent matches everything.
struct MatchSpec {
  Maybe<Names> classes, tenants, methods, zones;
  Maybe<std::string> path_prefix;
  Maybe<std::string> tag;                                                      // set by a plug-in
  std::vector<std::pair<Located<std::string>, Located<std::string>>> headers;  // name, value
};

struct RouteSpec {
  Located<std::string> name;  // at: the route
  MatchSpec match;
  LimitsSpec limits;
};

struct ClassSpec {
  Located<std::string> name;
  LimitsSpec limits;
};

struct BudgetSpec {
  Located<std::string> name;
  double share = 0;
  Duration window{10000};
  std::int64_t at_least = 0;
};

struct Spec {
  LimitsSpec defaults;
  std::vector<ClassSpec> classes;
  std::vector<BudgetSpec> budgets;
  std::vector<RouteSpec> routes;  // the first that matches holds
};

// What the platform says of this installation.
struct Site {
  kestrelline::Settings settings;
  std::vector<std::string> classes, tenants, zones;  // names, by index
};

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_SPEC_H_

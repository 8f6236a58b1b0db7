// SPDX-License-Identifier: Apache-2.0
//
// A plan of load: TOML, `version = 1`, read by the rules of the operator's file, so that everything wrong is
// told with its place.
#ifndef KESTRELLINE_LOAD_PLAN_H_
#define KESTRELLINE_LOAD_PLAN_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "load/arrivals.h"
#include "load/ledger.h"
#include "operator/document.h"

namespace kestrelline::load {

struct PlanClass {
  std::string name;
  Effect effect = Effect::kUnsafe;
  Microseconds deadline{1000000};  // after which its client gives up, counted from the intended time
};

struct Plan {
  std::vector<std::string> targets;  // "127.0.0.1:8000"; requests go to each in turn
  std::uint64_t seed = 1;
  std::size_t connections = 200;  // at once, over all targets
  std::size_t most_waiting =
      100000;       // requests that are due and have no connection; more are not sent, and said so
  int retries = 0;  // of a refused request, by its client
  Microseconds retry_pause{50000};  // where the answer names no time to come back
  std::vector<PlanClass> classes;
  std::vector<std::string> tenants;
  Mixture mixture;  // of the same classes and tenants
};

// The key `effect` of a class, here and in a site's file: unsafe, and a message, if it is none.
Effect ReadEffect(const operator_file::TableReader& reader, operator_file::Diagnostics* diagnostics);
Microseconds InMicroseconds(operator_file::Milliseconds ms);

// Where each of `names` stands among `classes`, a list of what has a name. Nothing, and the first that does
// not in `missing`, unless all do.
template <typename Classes>
std::optional<std::vector<std::uint32_t>> IndicesOf(const std::vector<std::string>& names,
                                                    const Classes& classes, std::string* missing) {
  std::vector<std::uint32_t> indices;
  for (const std::string& name : names) {
    const auto found =
        std::find_if(classes.begin(), classes.end(), [&](const auto& c) { return c.name == name; });
    if (found == classes.end()) return *missing = name, std::nullopt;
    indices.push_back(static_cast<std::uint32_t>(found - classes.begin()));
  }
  return indices;
}
std::vector<std::string> ClassNames(const Plan& plan);

// Nothing, and why in `diagnostics`, unless all of it is right.
std::optional<Plan> ReadPlan(std::string_view text, operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_PLAN_H_

// SPDX-License-Identifier: Apache-2.0
//
// An operator that sends an order to whoever leads until it has a verdict.
#ifndef KESTRELLINE_TESTS_CONTROL_SIM_DECIDE_H_
#define KESTRELLINE_TESTS_CONTROL_SIM_DECIDE_H_

#include <optional>
#include <string>

#include "control_sim/world.h"

namespace kestrelline::control_sim {

// Nothing if there was no verdict in time.
inline std::optional<Outcome> Decide(World& world, std::uint64_t version, std::uint64_t builds_on,
                                     const std::string& body, Duration at_most = Duration(8000)) {
  constexpr Duration kBetweenTries{50};
  constexpr Duration kPatience{1500};  // with one leader
  for (const Time until = world.now() + at_most; world.now() < until;) {
    if (!world.Order(version, builds_on, body)) {
      world.Run(kBetweenTries);
      continue;
    }
    world.RunUntil([&] { return world.last_outcome().has_value(); }, kPatience);
    if (world.last_outcome() && world.last_outcome() != Outcome::kNotLeader) return world.last_outcome();
  }
  return std::nullopt;
}

}  // namespace kestrelline::control_sim

#endif  // KESTRELLINE_TESTS_CONTROL_SIM_DECIDE_H_

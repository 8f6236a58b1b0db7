// SPDX-License-Identifier: Apache-2.0
//
// One soak run: a fleet of real processes, the plan's troubles, clients, operators; then the judgement.
#ifndef KESTRELLINE_FLEET_SOAK_RUNNER_H_
#define KESTRELLINE_FLEET_SOAK_RUNNER_H_

#include <ostream>
#include <string>

#include "fleet_soak/ledger.h"
#include "fleet_soak/plan.h"

namespace kestrelline::fleet_soak {

struct RunOptions {
  std::string program;  // kestrelline-fleet
  std::string folder;   // of settings, data and logs; it exists and is empty
  Plan plan;
  Rules rules;
};

struct RunResult {
  Ledger::Judgement judgement;
  std::size_t processes = 0;  // that were started
  Time longest_stall{};       // of the harness itself
};

RunResult RunSoak(const RunOptions& options);
// A line for each violation, and the summary.
void Print(const RunOptions& options, const RunResult& result, std::ostream& out);

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_RUNNER_H_

// SPDX-License-Identifier: Apache-2.0
//
// The smallest site, load and list of faults that still fail: delta debugging (Zeller, Hildebrandt 2002) over
// the faults, then halves of servers, proxies, rate and time, again and again until nothing can go.
#ifndef KESTRELLINE_SIM_SHRINK_H_
#define KESTRELLINE_SIM_SHRINK_H_

#include <functional>

#include "sim/scenario.h"

namespace kestrelline::sim {

struct Shrunk {
  Scenario scenario;
  int runs = 0;  // simulations that it took
};

// `fails` is asked of ever smaller scenarios, at most `most_runs` times; `scenario` itself fails.
Shrunk Shrink(Scenario scenario, const std::function<bool(const Scenario&)>& fails, int most_runs = 500);

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_SHRINK_H_

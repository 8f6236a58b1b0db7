// SPDX-License-Identifier: Apache-2.0
//
// Plays an experiment on as many cores as it is given, each run by itself: its history does not depend on
// what runs beside it. Stopped and started again, it plays what is not in the store yet.
#ifndef KESTRELLINE_LAB_RUNNER_H_
#define KESTRELLINE_LAB_RUNNER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <vector>

#include "lab/analysis.h"
#include "lab/experiment.h"
#include "lab/store.h"

namespace kestrelline::lab {

struct Progress {
  std::size_t played = 0, most = 0;  // runs, those of earlier calls included
  const Record* last = nullptr;
};

// `scenarios`: by variant, as Scenarios::All gives them. `on_run` is called for each run once it is in the
// store, never twice at once. Runs that have begun when `stop` is set end and are kept. Throws BadStore, or
// what a run threw. True if all of the experiment has been played.
bool Play(const Experiment& experiment, const std::vector<sim::Scenario>& scenarios, Store* store,
          unsigned jobs, const std::atomic<bool>& stop, const std::function<void(const Progress&)>& on_run);

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_RUNNER_H_

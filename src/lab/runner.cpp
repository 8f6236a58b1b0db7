// SPDX-License-Identifier: Apache-2.0
#include "lab/runner.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <mutex>
#include <thread>

namespace kestrelline::lab {
namespace {

Record PlayOne(const sim::Scenario& of_variant, std::size_t variant, std::uint64_t day) {
  sim::Scenario scenario = of_variant;
  SetDay(&scenario, day);
  const auto begun = std::chrono::steady_clock::now();
  const sim::Report report = sim::Simulation(scenario, {}).Run();
  const double wall = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  return RecordOf(variant, day, report, wall);
}

}  // namespace

bool Play(const Experiment& experiment, const std::vector<sim::Scenario>& scenarios, Store* store,
          unsigned jobs, const std::atomic<bool>& stop, const std::function<void(const Progress&)>& on_run) {
  std::vector<Record> records = store->Records();
  Progress progress{records.size(), experiment.MostRunsOf(), nullptr};
  for (;;) {
    const std::vector<Cell> cells = NextCells(experiment, records);
    if (cells.empty()) return true;
    std::atomic<std::size_t> next = 0;
    std::mutex mutex;  // of what follows
    std::exception_ptr failed;
    std::vector<Record> round;
    const auto work = [&] {
      while (!stop) {
        const std::size_t i = next++;
        if (i >= cells.size()) return;
        try {
          Record record =
              PlayOne(scenarios[cells[i].variant], cells[i].variant, DayOf(experiment, cells[i].block));
          const std::lock_guard lock(mutex);
          if (failed) return;
          store->Add(record);
          round.push_back(std::move(record));
          ++progress.played;
          progress.last = &round.back();
          if (on_run) on_run(progress);
        } catch (...) {
          const std::lock_guard lock(mutex);
          if (!failed) failed = std::current_exception();
          next = cells.size();
          return;
        }
      }
    };
    std::vector<std::jthread> threads;
    const auto most = std::min<std::size_t>(std::max(1u, jobs), cells.size());
    for (std::size_t i = 1; i < most; ++i) threads.emplace_back(work);
    work();
    threads.clear();  // joins
    if (failed) std::rethrow_exception(failed);
    records.insert(records.end(), round.begin(), round.end());
    if (stop) return NextCells(experiment, records).empty();
  }
}

}  // namespace kestrelline::lab

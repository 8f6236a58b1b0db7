// SPDX-License-Identifier: Apache-2.0
//
// What is kept of one run of an experiment: the measures that variants are compared by, and two short series
// for the charts.
#ifndef KESTRELLINE_LAB_RECORD_H_
#define KESTRELLINE_LAB_RECORD_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "sim/simulation.h"

namespace kestrelline::lab {

struct Record {
  std::size_t variant = 0;
  std::uint64_t day = 0;
  std::array<double, kMeasures> measures{};  // by Measure
  std::uint64_t requests = 0, events = 0, history = 0;
  std::string broken;                    // the rule that was broken; empty: all were kept
  double wall_s = 0;                     // of the machine it was played on
  std::vector<double> served_by_second;  // shares; below 0: nothing was asked
  std::vector<double> p99_by_second;     // ms
  std::vector<double> latency_by_nines;  // ms, of the served: load::ByNines
};

Record RecordOf(std::size_t variant, std::uint64_t day, const sim::Report& report, double wall_s);

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_RECORD_H_

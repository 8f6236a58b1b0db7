// SPDX-License-Identifier: Apache-2.0
#include "lab/record.h"

#include <algorithm>

namespace kestrelline::lab {
namespace {

double Ms(load::Microseconds us) { return static_cast<double>(us.count()) / 1000; }

}  // namespace

Record RecordOf(std::size_t variant, std::uint64_t day, const sim::Report& report, double wall_s) {
  using load::Outcome;
  Record record;
  record.variant = variant;
  record.day = day;
  record.wall_s = wall_s;
  record.requests = report.results.total();
  record.events = report.events;
  record.history = report.history;
  if (!report.verdict.violations.empty())
    record.broken = std::string(load::NameOf(report.verdict.violations.front().rule));
  const double all = std::max<double>(1, static_cast<double>(record.requests));
  const auto share = [&](Outcome outcome) {
    return static_cast<double>(report.results.Count(outcome)) / all;
  };
  const auto set = [&](Measure measure, double value) {
    record.measures[static_cast<std::size_t>(measure)] = value;
  };
  const load::Latencies served = report.results.Served(true);
  set(Measure::kService, report.service());
  set(Measure::kServed, share(Outcome::kServed));
  set(Measure::kRefused, share(Outcome::kRefused));
  set(Measure::kFailed, share(Outcome::kFailed));
  set(Measure::kGaveUp, share(Outcome::kGaveUp));
  set(Measure::kP50, Ms(served.Quantile(0.5)));
  set(Measure::kP90, Ms(served.Quantile(0.9)));
  set(Measure::kP99, Ms(served.Quantile(0.99)));
  set(Measure::kP999, Ms(served.Quantile(0.999)));
  set(Measure::kAttempts, static_cast<double>(report.attempts) / all);
  set(Measure::kConnections, static_cast<double>(report.connections) / all);
  for (const auto& second : report.results.seconds()) {
    std::uint64_t asked = 0;
    for (const auto n : second.outcomes) asked += n;
    record.served_by_second.push_back(
        asked == 0 ? -1
                   : static_cast<double>(second.outcomes[static_cast<std::size_t>(Outcome::kServed)]) /
                         static_cast<double>(asked));
    record.p99_by_second.push_back(Ms(second.latencies.Quantile(0.99)));
  }
  for (const load::Microseconds us : load::ByNines(served)) record.latency_by_nines.push_back(Ms(us));
  return record;
}

}  // namespace kestrelline::lab

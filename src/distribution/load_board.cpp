// SPDX-License-Identifier: Apache-2.0
#include "distribution/load_board.h"

#include <utility>

namespace kestrelline::distribution {

void LoadBoard::Put(Reports& reports, Time now, const std::string& from, wire::LoadReport report) {
  if (!reports.contains(from) && reports.size() >= kMostReporters) return;
  reports[from] = {now, std::move(report)};
}

void LoadBoard::ReportFromProxy(Time now, const std::string& proxy, wire::LoadReport report) {
  Put(proxies_, now, proxy, std::move(report));
}

void LoadBoard::ReportFromMember(Time now, const std::string& member, wire::LoadReport report) {
  Put(members_, now, member, std::move(report));
}

void LoadBoard::Forget(Time now) {
  const auto silent = [now](const auto& entry) { return now - entry.second.at > kForgetAfter; };
  std::erase_if(proxies_, silent);
  std::erase_if(members_, silent);
}

wire::LoadReport LoadBoard::Sum(const std::vector<const Reports*>& sources) {
  std::map<std::uint64_t, wire::BackendLoad> loads;
  std::map<std::string, wire::Demand> demands;
  for (const Reports* reports : sources) {
    for (const auto& [from, entry] : *reports) {
      for (const wire::BackendLoad& load : entry.report.loads) {
        wire::BackendLoad& sum = loads[load.backend];
        sum.backend = load.backend;
        sum.reading_ms += load.reading_ms;
        sum.running += load.running;
      }
      for (const wire::Demand& demand : entry.report.demands) {
        wire::Demand& sum = demands[demand.service];
        sum.service = demand.service;
        sum.reading_ms_per_s += demand.reading_ms_per_s;
        sum.output_tokens_per_s += demand.output_tokens_per_s;
      }
    }
  }
  wire::LoadReport sum;
  for (const Reports* reports : sources) {
    for (const auto& [from, entry] : *reports) sum.proxies += entry.report.proxies;
  }
  for (const auto& [backend, load] : loads) sum.loads.push_back(load);
  for (const auto& [service, demand] : demands) sum.demands.push_back(demand);
  return sum;
}

std::vector<wire::BackendLoad> ChangedLoads(const std::vector<wire::BackendLoad>& before,
                                            const std::vector<wire::BackendLoad>& after) {
  std::vector<wire::BackendLoad> changed;
  auto old = before.begin();
  for (const wire::BackendLoad& load : after) {
    for (; old != before.end() && old->backend < load.backend; ++old) changed.push_back({old->backend, 0, 0});
    const bool known = old != before.end() && old->backend == load.backend;
    if (!known || *old != load) changed.push_back(load);
    if (known) ++old;
  }
  for (; old != before.end(); ++old) changed.push_back({old->backend, 0, 0});
  return changed;
}

}  // namespace kestrelline::distribution

// SPDX-License-Identifier: Apache-2.0
#include "distribution/load_board.h"

#include <utility>

namespace kestrelline::distribution {

LoadBoard::Report* LoadBoard::FindOrAdd(Reports& reports, const std::string& from) {
  if (!reports.contains(from) && reports.size() >= kMaxReporters) return nullptr;
  return &reports[from];
}

void LoadBoard::ReportFromProxy(Time now, const std::string& proxy, wire::LoadReport report) {
  if (Report* entry = FindOrAdd(proxies_, proxy)) *entry = {now, std::move(report), {}};
}

void LoadBoard::ReportFromMember(Time now, const std::string& member, wire::LoadReport report) {
  if (Report* entry = FindOrAdd(members_, member)) *entry = {now, std::move(report), {}};
}

void LoadBoard::ChangesFromMember(Time now, const std::string& member, const wire::LoadChanges& changes) {
  Report* entry = FindOrAdd(members_, member);
  if (entry == nullptr) return;
  for (const wire::BackendLoad& load : changes.loads) entry->incremental[load.backend] = {now, load};
  std::erase_if(entry->incremental, [now](const auto& item) {
    return item.second.load.idle() || now - item.second.at > kLoadTimeout;
  });
  entry->at = now;
  entry->report.proxies = changes.proxies;
  if (!changes.demands.empty()) entry->report.demands = changes.demands;
  entry->report.loads.clear();
  for (const auto& [backend, timed] : entry->incremental) entry->report.loads.push_back(timed.load);
}

void LoadBoard::DropTimedOut(Time now) {
  const auto silent = [now](const auto& entry) { return now - entry.second.at > kReporterTimeout; };
  std::erase_if(proxies_, silent);
  std::erase_if(members_, silent);
}

std::uint32_t LoadBoard::LocalProxies() const {
  std::uint32_t count = 0;
  for (const auto& [proxy, entry] : proxies_) count += entry.report.proxies;
  return count;
}

wire::LoadReport LoadBoard::Sum(const std::vector<const Reports*>& sources) {
  std::map<std::uint64_t, wire::BackendLoad> loads;
  std::map<std::string, wire::Demand> demands;
  for (const Reports* reports : sources) {
    for (const auto& [from, entry] : *reports) {
      for (const wire::BackendLoad& load : entry.report.loads) {
        wire::BackendLoad& sum = loads[load.backend];
        sum.backend = load.backend;
        sum.prefill_ms += load.prefill_ms;
        sum.running += load.running;
      }
      for (const wire::Demand& demand : entry.report.demands) {
        wire::Demand& sum = demands[demand.service];
        sum.service = demand.service;
        sum.prefill_ms_per_s += demand.prefill_ms_per_s;
        sum.decode_ms_per_s += demand.decode_ms_per_s;
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

}  // namespace kestrelline::distribution

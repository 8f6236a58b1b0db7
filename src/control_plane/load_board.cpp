// SPDX-License-Identifier: Apache-2.0
#include "control_plane/load_board.h"

#include <utility>

namespace kestrelline::control_plane {

void LoadBoard::Put(Reports& reports, Time now, const std::string& from, std::vector<wire::BackendLoad> loads) {
  if (!reports.contains(from) && reports.size() >= kMostReporters) return;
  reports[from] = {now, std::move(loads)};
}

void LoadBoard::ReportFromProxy(Time now, const std::string& proxy, std::vector<wire::BackendLoad> loads) {
  Put(proxies_, now, proxy, std::move(loads));
}

void LoadBoard::ReportFromMember(Time now, const std::string& member, std::vector<wire::BackendLoad> loads) {
  Put(members_, now, member, std::move(loads));
}

void LoadBoard::Forget(Time now) {
  const auto silent = [now](const auto& entry) { return now - entry.second.at > kForgetAfter; };
  std::erase_if(proxies_, silent);
  std::erase_if(members_, silent);
}

std::vector<wire::BackendLoad> LoadBoard::Sum(const std::vector<const Reports*>& sources) {
  std::map<std::uint64_t, wire::BackendLoad> sums;
  for (const Reports* reports : sources) {
    for (const auto& [from, report] : *reports) {
      for (const wire::BackendLoad& load : report.loads) {
        wire::BackendLoad& sum = sums[load.backend];
        sum.backend = load.backend;
        sum.reading_ms += load.reading_ms;
        sum.running += load.running;
      }
    }
  }
  std::vector<wire::BackendLoad> loads;
  loads.reserve(sums.size());
  for (const auto& [backend, load] : sums) loads.push_back(load);
  return loads;
}

}  // namespace kestrelline::control_plane

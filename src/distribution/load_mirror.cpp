// SPDX-License-Identifier: Apache-2.0
#include "distribution/load_mirror.h"

namespace kestrelline::distribution {

void LoadMirror::Apply(const wire::LoadSummary& summary) {
  if (summary.whole) loads_.clear();
  Apply(summary.loads);
}

void LoadMirror::Apply(const std::vector<wire::BackendLoad>& changes) {
  for (const wire::BackendLoad& load : changes) {
    if (load.idle()) {
      loads_.erase(load.backend);
    } else {
      loads_[load.backend] = load;
    }
  }
}

wire::LoadSummary LoadMirror::FullSummary() const {
  wire::LoadSummary summary;
  summary.whole = true;
  for (const auto& [backend, load] : loads_) summary.loads.push_back(load);
  return summary;
}

}  // namespace kestrelline::distribution

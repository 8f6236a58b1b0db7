// SPDX-License-Identifier: Apache-2.0
#include "distribution/configuration_history.h"

#include <algorithm>
#include <utility>

namespace kestrelline::distribution {

void ConfigurationHistory::Add(std::uint64_t from, std::uint64_t to, std::string patch) {
  if (!steps_.empty() && steps_.back().to != from) steps_.clear();
  steps_.push_back({from, to, std::move(patch)});
  if (steps_.size() > kMaxPatches) steps_.pop_front();
}

std::optional<std::vector<std::string>> ConfigurationHistory::Since(std::uint64_t version,
                                                                    std::size_t max_bytes) const {
  const auto first = std::find_if(steps_.begin(), steps_.end(),
                                  [version](const Step& step) { return step.from == version; });
  if (first == steps_.end()) return std::nullopt;
  std::vector<std::string> patches;
  std::size_t bytes = 0;
  for (auto step = first; step != steps_.end(); ++step) {
    bytes += step->patch.size();
    if (bytes > max_bytes) return std::nullopt;
    patches.push_back(step->patch);
  }
  return patches;
}

}  // namespace kestrelline::distribution

// SPDX-License-Identifier: Apache-2.0
#include "shared_limits/process_limits.h"

#include <algorithm>

namespace kestrelline::shared_limits {

ProcessLimits ComputeLimits(int total, const ProcessUsage& own, const std::vector<ProcessUsage>& others) {
  if (others.empty()) return {total, 1};
  const int processes = static_cast<int>(others.size()) + 1;
  const ProcessLimits even{total / processes, 1.0 / processes};
  // A stopping process may still open descriptors for the requests that it holds, up to what it has in use.
  if (own.stopping) return {std::min(even.descriptors, own.descriptors), even.memory};
  int remaining = total;
  bool all_others_stop = true;
  for (const ProcessUsage& other : others) {
    remaining -= other.descriptors;
    all_others_stop &= other.stopping;
  }
  remaining = std::max(remaining, 0);
  return {all_others_stop ? remaining : std::min(even.descriptors, remaining), even.memory};
}

}  // namespace kestrelline::shared_limits

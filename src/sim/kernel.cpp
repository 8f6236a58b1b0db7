// SPDX-License-Identifier: Apache-2.0
#include "sim/kernel.h"

#include <algorithm>

#include "hashing/mix.h"

namespace kestrelline::sim {

void Kernel::At(Microseconds at, Action action) {
  std::uint32_t slot = 0;
  if (free_.empty()) {
    slot = static_cast<std::uint32_t>(actions_.size());
    actions_.push_back(std::move(action));
  } else {
    slot = free_.back();
    free_.pop_back();
    actions_[slot] = std::move(action);
  }
  heap_.push_back({std::max(at, now_), hashing::Mixed(seed_ ^ ++scheduled_), slot});
  std::push_heap(heap_.begin(), heap_.end());
}

bool Kernel::Step(Microseconds until) {
  if (heap_.empty() || heap_.front().at > until) {
    now_ = std::max(now_, until);
    return false;
  }
  std::pop_heap(heap_.begin(), heap_.end());
  const Entry entry = heap_.back();
  heap_.pop_back();
  now_ = entry.at;
  ++events_;
  const Action action = std::exchange(actions_[entry.slot], nullptr);
  free_.push_back(entry.slot);
  action();
  return true;
}

}  // namespace kestrelline::sim

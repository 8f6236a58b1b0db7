// SPDX-License-Identifier: Apache-2.0
#include "handover/last_byte.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::handover {

double LastByte::Kept(TimePoint now) const {
  return std::exp(std::min(0.0, (as_of_ - now) / kMemory));  // a clock that stands still forgets nothing
}

void LastByte::OnEnded(TimePoint now, Duration after, bool broke) {
  const double kept = Kept(now);
  as_of_ = std::max(as_of_, now);
  attempts_ = attempts_ * kept + 1;
  for (std::size_t i = 0; i < kWaits.size(); ++i)
    broke_within_[i] = broke_within_[i] * kept + (broke && after <= kWaits[i] ? 1 : 0);
}

Duration LastByte::WaitFor(TimePoint now, Effect effect, Duration useful) const {
  // What is forgotten is forgotten of both: the share stays, the number seen goes.
  if (broke_within_.back() * Kept(now) < kLeastSeen || useful.count() <= 0) return Duration(0);
  const double loss = effect == Effect::kUnsafe  ? kLossUnsafe
                      : effect == Effect::kKeyed ? kLossKeyed
                                                 : kLossSafe;
  Duration best(0);
  double most = 0;
  for (std::size_t i = 0; i < kWaits.size(); ++i) {
    const double gain = loss * broke_within_[i] / attempts_ - kWaits[i] / useful;
    if (gain > most) most = gain, best = kWaits[i];
  }
  return best;
}

}  // namespace kestrelline::handover

// SPDX-License-Identifier: Apache-2.0
#include "handover/last_byte.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::handover {

double LastByte::DecayFactor(TimePoint now) const {
  return std::exp(std::min(0.0, (as_of_ - now) / kDecayTime));  // at most 1, even if time goes backwards
}

void LastByte::OnEnded(TimePoint now, Duration after, bool broke) {
  const double decay = DecayFactor(now);
  as_of_ = std::max(as_of_, now);
  attempts_ = attempts_ * decay + 1;
  for (std::size_t i = 0; i < kDelays.size(); ++i)
    broke_within_[i] = broke_within_[i] * decay + (broke && after <= kDelays[i] ? 1 : 0);
}

Duration LastByte::WaitFor(TimePoint now, Effect effect, Duration useful) const {
  // Both counts decay alike: the share of breaks stays the same, while the number of breaks falls.
  if (broke_within_.back() * DecayFactor(now) < kMinBreaks || useful.count() <= 0) return Duration(0);
  const double loss = effect == Effect::kUnsafe  ? kLossUnsafe
                      : effect == Effect::kKeyed ? kLossKeyed
                                                 : kLossSafe;
  Duration best(0);
  double best_gain = 0;
  for (std::size_t i = 0; i < kDelays.size(); ++i) {
    const double gain = loss * broke_within_[i] / attempts_ - kDelays[i] / useful;
    if (gain > best_gain) best_gain = gain, best = kDelays[i];
  }
  return best;
}

}  // namespace kestrelline::handover

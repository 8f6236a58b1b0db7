// SPDX-License-Identifier: Apache-2.0
//
// Maps the steady clock of this machine, and Unix times, to the balancer's clock.
#ifndef KESTRELLINE_PROXY_CLOCK_H_
#define KESTRELLINE_PROXY_CLOCK_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "kestrelline/balancer.h"

namespace kestrelline::proxy {

using Steady = std::chrono::steady_clock;

// Both origins are read once, at the start: a later step of the wall clock must not make a backend look
// restarted.
class BalancerClock {
 public:
  TimePoint FromSteady(Steady::time_point at) const { return kStart + Duration(at - steady_origin_); }
  TimePoint Now() const { return FromSteady(Steady::now()); }

  Steady::time_point ToSteady(TimePoint at) const {
    const Duration capped = std::min(at - kStart, kMaxAhead);
    return steady_origin_ + std::chrono::ceil<Steady::duration>(capped);
  }
  // 0 means "long ago" and stays 0; so do times that would precede the origin of the balancer's clock.
  TimePoint FromUnix(double unix_ms) const {
    if (!(unix_ms > 0)) return TimePoint{};
    return std::max(TimePoint{}, kStart + Duration(unix_ms) - unix_origin_);
  }

 private:
  static constexpr TimePoint kStart{Duration(1e9)};
  static constexpr Duration kMaxAhead{1e11};
  Steady::time_point steady_origin_ = Steady::now();
  Duration unix_origin_ = std::chrono::system_clock::now().time_since_epoch();
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_CLOCK_H_

// SPDX-License-Identifier: Apache-2.0
//
// When to ask discovery for the list, where it has to be asked for. No decision on servers or requests.
#ifndef KESTRELLINE_FLEET_ASKING_H_
#define KESTRELLINE_FLEET_ASKING_H_

#include <algorithm>

#include "kestrelline/balancer.h"

namespace kestrelline::fleet {

class Asking {
 public:
  using Duration = kestrelline::Duration;
  using TimePoint = kestrelline::TimePoint;
  static constexpr TimePoint kNever{Duration(1e300)};
  // Whatever the rules allow after a call that failed or hung, what changed is to be known 6 s later: one
  // that hangs and the pause after it leave room for the next.
  static constexpr Duration kMostWait{3000}, kMostBackoff{1500};

  // `within`: the time in which the rules want a call.
  explicit Asking(Duration within) : within_(within) {}

  TimePoint due() const { return due_; }
  // Asked: an answer may never come.
  void Asked(TimePoint now) { due_ = now + std::min(within_ / 2, kMostWait); }
  // `unit` draws from 0 to 1, where that is needed: after a failure there is a jittered backoff, from a
  // twentieth to a quarter of that time.
  template <typename Unit>
  void OnList(kestrelline::ListKind kind, TimePoint now, Unit unit) {
    if (kind == kestrelline::ListKind::kCached) {
      due_ = now;  // a new life: nothing is subscribed yet
    } else if (kind == kestrelline::ListKind::kFailed) {
      backoff_ = std::min({within_ / 4, std::max(within_ / 20, backoff_ * 2), kMostBackoff});
      due_ = now + backoff_ * (0.5 + 0.5 * unit());
    } else {
      backoff_ = Duration(0);
      due_ = kNever;
    }
  }

 private:
  Duration within_, backoff_{0};
  TimePoint due_ = kNever;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_ASKING_H_

// SPDX-License-Identifier: Apache-2.0
//
// Decides when to subscribe to the server list, where discovery does not push it. Retries failed calls with
// exponential backoff and jitter.
#ifndef KESTRELLINE_FLEET_SUBSCRIPTION_TIMER_H_
#define KESTRELLINE_FLEET_SUBSCRIPTION_TIMER_H_

#include <algorithm>

#include "kestrelline/balancer.h"

namespace kestrelline::fleet {

class SubscriptionTimer {
 public:
  using Duration = kestrelline::Duration;
  using TimePoint = kestrelline::TimePoint;
  static constexpr TimePoint kNever{Duration(1e300)};
  // A change has to be known within 6 s even after a call that failed or hung: a call that hangs and the
  // backoff after it leave time for another call.
  static constexpr Duration kMaxWait{3000}, kMaxBackoff{1500};

  // `within`: time within which a call is required.
  explicit SubscriptionTimer(Duration within) : within_(within) {}

  TimePoint due() const { return due_; }
  // A call was made. It is repeated if no answer comes.
  void OnSubscribe(TimePoint now) { due_ = now + std::min(within_ / 2, kMaxWait); }
  // An answer came. After a failure the next call is due after a backoff between a twentieth and a quarter of
  // `within`, with jitter from `unit()`, a random number from 0 to 1 that is drawn only then.
  template <typename Unit>
  void OnList(kestrelline::ListKind kind, TimePoint now, Unit unit) {
    if (kind == kestrelline::ListKind::kCached) {
      due_ = now;  // a cached list after a restart: there is no subscription yet
    } else if (kind == kestrelline::ListKind::kFailed) {
      backoff_ = std::min({within_ / 4, std::max(within_ / 20, backoff_ * 2), kMaxBackoff});
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

#endif  // KESTRELLINE_FLEET_SUBSCRIPTION_TIMER_H_

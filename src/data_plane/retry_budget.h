// SPDX-License-Identifier: Apache-2.0
//
// This proxy's share of the fleet-wide retry budget, per service. No I/O, no clock.
//
// A service may receive ratio x requests + minimum extra attempts in any window. Each proxy counts its own
// requests and has an equal share of the minimum. It uses only kUsedShare of its whole share, because the
// windows of different proxies are not aligned.
#ifndef KESTRELLINE_DATA_PLANE_RETRY_BUDGET_H_
#define KESTRELLINE_DATA_PLANE_RETRY_BUDGET_H_

#include <algorithm>
#include <string>
#include <unordered_map>

#include "measures.h"

namespace kestrelline::data_plane {

struct RetryBudgetSettings {
  double ratio = 0.2;
  double minimum = 10;  // extra attempts always allowed, for all proxies together
  kestrelline::Duration window{10000};
};

class RetryBudget {
 public:
  static constexpr double kUsedShare = 0.8;  // fraction of the share that is used
  // After a failover the control plane discovers the proxies one by one, so a smaller number of proxies takes
  // effect only after it was reported for this long.
  static constexpr kestrelline::Duration kShrinkDelay{20000};
  // Assumed until the control plane reports the number of proxies.
  static constexpr int kInitialProxies = 64;

  explicit RetryBudget(RetryBudgetSettings settings) : settings_(settings) {}

  void set_proxies(int proxies, kestrelline::TimePoint now) {
    const int reported = std::max(1, proxies);
    if (!proxies_known_ || reported >= proxies_) {
      proxies_ = reported;
      confirmed_at_ = now;
      proxies_known_ = true;
    } else if (now - confirmed_at_ > kShrinkDelay) {
      proxies_ = reported;
      confirmed_at_ = now;
    }
  }
  void CountRequest(const std::string& service, kestrelline::TimePoint now) {
    windows_[service].First(now, settings_.window);
  }
  // Takes budget for one extra attempt; false if there is none left.
  bool TryAcquire(const std::string& service, kestrelline::TimePoint now) {
    kestrelline::RetryBudget budget;
    budget.share = settings_.ratio * kUsedShare;
    budget.window = settings_.window;
    budget.at_least = static_cast<int>(settings_.minimum * kUsedShare / proxies_);
    return windows_[service].Take(now, budget);
  }

 private:
  RetryBudgetSettings settings_;
  int proxies_ = kInitialProxies;
  bool proxies_known_ = false;
  kestrelline::TimePoint confirmed_at_{};
  std::unordered_map<std::string, kestrelline::RetryWindow> windows_;  // by service; only a few
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_RETRY_BUDGET_H_

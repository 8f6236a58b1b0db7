// SPDX-License-Identifier: Apache-2.0
//
// This proxy's share of the retry budget that all proxies draw on, by service. No I/O, no clock.
//
// A service may get ratio x requests + minimum extra arrivals in any window. Each proxy counts its own
// requests, and has an equal part of the minimum. It uses less than its whole share, since windows of
// different proxies differ.
#ifndef KESTRELLINE_DATA_PLANE_RETRY_BUDGET_H_
#define KESTRELLINE_DATA_PLANE_RETRY_BUDGET_H_

#include <algorithm>
#include <string>
#include <unordered_map>

#include "measures.h"

namespace kestrelline::data_plane {

struct BudgetTerms {
  double ratio = 0.2;
  double minimum = 10;  // extra arrivals that all proxies together may always cause
  brackenspoke::Duration window{10000};
};

class RetryBudget {
 public:
  static constexpr double kUsed = 0.8;  // of the share
  // After a failover the control plane hears from proxies one by one: a smaller number counts only once it
  // has been told for this long.
  static constexpr brackenspoke::Duration kSmallerCountsAfter{20000};
  // Assumed until the control plane has told how many proxies there are.
  static constexpr int kProxiesAtFirst = 64;

  explicit RetryBudget(BudgetTerms terms) : terms_(terms) {}

  void set_proxies(int proxies, brackenspoke::TimePoint now) {
    const int told = std::max(1, proxies);
    if (!known_ || told >= proxies_) {
      proxies_ = told;
      confirmed_ = now;
      known_ = true;
    } else if (now - confirmed_ > kSmallerCountsAfter) {
      proxies_ = told;
      confirmed_ = now;
    }
  }
  void CountRequest(const std::string& service, brackenspoke::TimePoint now) {
    windows_[service].First(now, terms_.window);
  }
  // Counts one more arrival beyond the first, if the budget allows it.
  bool Take(const std::string& service, brackenspoke::TimePoint now) {
    brackenspoke::RetryBudget budget;
    budget.share = terms_.ratio * kUsed;
    budget.window = terms_.window;
    budget.at_least = static_cast<int>(terms_.minimum * kUsed / proxies_);
    return windows_[service].Take(now, budget);
  }

 private:
  BudgetTerms terms_;
  int proxies_ = kProxiesAtFirst;
  bool known_ = false;
  brackenspoke::TimePoint confirmed_{};
  std::unordered_map<std::string, brackenspoke::RetryWindow> windows_;  // a few services
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_RETRY_BUDGET_H_

// SPDX-License-Identifier: Apache-2.0
//
// Load limits of servers that are warming up, and the capacity of the fleet.
#ifndef KESTRELLINE_SRC_POLICY_COLD_START_H_
#define KESTRELLINE_SRC_POLICY_COLD_START_H_

#include <boost/unordered/unordered_flat_map.hpp>

#include "policy/state.h"

namespace kestrelline {

constexpr double kColdSafetyFactor = 0.55;  // used fraction of fall_multiple: margin for variance and delays
constexpr double kMinWarmCores = 0.25;      // minimum capacity of a warm server, in standard cores
constexpr Duration kWarmRateMemory{30000};  // long, as the capacity of a warm server does not change
constexpr double kWindowSlack = 1.1;        // cold budgets use a window longer by this factor than the rule's

class ColdStarts {
 public:
  explicit ColdStarts(State& state) : state_(state) {}

  bool any() const { return !cold_.empty(); }
  // Number of servers listed, and in service; a cold server counts by its warm share.
  double listed() const { return listed_; }
  double in_service() const { return in_service_; }

  // Lower bound on the fraction of its capacity that a server has by now.
  double WarmShare(const Server& s) const {
    const TimePoint up_since = state_.EntryOf(s).up_since;
    if (up_since.time_since_epoch().count() <= 0) return 1;
    const Settings& settings = state_.settings;
    const double age = (state_.now - up_since).count();
    const double warm_up = settings.warm_up.count();
    if (warm_up <= 0 || age >= warm_up) return 1;
    return settings.cold_from + (1 - settings.cold_from) * std::max(0.0, age) / warm_up;
  }

  // Whether the budget of a cold server allows `work`. Over the rule's window it gets its warm share of what
  // a warm server serves for this proxy; with all proxies doing so, the sum is that share of a warm server's
  // capacity, however traffic is split. The rate sent would be no measure: an overloaded fleet is sent far
  // more than it serves. A request larger than the budget goes once the budget has accrued for it, the first
  // at a random point of that time: hundreds of proxies that each sent a first one at once overloaded
  // servers.
  bool Fits(const Server& s, double work) {
    const double share = WarmShare(s);
    if (share >= 1) return true;
    const Settings& settings = state_.settings;
    const Duration window = settings.overload_for * kWindowSlack;
    ColdStart& cold = cold_[s.index];
    const double sent = cold.sent.Within(state_.now, window);
    const double rate = kColdSafetyFactor * settings.fall_multiple * share * warm_rate_;
    if (sent + work <= rate * settings.overload_for.count()) return true;
    const double min_rate = settings.fall_multiple * settings.cold_from * kMinWarmCores / state_.Proxies();
    const double accrual_rate = std::max(rate, min_rate);
    return accrual_rate > 0 &&
           state_.now - cold.last_send >= cold.send_phase * std::max(window, Duration(work / accrual_rate));
  }

  void Sent(const Server& s, double work) {
    if (WarmShare(s) >= 1) return;
    ColdStart& cold = cold_[s.index];
    cold.sent.Add(state_.now, work);
    cold.last_send = state_.now, cold.send_phase = 1;
  }

  void Started(const Server& s) {
    cold_.erase(s.index);
    if (WarmShare(s) < 1) cold_[s.index] = {{}, state_.now, state_.random.Unit()};
  }

  // Updates the work per ms that a warm server serves for this proxy; `rate` is what all servers serve.
  // Pooled over the fleet, as a single server gives too few answers. The peak is kept for a while: during a
  // rolling deploy that left no warm server, a budget based on the current rate starved itself.
  void LearnWarmRate(Duration elapsed, double rate) {
    if (in_service_ <= 0) return;
    const double now_rate = rate / in_service_;
    warm_rate_ += std::min(1.0, elapsed / kWarmRateMemory) * (now_rate - warm_rate_);
    warm_rate_ = std::max(warm_rate_, now_rate);
  }

  void CountCapacity() {
    erase_if(cold_, [this](const auto& cold) { return WarmShare(state_.servers[cold.first]) >= 1; });
    listed_ = state_.fleet.hosts, in_service_ = state_.fleet.hosts - state_.fleet.ejected;
    for (const auto& [i, cold] : cold_) {
      const Server& s = state_.servers[i];
      if (!state_.Usable(s)) continue;
      const double missing_share = 1 - WarmShare(s);
      listed_ -= missing_share;
      in_service_ -= s.health.ejected ? 0 : missing_share;
    }
  }

 private:
  State& state_;
  boost::unordered_flat_map<ServerIndex, ColdStart> cold_;
  double warm_rate_ = 0, listed_ = 0, in_service_ = 0;
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_COLD_START_H_

// SPDX-License-Identifier: Apache-2.0
//
// What a server that started lately may be sent, and what the servers can do together.
#ifndef KESTRELLINE_SRC_POLICY_COLD_START_H_
#define KESTRELLINE_SRC_POLICY_COLD_START_H_

#include <boost/unordered/unordered_flat_map.hpp>

#include "policy/state.h"

namespace kestrelline {

constexpr double kColdCaution = 0.55;       // of the fall multiple: the rest is for chance and for late news
constexpr double kColdLeast = 0.25;         // standard cores that a warm server has at the very least
constexpr Duration kWarmRateMemory{30000};  // of what a warm server serves: it does not lose its cores
constexpr double kWindowSlack = 1.1;        // rolling window of the cold budget over the rule's, for delays

class ColdStarts {
 public:
  explicit ColdStarts(State& state) : state_(state) {}

  bool any() const { return !cold_.empty(); }
  // Servers that are listed, and that are in service; a cold one counts as its share.
  double listed() const { return listed_; }
  double in_service() const { return in_service_; }

  // The share of its capacity that a server has at least.
  double WarmShare(const Server& s) const {
    const TimePoint up_since = state_.EntryOf(s).up_since;
    if (up_since.time_since_epoch().count() <= 0) return 1;
    const Settings& settings = state_.settings;
    const double age = (state_.now - up_since).count();
    const double warm_up = settings.warm_up.count();
    if (warm_up <= 0 || age >= warm_up) return 1;
    return settings.cold_from + (1 - settings.cold_from) * std::max(0.0, age) / warm_up;
  }

  // A cold server gets, over the rule's window, its share of what a warm one serves for this proxy. All
  // proxies doing so, their sum is that share of what a warm server can do, whatever part of the traffic each
  // has. What was sent is no measure: an overloaded fleet is sent far more than it can do. Where that budget
  // is less than a request, one may go when the budget has paid for it, the first at a random point of that
  // time: hundreds of proxies that each allowed themselves a first one at once pushed servers over.
  bool Fits(const Server& s, double work) {
    const double share = WarmShare(s);
    if (share >= 1) return true;
    const Settings& settings = state_.settings;
    const Duration window = settings.overload_for * kWindowSlack;
    ColdStart& cold = cold_[s.index];
    const double sent = cold.sent.Within(state_.now, window);
    const double rate = kColdCaution * settings.fall_multiple * share * warm_rate_;
    if (sent + work <= rate * settings.overload_for.count()) return true;
    const double least = settings.fall_multiple * settings.cold_from * kColdLeast / state_.Sharing();
    const double paid = std::max(rate, least);
    return paid > 0 &&
           state_.now - cold.turn_since >= cold.turn_phase * std::max(window, Duration(work / paid));
  }

  void Sent(const Server& s, double work) {
    if (WarmShare(s) >= 1) return;
    ColdStart& cold = cold_[s.index];
    cold.sent.Add(state_.now, work);
    cold.turn_since = state_.now, cold.turn_phase = 1;
  }

  void Started(const Server& s) {
    cold_.erase(s.index);
    if (WarmShare(s) < 1) cold_[s.index] = {{}, state_.now, state_.random.Unit()};
  }

  // Work a ms that a warm server serves for this proxy, of which `rate` is served by all. Pooled over the
  // fleet, as one server's own answers are too few to tell. What was seen once holds for a while: in a
  // rolling deploy that leaves no warm server, a budget of what is served now starved itself.
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
      const double lacking = 1 - WarmShare(s);
      listed_ -= lacking;
      in_service_ -= s.health.ejected ? 0 : lacking;
    }
  }

 private:
  State& state_;
  boost::unordered_flat_map<ServerIndex, ColdStart> cold_;
  double warm_rate_ = 0, listed_ = 0, in_service_ = 0;
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_COLD_START_H_

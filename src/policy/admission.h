// SPDX-License-Identifier: Apache-2.0
//
// Admission control: the proxy's concurrency limit, throttling of thin traffic, tenant quotas, class limits.
#ifndef KESTRELLINE_SRC_POLICY_ADMISSION_H_
#define KESTRELLINE_SRC_POLICY_ADMISSION_H_

#include "policy/state.h"

namespace kestrelline {

constexpr double kQueueFraction = 0.33;   // of the target time that an attempt may take on average
constexpr double kAllowedDeviations = 1;  // standard deviations of the number in flight that are not overload
constexpr double kMaxCrowding = 3;        // multiple of a mean request's time at uncrowded servers, likewise
constexpr double kTargetFraction = 0.7;   // of the target time that answers may take on average; leaves room
                                          // for their variance
constexpr double kLowPressure = 0.7;      // fraction of the throttling pressure that counts as low
constexpr double kUnthrottledCrowding = 2.5;  // multiple of the uncrowded response time that is not throttled
constexpr double kMaxFloor = 4;        // minimum concurrency limit of a proxy while servers are not crowded
constexpr double kMinPerServer = 3;    // requests in flight per server, from all proxies, always admitted
constexpr int kMinStretchSamples = 4;  // answers to large requests needed, as one slow answer says little

class Admission {
 public:
  explicit Admission(State& state) : state_(state), tokens_(state.settings.tenants.size(), 1) {}

  // Exception, when the whole fleet is slow: a concurrency limit from Little's law (in flight = answers per
  // ms * response time). Requests beyond kQueueFraction of the target time at the recent rate could only
  // queue. Beyond kMaxCrowding times the uncrowded time, some servers get slower the more they hold: a fleet
  // in that state stayed at a fifth of its rate until the load ended. The other requests are queued here, the
  // most valuable first, and refused while a retry can still succeed. Requests are counted, not weighted by
  // work: one huge request must neither be locked out nor lock out all others. `listed`: the number of
  // servers.
  bool HasRoom(double listed) const {
    const double min_limit = std::max(MinInFlight(), kMinPerServer * listed / state_.Proxies());
    const double uncrowded =
        state_.crowding.stretch > 0 ? state_.crowding.stretch * state_.request_work.mean : mean_aim_.mean;
    const double useful_time = std::min(kQueueFraction * mean_aim_.mean, kMaxCrowding * uncrowded);
    const double mean_in_flight = state_.rates.answers() * useful_time;
    return state_.in_flight - state_.overdue <
           std::max(min_limit, mean_in_flight + kAllowedDeviations * std::sqrt(mean_in_flight));
  }

  // Exception, where traffic is thin: a limit of one or two in flight is too coarse to protect servers from
  // overload. Arrivals are refused at random, with a probability that rises with the slowdown of answers and
  // with the fraction of their target time they take (without this, a fleet that lost a third of its servers
  // answered everything, half of it late). Requests over their tenant's quota are refused first.
  bool Throttled(const Request& r) {
    const double pressure = Pressure();
    if (!state_.fleet.thin || pressure <= 1) return false;
    const bool over_share = r.value < state_.settings.classes[r.cls].worth;
    return state_.random.Unit() > std::pow(pressure, over_share ? -4 : -2);
  }

  // Value of serving the request when `aim` is left of its class's target time.
  double ValueOf(const Request& r, int tenant, Duration aim) {
    const ClassSettings& c = state_.settings.classes[r.cls];
    mean_aim_.Add(c.aim.count());
    double value = c.worth * (WithinQuota(tenant) ? 1 : state_.settings.over_share_worth);
    // A request too large to be answered in time must not displace others. Each such finding lowers the
    // estimate that led to it, so that a slow period cannot lock out a class for good.
    const bool low_pressure =
        state_.fleet.thin && Pressure() < kLowPressure;  // displaces nobody: worth a try
    const Duration estimated_time(low_pressure || state_.crowding.stretch_samples < kMinStretchSamples
                                      ? 0
                                      : r.work * state_.crowding.stretch);
    if (estimated_time > aim) value *= state_.now + estimated_time > r.due ? 0 : c.late_worth;
    if (estimated_time > c.aim) state_.crowding.stretch *= 1 - 5 * kStretchGain;
    return value;
  }

  // Exception, where clients heed retry-after: a request that could not be answered in time would be late on
  // a retry as well, and displace one in time. The advice covers the time in which the client would retry.
  Duration RetryAfter(const Request& r) const {
    return std::min(state_.settings.max_retry_after, state_.settings.classes[r.cls].deadline);
  }

  // Sets the token bucket of a class; one token admits one request.
  void Limit(const ClassLimit& e) {
    if (e.request_class < 0 || e.request_class >= static_cast<int>(state_.classes.size())) return;
    if (std::isnan(e.per_s)) return;
    limits_.resize(state_.classes.size());
    limits_[e.request_class].per_s = e.per_s;
  }
  bool AdmitsClass(const Request& r) {
    if (limits_.empty() || limits_[r.cls].per_s < 0) return true;
    double& tokens = limits_[r.cls].tokens;
    if (limits_[r.cls].per_s == 0 || tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  void RefillTokens(double elapsed) {
    for (ClassBucket& limit : limits_) {
      const double rate = limit.per_s / state_.Proxies() / 1000;
      if (rate > 0) limit.tokens = std::min(std::max(1.0, rate * 1000), limit.tokens + rate * elapsed);
    }
    for (std::size_t t = 0; t < tokens_.size(); ++t) {
      const double rate = state_.settings.tenants[t].quota_per_s / state_.Proxies() / 1000;
      tokens_[t] = std::min(std::max(1.0, rate * 2000), tokens_[t] + rate * elapsed);
    }
  }

 private:
  // Minimum of the concurrency limit. With many proxies it determines the load of servers, so it falls as
  // they get crowded.
  double MinInFlight() const {
    return std::clamp(1.5 * kMaxFloor / std::max(state_.crowding.slowdown, 0.1), 1.0, kMaxFloor);
  }
  double Pressure() const {
    return std::max(state_.crowding.slowdown / kUnthrottledCrowding,
                    state_.crowding.target_fraction / kTargetFraction);
  }

  bool WithinQuota(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(tokens_.size())) return true;
    if (tokens_[tenant] < 1) return false;
    tokens_[tenant] -= 1;
    return true;
  }

  struct ClassBucket {
    double per_s = -1, tokens = 0;
  };

  State& state_;
  std::vector<ClassBucket> limits_;  // by class; empty until one is set
  MeanDeviation mean_aim_;
  std::vector<double> tokens_;  // quota buckets by tenant
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_ADMISSION_H_

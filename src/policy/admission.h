// SPDX-License-Identifier: Apache-2.0
//
// How much this proxy has in flight, and what it turns away: limits of the whole proxy, shares of tenants.
#ifndef KESTRELLINE_SRC_POLICY_ADMISSION_H_
#define KESTRELLINE_SRC_POLICY_ADMISSION_H_

#include "policy/state.h"

namespace kestrelline {

constexpr double kQueueShare = 0.33;   // of the aim that an attempt may take, in the mean
constexpr double kChance = 1;          // deviations of the number in flight that are no overload
constexpr double kCrowding = 3;        // and of what a mean request takes at servers that are not crowded
constexpr double kAimShare = 0.7;      // of their aims that answers may take in the mean: the rest is spread
constexpr double kAtEase = 0.7;        // of the pressure at which the throttle starts
constexpr double kComfort = 2.5;       // times the uncrowded time, up to which all is let in
constexpr double kMostFloor = 4;       // in flight at a proxy while answers come as fast as ever
constexpr double kLeastPerServer = 3;  // in flight at a server, of all proxies, that are always in order
constexpr int kLeastVotes = 4;         // answers of large requests; one slow one says little

class Admission {
 public:
  explicit Admission(State& state) : state_(state), tokens_(state.settings.tenants.size(), 1) {}

  // Exception, when the whole fleet is slow: by Little's law requests in flight are those answered a ms times
  // their time; more in flight than kQueueShare of the aim at the rate of late could only queue, and more
  // than kCrowding times what requests take uncrowded makes some servers slower the more they hold: once
  // there, a fleet stayed at a fifth of its rate for as long as the load lasted (incident i42a2e5). The rest
  // is held here, the most worth first, and refused while a try later can still be of use. Counted, not
  // weighed: one huge request must neither be shut out nor shut out all others. `listed`: the servers.
  bool Fits(double listed) const {
    const double least = std::max(Floor(), kLeastPerServer * listed / state_.Sharing());
    const double uncrowded =
        state_.crowding.stretch > 0 ? state_.crowding.stretch * state_.request_work.mean : mean_aim_.mean;
    const double useful = std::min(kQueueShare * mean_aim_.mean, kCrowding * uncrowded);
    const double mean = state_.rates.answers() * useful;
    return state_.in_flight - state_.overdue < std::max(least, mean + kChance * std::sqrt(mean));
  }

  // Exception, where traffic is thin: a limit of one or two in flight is too coarse to keep servers from
  // choking. Arrivals are refused by chance, by how crowded answers are and how much of their aims they take
  // (a fleet with a third of it gone answered everything, half of it late: i6ba857); those over their tenant
  // share go first.
  bool Throttled(const Request& r) {
    const double pressure = Pressure();
    if (!state_.fleet.thin || pressure <= 1) return false;
    const bool over_share = r.value < state_.settings.classes[r.cls].worth;
    return state_.random.Unit() > std::pow(pressure, over_share ? -4 : -2);
  }

  // What serving it is worth, `aim` being left of its class's.
  double ValueOf(const Request& r, int tenant, Duration aim) {
    const ClassSettings& c = state_.settings.classes[r.cls];
    mean_aim_.Add(c.aim.count());
    double value = c.worth * (WithinShare(tenant) ? 1 : state_.settings.over_share_worth);
    // What is too large to be in time is worth little, or nothing: it must not take the place of others. Each
    // such finding weakens the next: a slow spell must not shut a class out for good.
    const bool at_ease = state_.fleet.thin && Pressure() < kAtEase;  // it takes nobody's place: may be lucky
    const Duration alone(
        at_ease || state_.crowding.stretch_votes < kLeastVotes ? 0 : r.work * state_.crowding.stretch);
    if (alone > aim) value *= state_.now + alone > r.due ? 0 : c.late_worth;
    if (alone > c.aim) state_.crowding.stretch *= 1 - 5 * kStretchGain;
    return value;
  }

  // Exception, where clients listen: one whose aim could not be met would come back only to be late, and take
  // the place of one in time. It is told to stay away for as long as it would have come back.
  Duration StayAway(const Request& r) const {
    return std::min(state_.settings.max_retry_after, state_.settings.classes[r.cls].deadline);
  }

  // Of ClassLimit: one token is one request of the class.
  void Limit(const ClassLimit& e) {
    if (e.request_class < 0 || e.request_class >= static_cast<int>(state_.classes.size())) return;
    if (std::isnan(e.per_s)) return;
    limits_.resize(state_.classes.size());
    limits_[e.request_class].per_s = e.per_s;
  }
  bool TakesClass(const Request& r) {
    if (limits_.empty() || limits_[r.cls].per_s < 0) return true;
    double& tokens = limits_[r.cls].tokens;
    if (limits_[r.cls].per_s == 0 || tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  void FillShares(double elapsed) {
    for (Limited& limit : limits_) {
      const double rate = limit.per_s / state_.Sharing() / 1000;
      if (rate > 0) limit.tokens = std::min(std::max(1.0, rate * 1000), limit.tokens + rate * elapsed);
    }
    for (std::size_t t = 0; t < tokens_.size(); ++t) {
      const double rate = state_.settings.tenants[t].quota_per_s / state_.Sharing() / 1000;
      tokens_[t] = std::min(std::max(1.0, rate * 2000), tokens_[t] + rate * elapsed);
    }
  }

 private:
  // In flight at the least, which with many proxies bounds what servers hold: fewer, the more crowded they
  // are.
  double Floor() const {
    return std::clamp(1.5 * kMostFloor / std::max(state_.crowding.times, 0.1), 1.0, kMostFloor);
  }
  double Pressure() const {
    return std::max(state_.crowding.times / kComfort, state_.crowding.of_aim / kAimShare);
  }

  bool WithinShare(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(tokens_.size())) return true;
    if (tokens_[tenant] < 1) return false;
    tokens_[tenant] -= 1;
    return true;
  }

  struct Limited {
    double per_s = -1, tokens = 0;
  };

  State& state_;
  std::vector<Limited> limits_;  // by class; empty: none was ever set
  Spread mean_aim_;
  std::vector<double> tokens_;  // of tenants
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_ADMISSION_H_

// SPDX-License-Identifier: Apache-2.0
//
// Outlier ejection: when a server is taken out of service, and for how long.
#ifndef KESTRELLINE_SRC_POLICY_EJECTION_H_
#define KESTRELLINE_SRC_POLICY_EJECTION_H_

#include "measures.h"

namespace kestrelline {

// Parameters, named as in gRFC A50.
constexpr Duration kInterval{2000};          // counts reset: long enough for the volume floor at 2 requests/s
constexpr Duration kBaseEjectionTime{2000};  // first ejection: as long as one interval
constexpr Duration kMaxEjectionTime{16000};  // a recovered server is tried again within this
constexpr int kRequestVolume = 3;  // a proxy sends few requests to a server; 3 of 3 failing is not chance
constexpr Duration kMaxInterval{10000};     // A50's default; with thin traffic counts are kept for longer
constexpr double kSignificance = 0.01;      // thin traffic: significance level of failures in a row
constexpr double kPriorFailures = 0.1;      // prior count of failures at the other servers
constexpr int kMinimumHosts = 2;            // servers to compare with each other
constexpr double kThreshold = 0.4;          // failure share; well above what noise and overlap produce
constexpr double kMaxEjectionPercent = 50;  // the others must be able to carry the load
constexpr double kEnforcingPercent = 100;   // every finding is enforced

// gRFC A50 outlier detection by failure percentage, evaluated at each answer instead of once an interval.
class OutlierDetector {
 public:
  struct Host {
    int successes = 0, failures = 0, multiplier = 0;  // valid as of `interval`; see Sync
    int interval = 0;
    bool ejected = false;
    TimePoint return_at{};
    int attempts() const { return successes + failures; }
  };

  // Running totals over the hosts, so that an answer does not cost a scan of the fleet.
  struct Fleet {
    int hosts = 0, ejected = 0;  // hosts listed as ready, and the ejected ones among them
    // Since the interval began; failures and attempts count hosts in service only.
    int qualifying = 0, failures = 0, attempts = 0;
    Duration interval{kInterval};
    int number = 0;     // of the current interval
    bool thin = false;  // traffic is too low for kRequestVolume attempts per host within kInterval
  };

  // Applies the intervals that ended since the last call: they reset the host's counts, and lower its
  // multiplier while it is in service.
  static void Sync(Host& host, const Fleet& fleet) {
    const int ended = fleet.number - host.interval;
    if (ended == 0) return;
    host.successes = host.failures = 0;
    if (!host.ejected) host.multiplier = std::max(0, host.multiplier - ended);
    host.interval = fleet.number;
  }

  // Counts an answer and tests the host; true if this ejects it.
  static bool Record(Host& host, bool success, TimePoint now, Fleet& fleet, Random& random) {
    Sync(host, fleet);
    ++(success ? host.successes : host.failures);
    fleet.qualifying += host.attempts() == (fleet.thin ? 1 : kRequestVolume);
    if (host.ejected) return false;
    fleet.failures += !success;
    ++fleet.attempts;
    if (fleet.qualifying < kMinimumHosts) return false;
    // The threshold rises with the failure share of the other hosts, e * (2 - e): an overloaded fleet must
    // not eject itself, but a server that always fails is ejected however bad the others are.
    const int others_failed = fleet.failures - host.failures, others = fleet.attempts - host.attempts();
    const double elsewhere = others > 0 ? static_cast<double>(others_failed) / others : 0;
    const double threshold = std::max(kThreshold, elsewhere * (2 - elsewhere));
    if (host.attempts() < Volume(fleet, others_failed, others)) return false;
    if (!(host.failures > threshold * host.attempts())) return false;
    if (!(100.0 * fleet.ejected < kMaxEjectionPercent * fleet.hosts)) return false;
    if (!(100.0 * random.Unit() < kEnforcingPercent)) return false;
    ++host.multiplier;
    host.ejected = true;
    ++fleet.ejected;
    fleet.failures -= host.failures;
    fleet.attempts -= host.attempts();
    const Duration base = fleet.interval * (kBaseEjectionTime / kInterval);
    host.return_at = now + std::min(base * host.multiplier, std::max(base, kMaxEjectionTime)) *
                               (fleet.thin ? 0.75 + 0.5 * random.Unit() : 1);
    return true;
  }

  // Exception, where traffic is thin and kRequestVolume would never be reached: the floor falls to the number
  // of attempts that are unlikely to all fail by chance, given the failure share of the other hosts. Proxies
  // then find a failure one by one, and return times are jittered so that they do not return in step.
  static int Volume(const Fleet& fleet, int others_failed, int others) {
    if (!fleet.thin) return kRequestVolume;
    const double elsewhere = (others_failed + kPriorFailures) / (others + 1);
    return elsewhere >= 1
               ? kRequestVolume
               : std::min<int>(kRequestVolume, std::ceil(std::log(kSignificance) / std::log(elsewhere)));
  }
  // Whether the ejection multiplier of a returning host is lowered (Balancer) or kept (data plane).
  enum class OnReturn { kLowerMultiplier, kKeepMultiplier };
  static void Return(Host& host, const Fleet& fleet, OnReturn on_return = OnReturn::kLowerMultiplier) {
    Sync(host, fleet);
    host.ejected = false;
    if (on_return == OnReturn::kLowerMultiplier) host.multiplier = std::max(0, host.multiplier - 1);
  }
  static void EndInterval(Fleet& fleet) {
    ++fleet.number;
    fleet.qualifying = fleet.failures = fleet.attempts = 0;
  }
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_EJECTION_H_

// SPDX-License-Identifier: Apache-2.0
//
// When a server is taken out of service, and until when.
#ifndef KESTRELLINE_SRC_POLICY_EJECTION_H_
#define KESTRELLINE_SRC_POLICY_EJECTION_H_

#include "measures.h"

namespace kestrelline {

// In A50's terms.
constexpr Duration kInterval{2000};          // counts reset: long enough for the volume floor at 2 requests/s
constexpr Duration kBaseEjectionTime{2000};  // first ejection: as long as one interval
constexpr Duration kMaxEjectionTime{16000};  // a recovered server is tried again within this
constexpr int kRequestVolume = 3;  // a proxy sees few requests a server; 3 of 3 failing is no chance
constexpr Duration kLongestInterval{10000};  // A50's own; where traffic is thin counts have to be kept longer
constexpr double kByChance = 0.01;      // thin traffic: failures that come together less often are no chance
constexpr double kPriorFailures = 0.1;  // seen elsewhere before anything is
constexpr int kMinimumHosts = 2;        // servers to compare with each other
constexpr double kThreshold = 0.4;      // failure share; well over what noise and overlap produce
constexpr double kMaxEjectionPercent = 50;  // the rest must be able to carry the load
constexpr double kEnforcingPercent = 100;   // every finding is enforced

// gRFC A50, failure percentage, evaluated at each answer as DESIGN states it.
class OutlierDetector {
 public:
  struct Host {
    int successes = 0, failures = 0, multiplier = 0;  // as of `interval`: see Sync
    int interval = 0;
    bool ejected = false;
    TimePoint return_at{};
    int attempts() const { return successes + failures; }
  };

  // Running counts over the hosts: an answer must not cost a scan of the fleet.
  struct Fleet {
    int hosts = 0, ejected = 0;  // listed as ready; of these out of service
    // Since the interval began; the last two of hosts in service.
    int qualifying = 0, failures = 0, attempts = 0;
    Duration interval{kInterval};
    int number = 0;     // of the interval
    bool thin = false;  // traffic does not bring the volume to each host within kInterval
  };

  // The intervals that ended since the host was looked at: they reset its counts, and lower its multiplier
  // while it is in service.
  static void Sync(Host& host, const Fleet& fleet) {
    const int ended = fleet.number - host.interval;
    if (ended == 0) return;
    host.successes = host.failures = 0;
    if (!host.ejected) host.multiplier = std::max(0, host.multiplier - ended);
    host.interval = fleet.number;
  }

  // Counts an answer and tests the host; true if it is ejected by it.
  static bool Record(Host& host, bool success, TimePoint now, Fleet& fleet, Random& random) {
    Sync(host, fleet);
    ++(success ? host.successes : host.failures);
    fleet.qualifying += host.attempts() == (fleet.thin ? 1 : kRequestVolume);
    if (host.ejected) return false;
    fleet.failures += !success;
    ++fleet.attempts;
    if (fleet.qualifying < kMinimumHosts) return false;
    // The threshold rises with the share failing elsewhere, to twice that while it is small and to 1 with it:
    // an overloaded fleet must not eject itself, but a server failing always goes, however bad the rest.
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

  // Exception, where traffic is thin: the volume floor is never met there, so it falls to as many attempts as
  // could hardly all fail by chance, going by the share that fails elsewhere. Proxies learn of a failure one
  // by one then, and return times are spread so that they do not come back to the server in step.
  static int Volume(const Fleet& fleet, int others_failed, int others) {
    if (!fleet.thin) return kRequestVolume;
    const double elsewhere = (others_failed + kPriorFailures) / (others + 1);
    return elsewhere >= 1
               ? kRequestVolume
               : std::min<int>(kRequestVolume, std::ceil(std::log(kByChance) / std::log(elsewhere)));
  }
  // What becomes of the multiplier of a host whose time is over: the fleet keeps it, as its page says.
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

// SPDX-License-Identifier: Apache-2.0
//
// State shared by all parts of the decision module: settings, servers, current time. Makes no decisions.
#ifndef KESTRELLINE_SRC_POLICY_STATE_H_
#define KESTRELLINE_SRC_POLICY_STATE_H_

#include <cmath>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fleet/class_losses.h"
#include "fleet/roster.h"
#include "fleet/subset.h"
#include "fleet/table.h"
#include "kestrelline/balancer.h"
#include "measures.h"
#include "policy/ejection.h"
#include "policy/estimates.h"

namespace kestrelline {

constexpr double kMinLatencyScale = 0.5;  // of the latency of a class, for a request of no work
constexpr Duration kForgetAfter{600000};  // a server gone for this long loses its state
constexpr TimePoint kNever{Duration(1e300)};

struct Server {
  double own_work = 0;  // hinted work of this proxy in flight
  int own_count = 0;    // requests of this proxy in flight
  int references = 0;   // attempts at this server, of requests not yet erased; its index is not reused before
  ServerIndex index = 0;
  std::uint32_t subset : 31 = 0;  // number of the last subset that contained it
  std::uint32_t asleep : 1 = 0;   // cold and over its budget until the next sample
  OutlierDetector::Host health;
  double excess = 0;        // mean of response time over the fleet's, minus 1; see SlownessOf
  TimePoint quiet_since{};  // last answer, or when it got a request while idle
};

// Number of proxies among which shared resources are divided: `now` before `until`, `after` from then on.
struct ProxyCount {
  double now = 1, after = 1;
  TimePoint until{};
};

// Time constant with which slowness decays if not confirmed. It is the same for all servers, so excesses are
// stored as of one moment and a single factor brings them up to date.
constexpr Duration kSlownessMemory{4000};

// Log lines are rate-limited by kind.
enum class LogKind { kHealth, kEnding, kCold };
constexpr Duration kLogGap{1000}, kLongLogGap{10000};  // minimum gap of kHealth; of each other kind

struct State {
  State(Settings given, std::uint64_t seed)
      : settings(std::move(given)),
        random(seed),
        separate_zones(settings.price_cross_zone > kestrelline::fleet::kMinPriceForSeparateZones),
        roster({settings.zone, separate_zones, kForgetAfter}),
        classes(settings.classes.size()),
        proxy_count{static_cast<double>(settings.balancers), static_cast<double>(settings.balancers), {}} {}
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  const kestrelline::fleet::ServerRecord& EntryOf(const Server& s) const { return roster[s.index]; }
  bool Usable(const Server& s) const { return EntryOf(s).state == ServerState::kReady; }
  Location LocationOf(ServerIndex i) const { return {roster[i].zone, roster[i].cell}; }
  double Proxies() const { return now < proxy_count.until ? proxy_count.now : proxy_count.after; }

  // Factor on the mean latency of the class for this request's work.
  double LatencyScale(const Request& r) const {
    const double mean = classes[r.cls].work.mean;
    const double ratio = mean > 0 ? r.work / mean : 1;
    return ratio > 1 ? ratio : kMinLatencyScale + (1 - kMinLatencyScale) * ratio;
  }

  double SlownessOf(const Server& s) const { return 1 + s.excess * slowness_decay; }
  // Updates the factor; rebases the stored excesses before they grow too large.
  void DecaySlowness() {
    slowness_decay = std::exp((decayed_at - now) / kSlownessMemory);
    if (now - decayed_at < kSlownessMemory * 10) return;
    for (std::size_t i = 0; i < servers.size(); ++i) servers[i].excess *= slowness_decay;
    decayed_at = now;
    slowness_decay = 1;
  }

  bool MayLog(LogKind kind) {
    TimePoint& at = log_at[static_cast<int>(kind)];
    if (now < at) return false;
    at = now + (kind == LogKind::kHealth ? kLogGap : kLongLogGap);
    return true;
  }
  void LogLine(std::string text) { out->push_back(Log{std::move(text)}); }

  Settings settings;
  Random random;
  TimePoint now{};
  std::vector<Action>* out = nullptr;  // actions of the event being handled
  kestrelline::fleet::Table<Server> servers;
  const bool separate_zones;  // the subset has an arc of the home zone and one of all other zones
  kestrelline::fleet::Roster roster;
  const kestrelline::fleet::Ring& ring = roster.all();  // ready servers in ring order
  OutlierDetector::Fleet fleet;
  kestrelline::fleet::ClassLosses class_losses;
  std::vector<ClassState> classes;
  MeanDeviation request_work;
  Crowding crowding;
  Rates rates;
  ProxyCount proxy_count;
  int in_flight = 0, overdue = 0;  // attempts in flight, and the overdue ones among them
  TimePoint decayed_at{}, log_at[3] = {};
  double slowness_decay = 1;  // decay of slowness since then
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_STATE_H_

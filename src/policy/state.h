// SPDX-License-Identifier: Apache-2.0
//
// What all parts of the decision module go by: the settings, the servers, this moment. No decisions.
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

constexpr double kLeastScale = 0.5;       // of the time of a class, for a request of no work
constexpr Duration kForgetAfter{600000};  // a server gone for this long loses its state
constexpr TimePoint kNever{Duration(1e300)};

struct Server {
  double own_work = 0;  // hinted, of this proxy, in flight
  int own_count = 0;
  int remembered = 0;  // attempts at it of requests that are not forgotten
  ServerIndex index = 0;
  std::uint32_t subset : 31 = 0;  // the last subset that held it
  std::uint32_t asleep : 1 = 0;   // cold, and over its budget until the next sample
  OutlierDetector::Host health;
  double excess = 0;  // time of its answers over what the fleet takes for the like, less 1; see SlownessOf
  TimePoint quiet_since{};
};

// How many proxies what all have together is divided by, until a moment and after it.
struct Sharers {
  double now = 1, after = 1;
  TimePoint until{};
};

// What is not confirmed is forgotten: all slowness fades at one rate, so it is kept as of one moment, and one
// factor makes it what it is now.
constexpr Duration kSlownessMemory{4000};

// Few lines: each kind no closer than its gap.
enum class LogKind { kHealth, kEnding, kCold };
constexpr Duration kLogGap{1000}, kLongLogGap{10000};  // between lines on health; between others of a kind

struct State {
  State(Settings given, std::uint64_t seed)
      : settings(std::move(given)),
        random(seed),
        zones_apart(settings.price_cross_zone > kestrelline::fleet::kWorthStaying),
        roster({settings.zone, zones_apart, kForgetAfter}),
        classes(settings.classes.size()),
        sharers{static_cast<double>(settings.balancers), static_cast<double>(settings.balancers), {}} {}
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  const kestrelline::fleet::Seat& EntryOf(const Server& s) const { return roster[s.index]; }
  bool Usable(const Server& s) const { return EntryOf(s).state == ServerState::kReady; }
  Location LocationOf(ServerIndex i) const { return {roster[i].zone, roster[i].cell}; }
  double Sharing() const { return now < sharers.until ? sharers.now : sharers.after; }

  // Of the time of its class, for this request's work.
  double WorkScale(const Request& r) const {
    const double mean = classes[r.cls].work.mean;
    const double ratio = mean > 0 ? r.work / mean : 1;
    return ratio > 1 ? ratio : kLeastScale + (1 - kLeastScale) * ratio;
  }

  double SlownessOf(const Server& s) const { return 1 + s.excess * fade; }
  // That moment is moved on before numbers become too large.
  void Fade() {
    fade = std::exp((faded_since - now) / kSlownessMemory);
    if (now - faded_since < kSlownessMemory * 10) return;
    for (std::size_t i = 0; i < servers.size(); ++i) servers[i].excess *= fade;
    faded_since = now;
    fade = 1;
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
  std::vector<Action>* out = nullptr;  // of the event in hand
  kestrelline::fleet::Table<Server> servers;
  const bool zones_apart;  // the own zone's servers are used beside an arc of all others
  kestrelline::fleet::Roster roster;
  const kestrelline::fleet::Ring& ring = roster.all();  // servers ready, by their place
  OutlierDetector::Fleet fleet;
  kestrelline::fleet::ClassLosses class_losses;
  std::vector<ClassState> classes;
  Spread request_work;
  Crowding crowding;
  Rates rates;
  Sharers sharers;
  int in_flight = 0, overdue = 0;  // attempts, and those of them that are overdue
  TimePoint faded_since{}, log_at[3] = {};
  double fade = 1;  // of slowness, since then
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_STATE_H_

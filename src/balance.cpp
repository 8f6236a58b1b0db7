// SPDX-License-Identifier: Apache-2.0
//
// Every decision of brackenspoke. The types, events and actions are in include/brackenspoke/balancer.h.
//
// The ordinary path is gRFC A50 outlier detection (failure percentage) and, among the servers in service, a
// pick of the one with the least hinted work of this proxy's own in flight. Whatever departs from that is
// marked "Exception" with the condition under which it acts; docs/design/exceptions.md lists them all.
#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cmath>
#include <deque>
#include <limits>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>

#include "brackenspoke/balancer.h"
#include "fleet/affinity.h"
#include "fleet/asking.h"
#include "fleet/class_losses.h"
#include "fleet/pick_index.h"
#include "fleet/roster.h"
#include "fleet/subset.h"
#include "measures.h"

namespace brackenspoke {
namespace {

using kestrelline::fleet::kNobody;
using kestrelline::fleet::PickIndex;
using kestrelline::fleet::Ring;
using kestrelline::fleet::Roster;

// ---- 1. Constants -------------------------------------------------------------------------------------
// Outlier detection, in A50's terms.
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

constexpr double kCrossingWeight = 10;      // mean requests of work that the whole crossing price is worth
constexpr double kWorthStaying = 0.02;      // price of a crossing; below, one even choice is worth more
constexpr double kZoneGain = 0.1;           // of one answer, in what the own zone and the others lose
constexpr double kColdCaution = 0.55;       // of the fall multiple: the rest is for chance and for late news
constexpr double kColdLeast = 0.25;         // standard cores that a warm server has at the very least
constexpr Duration kWarmRateMemory{30000};  // of what a warm server serves: it does not lose its cores
constexpr int kYoung = 10;                  // outcomes; before, what is asked stands for what is served
constexpr double kWindowSlack = 1.1;        // rolling window of the cold budget over the rule's, for delays
constexpr Duration kRateMemory{8000};       // averaging of work served by warm servers
constexpr double kRetryRatio = 0.1;         // repeats a first send earns: bounds a storm to a tenth
constexpr double kRetryBurst = 20;          // repeats in store
constexpr double kDeviations = 4;           // time-out: mean + 4 deviations, as RFC 6298
constexpr double kLeastScale = 0.5;         // of the time of a class, for a request of no work
constexpr double kPauseSpread = 0.25;       // part of a pause that chance may take off: not all in step
constexpr double kWindowMargin = 0.9;       // of the window in which a keyed repeat is dropped
constexpr double kQueueShare = 0.33;        // of the aim that an attempt may take, in the mean
constexpr double kChance = 1;               // deviations of the number in flight that are no overload
constexpr double kCrowding = 3;        // and of what a mean request takes at servers that are not crowded
constexpr Duration kGoodMemory{1500};  // averaging of the work answered, for the limit of the whole proxy
constexpr double kAimShare = 0.7;      // of their aims that answers may take in the mean: the rest is spread
constexpr double kAtEase = 0.7;        // of the pressure at which the throttle starts
constexpr double kComfort = 2.5;       // times the uncrowded time, up to which all is let in
constexpr double kMostFloor = 4;       // in flight at a proxy while answers come as fast as ever
constexpr double kCrowdingGain = 0.1;  // of one answer
constexpr Duration kCrowdingMemory{8000};  // what is not confirmed is forgotten
constexpr double kMostCrowding = 16;       // one answer counts as no slower than this
constexpr double kLeastPerServer = 3;      // in flight at a server, of all proxies, that are always in order
constexpr double kStretchGain = 0.01;      // of a slower answer; a faster one counts ten times as much
constexpr double kSlownessGain = 0.08;     // of one answer
constexpr double kMostSlowness = 8;        // one answer counts as no slower than this
constexpr Duration kSlownessMemory{4000};  // what is not confirmed is forgotten
constexpr double kSlownessWeight = 1;      // of the time lost at a slow server, against work in flight
constexpr double kSameTime = 0.04;         // part by which times of tries may differ and still be the same
constexpr int kLeastVotes = 4;             // answers of large requests; one slow one says little
constexpr int kFirmVotes = 10;             // below, nothing is made of it: clients may differ widely
constexpr int kMostVotes = 50;             // for the usual time of a try
constexpr double kWarmWeight = 2;          // of a request's work, at a server that met its key lately
constexpr Duration kKeyMemory{4000};       // how long a key sent to a server is taken to be warm there
constexpr int kMostMisses = 8;             // held requests tried in a row without room for any
constexpr double kMostWork = 1e6;          // ms; a larger hint is taken as this
constexpr Duration kHousekeeping{100};     // rates are sampled this often
constexpr Duration kLogGap{1000};          // log lines of ejections and returns no closer than this
constexpr Duration kLongLogGap{10000};     // others
constexpr Duration kForgetAfter{600000};   // a server gone for this long loses its state
// Large fleets: docs/design/scale.md.
constexpr std::size_t kLookedAt = 64;  // servers that are looked at one by one; of more, this many by chance
constexpr int kMostUnfit = 512;        // cold servers without a budget that one pick asks
constexpr std::size_t kSlice = 512;  // entries of a list that one event reads, and servers that join an index

constexpr TimePoint kNever{Duration(1e300)};

// ---- 2. Outlier detection -----------------------------------------------------------------------------
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
  static void Return(Host& host, const Fleet& fleet) {
    Sync(host, fleet);
    host.ejected = false;
    host.multiplier = std::max(0, host.multiplier - 1);
  }
  static void EndInterval(Fleet& fleet) {
    ++fleet.number;
    fleet.qualifying = fleet.failures = fleet.attempts = 0;
  }
};

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

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        random_(seed),
        roster_({settings_.zone, settings_.price_cross_zone > kWorthStaying, kForgetAfter}) {
    classes_.resize(settings_.classes.size());
    tenant_tokens_.resize(settings_.tenants.size(), 1);
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    now_ = now;
    out_ = actions;
    Fade();
    if (indexed_) index_of_work_.Refresh(now_, request_work_.mean);
    std::visit([this](const auto& e) { On(e); }, event);
    if (roster_.Waiting()) ReadLists();  // first: a list may forbid what is due
    Advance();
    PlaceHeld();
    Arm();
    out_ = nullptr;
  }

  std::size_t Ejected() const { return static_cast<std::size_t>(fleet_.ejected); }

 private:
  // ---- 3. Pick ----------------------------------------------------------------------------------------
  const kestrelline::fleet::Seat& EntryOf(const Server& s) const { return roster_[IndexOf(s)]; }
  bool Usable(const Server& s) const { return EntryOf(s).state == ServerState::kReady; }

  ServerIndex IndexOf(const Server& s) const { return s.index; }

  // Exception: a server that loses this class and serves others comes last, as one that was tried does.
  bool Last(const Request& r, const Server& s) const {
    if (class_losses_.Avoids(now_, IndexOf(s), r.cls)) return true;
    return std::any_of(r.attempts.begin(), r.attempts.end(),
                       [&](const Attempt& a) { return a.server == IndexOf(s); });
  }

  Location LocationOf(ServerIndex i) const { return {roster_[i].zone, roster_[i].cell}; }
  // Whether servers of the two drop each other's repeats of this request's key.
  bool OneGroup(const Request& r, const Location& a, const Location& b) const {
    return InGroup(settings_.classes[r.cls].group, a, b);
  }

  // Least own hinted work in flight, ties at random. Exceptions: a crossing of zones counts as the work that
  // its price is worth; where keys are warm, a server that met this one lately serves it with less work, and
  // what it saves serves others; those over their cold budget are passed over; those it has
  // tried come last; if no server of the group is in service, an ejected one is used: never a lost request.
  Server* Pick(const Request& r, const Permission& permission) {
    if (r.limits && r.limits->affinity_bound > 0 && r.key != 0 && !permission.group_of) {
      if (Server* s = PickByKey(r)) return s;
    }
    if (ring_.size() > kLookedAt) return PickOfMany(r, permission);
    bool in_service = false;  // some server is in service, though without room now
    Server* best = permission.group_of ? nullptr : PickFrom(subset_, r, permission, &in_service);
    if (!best && (permission.group_of || subset_.size() < ring_.size()))
      best = PickFrom(ring_, r, permission, &in_service);
    return best;
  }

  // Exception, where a route asks for it: requests of one key go to one server, which keeps what it has of
  // it. Bounded (Mirrokni and others, 2016), so that a hot key overloads nobody: with a bound over 1 some
  // server always has room. Whoever has no room, is out of service, or was tried, is passed over in an order
  // that the key alone gives.
  Server* PickByKey(const Request& r) {
    const int in_service = std::max(1, fleet_.hosts - fleet_.ejected);
    const double most = std::ceil(r.limits->affinity_bound * (in_flight_ + 1) / in_service);
    Server* best = nullptr;
    int unfit = 0;
    kestrelline::fleet::KeyOwners(ring_, r.key).Try([&](ServerIndex i) {
      Server& s = servers_[i];
      if (s.health.ejected || s.own_count >= most || Last(r, s)) return false;
      if (FitsColdBudget(s, r.work)) best = &s;
      return best || ++unfit >= kMostUnfit;
    });
    return best;
  }

  // The same where servers are too many to be looked at one by one: the least work by the index, and of
  // groups and of the ring, which are the last resort, of kLookedAt by chance.
  Server* PickOfMany(const Request& r, const Permission& permission) {
    bool in_service = false;
    if (permission.group_of) {
      const Group group = settings_.classes[r.cls].group;
      const Location& place = *permission.group_of;
      const auto& all = group == Group::kZone ? roster_.InZone(place.zone) : roster_.InCell(place);
      if (group == Group::kAll) return PickFrom(Some(ring_), r, permission, &in_service);
      return all.size() > kLookedAt ? PickFrom(Some(all), r, permission, &in_service)
                                    : PickFrom(all, r, permission, &in_service);
    }
    Server* best = indexed_ ? PickIndexed(r) : PickFrom(subset_, r, permission, &in_service);
    if (best || SubsetSize() >= ring_.size()) return best;
    in_service = fleet_.ejected < fleet_.hosts;
    return PickFrom(Some(ring_), r, permission, &in_service);
  }

  template <typename Servers>
  std::vector<ServerIndex> Some(const Servers& from) {
    std::vector<ServerIndex> some;
    for (std::size_t k = 0; k < kLookedAt && from.size() > 0; ++k)
      some.push_back(from[random_.Below(from.size())]);
    return some;
  }

  Server* PickIndexed(const Request& r) {
    const bool home_first = settings_.price_cross_zone > 0 && random_.Unit() < home_first_;
    const double crossing =
        home_first ? kCrossingWeight * settings_.price_cross_zone * request_work_.mean : 0;
    const double asked = kSlownessWeight * r.work;
    const auto below = [this](std::uint64_t n) { return random_.Below(n); };
    int unfit = 0;
    const auto fits = [&](ServerIndex i) {
      Server& s = servers_[i];
      if (Last(r, s) || unfit > kMostUnfit) return false;
      if (FitsColdBudget(s, r.work)) return true;
      // Asked again at the next sample, which is when budgets move on.
      ++unfit, s.asleep = true, asleep_.push_back(i);
      index_of_work_.Hide(i);
      return false;
    };
    ServerIndex best = index_of_work_.Least(now_, asked, crossing, fits, below);
    const auto score = [&](ServerIndex i) {
      return index_of_work_.Score(i, now_, asked) + (roster_[i].zone != settings_.zone ? crossing : 0);
    };
    const auto may = [&](ServerIndex i) {
      return index_of_work_.Has(i) && Usable(servers_[i]) && !servers_[i].health.ejected &&
             !servers_[i].asleep;
    };
    // Those that met the key are few; what they save may put them before the least.
    double least = best == kNobody ? kNever.time_since_epoch().count() : score(best);
    key_memory_.Of(r.key, now_).ForEach([&](ServerIndex i) {
      if (!may(i) || Last(r, servers_[i]) || !FitsColdBudget(servers_[i], r.work)) return;
      const double saved = score(i) - kWarmWeight * r.work;
      if (saved < least) least = saved, best = i;
    });
    if (best != kNobody) return &servers_[best];
    for (const Attempt& a : r.attempts) {  // those tried come last
      if (!may(a.server) || !FitsColdBudget(servers_[a.server], r.work)) continue;
      if (best == kNobody || score(a.server) < score(best)) best = a.server;
    }
    if (best != kNobody) return &servers_[best];
    bool in_service = subset_in_service_ > 0;
    std::vector<ServerIndex> some;
    for (std::size_t k = 0; k < kLookedAt && !in_service; ++k) {
      const ServerIndex i = index_of_work_.Drawn(below);
      if (i != kNobody) some.push_back(i);
    }
    return PickFrom(some, r, Permission(), &in_service);
  }

  // What the index goes by.
  void Reindex(const Server& s) {
    if (!indexed_) return;
    if (s.health.ejected || s.asleep || !Usable(s)) return index_of_work_.Hide(IndexOf(s));
    index_of_work_.Set(IndexOf(s), s.own_work, s.excess * fade_, now_);
  }

  template <typename Servers>
  Server* PickFrom(const Servers& from, const Request& r, const Permission& permission, bool* in_service) {
    const bool home_first = settings_.price_cross_zone > 0 && random_.Unit() < home_first_;
    const double crossing = kCrossingWeight * settings_.price_cross_zone * request_work_.mean;
    const KeyMemory::Servers warm = key_memory_.Of(r.key, now_);
    Server* best = nullptr;
    int best_rank = 0;
    double best_score = 0;
    int ties = 0;
    for (std::size_t k = 0; k < from.size(); ++k) {
      Server& s = servers_[from[k]];
      if (!Usable(s) || (permission.group_of && !OneGroup(r, *permission.group_of, LocationOf(IndexOf(s)))))
        continue;
      *in_service |= !s.health.ejected;
      if (!FitsColdBudget(s, r.work)) {
        if (MayLog(kCold))
          LogLine("server " + std::to_string(EntryOf(s).server) + " held back: cold, at " +
                  std::to_string(static_cast<int>(100 * WarmShare(s))) + "% or more of its capacity");
        continue;
      }
      const int rank = 2 * s.health.ejected + Last(r, s);
      const bool crosses = EntryOf(s).zone != settings_.zone;
      const double score = s.own_work + kSlownessWeight * r.work * (SlownessOf(s) - 1) -
                           (warm.Has(IndexOf(s)) ? kWarmWeight * r.work : 0) +
                           (crosses && home_first ? crossing : 0);
      if (best && (rank > best_rank || (rank == best_rank && score > best_score))) continue;
      const bool tie = best && rank == best_rank && score == best_score;
      ties = tie ? ties + 1 : 1;
      if (tie && random_.Below(ties) != 0) continue;
      best = &s;
      best_rank = rank;
      best_score = score;
    }
    return best && best_rank >= 2 && *in_service ? nullptr : best;
  }

  // Exception, subsetting, where this proxy's own traffic is too thin to judge the whole fleet: it picks
  // among as many servers as its traffic brings to the volume floor within kInterval, but no fewer than
  // kLeastSubset, those in service counted. Proxies stand evenly on a ring of the servers, by the golden
  // ratio, so that any part of them covers it evenly; servers stand on it by a hash of their id. Without
  // this, every proxy held a connection to every server, and hundreds of proxies exhausted what servers
  // accept (incident i0f08a6).
  void BuildSubset() {
    const std::vector<ServerIndex> before = SubsetNow();
    ++subset_number_;
    subset_.clear(), entering_.clear();
    subset_in_service_ = 0;
    const bool apart = settings_.price_cross_zone > kWorthStaying;
    if (apart) AddArc(roster_.home());
    AddArc(apart ? roster_.away() : ring_);
    const bool index = subset_.size() > kLookedAt;
    if (index && !indexed_) index_of_work_.Refresh(now_, request_work_.mean);
    for (const ServerIndex i : before) {
      const bool stays = servers_[i].subset == subset_number_;
      if (!index || !stays) index_of_work_.Leave(i);
      if (!stays && roster_.Ready(i)) out_->push_back(CloseIdle{roster_[i].server});
    }
    indexed_ = index, indexes_all_ = index && AimsAtAll();
    if (!index) return;
    for (const ServerIndex i : subset_) {
      if (!index_of_work_.Has(i)) entering_.push_back(i);
    }
    subset_.clear();
    EnterSome();
  }

  // Servers that have come to the subset join the index in slices.
  void EnterSome() {
    for (std::size_t left = kSlice; left > 0 && !entering_.empty(); --left, entering_.pop_back()) {
      const ServerIndex i = entering_.back();
      if (servers_[i].subset != subset_number_ || !roster_.Ready(i) || index_of_work_.Has(i)) continue;
      index_of_work_.Enter(i, SideOf(i));
      Reindex(servers_[i]);
    }
  }

  PickIndex::Side SideOf(ServerIndex i) const {
    const bool crosses = settings_.price_cross_zone > 0 && roster_[i].zone != settings_.zone;
    return crosses ? PickIndex::kAway : PickIndex::kHome;
  }

  std::size_t SubsetSize() const {
    return indexed_ ? index_of_work_.size() + entering_.size() : subset_.size();
  }
  std::vector<ServerIndex> SubsetNow() const {
    if (!indexed_) return subset_;
    std::vector<ServerIndex> now;
    now.reserve(index_of_work_.size());
    index_of_work_.ForEach([&](ServerIndex i) { now.push_back(i); });
    return now;
  }

  std::size_t SubsetAim() const {
    return kestrelline::fleet::SubsetSize(ring_.size(), settings_.balancers, judged_);
  }
  bool AimsAtAll() const { return SubsetAim() >= ring_.size(); }

  void AddArc(const Ring& ring) {
    const std::size_t size = SubsetAim(),
                      begin = kestrelline::fleet::ArcBegin(ring, settings_.me, settings_.balancers);
    std::size_t in_service = 0;
    for (std::size_t k = 0; k < ring.size() && in_service < size; ++k) {
      const ServerIndex i = ring[(begin + k) % ring.size()];
      subset_.push_back(i);
      servers_[i].subset = subset_number_;
      in_service += !servers_[i].health.ejected;
    }
    subset_in_service_ += in_service;
  }

  void ResizeSubset() {
    const double per_s = asked_rate_ * 1000 / std::max(1e-9, request_work_.mean);
    const double volume_s = kRequestVolume * static_cast<double>(SubsetSize()) / std::max(per_s, 1e-9);
    fleet_.interval = std::clamp(Duration(volume_s * 1000), kInterval, kLongestInterval);
    fleet_.thin = fleet_.interval > kInterval;
    const auto judged = static_cast<std::size_t>(per_s * kInterval.count() / 1000 / kRequestVolume);
    // Not for every wobble of the rate: each new server costs a connection.
    if (judged <= judged_ && judged * 2 >= judged_) return;
    judged_ = judged;
    BuildSubset();
  }

  // Exception, when the own zone serves worse than the others by more than a crossing costs: with few
  // requests in flight the least-work pick cannot see that the home servers are full, and the price of
  // crossing kept every request there while other zones stood idle (incident ib02092). The price counts in
  // the share of picks that this finding leaves.
  void LearnZone(const Request& r, const Server& s, bool in_time, bool ok) {
    const double lost = in_time ? 0 : ok ? 1 - settings_.classes[r.cls].late_worth : 1;
    const bool home = EntryOf(s).zone == settings_.zone;
    double& seen = home ? lost_home_ : lost_away_;
    seen += kZoneGain * (lost - seen);
    if (home) lost_away_ *= 1 - kZoneGain / 4;  // what is not looked at any more may have recovered
    const bool leave = lost_home_ - lost_away_ > settings_.price_cross_zone;
    home_first_ = std::clamp(home_first_ + (leave ? -kZoneGain : kZoneGain), 0.0, 1.0);
  }

  // ---- 4. Cold-start budget ---------------------------------------------------------------------------
  // The share of its capacity that a server has at least.
  double WarmShare(const Server& s) const {
    if (EntryOf(s).up_since.time_since_epoch().count() <= 0) return 1;
    const double age = (now_ - EntryOf(s).up_since).count();
    const double warm_up = settings_.warm_up.count();
    if (warm_up <= 0 || age >= warm_up) return 1;
    return settings_.cold_from + (1 - settings_.cold_from) * std::max(0.0, age) / warm_up;
  }

  // A cold server gets, over the rule's window, its share of what a warm one serves for this proxy. All
  // proxies doing so, their sum is that share of what a warm server can do, whatever part of the traffic each
  // has. What was sent is no measure: an overloaded fleet is sent far more than it can do. Where that budget
  // is less than a request, one may go when the budget has paid for it, the first at a random point of that
  // time: hundreds of proxies that each allowed themselves a first one at once pushed servers over.
  bool FitsColdBudget(Server& s, double work) {
    const double share = WarmShare(s);
    if (share >= 1) return true;
    const Duration window = settings_.overload_for * kWindowSlack;
    ColdStart& cold = cold_[IndexOf(s)];
    const double sent = cold.sent.Within(now_, window);
    const double rate = kColdCaution * settings_.fall_multiple * share * warm_rate_;
    if (sent + work <= rate * settings_.overload_for.count()) return true;
    const double least = settings_.fall_multiple * settings_.cold_from * kColdLeast / Sharers();
    const double paid = std::max(rate, least);
    return paid > 0 && now_ - cold.turn_since >= cold.turn_phase * std::max(window, Duration(work / paid));
  }

  // Work a ms that a warm server serves for this proxy. Pooled over the fleet, as one server's own answers
  // are too few to tell. A young proxy goes by what it is asked for: it has no answers yet. What was seen
  // once holds for a while: in a rolling deploy that leaves no warm server, a budget of what is served now
  // starved itself.
  void LearnWarmRate(Duration elapsed) {
    if (in_service_ <= 0) return;
    const double now_rate =
        (outcomes_ < kYoung ? std::max(work_rate_, asked_rate_) : work_rate_) / in_service_;
    warm_rate_ += std::min(1.0, elapsed / kWarmRateMemory) * (now_rate - warm_rate_);
    warm_rate_ = std::max(warm_rate_, now_rate);
  }

  // ---- 5. Attempts ------------------------------------------------------------------------------------
  // The one place that decides whether a request may be dispatched (again) or refused.
  Permission Permitted(const Request& r) const { return Permitted(r, now_); }
  Permission Permitted(const Request& r, TimePoint at) const {
    Permission may;
    if (r.finished || r.streaming) return may;
    const ClassSettings& c = settings_.classes[r.cls];
    const Attempt* first_run = nullptr;
    for (const Attempt& a : r.attempts) {
      if (a.may_have_run && !first_run) first_run = &a;
    }
    const int outstanding = r.outstanding();
    const bool copy = r.copying && settings_.parallel_tries && c.effect == Effect::kSafe;
    may.dispatch = at < r.due && !r.bound && static_cast<int>(r.attempts.size()) < MostAttempts(r) &&
                   outstanding <= static_cast<int>(copy);
    may.refuse = true;
    if ((!first_run && !r.claims) || c.effect == Effect::kSafe) return may;
    may.refuse = c.effect == Effect::kKeyed && c.group == Group::kAll;
    if (c.effect == Effect::kUnsafe || (first_run && at - first_run->sent_at > c.window * kWindowMargin))
      may.dispatch = false;
    // Where another try of its key may have run binds it as what it ran itself: only what all of it permits.
    const Location place =
        first_run ? LocationOf(first_run->server) : Location{r.claims->front().zone, r.claims->front().cell};
    for (std::size_t i = 0; r.claims && i < r.claims->size(); ++i) {
      const KeyClaim& claim = (*r.claims)[i];
      may.dispatch &= at < claim.until && OneGroup(r, place, {claim.zone, claim.cell});
    }
    if (may.dispatch) may.group_of = place;
    return may;
  }

  void Finish(Request& r, Duration retry_after = Duration(0)) {
    const Permission may = Permitted(r);
    if (MayLog(kEnding))
      LogLine((may.refuse ? "refusing: " : "failing: ") +
              (r.attempts.empty()
                   ? "not in time"
                   : "last at server " + std::to_string(roster_[r.attempts.back().server].server)) +
              "; " + std::to_string(in_flight_) + " in flight, " + std::to_string(held_.size()) + " held");
    if (may.refuse) {
      out_->push_back(Refuse{r.id, retry_after});
    } else {
      out_->push_back(Fail{r.id});
    }
    r.finished = true;
  }

  // Only a server that has gone silent gets a time-out short of the client's own: it owes answers, and has
  // owed them for longer than this class takes by mean + kDeviations deviations. Timing out what was merely
  // late doubled its work on every site. Zero also where no repeat is permitted or would come in time.
  Duration TimeoutFor(const Request& r, const Server& s) const {
    const ClassSettings& c = settings_.classes[r.cls];
    const Spread& seen = classes_[r.cls].latency;
    if (c.effect == Effect::kUnsafe || seen.samples < 10 || s.own_count == 0 || retry_tokens_ < 1)
      return Duration(0);
    if (static_cast<int>(r.attempts.size()) + 1 >= MostAttempts(r)) return Duration(0);
    if (r.limits && !(r.limits->retry_on & RouteLimits::RetryAfter(Outcome::kTimeout))) return Duration(0);
    const double scale = WorkScale(r);
    const Duration repeat((seen.mean + seen.deviation) * scale);
    const Duration unlikely((seen.mean + kDeviations * seen.deviation) * scale);
    if (now_ - s.quiet_since < unlikely || now_ + unlikely + repeat > r.due) return Duration(0);
    return unlikely;
  }

  double WorkScale(const Request& r) const {
    const double mean = classes_[r.cls].work.mean;
    const double ratio = mean > 0 ? r.work / mean : 1;
    return ratio > 1 ? ratio : kLeastScale + (1 - kLeastScale) * ratio;
  }

  void Send(Request& r, Server& s) {
    const bool first = r.attempts.empty();
    if (first) {
      retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryRatio);
    } else {
      retry_tokens_ = std::max(0.0, retry_tokens_ - 1);
    }
    const Duration timeout = Narrowed(TimeoutFor(r, s), r);
    ++s.remembered;
    if (WarmShare(s) < 1) {
      ColdStart& cold = cold_[IndexOf(s)];
      cold.sent.Add(now_, r.work);
      cold.turn_since = now_, cold.turn_phase = 1;
    }
    if (settings_.warm_keys && r.key != 0) key_memory_.Met(r.key, IndexOf(s), now_);
    Attempt attempt;
    attempt.server = IndexOf(s);
    attempt.sent_at = now_;
    r.attempts.push_back(attempt);
    if (!r.passing) Begin(r, s);
    out_->push_back(Dispatch{r.id, EntryOf(s).server, timeout, EntryOf(s).zone, EntryOf(s).cell});
    if (r.limits) NoteSent(r, first);
  }

  // A server has work with an attempt from the request's last byte on.
  void Begin(Request& r, Server& s) {
    if (s.own_count == 0) s.quiet_since = now_;
    ++in_flight_, ++s.own_count;
    s.own_work += r.work;
    Reindex(s);
    sent_.emplace_back(now_, r.id);
  }

  void On(const BodyNews& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    r.bound |= e.bound;
    if (!e.whole || !std::exchange(r.passing, false)) return;
    r.due = e.due;
    for (Attempt& a : r.attempts) {
      if (a.outstanding) a.sent_at = now_, Begin(r, servers_[a.server]);
    }
  }

  void On(const Claimed& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    auto claims = r.claims ? *r.claims : std::vector<KeyClaim>();
    claims.push_back(e.claim);
    r.claims = std::make_shared<const std::vector<KeyClaim>>(std::move(claims));
    room_ = true;  // it may be held for what it may not have any more
  }

  void On(const AttemptEnded& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    if (e.attempt < 0 || e.attempt >= static_cast<int>(r.attempts.size())) return;
    Attempt& a = r.attempts[e.attempt];
    if (!a.outstanding) return;
    a.outstanding = false;
    overdue_ -= a.overdue;
    a.may_have_run =
        !(e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kMoot);
    Learn(r, e, servers_[a.server]);
    room_ = true;
    if (e.settled) r.finished = true;
    if (!r.finished && r.outstanding() == 0 && !r.held)
      Again(r, e.outcome, a.may_have_run || e.outcome == Outcome::kFull);
    Forget(found);
  }

  // After a failed attempt: another one where permitted, within the budget of repeats if it adds load.
  void Again(Request& r, Outcome after, bool adds_load) {
    if (!Permitted(r).dispatch || (adds_load && retry_tokens_ < 1)) return Finish(r);
    if (r.limits) {
      // What cannot be sent any more after the pause is given up now.
      const Duration pause = r.limits->pause * (1 - kPauseSpread * random_.Unit());
      const bool in_time = pause.count() <= 0 || Permitted(r, now_ + pause + settings_.tick * 2).dispatch;
      if (!(r.limits->retry_on & RouteLimits::RetryAfter(after)) || !in_time ||
          !routes_.Take(now_, *r.limits))
        return Finish(r);
      if (pause.count() > 0) {
        r.paused = true;
        r.paused_until = now_ + pause;
        wakeups_.emplace(r.paused_until, r.id);
        return;
      }
    }
    PlaceAgain(r);
  }

  void PlaceAgain(Request& r) {
    r.refuse_at = std::max(r.refuse_at, std::min(r.due - settings_.tick * 2, now_ + settings_.tick * 4));
    Place(r);
  }

  void Learn(const Request& r, const AttemptEnded& e, Server& s) {
    if (r.passing) return LearnOutcome(r, e, s);
    --in_flight_;
    s.own_work -= r.work;
    if (e.outcome != Outcome::kTimeout) s.quiet_since = now_;
    if (--s.own_count == 0) s.own_work = 0;
    LearnOutcome(r, e, s);
    Reindex(s);
  }

  void LearnOutcome(const Request& r, const AttemptEnded& e, Server& s) {
    const bool ok = e.outcome == Outcome::kOk;
    if (e.outcome == Outcome::kCancelled || e.outcome == Outcome::kMoot || e.outcome == Outcome::kUnknown)
      return;
    outcomes_ = std::min(kYoung, outcomes_ + 1);
    if (ok) served_work_ += r.work, ++answered_;
    const double took = e.took.count();
    LearnZone(r, s, ok && now_ <= r.arrived + settings_.classes[r.cls].aim, ok);
    const bool timed = ok || e.outcome == Outcome::kTimeout;
    if (!r.attempts[e.attempt].overdue && (timed || e.outcome == Outcome::kError))
      class_losses_.Add(now_, IndexOf(s), r.cls, !ok, fleet_.hosts);
    if (timed && std::isfinite(took) && took >= 0) {
      Spread& seen = classes_[r.cls].latency;
      seen.Add(took / WorkScale(r));
      const double relative = std::min(kMostSlowness, took / WorkScale(r) / std::max(seen.mean, 1e-9));
      const double slowness = SlownessOf(s);
      s.excess = (slowness + kSlownessGain * (relative - slowness) - 1) / fade_;
    }
    if (timed && stretch_ > 0 && took > 0) {
      const double usual = std::min(stretch_ * std::max(r.work, request_work_.mean / 2),
                                    0.5 * settings_.classes[r.cls].aim.count());
      crowding_ += kCrowdingGain * (std::min(took / usual, kMostCrowding) - crowding_);
      of_aim_ +=
          kCrowdingGain * (std::min(took / settings_.classes[r.cls].aim.count(), kMostCrowding) - of_aim_);
    }
    if (ok && r.work >= request_work_.mean && took > 0) {
      const double x = took / r.work;
      const double gain = x < stretch_ ? 10 * kStretchGain : kStretchGain;
      stretch_ += (++stretch_votes_ <= kFirmVotes ? 1.0 / stretch_votes_ : gain) * (x - stretch_);
    }
    if (!OutlierDetector::Record(s.health, ok, now_, fleet_, random_)) return;
    fleet_.ejected -= !Usable(s);  // a draining server's late answers may fail too
    returns_.emplace(s.health.return_at, IndexOf(s));
    HealthChanged();
    if (fleet_.thin) out_->push_back(CloseIdle{EntryOf(s).server});  // others may need the place
    if (MayLog(kHealth)) {
      LogLine("server " + std::to_string(EntryOf(s).server) +
              " ejected: " + std::to_string(s.health.failures) + " of " +
              std::to_string(s.health.attempts()) + " attempts failed");
    }
  }

  // What is not confirmed is forgotten: all slowness fades at one rate, so it is kept as of one moment, and
  // one factor makes it what it is now. That moment is moved on before numbers become too large.
  void Fade() {
    fade_ = std::exp((faded_since_ - now_) / kSlownessMemory);
    if (now_ - faded_since_ < kSlownessMemory * 10) return;
    for (std::size_t i = 0; i < servers_.size(); ++i) servers_[i].excess *= fade_;
    faded_since_ = now_;
    fade_ = 1;
  }
  double SlownessOf(const Server& s) const { return 1 + s.excess * fade_; }

  void Forget(std::unordered_map<RequestId, Request>::iterator it) {
    if (it->second.finished) Unhold(it->second);
    if (!it->second.finished || it->second.outstanding() != 0) return;
    if (it->second.limits) routes_.Leave(*it->second.limits);
    for (const Attempt& a : it->second.attempts) --servers_[a.server].remembered;
    requests_.erase(it);
  }

  // ---- 5b. Routes -------------------------------------------------------------------------------------
  // What the operator's file allows a request comes with it and only ever narrows what is decided elsewhere.
  int MostAttempts(const Request& r) const {
    const int most = r.limits ? r.limits->max_attempts : 0;
    return most > 0 ? std::min(most, settings_.max_attempts) : settings_.max_attempts;
  }

  // The shortest of the attempt's own time-out (0: none) and what the route gives it.
  Duration Narrowed(Duration timeout, const Request& r) const {
    if (!r.limits) return timeout;
    const auto narrow = [&](Duration at_most) {
      if (at_most.count() > 0 && (timeout.count() <= 0 || at_most < timeout)) timeout = at_most;
    };
    narrow(r.limits->attempt_timeout);
    if (r.limits->patience.count() > 0) narrow(r.due - now_);
    return timeout;
  }

  void NoteSent(Request& r, bool first) {
    if (first) routes_.First(now_, *r.limits);
    const Duration after = r.limits->second_copy_after;
    if (after.count() <= 0 || !settings_.parallel_tries || settings_.classes[r.cls].effect != Effect::kSafe)
      return;
    r.copy_at = now_ + after;
    wakeups_.emplace(r.copy_at, r.id);
  }

  // Exception, where the settings and the route allow it: a second copy of a request that is safe to repeat,
  // at a server that has not seen it, when the first attempt has taken the route's time. Its answer is
  // whichever comes first; the other attempt runs on and counts as work in flight.
  void SendCopy(Request& r) {
    if (r.finished || r.outstanding() != 1 || retry_tokens_ < 1) return;
    r.copying = true;
    const Permission may = Permitted(r);
    Server* s = may.dispatch && FitsProxy() ? Pick(r, may) : nullptr;
    if (s && !Last(r, *s) && routes_.Take(now_, *r.limits)) Send(r, *s);
    r.copying = false;
  }

  // ---- 6. Admission -----------------------------------------------------------------------------------
  // Exception, when the whole fleet is slow: by Little's law requests in flight are those answered a ms times
  // their time; more in flight than kQueueShare of the aim at the rate of late could only queue, and more
  // than kCrowding times what requests take uncrowded makes some servers slower the more they hold: once
  // there, a fleet stayed at a fifth of its rate for as long as the load lasted (incident i42a2e5). The rest
  // is held here, the most worth first, and refused while a try later can still be of use. Counted, not
  // weighed: one huge request must neither be shut out nor shut out all others.
  bool FitsProxy() const {
    const double least = std::max(Floor(), kLeastPerServer * listed_ / Sharers());
    const double uncrowded = stretch_ > 0 ? stretch_ * request_work_.mean : mean_aim_.mean;
    const double useful = std::min(kQueueShare * mean_aim_.mean, kCrowding * uncrowded);
    const double mean = served_rate_ * useful;
    return in_flight_ - overdue_ < std::max(least, mean + kChance * std::sqrt(mean));
  }

  // Attempts whose answers stay away take no server's time. Where connections fell silent, a dozen of them
  // held all of the places that FitsProxy gives, and half of the requests were refused by an idle fleet.
  // Attempts wait in the order in which they were sent until they are old enough to be overdue at all.
  void FindOverdue() {
    Duration least(std::numeric_limits<double>::infinity());
    const auto unlikely = [this](int cls) {
      const Spread& seen = classes_[cls].latency;
      return Duration(seen.mean + kDeviations * seen.deviation);
    };
    for (std::size_t c = 0; c < classes_.size(); ++c) {
      if (classes_[c].latency.samples >= 10)
        least = std::min(least, unlikely(static_cast<int>(c)) * kLeastScale);
    }
    for (; !sent_.empty(); sent_.pop_front()) {
      if (now_ - sent_.front().first >= least) {
        aged_.push_back(sent_.front().second);
      } else if (requests_.count(sent_.front().second)) {
        break;
      }
    }
    std::erase_if(aged_, [&](RequestId id) {
      const auto found = requests_.find(id);
      if (found == requests_.end()) return true;
      Request& r = found->second;
      bool waits = false;
      for (Attempt& a : r.attempts) {
        if (!a.outstanding || a.overdue) continue;
        if (classes_[r.cls].latency.samples < 10 || now_ - a.sent_at < unlikely(r.cls) * WorkScale(r)) {
          waits = true;
          continue;
        }
        a.overdue = true;
        class_losses_.Add(now_, a.server, r.cls, true, fleet_.hosts);
        ++overdue_;
        room_ = true;
      }
      return !waits;
    });
  }

  // In flight at the least, which with many proxies bounds what servers hold: fewer, the more crowded they
  // are.
  double Floor() const { return std::clamp(1.5 * kMostFloor / std::max(crowding_, 0.1), 1.0, kMostFloor); }

  // Exception, where traffic is thin: a limit of one or two in flight is too coarse to keep servers from
  // choking. Arrivals are refused by chance, by how crowded answers are and how much of their aims they take
  // (a fleet with a third of it gone answered everything, half of it late: i6ba857); those over their tenant
  // share go first.
  bool Throttled(const Request& r) {
    const double pressure = Pressure();
    if (!fleet_.thin || pressure <= 1) return false;
    const bool over_share = r.value < settings_.classes[r.cls].worth;
    return random_.Unit() > std::pow(pressure, over_share ? -4 : -2);
  }

  double Pressure() const { return std::max(crowding_ / kComfort, of_aim_ / kAimShare); }

  bool WithinShare(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(tenant_tokens_.size())) return true;
    double& tokens = tenant_tokens_[tenant];
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  // Exception: what has passed of a client's deadline has passed of its aim. A client's last try has what is
  // left of its deadline, all others of a class have the same time: the usual one, found by vote.
  Duration Elapsed(const Submit& e) {
    const ClassSettings& c = settings_.classes[e.request_class];
    UsualTime& usual = classes_[e.request_class].usual_time;
    const Duration left = e.due - now_;
    const bool as_usual = std::abs((left - usual.time).count()) <= kSameTime * usual.time.count();
    if (as_usual) {
      usual.votes = std::min(kMostVotes, usual.votes + 1);
    } else if (!e.client_retry && --usual.votes < 0) {
      usual.time = left;
      usual.votes = 0;
    }
    if (usual.votes < kFirmVotes) return Duration(0);
    const Duration at_most = std::max(Duration(0), c.deadline - left);
    return !as_usual ? at_most : e.client_retry ? at_most * 0.5 : Duration(0);
  }

  void On(const Submit& e) {
    if (requests_.count(e.request)) return;
    if (e.withheld) {  // before anything is learned of it: it is no part of the load
      out_->push_back(Refuse{e.request, settings_.max_retry_after});
      return;
    }
    Request r;
    r.id = e.request;
    r.due = e.due;
    r.arrived = now_;
    r.key = e.key, r.passing = e.body_follows;
    if (e.request_class < 0 || e.request_class >= static_cast<int>(settings_.classes.size())) {
      // Nothing is known of what it may do twice, and it never ran: the client may try again.
      out_->push_back(Refuse{r.id, Duration(0)});
      return;
    }
    r.cls = e.request_class;
    const ClassSettings& c = settings_.classes[r.cls];
    const Duration aim = c.aim - Elapsed(e);
    const bool hinted = e.has_hint && std::isfinite(e.work_ms) && e.work_ms > 0;
    r.work = hinted ? std::min(e.work_ms, kMostWork) : request_work_.samples > 0 ? request_work_.mean : 1;
    if (hinted || request_work_.samples == 0) {
      request_work_.Add(r.work);
      classes_[r.cls].work.Add(r.work);
    }
    mean_aim_.Add(c.aim.count());
    asked_work_ += r.work;
    r.value = c.worth * (WithinShare(e.tenant) ? 1 : settings_.over_share_worth);
    // What is too large to be in time is worth little, or nothing: it must not take the place of others. Each
    // such finding weakens the next: a slow spell must not shut a class out for good.
    const bool at_ease = fleet_.thin && Pressure() < kAtEase;  // it takes nobody's place, and may be lucky
    const Duration alone(at_ease || stretch_votes_ < kLeastVotes ? 0 : r.work * stretch_);
    if (alone > aim) r.value *= now_ + alone > r.due ? 0 : c.late_worth;
    if (alone > c.aim) stretch_ *= 1 - 5 * kStretchGain;
    r.limits = e.limits;
    if (e.claims && !e.claims->empty()) r.claims = e.claims;
    if (r.limits && r.limits->patience.count() > 0) r.due = std::min(r.due, now_ + r.limits->patience);
    if (r.value <= 0 || (r.limits && routes_.Full(*r.limits)) || Throttled(r)) return Finish(r, StayAway(r));
    if (r.limits) routes_.Enter(*r.limits);
    const Duration useful = aim - Duration(classes_[r.cls].latency.mean + classes_[r.cls].latency.deviation);
    r.refuse_at = std::min(r.due - settings_.tick * 2, now_ + std::max(useful, c.aim / 4));
    Request& kept = requests_.emplace(r.id, std::move(r)).first->second;
    Place(kept);
    Forget(requests_.find(e.request));
  }

  // Exception, where clients listen: one whose aim could not be met would come back only to be late, and take
  // the place of one in time. It is told to stay away for as long as it would have come back.
  Duration StayAway(const Request& r) const {
    return std::min(settings_.max_retry_after, settings_.classes[r.cls].deadline);
  }

  // Sends the request or holds it; true if sent.
  bool Place(Request& r) {
    const Permission may = Permitted(r);
    Server* s = may.dispatch && FitsProxy() ? Pick(r, may) : nullptr;
    if (s) {
      Unhold(r);
      Send(r, *s);
      return true;
    }
    if (!may.dispatch || now_ >= r.refuse_at) {
      Finish(r, StayAway(r));
    } else if (!r.held) {
      r.held = true;
      held_.emplace(-r.value, -r.arrived.time_since_epoch(), r.id);
      wakeups_.emplace(r.refuse_at, r.id);
    }
    return false;
  }

  void Unhold(Request& r) {
    if (r.held) held_.erase({-r.value, -r.arrived.time_since_epoch(), r.id});
    r.held = false;
  }

  void PlaceHeld() {
    if (!room_) return;
    room_ = false;
    int misses = 0;
    for (auto it = held_.begin(); it != held_.end() && misses < kMostMisses;) {
      const RequestId id = std::get<2>(*it++);
      const auto found = requests_.find(id);
      misses += !Place(found->second);
      Forget(found);
    }
  }

  void On(const ClientGone& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    found->second.finished = true;
    Forget(found);
  }

  void On(const StreamStarted& e) {
    const auto found = requests_.find(e.request);
    if (found != requests_.end()) found->second.streaming = true;
  }

  void On(const TimerFired&) {}

  // What all proxies have together is divided by how many there are, or as a grant says while it lasts.
  void On(const Share& e) {
    if (!(e.share > 0 && e.share <= 1 && e.after > 0 && e.after <= 1)) return;
    sharers_ = 1 / e.share, sharers_after_ = 1 / e.after, share_until_ = e.until;
  }
  double Sharers() const { return now_ < share_until_ ? sharers_ : sharers_after_; }

  // ---- 7. Discovery -----------------------------------------------------------------------------------
  void On(const ListUpdate& e) {
    if (settings_.must_ask_for_list) asking_.OnList(e.kind, now_, [this] { return random_.Unit(); });
    if (e.kind != ListKind::kFailed) roster_.Take(e);
  }

  // A large list takes effect whole, some events later; a drain in it waits for that, far less than the rule
  // has.
  void ReadLists() {
    const auto in_use = [this](ServerIndex i) { return i < servers_.size() && servers_[i].remembered > 0; };
    for (std::size_t left = kSlice; left > 0 && roster_.Waiting();) {
      const bool whole = roster_.Read(now_, in_use, &left);
      while (servers_.size() < roster_.size())
        servers_.Add().index = static_cast<ServerIndex>(servers_.size() - 1);
      if (whole) ListTookEffect();
    }
  }

  void ListTookEffect() {
    const bool all = indexes_all_ && AimsAtAll();
    for (const Roster::Change& change : roster_.changes()) {
      const ServerIndex index = change.member;
      Server& s = servers_[index];
      if (change.placed) s = Server(), s.index = index, s.health.interval = fleet_.number;
      const int ready = (change.after == ServerState::kReady) - (change.before == ServerState::kReady);
      fleet_.hosts += ready;
      fleet_.ejected += s.health.ejected ? ready : 0;
      if (indexed_ && (!Usable(s) || index_of_work_.Differs(index, SideOf(index))))
        index_of_work_.Leave(index);
      if (all && Usable(s) && !index_of_work_.Has(index))
        s.subset = subset_number_, entering_.push_back(index);
      if (!change.started) continue;
      cold_.erase(index), class_losses_.Forget(index);
      if (WarmShare(s) < 1) cold_[index] = {{}, now_, random_.Unit()};
    }
    roster_.DropChanges();
    CountCapacity();
    // Where the index has all servers it is the changes alone that move in and out.
    if (!all || ring_.size() <= kLookedAt) BuildSubset();
    room_ = true;
  }

  // Servers that are listed, and that are in service; a cold one counts as its share.
  void CountCapacity() {
    erase_if(cold_, [this](const auto& cold) { return WarmShare(servers_[cold.first]) >= 1; });
    listed_ = fleet_.hosts, in_service_ = fleet_.hosts - fleet_.ejected;
    for (const auto& [i, cold] : cold_) {
      if (!Usable(servers_[i])) continue;
      const double lacking = 1 - WarmShare(servers_[i]);
      listed_ -= lacking;
      in_service_ -= servers_[i].health.ejected ? 0 : lacking;
    }
  }

  // After a change of what is in service.
  void HealthChanged() {
    CountCapacity();
    if (!indexes_all_ || !AimsAtAll()) return BuildSubset();
    subset_in_service_ = static_cast<std::size_t>(fleet_.hosts - fleet_.ejected);
  }

  // ---- Time -------------------------------------------------------------------------------------------
  void Advance() {
    if (now_ >= armed_) armed_ = kNever;
    if (!returns_.empty() && now_ >= returns_.top().first) ReturnServers();
    if (now_ >= interval_end_) {
      interval_end_ = now_ + fleet_.interval;
      OutlierDetector::EndInterval(fleet_);
      routes_.DropEmpty(now_);
    }
    if (!entering_.empty()) EnterSome();
    if (now_ >= sample_at_) Sample();
    if (now_ >= asking_.due()) {
      out_->push_back(Subscribe{});
      asking_.Asked(now_);
    }
    while (!wakeups_.empty() && wakeups_.begin()->first <= now_) {
      const auto found = requests_.find(wakeups_.begin()->second);
      wakeups_.erase(wakeups_.begin());
      if (found == requests_.end()) continue;
      Request& r = found->second;
      if (r.held && now_ >= r.refuse_at) Finish(r, StayAway(r));
      if (r.paused && now_ >= r.paused_until) {
        r.paused = false;
        if (!r.finished) PlaceAgain(r);
      }
      if (r.copy_at != TimePoint{} && now_ >= r.copy_at) r.copy_at = TimePoint{}, SendCopy(r);
      Forget(found);
    }
  }

  void ReturnServers() {
    for (; !returns_.empty() && returns_.top().first <= now_; returns_.pop()) {
      Server& s = servers_[returns_.top().second];
      if (!s.health.ejected || s.health.return_at != returns_.top().first)
        continue;  // its place was used again
      OutlierDetector::Return(s.health, fleet_);
      Reindex(s);
      room_ = true;
      fleet_.ejected -= Usable(s);
      fleet_.failures += s.health.failures;
      fleet_.attempts += s.health.attempts();
      if (MayLog(kHealth)) LogLine("server " + std::to_string(EntryOf(s).server) + " returns to service");
    }
    HealthChanged();
  }

  void Sample() {
    const double elapsed = (now_ - sampled_at_).count();
    if (!cold_.empty()) CountCapacity();
    for (const ServerIndex i : std::exchange(asleep_, {})) {
      servers_[i].asleep = false;
      Reindex(servers_[i]);
    }
    FindOverdue();
    if (sampled_at_ != TimePoint{} && elapsed > 0) {
      // A new proxy starts from little and trusts its first samples: one that floods the fleet at its start
      // leaves queues that take far longer to drain than the start took.
      const double gain = std::min(1.0, std::max(elapsed / kGoodMemory.count(), 1.0 / ++samples_));
      served_rate_ += gain * (answered_ / elapsed - served_rate_);
      const double forgotten = std::min(1.0, elapsed / kCrowdingMemory.count());
      crowding_ += forgotten * (1 - crowding_);
      of_aim_ -= forgotten * of_aim_;
      const double slow_gain = std::max(elapsed / kRateMemory.count(), 1.0 / samples_);
      work_rate_ += std::min(1.0, slow_gain) * (served_work_ / elapsed - work_rate_);
      asked_rate_ += std::min(1.0, slow_gain) * (asked_work_ / elapsed - asked_rate_);
      answered_ = served_work_ = asked_work_ = 0;
      LearnWarmRate(Duration(elapsed));
      ResizeSubset();
    }
    for (std::size_t t = 0; t < tenant_tokens_.size(); ++t) {
      const double rate = settings_.tenants[t].quota_per_s / Sharers() / 1000;
      tenant_tokens_[t] = std::min(std::max(1.0, rate * 2000), tenant_tokens_[t] + rate * elapsed);
    }
    sampled_at_ = now_;
    sample_at_ = now_ + kHousekeeping;
    room_ = true;  // cold budgets have moved on
  }

  void Arm() {
    TimePoint at = std::min(asking_.due(), held_.empty() ? kNever : sample_at_);
    if (roster_.Waiting() || !entering_.empty()) at = now_;
    if (!wakeups_.empty()) at = std::min(at, wakeups_.begin()->first);
    if (at >= armed_) return;
    armed_ = at;
    out_->push_back(SetTimer{at, 0});
  }

  // Few lines: each kind no closer than its gap.
  enum LogKind { kHealth, kEnding, kCold, kLogKinds };
  bool MayLog(LogKind kind) {
    if (now_ < log_at_[kind]) return false;
    log_at_[kind] = now_ + (kind == kHealth ? kLogGap : kLongLogGap);
    return true;
  }
  void LogLine(std::string text) { out_->push_back(Log{std::move(text)}); }

  Settings settings_;
  double sharers_ = settings_.balancers, sharers_after_ = sharers_;
  TimePoint share_until_{};
  Random random_;
  TimePoint now_{}, interval_end_{}, sample_at_{}, sampled_at_{};
  std::vector<Action>* out_ = nullptr;
  kestrelline::fleet::Table<Server> servers_;
  OutlierDetector::Fleet fleet_;
  double warm_rate_ = 0;
  double listed_ = 0, in_service_ = 0;  // servers ready and of these not ejected; a cold one as its share
  std::priority_queue<std::pair<TimePoint, ServerIndex>, std::vector<std::pair<TimePoint, ServerIndex>>,
                      std::greater<>>
      returns_;  // of those ejected
  Roster roster_;
  const Ring& ring_ = roster_.all();  // servers ready, by their place
  std::vector<ServerIndex> subset_;   // those picked from; empty while the index has them
  bool indexed_ = false;              // they are more than are looked at one by one
  bool indexes_all_ = false;          // the index has all servers ready, or they are about to join it
  PickIndex index_of_work_{kSlownessMemory};
  std::size_t subset_in_service_ = 0;
  TimePoint faded_since_{};
  double fade_ = 1;                    // of slowness, since then
  std::vector<ServerIndex> entering_;  // of the subset, not in the index yet
  boost::unordered_flat_map<ServerIndex, ColdStart> cold_;
  std::vector<ServerIndex> asleep_;  // until the next sample
  std::uint32_t subset_number_ = 0;
  std::size_t judged_ = 0;  // servers that this proxy's traffic can judge
  KeyMemory key_memory_{kKeyMemory};
  kestrelline::fleet::ClassLosses class_losses_;
  std::unordered_map<RequestId, Request> requests_;
  std::set<std::tuple<double, Duration, RequestId>> held_;
  std::deque<std::pair<TimePoint, RequestId>> sent_;  // attempts too young to be overdue
  std::vector<RequestId> aged_;                       // those that may be, and are out
  std::set<std::pair<TimePoint, RequestId>> wakeups_;
  RouteUse routes_;
  std::vector<ClassState> classes_;
  Spread request_work_, mean_aim_;
  double of_aim_ = 0;    // share of their aims that answers take
  double crowding_ = 3;  // time of answers over what they take uncrowded
  int stretch_votes_ = 0;
  double stretch_ = 0;  // time over work that large requests take at the least
  int samples_ = 0;
  int in_flight_ = 0, overdue_ = 0;        // attempts, and those of them that are overdue
  double answered_ = 0, served_rate_ = 0;  // answers since the last sample; answers a ms
  double served_work_ = 0, work_rate_ = 0, asked_work_ = 0, asked_rate_ = 0;  // the same of work
  int outcomes_ = 0;                                                          // attempts ended, to kYoung
  std::vector<double> tenant_tokens_;
  double retry_tokens_ = kRetryBurst;
  double home_first_ = 0.5;               // share of picks that count the price of crossing zones
  double lost_home_ = 0, lost_away_ = 0;  // share of worth lost at servers of the own zone and of others
  bool room_ = false;                     // something changed that may let a held request go
  kestrelline::fleet::Asking asking_{settings_.must_ask_within};
  TimePoint armed_ = kNever, log_at_[kLogKinds] = {};
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

std::size_t Balancer::Ejected() const { return impl_->Ejected(); }
void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace brackenspoke

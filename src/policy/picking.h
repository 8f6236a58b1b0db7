// SPDX-License-Identifier: Apache-2.0
//
// Picks the server for a request among those that this proxy uses.
#ifndef KESTRELLINE_SRC_POLICY_PICKING_H_
#define KESTRELLINE_SRC_POLICY_PICKING_H_

#include "fleet/affinity.h"
#include "policy/cold_start.h"
#include "policy/used_servers.h"

namespace kestrelline {

using kestrelline::fleet::kNoMember;
using kestrelline::fleet::PickIndex;

constexpr double kCrossZoneWeight = 10;   // score of a cross-zone price of 1, in mean requests of work
constexpr double kZoneGain = 0.1;         // EWMA gain of one answer in the loss of the home and other zones
constexpr double kSlownessWeight = 1;     // of the time lost at a slow server, against work in flight
constexpr double kWarmWeight = 2;         // bonus of a server with a warm key, as a multiple of the work
constexpr Duration kWarmKeyMemory{4000};  // how long a key is assumed to stay warm at a server
constexpr int kMaxColdChecks = 512;       // cold servers over their budget that one pick checks

class Picking {
 public:
  Picking(State& state, ColdStarts& cold, UsedServers& used) : state_(state), cold_(cold), used_(used) {}

  // Picks the server with the least hinted work of this proxy in flight, ties at random; null if none has
  // room. Exceptions: another zone costs the work that its price is worth; a server with a warm key needs
  // less work, which is left for others; servers over their cold budget are skipped; servers already tried
  // come last; if no server of the group is in service, an ejected one is used rather than losing the
  // request.
  Server* Pick(const Request& r, const Permission& permission) {
    if (r.limits && r.limits->affinity_bound > 0 && r.key != 0 && !permission.group_of) {
      if (Server* s = PickByKey(r)) return s;
    }
    if (state_.ring.size() > kScanLimit) return PickFromLargeFleet(r, permission);
    bool in_service = false;  // some server is in service, though without room now
    Server* best = permission.group_of ? nullptr : PickFrom(used_.list(), r, permission, &in_service);
    if (!best && (permission.group_of || used_.list().size() < state_.ring.size()))
      best = PickFrom(state_.ring, r, permission, &in_service);
    return best;
  }

  // True for servers already tried. Exception: also for servers that lose this class but serve others.
  bool RanksLast(const Request& r, const Server& s) const {
    if (state_.class_losses.Avoids(state_.now, s.index, r.cls)) return true;
    return std::any_of(r.attempts.begin(), r.attempts.end(),
                       [&](const Attempt& a) { return a.server == s.index; });
  }

  void Sent(const Request& r, const Server& s) {
    if (state_.settings.warm_keys && r.key != 0) warm_keys_.Record(r.key, s.index, state_.now);
  }

  // Exception, when the home zone serves worse than the others by more than a crossing costs: with few
  // requests in flight the least-work pick cannot see that the home servers are full, and the cross-zone
  // price kept all requests there while other zones were idle. Lowers the fraction of picks that count the
  // price.
  void LearnZone(const Request& r, const Server& s, bool in_time, bool ok) {
    const double loss = in_time ? 0 : ok ? 1 - state_.settings.classes[r.cls].late_worth : 1;
    const bool home = state_.EntryOf(s).zone == state_.settings.zone;
    double& mean_loss = home ? lost_home_ : lost_away_;
    mean_loss += kZoneGain * (loss - mean_loss);
    if (home) lost_away_ *= 1 - kZoneGain / 4;  // zones no longer used may have recovered
    const bool prefer_others = lost_home_ - lost_away_ > state_.settings.price_cross_zone;
    home_first_ = std::clamp(home_first_ + (prefer_others ? -kZoneGain : kZoneGain), 0.0, 1.0);
  }

  // Sets the subset size and the ejection interval from the offered work per ms.
  void Resize(double offered_rate) {
    OutlierDetector::Fleet& fleet = state_.fleet;
    const double per_s = offered_rate * 1000 / std::max(1e-9, state_.request_work.mean);
    const double volume_s = kRequestVolume * static_cast<double>(used_.size()) / std::max(per_s, 1e-9);
    fleet.interval = std::clamp(Duration(volume_s * 1000), kInterval, kMaxInterval);
    fleet.thin = fleet.interval > kInterval;
    const auto judged = static_cast<std::size_t>(per_s * kInterval.count() / 1000 / kRequestVolume);
    // Hysteresis: each new server costs a connection.
    if (judged <= used_.judged() && judged * 2 >= used_.judged()) return;
    used_.Rebuild(judged);
  }

 private:
  // Whether servers at the two locations share a deduplication record for this request's key.
  bool ShareDeduplication(const Request& r, const Location& a, const Location& b) const {
    return SameGroup(state_.settings.classes[r.cls].group, a, b);
  }

  // Exception, where a route asks for key affinity: requests of one key go to one server, which can reuse its
  // cached state. Consistent hashing with bounded loads (Mirrokni et al., 2016), so that a hot key overloads
  // no server: with a bound over 1 some server always has room. Servers that are full, ejected or already
  // tried are skipped, in an order given by the key alone.
  Server* PickByKey(const Request& r) {
    const int in_service = std::max(1, state_.fleet.hosts - state_.fleet.ejected);
    const double max_count = std::ceil(r.limits->affinity_bound * (state_.in_flight + 1) / in_service);
    Server* best = nullptr;
    int cold_checked = 0;
    kestrelline::fleet::KeyOwners(state_.ring, r.key).ForEachCandidate([&](ServerIndex i) {
      Server& s = state_.servers[i];
      if (s.health.ejected || s.own_count >= max_count || RanksLast(r, s)) return false;
      if (cold_.Fits(s, r.work)) best = &s;
      return best || ++cold_checked >= kMaxColdChecks;
    });
    return best;
  }

  // Pick for fleets too large to scan: the least work by the index; in groups, and on the ring as the last
  // resort, the best of a random sample of kScanLimit.
  Server* PickFromLargeFleet(const Request& r, const Permission& permission) {
    bool in_service = false;
    if (permission.group_of) {
      const Group group = state_.settings.classes[r.cls].group;
      const Location& location = *permission.group_of;
      const auto& group_servers =
          group == Group::kZone ? state_.roster.InZone(location.zone) : state_.roster.InCell(location);
      if (group == Group::kAll) return PickFrom(RandomSample(state_.ring), r, permission, &in_service);
      return group_servers.size() > kScanLimit
                 ? PickFrom(RandomSample(group_servers), r, permission, &in_service)
                 : PickFrom(group_servers, r, permission, &in_service);
    }
    Server* best = used_.indexed() ? PickIndexed(r) : PickFrom(used_.list(), r, permission, &in_service);
    if (best || used_.size() >= state_.ring.size()) return best;
    in_service = state_.fleet.ejected < state_.fleet.hosts;
    return PickFrom(RandomSample(state_.ring), r, permission, &in_service);
  }

  template <typename Servers>
  std::vector<ServerIndex> RandomSample(const Servers& from) {
    std::vector<ServerIndex> sample;
    for (std::size_t k = 0; k < kScanLimit && from.size() > 0; ++k)
      sample.push_back(from[state_.random.Below(from.size())]);
    return sample;
  }

  Server* PickIndexed(const Request& r) {
    const double price = state_.settings.price_cross_zone;
    const bool home_first = price > 0 && state_.random.Unit() < home_first_;
    const double crossing = home_first ? kCrossZoneWeight * price * state_.request_work.mean : 0;
    const double slowness_weight = kSlownessWeight * r.work;
    const auto random_below = [this](std::uint64_t n) { return state_.random.Below(n); };
    PickIndex& index = used_.index();
    int cold_checked = 0;
    const auto fits = [&](ServerIndex i) {
      Server& s = state_.servers[i];
      if (RanksLast(r, s) || cold_checked > kMaxColdChecks) return false;
      if (cold_.Fits(s, r.work)) return true;
      // Hidden until the next sample, when budgets are refilled.
      ++cold_checked, used_.Sleep(s);
      return false;
    };
    ServerIndex best = index.Least(state_.now, slowness_weight, crossing, fits, random_below);
    const auto score = [&](ServerIndex i) {
      return index.Score(i, state_.now, slowness_weight) +
             (state_.roster[i].zone != state_.settings.zone ? crossing : 0);
    };
    const auto can_use = [&](ServerIndex i) {
      const Server& s = state_.servers[i];
      return index.Has(i) && state_.Usable(s) && !s.health.ejected && !s.asleep;
    };
    // The few servers with a warm key may score better than the least after their bonus.
    double best_score = best == kNoMember ? kNever.time_since_epoch().count() : score(best);
    warm_keys_.Of(r.key, state_.now).ForEach([&](ServerIndex i) {
      if (!can_use(i) || RanksLast(r, state_.servers[i]) || !cold_.Fits(state_.servers[i], r.work)) return;
      const double warm_score = score(i) - kWarmWeight * r.work;
      if (warm_score < best_score) best_score = warm_score, best = i;
    });
    if (best != kNoMember) return &state_.servers[best];
    for (const Attempt& a : r.attempts) {  // fall back to servers already tried
      if (!can_use(a.server) || !cold_.Fits(state_.servers[a.server], r.work)) continue;
      if (best == kNoMember || score(a.server) < score(best)) best = a.server;
    }
    if (best != kNoMember) return &state_.servers[best];
    bool in_service = used_.in_service() > 0;
    std::vector<ServerIndex> sample;
    for (std::size_t k = 0; k < kScanLimit && !in_service; ++k) {
      const ServerIndex i = index.RandomMember(random_below);
      if (i != kNoMember) sample.push_back(i);
    }
    return PickFrom(sample, r, Permission(), &in_service);
  }

  template <typename Servers>
  Server* PickFrom(const Servers& from, const Request& r, const Permission& permission, bool* in_service) {
    const Settings& settings = state_.settings;
    const bool home_first = settings.price_cross_zone > 0 && state_.random.Unit() < home_first_;
    const double crossing = kCrossZoneWeight * settings.price_cross_zone * state_.request_work.mean;
    const WarmKeys::Servers warm = warm_keys_.Of(r.key, state_.now);
    Server* best = nullptr;
    int best_rank = 0;
    double best_score = 0;
    int ties = 0;
    for (std::size_t k = 0; k < from.size(); ++k) {
      Server& s = state_.servers[from[k]];
      if (!state_.Usable(s) ||
          (permission.group_of && !ShareDeduplication(r, *permission.group_of, state_.LocationOf(s.index))))
        continue;
      *in_service |= !s.health.ejected;
      if (!cold_.Fits(s, r.work)) {
        if (state_.MayLog(LogKind::kCold))
          state_.LogLine("server " + std::to_string(state_.EntryOf(s).server) + " held back: cold, at " +
                         std::to_string(static_cast<int>(100 * cold_.WarmShare(s))) +
                         "% or more of its capacity");
        continue;
      }
      const int rank = 2 * s.health.ejected + RanksLast(r, s);
      const bool crosses = state_.EntryOf(s).zone != settings.zone;
      const double score = s.own_work + kSlownessWeight * r.work * (state_.SlownessOf(s) - 1) -
                           (warm.Has(s.index) ? kWarmWeight * r.work : 0) +
                           (crosses && home_first ? crossing : 0);
      if (best && (rank > best_rank || (rank == best_rank && score > best_score))) continue;
      const bool tie = best && rank == best_rank && score == best_score;
      ties = tie ? ties + 1 : 1;
      if (tie && state_.random.Below(ties) != 0) continue;
      best = &s;
      best_rank = rank;
      best_score = score;
    }
    return best && best_rank >= 2 && *in_service ? nullptr : best;
  }

  State& state_;
  ColdStarts& cold_;
  UsedServers& used_;
  WarmKeys warm_keys_{kWarmKeyMemory};
  double home_first_ = 0.5;               // fraction of picks that count the cross-zone price
  double lost_home_ = 0, lost_away_ = 0;  // mean fraction of worth lost in the home zone and in other zones
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_PICKING_H_

// SPDX-License-Identifier: Apache-2.0
//
// Which server a request goes to, of those that this proxy uses.
#ifndef KESTRELLINE_SRC_POLICY_PICKING_H_
#define KESTRELLINE_SRC_POLICY_PICKING_H_

#include "fleet/affinity.h"
#include "policy/cold_start.h"
#include "policy/used_servers.h"

namespace kestrelline {

using kestrelline::fleet::kNobody;
using kestrelline::fleet::PickIndex;

constexpr double kCrossingWeight = 10;  // mean requests of work that the whole crossing price is worth
constexpr double kZoneGain = 0.1;       // of one answer, in what the own zone and the others lose
constexpr double kSlownessWeight = 1;   // of the time lost at a slow server, against work in flight
constexpr double kWarmWeight = 2;       // of a request's work, at a server that met its key lately
constexpr Duration kKeyMemory{4000};    // how long a key sent to a server is taken to be warm there
constexpr int kMostUnfit = 512;         // cold servers without a budget that one pick asks

class Picking {
 public:
  Picking(State& state, ColdStarts& cold, UsedServers& used) : state_(state), cold_(cold), used_(used) {}

  // Least own hinted work in flight, ties at random. Exceptions: a crossing of zones counts as the work that
  // its price is worth; where keys are warm, a server that met this one lately serves it with less work, and
  // what it saves serves others; those over their cold budget are passed over; those it has
  // tried come last; if no server of the group is in service, an ejected one is used: never a lost request.
  Server* Pick(const Request& r, const Permission& permission) {
    if (r.limits && r.limits->affinity_bound > 0 && r.key != 0 && !permission.group_of) {
      if (Server* s = PickByKey(r)) return s;
    }
    if (state_.ring.size() > kLookedAt) return PickOfMany(r, permission);
    bool in_service = false;  // some server is in service, though without room now
    Server* best = permission.group_of ? nullptr : PickFrom(used_.list(), r, permission, &in_service);
    if (!best && (permission.group_of || used_.list().size() < state_.ring.size()))
      best = PickFrom(state_.ring, r, permission, &in_service);
    return best;
  }

  // Exception: a server that loses this class and serves others comes last, as one that was tried does.
  bool Last(const Request& r, const Server& s) const {
    if (state_.class_losses.Avoids(state_.now, s.index, r.cls)) return true;
    return std::any_of(r.attempts.begin(), r.attempts.end(),
                       [&](const Attempt& a) { return a.server == s.index; });
  }

  void Sent(const Request& r, const Server& s) {
    if (state_.settings.warm_keys && r.key != 0) key_memory_.Met(r.key, s.index, state_.now);
  }

  // Exception, when the own zone serves worse than the others by more than a crossing costs: with few
  // requests in flight the least-work pick cannot see that the home servers are full, and the price of
  // crossing kept every request there while other zones stood idle (incident ib02092). The price counts in
  // the share of picks that this finding leaves.
  void LearnZone(const Request& r, const Server& s, bool in_time, bool ok) {
    const double lost = in_time ? 0 : ok ? 1 - state_.settings.classes[r.cls].late_worth : 1;
    const bool home = state_.EntryOf(s).zone == state_.settings.zone;
    double& seen = home ? lost_home_ : lost_away_;
    seen += kZoneGain * (lost - seen);
    if (home) lost_away_ *= 1 - kZoneGain / 4;  // what is not looked at any more may have recovered
    const bool leave = lost_home_ - lost_away_ > state_.settings.price_cross_zone;
    home_first_ = std::clamp(home_first_ + (leave ? -kZoneGain : kZoneGain), 0.0, 1.0);
  }

  // `asked_rate`: work a ms. Also how long an interval of ejection is.
  void Resize(double asked_rate) {
    OutlierDetector::Fleet& fleet = state_.fleet;
    const double per_s = asked_rate * 1000 / std::max(1e-9, state_.request_work.mean);
    const double volume_s = kRequestVolume * static_cast<double>(used_.size()) / std::max(per_s, 1e-9);
    fleet.interval = std::clamp(Duration(volume_s * 1000), kInterval, kLongestInterval);
    fleet.thin = fleet.interval > kInterval;
    const auto judged = static_cast<std::size_t>(per_s * kInterval.count() / 1000 / kRequestVolume);
    // Not for every wobble of the rate: each new server costs a connection.
    if (judged <= used_.judged() && judged * 2 >= used_.judged()) return;
    used_.Rebuild(judged);
  }

 private:
  // Whether servers of the two drop each other's repeats of this request's key.
  bool OneGroup(const Request& r, const Location& a, const Location& b) const {
    return InGroup(state_.settings.classes[r.cls].group, a, b);
  }

  // Exception, where a route asks for it: requests of one key go to one server, which keeps what it has of
  // it. Bounded (Mirrokni and others, 2016), so that a hot key overloads nobody: with a bound over 1 some
  // server always has room. Whoever has no room, is out of service, or was tried, is passed over in an order
  // that the key alone gives.
  Server* PickByKey(const Request& r) {
    const int in_service = std::max(1, state_.fleet.hosts - state_.fleet.ejected);
    const double most = std::ceil(r.limits->affinity_bound * (state_.in_flight + 1) / in_service);
    Server* best = nullptr;
    int unfit = 0;
    kestrelline::fleet::KeyOwners(state_.ring, r.key).Try([&](ServerIndex i) {
      Server& s = state_.servers[i];
      if (s.health.ejected || s.own_count >= most || Last(r, s)) return false;
      if (cold_.Fits(s, r.work)) best = &s;
      return best || ++unfit >= kMostUnfit;
    });
    return best;
  }

  // The same where servers are too many to be looked at one by one: the least work by the index, and of
  // groups and of the ring, which are the last resort, of kLookedAt by chance.
  Server* PickOfMany(const Request& r, const Permission& permission) {
    bool in_service = false;
    if (permission.group_of) {
      const Group group = state_.settings.classes[r.cls].group;
      const Location& place = *permission.group_of;
      const auto& all =
          group == Group::kZone ? state_.roster.InZone(place.zone) : state_.roster.InCell(place);
      if (group == Group::kAll) return PickFrom(Some(state_.ring), r, permission, &in_service);
      return all.size() > kLookedAt ? PickFrom(Some(all), r, permission, &in_service)
                                    : PickFrom(all, r, permission, &in_service);
    }
    Server* best = used_.indexed() ? PickIndexed(r) : PickFrom(used_.list(), r, permission, &in_service);
    if (best || used_.size() >= state_.ring.size()) return best;
    in_service = state_.fleet.ejected < state_.fleet.hosts;
    return PickFrom(Some(state_.ring), r, permission, &in_service);
  }

  template <typename Servers>
  std::vector<ServerIndex> Some(const Servers& from) {
    std::vector<ServerIndex> some;
    for (std::size_t k = 0; k < kLookedAt && from.size() > 0; ++k)
      some.push_back(from[state_.random.Below(from.size())]);
    return some;
  }

  Server* PickIndexed(const Request& r) {
    const double price = state_.settings.price_cross_zone;
    const bool home_first = price > 0 && state_.random.Unit() < home_first_;
    const double crossing = home_first ? kCrossingWeight * price * state_.request_work.mean : 0;
    const double asked = kSlownessWeight * r.work;
    const auto below = [this](std::uint64_t n) { return state_.random.Below(n); };
    PickIndex& index = used_.index();
    int unfit = 0;
    const auto fits = [&](ServerIndex i) {
      Server& s = state_.servers[i];
      if (Last(r, s) || unfit > kMostUnfit) return false;
      if (cold_.Fits(s, r.work)) return true;
      // Asked again at the next sample, which is when budgets move on.
      ++unfit, used_.Sleep(s);
      return false;
    };
    ServerIndex best = index.Least(state_.now, asked, crossing, fits, below);
    const auto score = [&](ServerIndex i) {
      return index.Score(i, state_.now, asked) +
             (state_.roster[i].zone != state_.settings.zone ? crossing : 0);
    };
    const auto may = [&](ServerIndex i) {
      const Server& s = state_.servers[i];
      return index.Has(i) && state_.Usable(s) && !s.health.ejected && !s.asleep;
    };
    // Those that met the key are few; what they save may put them before the least.
    double least = best == kNobody ? kNever.time_since_epoch().count() : score(best);
    key_memory_.Of(r.key, state_.now).ForEach([&](ServerIndex i) {
      if (!may(i) || Last(r, state_.servers[i]) || !cold_.Fits(state_.servers[i], r.work)) return;
      const double saved = score(i) - kWarmWeight * r.work;
      if (saved < least) least = saved, best = i;
    });
    if (best != kNobody) return &state_.servers[best];
    for (const Attempt& a : r.attempts) {  // those tried come last
      if (!may(a.server) || !cold_.Fits(state_.servers[a.server], r.work)) continue;
      if (best == kNobody || score(a.server) < score(best)) best = a.server;
    }
    if (best != kNobody) return &state_.servers[best];
    bool in_service = used_.in_service() > 0;
    std::vector<ServerIndex> some;
    for (std::size_t k = 0; k < kLookedAt && !in_service; ++k) {
      const ServerIndex i = index.Drawn(below);
      if (i != kNobody) some.push_back(i);
    }
    return PickFrom(some, r, Permission(), &in_service);
  }

  template <typename Servers>
  Server* PickFrom(const Servers& from, const Request& r, const Permission& permission, bool* in_service) {
    const Settings& settings = state_.settings;
    const bool home_first = settings.price_cross_zone > 0 && state_.random.Unit() < home_first_;
    const double crossing = kCrossingWeight * settings.price_cross_zone * state_.request_work.mean;
    const KeyMemory::Servers warm = key_memory_.Of(r.key, state_.now);
    Server* best = nullptr;
    int best_rank = 0;
    double best_score = 0;
    int ties = 0;
    for (std::size_t k = 0; k < from.size(); ++k) {
      Server& s = state_.servers[from[k]];
      if (!state_.Usable(s) ||
          (permission.group_of && !OneGroup(r, *permission.group_of, state_.LocationOf(s.index))))
        continue;
      *in_service |= !s.health.ejected;
      if (!cold_.Fits(s, r.work)) {
        if (state_.MayLog(LogKind::kCold))
          state_.LogLine("server " + std::to_string(state_.EntryOf(s).server) + " held back: cold, at " +
                         std::to_string(static_cast<int>(100 * cold_.WarmShare(s))) +
                         "% or more of its capacity");
        continue;
      }
      const int rank = 2 * s.health.ejected + Last(r, s);
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
  KeyMemory key_memory_{kKeyMemory};
  double home_first_ = 0.5;               // share of picks that count the price of crossing zones
  double lost_home_ = 0, lost_away_ = 0;  // share of worth lost at servers of the own zone and of others
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_PICKING_H_

// SPDX-License-Identifier: Apache-2.0
#include "control_plane/stage_planner.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::control_plane {
namespace {

constexpr double kMsPerS = 1000;

std::size_t CountInZone(const std::vector<const wire::Instance*>& instances, const std::string& zone) {
  return static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(),
                    [&zone](const wire::Instance* instance) { return instance->zone == zone; }));
}

}  // namespace

std::size_t StagePlanner::WantedPrefill(const Service& service, const wire::Demand& demand) const {
  const auto all = static_cast<double>(service.prefill.size() + service.decode.size() +
                                       service.moving_to_prefill + service.moving_to_decode);
  const double least = std::max(1.0, std::ceil(all * options_.least_share));
  const wire::Instance& any = *service.prefill.front();
  double prefill = demand.prefill_ms_per_s / kMsPerS / options_.prefill_busy;
  const double decode = demand.decode_ms_per_s / kMsPerS / std::max(1u, any.slots) / options_.decode_busy;
  if (prefill + decode < all * options_.little_busy)
    return static_cast<std::size_t>(all * options_.share_at_rest);
  // What neither needs is shared out as they need.
  prefill *= all / (prefill + decode);
  return static_cast<std::size_t>(std::lround(std::clamp(prefill, least, std::max(least, all - least))));
}

// From the zone that has the most of the one stage, and the fewest of the other.
const wire::Instance* StagePlanner::Choose(const std::vector<const wire::Instance*>& from,
                                           const std::vector<const wire::Instance*>& to) const {
  const wire::Instance* best = nullptr;
  int best_surplus = 0;
  for (const wire::Instance* instance : from) {
    const std::size_t here = CountInZone(from, instance->zone);
    if (here <= 1) continue;  // never the last of its stage in a zone
    const int surplus = static_cast<int>(here) - static_cast<int>(CountInZone(to, instance->zone));
    if (best != nullptr && surplus <= best_surplus) continue;
    best = instance;
    best_surplus = surplus;
  }
  return best;
}

std::vector<StageOrder> StagePlanner::Plan(Time now, const std::vector<wire::Instance>& instances,
                                           const std::vector<wire::Demand>& demands) {
  std::map<std::string, Service> services;
  for (const wire::Instance& instance : instances) {
    if (instance.draining) continue;
    const auto move = moves_.find(instance.id);
    if (move != moves_.end()) {
      Service& service = services[instance.service];
      ++(move->second.goal == StageGoal::kPrefill ? service.moving_to_prefill : service.moving_to_decode);
    } else if (instance.prefill) {
      services[instance.service].prefill.push_back(&instance);
    } else if (instance.decode) {
      services[instance.service].decode.push_back(&instance);
    }
  }
  std::vector<StageOrder> orders;
  for (const auto& [name, service] : services) {
    const std::size_t under_way = service.moving_to_prefill + service.moving_to_decode;
    if (service.prefill.empty() || service.decode.empty() || under_way >= options_.most_at_once) continue;
    const std::string& asked_of = name;
    const auto demand = std::find_if(demands.begin(), demands.end(), [&asked_of](const wire::Demand& entry) {
      return entry.service == asked_of;
    });
    const std::size_t wanted = WantedPrefill(service, demand == demands.end() ? wire::Demand{} : *demand);
    const std::size_t have = service.prefill.size() + service.moving_to_prefill;
    if (wanted == have) continue;
    const StageGoal goal = wanted > have ? StageGoal::kPrefill : StageGoal::kDecode;
    const auto last = last_.find(name);
    if (last != last_.end()) {
      const bool opposite = last->second.goal != goal;
      // Back again only where it is worth more than one move.
      if (opposite && std::max(wanted, have) - std::min(wanted, have) < 2) continue;
      if (now - last->second.began < (opposite ? options_.settle : options_.between)) continue;
    }
    const wire::Instance* chosen = goal == StageGoal::kPrefill ? Choose(service.decode, service.prefill)
                                                               : Choose(service.prefill, service.decode);
    if (chosen == nullptr) continue;
    orders.push_back({chosen->id, chosen->address, goal});
    moves_[chosen->id] = {goal, now};
    last_[name] = {goal, now};
  }
  return orders;
}

void StagePlanner::MarkMoving(Time now, std::vector<wire::Instance>& instances) {
  std::erase_if(moves_, [&](const auto& entry) { return now - entry.second.began > options_.patience; });
  for (wire::Instance& instance : instances) {
    const auto move = moves_.find(instance.id);
    if (move == moves_.end()) continue;
    const bool there = move->second.goal == StageGoal::kPrefill ? instance.prefill : instance.decode;
    if (there) {
      moves_.erase(move);
    } else {
      instance.prefill = false;
      instance.decode = false;
    }
  }
}

}  // namespace kestrelline::control_plane

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
  const auto total = static_cast<double>(service.prefill.size() + service.decode.size() +
                                         service.moving_to_prefill + service.moving_to_decode);
  const double min_prefill = std::max(1.0, std::ceil(total * options_.min_stage_share));
  const wire::Instance& sample = *service.prefill.front();
  double prefill = demand.prefill_ms_per_s / kMsPerS / options_.target_prefill_utilization;
  const double decode =
      demand.decode_ms_per_s / kMsPerS / std::max(1u, sample.slots) / options_.target_decode_utilization;
  if (prefill + decode < total * options_.idle_utilization)
    return static_cast<std::size_t>(total * options_.idle_prefill_share);
  // Spare capacity is divided in proportion to the need.
  prefill *= total / (prefill + decode);
  return static_cast<std::size_t>(
      std::lround(std::clamp(prefill, min_prefill, std::max(min_prefill, total - min_prefill))));
}

// Chooses from the zone with the largest surplus of the `from` stage over the `to` stage.
const wire::Instance* StagePlanner::ChooseInstance(const std::vector<const wire::Instance*>& from,
                                                   const std::vector<const wire::Instance*>& to) const {
  const wire::Instance* best = nullptr;
  int best_surplus = 0;
  for (const wire::Instance* instance : from) {
    const std::size_t zone_count = CountInZone(from, instance->zone);
    if (zone_count <= 1) continue;  // never the last one of its stage in a zone
    const int surplus = static_cast<int>(zone_count) - static_cast<int>(CountInZone(to, instance->zone));
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
    const std::size_t moving = service.moving_to_prefill + service.moving_to_decode;
    if (service.prefill.empty() || service.decode.empty() || moving >= options_.max_concurrent_moves)
      continue;
    const std::string& service_name = name;
    const auto demand =
        std::find_if(demands.begin(), demands.end(),
                     [&service_name](const wire::Demand& entry) { return entry.service == service_name; });
    const std::size_t wanted_prefill =
        WantedPrefill(service, demand == demands.end() ? wire::Demand{} : *demand);
    const std::size_t current_prefill = service.prefill.size() + service.moving_to_prefill;
    if (wanted_prefill == current_prefill) continue;
    const StageGoal goal = wanted_prefill > current_prefill ? StageGoal::kPrefill : StageGoal::kDecode;
    const auto last_move = last_moves_.find(name);
    if (last_move != last_moves_.end()) {
      const bool opposite = last_move->second.goal != goal;
      // Reverse direction only if more than one move is needed.
      if (opposite &&
          std::max(wanted_prefill, current_prefill) - std::min(wanted_prefill, current_prefill) < 2)
        continue;
      if (now - last_move->second.started_at <
          (opposite ? options_.reverse_move_interval : options_.min_move_interval))
        continue;
    }
    const wire::Instance* chosen = goal == StageGoal::kPrefill
                                       ? ChooseInstance(service.decode, service.prefill)
                                       : ChooseInstance(service.prefill, service.decode);
    if (chosen == nullptr) continue;
    orders.push_back({chosen->id, chosen->address, goal});
    moves_[chosen->id] = {goal, now};
    last_moves_[name] = {goal, now};
  }
  return orders;
}

void StagePlanner::MarkMoving(Time now, std::vector<wire::Instance>& instances) {
  std::erase_if(moves_,
                [&](const auto& entry) { return now - entry.second.started_at > options_.move_timeout; });
  for (wire::Instance& instance : instances) {
    const auto move = moves_.find(instance.id);
    if (move == moves_.end()) continue;
    const bool reached = move->second.goal == StageGoal::kPrefill ? instance.prefill : instance.decode;
    if (reached) {
      moves_.erase(move);
    } else {
      instance.prefill = false;
      instance.decode = false;
    }
  }
}

}  // namespace kestrelline::control_plane

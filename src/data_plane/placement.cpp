// SPDX-License-Identifier: Apache-2.0
#include "data_plane/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hashing/mix.h"

namespace kestrelline::data_plane {
namespace {

// Half-life of a load hint about requests of other proxies.
constexpr double kHintHalfLifeMs = 800;
// Prefill time assumed for a request of another proxy of which nothing else is known.
constexpr double kAssumedPrefillMs = 20;

double Ms(Duration span) { return span.count(); }

bool IsExcluded(const Excluded& excluded, const Backend* backend) {
  return std::find(excluded.begin(), excluded.end(), backend) != excluded.end();
}

// In-flight requests of other proxies, from the decaying load hint of the backend.
double OtherRequestsAt(const Backend& backend, TimePoint now) {
  if (!backend.load.known) return 0;
  const double others = std::max(0, backend.load.running + backend.load.waiting - backend.load.own_requests);
  return others * std::exp2(-Ms(now - backend.load.reported_at) / kHintHalfLifeMs);
}

}  // namespace

// Picks the cheapest backend in service; falls back to ejected ones and those in backoff if there is no
// other.
template <typename Cost>
Pick Placement::PickCheapest(const Group* group, const Excluded& excluded, TimePoint now, Cost cost) {
  Pick best;
  if (group == nullptr) return best;
  for (const bool include_avoided : {false, true}) {
    int ties = 0;
    for (const BackendPtr& backend : group->backends) {
      if (!backend->InService() || IsExcluded(excluded, backend.get())) continue;
      if ((backend->health.ejected || now < backend->backoff_until) && !include_avoided) continue;
      const Pick pick = cost(backend);
      if (best.backend && pick.cost_ms > best.cost_ms) continue;
      if (!best.backend || pick.cost_ms < best.cost_ms) ties = 0;
      if (random_.Below(static_cast<std::uint64_t>(++ties)) == 0) best = pick;
    }
    if (best.backend) return best;
  }
  return best;
}

double Placement::WaitMs(const Backend& backend, TimePoint now) const {
  if (table_.HasRecentLoads(now)) return backend.pending_prefill_ms + backend.others_prefill_ms;
  return backend.pending_prefill_ms + OtherRequestsAt(backend, now) * kAssumedPrefillMs;
}

double Placement::RunningRequests(const Backend& backend, TimePoint now) const {
  return backend.in_flight +
         (table_.HasRecentLoads(now) ? backend.others_running : OtherRequestsAt(backend, now));
}

// Rendezvous hashing: all proxies prefer the same backend for the same shared prefix, without coordination.
const Backend* Placement::Preferred(const Group& group, const Prompt& prompt) const {
  if (prompt.SharedBlocks() == 0) return nullptr;
  const std::uint64_t prefix_hash = prompt.blocks[prompt.SharedBlocks() - 1].prefix_hash;
  const Backend* preferred = nullptr;
  std::uint64_t highest_weight = 0;
  for (const BackendPtr& backend : group.backends) {
    if (!backend->InService() || backend->health.ejected) continue;
    const std::uint64_t weight = hashing::Mixed(prefix_hash ^ backend->id_hash);
    if (preferred != nullptr && weight <= highest_weight) continue;
    preferred = backend.get();
    highest_weight = weight;
  }
  return preferred;
}

Placement::PrefillEstimate Placement::EstimatePrefill(const Backend& backend, const Prompt& prompt,
                                                      bool preferred, const PrefillCost& prefill_cost,
                                                      TimePoint now) const {
  const TimePoint since = now - Duration(costs_.cache_ttl_ms);
  std::int64_t cached = 0;
  std::int64_t recomputed = 0;
  for (std::size_t i = 0; i < prompt.SharedBlocks(); ++i) {
    const bool is_cached = recomputed == 0 && (preferred || backend.cached_prefixes.Contains(
                                                                prompt.blocks[i].prefix_hash, since));
    (is_cached ? cached : recomputed) += prompt.blocks[i].tokens;
  }
  PrefillEstimate prefill;
  prefill.work_ms = prefill_cost.WorkMs(static_cast<double>(prompt.tokens), static_cast<double>(cached));
  prefill.recompute_ms = static_cast<double>(recomputed) * costs_.recompute_ms_per_token;
  return prefill;
}

Pick Placement::PickPlain(const std::string& service, const Excluded& excluded, TimePoint now) {
  constexpr double kOtherZoneCost = 0.25;  // fraction of a backend's slots
  return PickCheapest(table_.Find(service, Stage::kAny), excluded, now, [&](const BackendPtr& backend) {
    const double slots = std::max(1u, backend->info.slots);
    const double zone = backend->info.zone == zone_ ? 0 : kOtherZoneCost;
    return Pick{backend, RunningRequests(*backend, now) / slots + zone, 0, 0, 0};
  });
}

Pick Placement::PickPrefill(const std::string& service, const Prompt& prompt, const Excluded& excluded,
                            TimePoint now) {
  const Group* group = table_.Find(service, Stage::kPrefill);
  const Backend* preferred = group ? Preferred(*group, prompt) : nullptr;
  const PrefillCost& prefill_cost = PrefillCostOf(service);
  return PickCheapest(group, excluded, now, [&](const BackendPtr& backend) {
    const PrefillEstimate prefill =
        EstimatePrefill(*backend, prompt, backend.get() == preferred, prefill_cost, now);
    const double zone = backend->info.zone == zone_ ? 0 : costs_.other_zone_ms;
    const double wait = WaitMs(*backend, now) + zone;
    const double ready = wait + prefill_cost.fixed_ms + prefill.work_ms;
    return Pick{backend, ready + prefill.recompute_ms + costs_.hand_over_ms, prefill.work_ms, wait, ready};
  });
}

Pick Placement::PickDecode(const std::string& service, const Backend& source, const Excluded& excluded,
                           TimePoint now) {
  return PickCheapest(table_.Find(service, Stage::kDecode), excluded, now, [&](const BackendPtr& backend) {
    const double running = RunningRequests(*backend, now);
    const double no_free_slot = running >= backend->info.slots ? costs_.no_free_slot_ms : 0;
    const double kv_transfer = backend->info.zone == source.info.zone ? 0 : costs_.kv_transfer_other_zone_ms;
    const double zone = backend->info.zone == zone_ ? 0 : costs_.other_zone_ms;
    const double ready =
        WaitMs(*backend, now) * 0.5 + running * costs_.per_running_ms + no_free_slot + kv_transfer + zone;
    return Pick{backend, ready, 0, 0, ready};
  });
}

Pick Placement::PickCombined(const std::string& service, const Prompt& prompt, const Excluded& excluded,
                             TimePoint now) {
  const bool split = table_.IsSplit(service);
  const Group* group = table_.Find(service, split ? Stage::kDecode : Stage::kAny);
  const Backend* preferred = group ? Preferred(*group, prompt) : nullptr;
  const PrefillCost& prefill_cost = PrefillCostOf(service);
  const double prefill_speed = split ? costs_.decode_prefill_speed : 1;
  return PickCheapest(group, excluded, now, [&](const BackendPtr& backend) {
    const PrefillEstimate prefill =
        EstimatePrefill(*backend, prompt, !split && backend.get() == preferred, prefill_cost, now);
    const double work = prefill.work_ms / prefill_speed;
    const double running = RunningRequests(*backend, now);
    const double no_free_slot = running >= backend->info.slots ? costs_.no_free_slot_ms : 0;
    const double zone = backend->info.zone == zone_ ? 0 : costs_.other_zone_ms;
    const double wait = WaitMs(*backend, now) + running * costs_.per_running_ms + no_free_slot + zone;
    const double ready = wait + prefill_cost.fixed_ms + work;
    // Running streams are delayed during the prefill.
    const double stream_delay = split ? running * work * costs_.stream_delay_weight : 0;
    return Pick{backend, ready + prefill.recompute_ms + stream_delay, work, wait, ready};
  });
}

void Placement::RecordPrefill(const std::string& service, const Prompt& prompt, const Pick& pick,
                              double elapsed_ms) {
  estimates_[service].Observe(prompt, pick.wait_ms, elapsed_ms);
}

PendingPrefill::PendingPrefill(BackendPtr backend, const Prompt& prompt, double work_ms, TimePoint now)
    : backend_(std::move(backend)), work_ms_(work_ms) {
  backend_->pending_prefill_ms += work_ms_;
  for (std::size_t i = 0; i < prompt.SharedBlocks(); ++i)
    backend_->cached_prefixes.Touch(prompt.blocks[i].prefix_hash, now);
}

void PendingPrefill::End() {
  if (!backend_) return;
  backend_->pending_prefill_ms = std::max(0.0, backend_->pending_prefill_ms - work_ms_);
  backend_ = nullptr;
}

}  // namespace kestrelline::data_plane

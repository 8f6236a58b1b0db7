// SPDX-License-Identifier: Apache-2.0
#include "data_plane/backend_table.h"

#include "hashing/fnv.h"

namespace kestrelline::data_plane {
namespace {

constexpr Duration kEjectionInterval{4000};
constexpr Duration kMaxLoadSummaryAge{900};

}  // namespace

Stage StageOf(const wire::Instance& instance) {
  if (instance.prefill) return Stage::kPrefill;
  return instance.decode ? Stage::kDecode : Stage::kAny;
}

void BackendTable::Update(const wire::InstanceList& list) {
  for (auto& [id, backend] : by_id_) backend->listed = false;
  std::map<Key, Group> groups;
  for (const wire::Instance& instance : list.instances) {
    BackendPtr& backend = by_id_[instance.id];
    if (!backend) {
      backend = std::make_shared<Backend>();
      backend->id_hash = hashing::Fnv1a(instance.id);
    } else if (StageOf(backend->info) != StageOf(instance)) {
      backend->health = {};  // from now on it is counted in another group
    }
    backend->info = instance;
    backend->listed = true;
    groups[{instance.service, StageOf(instance)}].backends.push_back(backend);
  }
  std::erase_if(by_id_, [](const auto& entry) { return !entry.second->listed; });
  for (auto& [key, group] : groups) {
    const auto previous = groups_.find(key);
    if (previous != groups_.end()) group.health = previous->second.health;
    group.health.thin = true;
    group.health.interval = kEjectionInterval;
    group.health.hosts = 0;
    group.health.ejected = 0;
    for (const BackendPtr& backend : group.backends) {
      group.health.hosts += backend->InService();
      group.health.ejected += backend->health.ejected;
    }
  }
  groups_ = std::move(groups);
}

void BackendTable::Tick(TimePoint now) {
  const bool interval_over = now >= interval_ends_;
  if (interval_over) interval_ends_ = now + kEjectionInterval;
  for (auto& [key, group] : groups_) {
    if (interval_over) OutlierDetector::EndInterval(group.health);
    for (const BackendPtr& backend : group.backends) {
      if (backend->address_reused && now >= backend->ask_again_at) backend->address_reused = false;
      if (!backend->health.ejected || now < backend->health.return_at) continue;
      OutlierDetector::Return(backend->health, group.health, OutlierDetector::OnReturn::kKeepMultiplier);
      --group.health.ejected;
    }
  }
}

bool BackendTable::Record(Backend& backend, bool success, TimePoint now) {
  const auto group = groups_.find({backend.info.service, StageOf(backend.info)});
  if (group == groups_.end() || !backend.listed) return false;
  return OutlierDetector::Record(backend.health, success, now, group->second.health, random_);
}

const Group* BackendTable::Find(const std::string& service, Stage stage) const {
  const auto entry = groups_.find({service, stage});
  return entry == groups_.end() ? nullptr : &entry->second;
}

std::vector<wire::BackendLoad> BackendTable::ReportLoads() {
  std::vector<wire::BackendLoad> loads;
  for (const auto& [id, backend] : by_id_) {
    backend->reported_prefill_ms = static_cast<std::uint32_t>(backend->pending_prefill_ms);
    backend->reported_running = static_cast<std::uint32_t>(backend->in_flight);
    if (backend->reported_prefill_ms == 0 && backend->reported_running == 0) continue;
    loads.push_back({backend->id_hash, backend->reported_prefill_ms, backend->reported_running});
  }
  return loads;
}

void BackendTable::ApplyLoadSummary(const wire::LoadSummary& summary, TimePoint now) {
  std::unordered_map<std::uint64_t, const wire::BackendLoad*> by_hash;
  for (const wire::BackendLoad& load : summary.loads) by_hash[load.backend] = &load;
  for (const auto& [id, backend] : by_id_) {
    const auto entry = by_hash.find(backend->id_hash);
    if (entry == by_hash.end() && !summary.whole) continue;
    const wire::BackendLoad total = entry == by_hash.end() ? wire::BackendLoad{} : *entry->second;
    const auto others = [](std::uint32_t sum, std::uint32_t own) { return sum > own ? sum - own : 0; };
    backend->others_prefill_ms = others(total.prefill_ms, backend->reported_prefill_ms);
    backend->others_running = static_cast<int>(others(total.running, backend->reported_running));
  }
  loads_updated_at_ = now;
}

bool BackendTable::HasRecentLoads(TimePoint now) const {
  return now - loads_updated_at_ < kMaxLoadSummaryAge;
}

bool BackendTable::IsSplit(const std::string& service) const {
  return Find(service, Stage::kPrefill) != nullptr || Find(service, Stage::kDecode) != nullptr;
}

}  // namespace kestrelline::data_plane

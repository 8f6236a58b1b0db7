// SPDX-License-Identifier: Apache-2.0
#include "control_plane/load_sharing.h"

#include "hashing/fnv.h"

namespace kestrelline::control_plane {

void LoadSharing::SetInstances(const wire::InstanceList& list) {
  backends_by_zone_.clear();
  for (const wire::Instance& instance : list.instances)
    backends_by_zone_[instance.zone].insert(hashing::Fnv1a(instance.id));
}

LoadSharing::Updates LoadSharing::Tick(Time now, const std::set<std::string>& zones) {
  board_.DropTimedOut(now);
  Updates updates;
  updates.to_members = ChangesForMembers(now);
  std::erase_if(feeds_, [&zones](const auto& entry) { return !zones.contains(entry.first); });
  if (zones.empty()) return updates;
  const std::vector<wire::BackendLoad> all_loads = board_.TotalReport().loads;
  for (const std::string& zone : zones) {
    if (auto summary = SummaryFor(now, zone, all_loads)) updates.to_zones.emplace(zone, std::move(*summary));
  }
  return updates;
}

std::optional<wire::LoadChanges> LoadSharing::ChangesForMembers(Time now) {
  wire::LoadReport local = board_.LocalReport();
  wire::LoadChanges changes;
  changes.loads = to_members_.Next(now, local.loads);
  changes.proxies = local.proxies;
  const bool heartbeat_due = now - last_sent_to_members_at_ >= kHeartbeatInterval;
  if (changes.loads.empty() && !heartbeat_due) return std::nullopt;
  if (heartbeat_due) {
    last_sent_to_members_at_ = now;
    changes.demands = std::move(local.demands);
  }
  return changes;
}

std::optional<wire::LoadSummary> LoadSharing::SummaryFor(Time now, const std::string& zone,
                                                         const std::vector<wire::BackendLoad>& loads) {
  static const distribution::BackendSet kNone;
  const auto local_backends = backends_by_zone_.find(zone);
  ZoneFeed& feed = feeds_[zone];
  wire::LoadSummary summary{
      feed.feed.Next(now, loads, local_backends == backends_by_zone_.end() ? kNone : local_backends->second),
      false};
  if (summary.loads.empty() && now - feed.last_sent_at < kHeartbeatInterval) return std::nullopt;
  feed.last_sent_at = now;
  return summary;
}

wire::LoadSummary LoadSharing::FullSummary(const std::string& zone) const {
  const auto feed = feeds_.find(zone);
  if (feed == feeds_.end()) return {{}, true};
  return feed->second.feed.FullSummary();
}

}  // namespace kestrelline::control_plane

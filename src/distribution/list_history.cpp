// SPDX-License-Identifier: Apache-2.0
#include "distribution/list_history.h"

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace kestrelline::distribution {

void ListHistory::Add(wire::InstanceListPtr list) {
  if (!lists_.empty() && list->revision <= lists_.back()->revision) lists_.clear();
  lists_.push_back(std::move(list));
  if (lists_.size() > kMaxLists) lists_.pop_front();
}

std::optional<wire::ListChanges> ListHistory::Since(std::uint64_t revision) const {
  const auto same_revision = [revision](const auto& list) { return list->revision == revision; };
  const auto base = std::find_if(lists_.begin(), lists_.end(), same_revision);
  if (base == lists_.end()) return std::nullopt;
  const wire::InstanceList& newest = *lists_.back();
  std::unordered_map<std::string_view, const wire::Instance*> before;
  for (const wire::Instance& instance : (*base)->instances) before[instance.id] = &instance;
  wire::ListChanges changes;
  changes.base = revision;
  changes.revision = newest.revision;
  for (const wire::Instance& instance : newest.instances) {
    const auto known = before.find(instance.id);
    if (known == before.end() || *known->second != instance) changes.changed.push_back(instance);
    if (known != before.end()) before.erase(known);
  }
  for (const auto& [id, instance] : before) changes.removed.emplace_back(id);
  if (changes.changed.size() + changes.removed.size() >= newest.instances.size()) return std::nullopt;
  return changes;
}

wire::InstanceListPtr Apply(const wire::InstanceList& base, const wire::ListChanges& changes) {
  std::unordered_map<std::string_view, const wire::Instance*> changed;
  for (const wire::Instance& instance : changes.changed) changed[instance.id] = &instance;
  const std::unordered_set<std::string_view> removed(changes.removed.begin(), changes.removed.end());
  wire::InstanceList list;
  list.revision = changes.revision;
  for (const wire::Instance& instance : base.instances) {
    if (removed.contains(instance.id)) continue;
    const auto update = changed.find(instance.id);
    list.instances.push_back(update == changed.end() ? instance : *update->second);
    if (update != changed.end()) changed.erase(update);
  }
  for (const wire::Instance& instance : changes.changed) {
    if (changed.contains(instance.id)) list.instances.push_back(instance);
  }
  return std::make_shared<const wire::InstanceList>(std::move(list));
}

}  // namespace kestrelline::distribution

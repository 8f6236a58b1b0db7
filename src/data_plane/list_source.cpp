// SPDX-License-Identifier: Apache-2.0
#include "data_plane/list_source.h"

#include <algorithm>

namespace kestrelline::data_plane {

wire::InstanceListPtr ListSource::ResolveList(const wire::Publication& publication) {
  if (!publication.list_changes) return publication.instances;
  const wire::InstanceListPtr base = newest_list();
  if (base && base->revision == publication.list_changes->base)
    return distribution::Apply(*base, *publication.list_changes);
  missing_base_ = newest_revision() < publication.list_changes->revision;
  return nullptr;
}

wire::InstanceListPtr ListSource::Apply(const wire::Publication& publication,
                                        std::optional<Time> composed_after) {
  if (wire::InstanceListPtr list = ResolveList(publication); list && list->revision > newest_revision()) {
    history_.Add(std::move(list));
  }
  const wire::InstanceListPtr newest = newest_list();
  if (!newest || publication.instances_revision != newest->revision) return nullptr;
  const Time read_at =
      composed_after.value_or(Time()) - std::chrono::milliseconds(publication.instances_age_ms);
  const bool known = in_use_ == newest->revision;
  if (!known && in_use_ == 0 && read_at <= read_at_) return nullptr;  // the direct read is newer
  in_use_ = newest->revision;
  read_at_ = std::max(read_at_, read_at);
  return known ? nullptr : newest;
}

void ListSource::UseDirectRead(Time read_time) {
  in_use_ = 0;
  read_at_ = read_time;
}

}  // namespace kestrelline::data_plane

// SPDX-License-Identifier: Apache-2.0
//
// Selects the backend list that a proxy uses: the newest from the control plane, or one read directly from
// the platform while the control plane is silent. The newest control plane list is kept in that time as the
// base for incremental changes. It is used again once it is known to have been read later than the direct
// read. No I/O, no clock.
#ifndef KESTRELLINE_DATA_PLANE_LIST_SOURCE_H_
#define KESTRELLINE_DATA_PLANE_LIST_SOURCE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "distribution/list_history.h"
#include "wire/messages.h"

namespace kestrelline::data_plane {

class ListSource {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Processes the list in a publication that was composed after `composed_after` (local clock). Returns the
  // list to use from now on, or null if the current one stays.
  wire::InstanceListPtr Apply(const wire::Publication& publication, std::optional<Time> composed_after);
  // The proxy uses a list that it read directly at `read_time`.
  void UseDirectRead(Time read_time);

  // The newest list from the control plane; null before the first.
  wire::InstanceListPtr newest_list() const { return history_.newest(); }
  std::uint64_t newest_revision() const { return newest_list() ? newest_list()->revision : 0; }
  const distribution::ListHistory& history() const { return history_; }
  // Earliest time at which the list in use was read.
  Time read_at() const { return read_at_; }
  // True once after changes arrived whose base list is not here: the proxy must subscribe again to get the
  // whole list.
  bool ConsumeMissingBase() { return std::exchange(missing_base_, false); }

 private:
  wire::InstanceListPtr ResolveList(const wire::Publication& publication);

  distribution::ListHistory history_;  // of control plane lists
  std::uint64_t in_use_ = 0;           // revision of the list in use; 0: none, or a direct read
  Time read_at_{};
  bool missing_base_ = false;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_LIST_SOURCE_H_

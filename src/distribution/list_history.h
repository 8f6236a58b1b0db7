// SPDX-License-Identifier: Apache-2.0
//
// Keeps the most recent backend lists, so that a receiver that has one of them is sent only the changes since
// then, and applies such changes on the receiving side. Performs no I/O and reads no clock.
#ifndef KESTRELLINE_DISTRIBUTION_LIST_HISTORY_H_
#define KESTRELLINE_DISTRIBUTION_LIST_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "wire/messages.h"

namespace kestrelline::distribution {

class ListHistory {
 public:
  // Number of lists kept. Each holds a full copy: unchanged backends are not shared between lists.
  static constexpr std::size_t kMaxLists = 16;

  // Records the newest list. Discards the history if its revision is not higher than the last one.
  void Add(wire::InstanceListPtr list);
  // Null if no list has been added.
  wire::InstanceListPtr newest() const { return lists_.empty() ? nullptr : lists_.back(); }
  // Returns the changes from the list of that revision to the newest one. Returns nullopt if that list is not
  // in the history, or if the changes have at least as many entries as the newest list.
  std::optional<wire::ListChanges> Since(std::uint64_t revision) const;

 private:
  std::deque<wire::InstanceListPtr> lists_;  // in ascending order of revision
};

// Applies `changes` to `base`. `changes.base` must be the revision of `base`.
wire::InstanceListPtr Apply(const wire::InstanceList& base, const wire::ListChanges& changes);

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_LIST_HISTORY_H_

// SPDX-License-Identifier: Apache-2.0
//
// Evaluation of proposed configuration changes against the replicated record.
#include <algorithm>
#include <utility>

#include "control_plane/replica_types.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_plane {

std::optional<Outcome> EvaluateChange(const wire::Record& current, const Change& change) {
  const wire::AcceptedChange entry{change.version, change.digest};
  const auto& history = current.history;
  const bool known = std::find(history.rbegin(), history.rend(), entry) != history.rend();
  if (known && Enforced(Safeguard::kRecogniseOrders)) return Outcome::kCommitted;
  // Committed versions increase: one below the oldest in the history may have been committed and dropped.
  const bool below_history = history.size() >= kMaxHistory && change.version < history.front().version;
  if (below_history) return Outcome::kHistoryExpired;
  if (change.only_if_accepted_before || change.base_version != current.version) return Outcome::kConflict;
  if (change.version <= current.version) return Outcome::kOldVersion;
  return std::nullopt;
}

wire::Record ApplyChange(const wire::Record& current, Change change) {
  wire::Record next = current;
  next.version = change.version;
  next.configuration = std::move(change.configuration);
  next.history.push_back({change.version, change.digest});
  if (next.history.size() > kMaxHistory) next.history.erase(next.history.begin());
  return next;
}

}  // namespace kestrelline::control_plane

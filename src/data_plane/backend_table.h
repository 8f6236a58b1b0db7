// SPDX-License-Identifier: Apache-2.0
//
// The backends known to a proxy, grouped by service and stage, with outlier ejection per group. No I/O, no
// clock.
//
// A backend keeps its state as long as its id is listed; a new instance at a known address starts with fresh
// state.
#ifndef KESTRELLINE_DATA_PLANE_BACKEND_TABLE_H_
#define KESTRELLINE_DATA_PLANE_BACKEND_TABLE_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "data_plane/backend.h"

namespace kestrelline::data_plane {

enum class Stage { kAny, kPrefill, kDecode };
Stage StageOf(const wire::Instance& instance);

// Interchangeable backends with their outlier ejection state (gRFC A50). It is based on responses to this
// proxy only.
struct Group {
  std::vector<BackendPtr> backends;
  OutlierDetector::Fleet health;
};

class BackendTable {
 public:
  explicit BackendTable(std::uint64_t seed) : random_(seed) {}

  void Update(const wire::InstanceList& list);
  // Ends expired ejections and measurement intervals.
  void Tick(TimePoint now);

  // Counts a response or its absence, and ejects the backend if its counts demand it. Returns true if this
  // call ejected it.
  bool Record(Backend& backend, bool success, TimePoint now);

  // The backends of one stage of a service; null if there are none.
  const Group* Find(const std::string& service, Stage stage) const;
  // Whether the service has separate prefill or decode backends.
  bool IsSplit(const std::string& service) const;
  std::size_t size() const { return by_id_.size(); }

  // The work of this proxy, for other proxies. Remembers the reported values, so that ApplyLoadSummary() can
  // subtract them.
  std::vector<wire::BackendLoad> ReportLoads();
  // Takes the total load of all proxies.
  void ApplyLoadSummary(const wire::LoadSummary& summary, TimePoint now);
  // Whether the load of other proxies is recent enough to use.
  bool HasRecentLoads(TimePoint now) const;

 private:
  using Key = std::pair<std::string, Stage>;

  std::unordered_map<std::string, BackendPtr> by_id_;
  std::map<Key, Group> groups_;
  TimePoint interval_ends_{};
  TimePoint loads_updated_at_{Duration(-1e9)};  // far in the past: no summary yet
  kestrelline::Random random_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_BACKEND_TABLE_H_

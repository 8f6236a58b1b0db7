// SPDX-License-Identifier: Apache-2.0
//
// The backends that a proxy knows, by service and stage, with the health of each group. No I/O, no clock.
//
// A backend keeps its state for as long as its id is listed; a new instance at an old address begins anew.
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

// Backends that may stand in for each other, and their ejection state (gRFC A50, by answers of this proxy
// alone).
struct Group {
  std::vector<BackendPtr> backends;
  OutlierDetector::Fleet health;
};

class BackendTable {
 public:
  explicit BackendTable(std::uint64_t seed) : random_(seed) {}

  void Update(const wire::InstanceList& list);
  // Ends ejections whose time is over, and intervals.
  void Tick(TimePoint now);

  // Counts an answer, or its want, and ejects the backend if that is what its counts ask for.
  // True if it was ejected by this.
  bool Record(Backend& backend, bool success, TimePoint now);

  // The group of a service's stage; null if there is none.
  const Group* Find(const std::string& service, Stage stage) const;
  // Whether the service has backends of either stage.
  bool IsSplit(const std::string& service) const;
  std::size_t size() const { return by_id_.size(); }

  // The work of this proxy that other proxies should know of; remembers what it told.
  std::vector<wire::BackendLoad> ReportLoads();
  // The work of all proxies.
  void TakeLoads(const wire::LoadSummary& summary, TimePoint now);
  // Whether the work of others is known well enough to go by.
  bool KnowsLoads(TimePoint now) const;

 private:
  using Key = std::pair<std::string, Stage>;

  std::unordered_map<std::string, BackendPtr> by_id_;
  std::map<Key, Group> groups_;
  TimePoint interval_ends_{};
  TimePoint loads_at_{Duration(-1e9)};  // long ago
  kestrelline::Random random_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_BACKEND_TABLE_H_

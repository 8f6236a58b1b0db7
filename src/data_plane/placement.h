// SPDX-License-Identifier: Apache-2.0
//
// Backend selection: the cheapest backend in service, with random tie-breaking. Costs are in milliseconds,
// except in PickPlain(). No I/O, no clock.
#ifndef KESTRELLINE_DATA_PLANE_PLACEMENT_H_
#define KESTRELLINE_DATA_PLANE_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "data_plane/backend_table.h"
#include "data_plane/engine_estimate.h"
#include "data_plane/prompt.h"

namespace kestrelline::data_plane {

// Backends that the current attempt must not use.
using Excluded = std::vector<const Backend*>;

struct Pick {
  BackendPtr backend;   // null: none is in service
  double cost_ms = 0;   // for comparison
  double work_ms = 0;   // estimated prefill time
  double wait_ms = 0;   // estimated time until the prefill starts
  double ready_ms = 0;  // estimated time until the prefill is finished
};

// Cost model in milliseconds. docs/design/placement.md explains the values. The prefill speed of engines is
// learned (EngineEstimate).
struct PlacementCosts {
  double decode_prefill_speed = 0.5;      // prefill speed of a decode backend, relative to a prefill backend
  double per_running_ms = 0.6;            // per running request
  double other_zone_ms = 4;               // request and response cross between zones
  double kv_transfer_other_zone_ms = 14;  // the KV cache crosses between zones
  double hand_over_ms = 30;               // extra cost of prefill and decode on different backends
  double no_free_slot_ms = 250;           // all slots are taken
  double recompute_ms_per_token = 0.2;    // shared blocks cached elsewhere that are processed again
  double stream_delay_weight = 0.3;       // weight of the delay of each running stream
  double cache_ttl_ms = 20000;            // a block used within this time is assumed to be cached
};

class Placement {
 public:
  Placement(const BackendTable& table, std::string zone, PlacementCosts costs, std::uint64_t seed)
      : table_(table), zone_(std::move(zone)), costs_(costs), random_(seed) {}

  // For services without engine stages. The cost is in slots: load per slot, plus a quarter for another zone.
  Pick PickPlain(const std::string& service, const Excluded& excluded, TimePoint now);
  // Backend for a separate prefill.
  Pick PickPrefill(const std::string& service, const Prompt& prompt, const Excluded& excluded, TimePoint now);
  // Backend that generates from the KV cache of `source`.
  Pick PickDecode(const std::string& service, const Backend& source, const Excluded& excluded, TimePoint now);
  // Backend that does both prefill and decode.
  Pick PickCombined(const std::string& service, const Prompt& prompt, const Excluded& excluded,
                    TimePoint now);
  // Records that the separate prefill of `pick` took `elapsed_ms`.
  void RecordPrefill(const std::string& service, const Prompt& prompt, const Pick& pick, double elapsed_ms);
  // Learned prefill speed of the service's engines.
  const PrefillCost& PrefillCostOf(const std::string& service) { return estimates_[service].cost(); }

 private:
  double WaitMs(const Backend& backend, TimePoint now) const;
  double RunningRequests(const Backend& backend, TimePoint now) const;
  // Estimated prefill of a prompt at one backend.
  struct PrefillEstimate {
    double work_ms = 0;
    double recompute_ms = 0;  // penalty for shared blocks that are cached elsewhere
  };
  PrefillEstimate EstimatePrefill(const Backend& backend, const Prompt& prompt, bool preferred,
                                  const PrefillCost& prefill_cost, TimePoint now) const;
  const Backend* Preferred(const Group& group, const Prompt& prompt) const;
  template <typename Cost>
  Pick PickCheapest(const Group* group, const Excluded& excluded, TimePoint now, Cost cost);

  const BackendTable& table_;
  std::string zone_;
  PlacementCosts costs_;
  std::map<std::string, EngineEstimate> estimates_;  // by service; only a few
  kestrelline::Random random_;
};

// Counts a running prefill as pending work of its backend until End() or destruction.
class PendingPrefill {
 public:
  PendingPrefill(BackendPtr backend, const Prompt& prompt, double work_ms, TimePoint now);
  ~PendingPrefill() { End(); }
  PendingPrefill(const PendingPrefill&) = delete;
  PendingPrefill& operator=(const PendingPrefill&) = delete;
  void End();

 private:
  BackendPtr backend_;
  double work_ms_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_PLACEMENT_H_

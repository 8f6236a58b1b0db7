// SPDX-License-Identifier: Apache-2.0
//
// State shared by all requests of a proxy. Used by a single thread.
#ifndef KESTRELLINE_DATA_PLANE_EDGE_STATE_H_
#define KESTRELLINE_DATA_PLANE_EDGE_STATE_H_

#include <cstdint>

#include "backend_faults/backend_faults.h"
#include "configuration/route_table.h"
#include "data_plane/backend_connection.h"
#include "data_plane/backend_table.h"
#include "data_plane/demand_meter.h"
#include "data_plane/drain_schedule.h"
#include "data_plane/open_requests.h"
#include "data_plane/placement.h"
#include "data_plane/retry_budget.h"
#include "invariants/violations.h"
#include "node/settings.h"

namespace kestrelline::data_plane {

// Totals since the start of the process; logged at the end of the drain.
struct Counters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t truncated = 0;  // truncated responses
  std::uint64_t client_disconnects = 0;
  std::uint64_t retries = 0;
  std::uint64_t ejections = 0;
};

struct EdgeState {
  EdgeState(http::asio::io_context& context, const node::Settings& node_settings, std::uint64_t seed)
      : io(context),
        settings(node_settings),
        pool(context),
        backends(seed),
        placement(backends, node_settings.zone, PlacementCosts{}, seed + 1),
        budget({node_settings.bounds.retry_budget_ratio, node_settings.bounds.min_retries,
                kestrelline::Duration(static_cast<double>(node_settings.bounds.budget_window.count()))}),
        random(seed + 2),
        drain(node_settings.bounds.grace) {}

  http::asio::io_context& io;
  const node::Settings& settings;
  configuration::RouteTablePtr routes;  // replaced as a whole; null before the first configuration
  ConnectionPool pool;
  BackendTable backends;
  Placement placement;
  RetryBudget budget;
  DemandMeter demand;
  kestrelline::Random random;
  Counters counters;
  DrainSchedule drain;
  OpenRequests open_requests;
  invariants::Violations violations;
  backend_faults::BackendFaults backend_faults;
};

// Converts the steady clock to the time type of the decision code.
inline TimePoint DecisionTime(steady_clock::time_point now = steady_clock::now()) {
  return TimePoint(std::chrono::duration_cast<Duration>(now.time_since_epoch()));
}

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_EDGE_STATE_H_

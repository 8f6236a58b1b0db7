// SPDX-License-Identifier: Apache-2.0
//
// Gives stage orders to backends (POST /-/order).
#ifndef KESTRELLINE_CONTROL_PLANE_STAGE_ORDERS_H_
#define KESTRELLINE_CONTROL_PLANE_STAGE_ORDERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "control_plane/stage_planner.h"
#include "http/asio.h"

namespace kestrelline::control_plane {

enum class StageOrderResult {
  kAccepted,  // it is being done, or holds already
  kRefused,   // it was not given, or the backend said no
  kUnknown,   // no answer, nor a report: it may have been accepted
};

// Who gives an order, and whether it still may. The fence is the leader's epoch.
struct StageOrderIssuer {
  std::string holder;
  std::uint64_t fence = 0;
  std::function<bool()> may_send;  // asked right before the order leaves
};

// What a backend reports of itself (GET /-/report), as far as orders go by it.
struct StageReport {
  std::uint64_t sequence = 0;  // orders accepted
  bool busy = false;           // one is under way
  bool prefill = false;
};
std::optional<StageReport> ParseStageReport(const std::string& body);

// Asks the backend for its report first, so that the order names the sequence that it builds on; and again
// where the order got no answer.
http::Awaitable<StageOrderResult> SendStageOrder(http::asio::io_context& io, StageOrder order,
                                                 StageOrderIssuer issuer);

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_STAGE_ORDERS_H_

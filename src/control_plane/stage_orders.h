// SPDX-License-Identifier: Apache-2.0
//
// Sends stage orders to backends (POST /-/order).
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
  kAccepted,  // being executed, or the backend already serves the stage
  kRejected,  // it was not sent, or the backend rejected it
  kUnknown,   // neither an answer nor a report: it may have been accepted
};

// The sender of an order. The fence is the leader's epoch.
struct StageOrderIssuer {
  std::string holder;
  std::uint64_t fence = 0;
  std::function<bool()> may_send;                    // checked right before the order is sent
  std::function<void(const char* reason)> on_fault;  // the backend sent what is no valid report or response
};

// The part of a backend's report (GET /-/report) that orders depend on.
struct StageReport {
  std::uint64_t sequence = 0;  // number of orders accepted
  bool busy = false;           // an order is being executed
  bool prefill = false;
};
// Empty if `body` is not a valid report: `sequence` a number, `busy` a boolean, `stage` one of the two.
std::optional<StageReport> ParseStageReport(const std::string& body);

// Fetches the backend's report first, so that the order names the sequence number it is based on, and fetches
// it again if the order got no answer.
http::Awaitable<StageOrderResult> SendStageOrder(http::asio::io_context& io, StageOrder order,
                                                 StageOrderIssuer issuer);

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_STAGE_ORDERS_H_

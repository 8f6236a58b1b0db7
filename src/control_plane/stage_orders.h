// SPDX-License-Identifier: Apache-2.0
//
// Gives stage orders to backends (POST /-/order).
#ifndef KESTRELLINE_CONTROL_PLANE_STAGE_ORDERS_H_
#define KESTRELLINE_CONTROL_PLANE_STAGE_ORDERS_H_

#include <cstdint>
#include <string>

#include "control_plane/stage_planner.h"
#include "http/asio.h"

namespace kestrelline::control_plane {

enum class OrderEnd {
  kTaken,    // it is being done, or holds already
  kRefused,  // the backend said no
  kUnknown,  // no answer: it may have been taken
};

// `fence` is the leader's epoch.
http::Awaitable<OrderEnd> GiveOrder(http::asio::io_context& io, StageOrder order, std::string holder,
                                    std::uint64_t fence);

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_STAGE_ORDERS_H_

// SPDX-License-Identifier: Apache-2.0
#include "control_plane/stage_orders.h"

#include <utility>

#include "http/sockets.h"
#include "node/settings.h"

namespace kestrelline::control_plane {
namespace {

using namespace http;

// Short: an order that is held up must not arrive after the lease that it was given under.
constexpr milliseconds kPatience{400};

bhttp::request<bhttp::string_body> Compose(const StageOrder& order, const std::string& holder,
                                           std::uint64_t fence) {
  bhttp::request<bhttp::string_body> request(bhttp::verb::post, "/-/order", 11);
  request.set(bhttp::field::host, order.address);
  request.set(bhttp::field::content_type, "application/json");
  request.set(bhttp::field::connection, "close");
  request.set("Expect-Instance", order.instance);
  const std::string goal = order.goal == StageGoal::kPrefill ? "prefill" : "decode";
  request.body() = "{\"op\":\"stage\",\"stage\":\"" + goal + "\",\"holder\":\"" + holder +
                   "\",\"fence\":" + std::to_string(fence) + "}";
  request.prepare_payload();
  return request;
}

}  // namespace

Awaitable<OrderEnd> GiveOrder(asio::io_context& io, StageOrder order, std::string holder,
                              std::uint64_t fence) {
  const auto endpoint = node::ParseEndpoint(order.address);
  if (!endpoint) co_return OrderEnd::kRefused;
  beast::tcp_stream stream(io);
  if (co_await Connect(stream, *endpoint, steady_clock::now() + kPatience)) co_return OrderEnd::kRefused;
  // What a cut holds up is dropped with the connection.
  error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  const auto request = Compose(order, holder, fence);
  const auto [write_error, written] = co_await bhttp::async_write(stream, request, kTuple);
  if (write_error) co_return OrderEnd::kUnknown;
  beast::flat_buffer buffer;
  bhttp::response<bhttp::string_body> response;
  const auto [read_error, read] = co_await bhttp::async_read(stream, buffer, response, kTuple);
  if (read_error) co_return OrderEnd::kUnknown;
  co_return response.result_int() / 100 == 2 ? OrderEnd::kTaken : OrderEnd::kRefused;
}

}  // namespace kestrelline::control_plane

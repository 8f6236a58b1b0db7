// SPDX-License-Identifier: Apache-2.0
#include "control_plane/stage_orders.h"

#include <utility>

#include "http/sockets.h"
#include "json/owned.h"
#include "node/settings.h"

namespace kestrelline::control_plane {
namespace {

using namespace http;

// Short: an order that is held up must not arrive after the lease that it was given under.
constexpr milliseconds kPatience{400};
// A report shows the backend as it stood some hundred ms ago.
constexpr milliseconds kBeforeLookUp{400};

bhttp::request<bhttp::string_body> Compose(const StageOrder& order, const OrderGiver& giver,
                                           std::uint64_t sequence) {
  bhttp::request<bhttp::string_body> request(bhttp::verb::post, "/-/order", 11);
  request.set(bhttp::field::host, order.address);
  request.set(bhttp::field::content_type, "application/json");
  request.set(bhttp::field::connection, "close");
  request.set("Expect-Instance", order.instance);
  const std::string goal = order.goal == StageGoal::kPrefill ? "prefill" : "decode";
  request.body() = "{\"op\":\"stage\",\"stage\":\"" + goal + "\",\"holder\":\"" + giver.holder +
                   "\",\"fence\":" + std::to_string(giver.fence) +
                   ",\"if_revision\":" + std::to_string(sequence) + "}";
  request.prepare_payload();
  return request;
}

// On a connection that is open.
Awaitable<std::optional<StageReport>> AskForReport(beast::tcp_stream& stream, const StageOrder& order) {
  bhttp::request<bhttp::empty_body> request(bhttp::verb::get, "/-/report", 11);
  request.set(bhttp::field::host, order.address);
  request.set("Expect-Instance", order.instance);
  const auto [write_error, written] = co_await bhttp::async_write(stream, request, kTuple);
  if (write_error) co_return std::nullopt;
  beast::flat_buffer buffer(kMaxParserBufferBytes);
  bhttp::response<bhttp::string_body> response;
  const auto [read_error, read] = co_await bhttp::async_read(stream, buffer, response, kTuple);
  if (read_error || response.result() != bhttp::status::ok) co_return std::nullopt;
  co_return ParseStageReport(response.body());
}

Awaitable<bool> Open(beast::tcp_stream& stream, const StageOrder& order) {
  const auto endpoint = node::ParseEndpoint(order.address);
  if (!endpoint) co_return false;
  if (co_await Connect(stream, *endpoint, steady_clock::now() + kPatience)) co_return false;
  // What a cut holds up is dropped with the connection.
  error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  co_return true;
}

bool Holds(const StageReport& report, StageGoal goal) {
  return report.prefill == (goal == StageGoal::kPrefill);
}

// Whether an order that got no answer was taken: its backend counts it, or is at it.
Awaitable<OrderEnd> LookUp(asio::io_context& io, const StageOrder& order, std::uint64_t sequence_before) {
  asio::steady_timer pause(io, kBeforeLookUp);
  co_await pause.async_wait(kTuple);
  beast::tcp_stream stream(io);
  if (!co_await Open(stream, order)) co_return OrderEnd::kUnknown;
  const auto report = co_await AskForReport(stream, order);
  if (!report) co_return OrderEnd::kUnknown;
  const bool taken = report->sequence > sequence_before || report->busy || Holds(*report, order.goal);
  co_return taken ? OrderEnd::kTaken : OrderEnd::kRefused;
}

}  // namespace

std::optional<StageReport> ParseStageReport(const std::string& body) {
  const json::Owned root = json::Load(body);
  const json_t* sequence = root ? json_object_get(root.get(), "sequence") : nullptr;
  const json_t* stage = root ? json_object_get(root.get(), "stage") : nullptr;
  if (!json_is_integer(sequence) || !json_is_string(stage)) return std::nullopt;
  StageReport report;
  report.sequence = static_cast<std::uint64_t>(json_integer_value(sequence));
  report.busy = json_is_true(json_object_get(root.get(), "busy"));
  report.prefill = std::string_view(json_string_value(stage)) == "prefill";
  return report;
}

Awaitable<OrderEnd> GiveOrder(asio::io_context& io, StageOrder order, OrderGiver giver) {
  beast::tcp_stream stream(io);
  if (!co_await Open(stream, order)) co_return OrderEnd::kRefused;
  const auto before = co_await AskForReport(stream, order);
  if (!before || before->busy) co_return OrderEnd::kRefused;
  if (Holds(*before, order.goal)) co_return OrderEnd::kTaken;
  // This process may have stood still since it planned the order, and another may lead by now.
  if (!giver.may_send()) co_return OrderEnd::kRefused;
  const auto request = Compose(order, giver, before->sequence);
  const auto [write_error, written] = co_await bhttp::async_write(stream, request, kTuple);
  if (!write_error) {
    beast::flat_buffer buffer(kMaxParserBufferBytes);
    bhttp::response<bhttp::string_body> response;
    const auto [read_error, read] = co_await bhttp::async_read(stream, buffer, response, kTuple);
    if (!read_error) co_return response.result_int() / 100 == 2 ? OrderEnd::kTaken : OrderEnd::kRefused;
  }
  stream.close();
  co_return co_await LookUp(io, order, before->sequence);
}

}  // namespace kestrelline::control_plane

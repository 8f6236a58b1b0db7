// SPDX-License-Identifier: Apache-2.0
#include "control_plane/stage_orders.h"

#include <utility>

#include "http/sockets.h"
#include "json/owned.h"
#include "node/settings.h"

namespace kestrelline::control_plane {
namespace {

using namespace http;

// Short, so that a delayed order does not arrive after the lease under which it was sent has expired.
constexpr milliseconds kOrderTimeout{400};
// A report shows the state of the backend some hundred milliseconds ago.
constexpr milliseconds kVerificationDelay{400};

bhttp::request<bhttp::string_body> MakeOrderRequest(const StageOrder& order, const StageOrderIssuer& issuer,
                                                    std::uint64_t sequence) {
  bhttp::request<bhttp::string_body> request(bhttp::verb::post, "/-/order", 11);
  request.set(bhttp::field::host, order.address);
  request.set(bhttp::field::content_type, "application/json");
  request.set(bhttp::field::connection, "close");
  request.set("Expect-Instance", order.instance);
  const std::string goal = order.goal == StageGoal::kPrefill ? "prefill" : "decode";
  request.body() = "{\"op\":\"stage\",\"stage\":\"" + goal + "\",\"holder\":\"" + issuer.holder +
                   "\",\"fence\":" + std::to_string(issuer.fence) +
                   ",\"if_revision\":" + std::to_string(sequence) + "}";
  request.prepare_payload();
  return request;
}

// Uses an open connection.
Awaitable<std::optional<StageReport>> FetchReport(beast::tcp_stream& stream, const StageOrder& order) {
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

Awaitable<bool> OpenConnection(beast::tcp_stream& stream, const StageOrder& order) {
  const auto endpoint = node::ParseEndpoint(order.address);
  if (!endpoint) co_return false;
  if (co_await Connect(stream, *endpoint, steady_clock::now() + kOrderTimeout)) co_return false;
  // Discard data that a network partition delays when the connection closes.
  error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  co_return true;
}

bool HasReached(const StageReport& report, StageGoal goal) {
  return report.prefill == (goal == StageGoal::kPrefill);
}

// Finds out whether an order without an answer was accepted: the backend counts it, or is executing it.
Awaitable<StageOrderResult> VerifyOrder(asio::io_context& io, const StageOrder& order,
                                        std::uint64_t sequence_before) {
  asio::steady_timer pause(io, kVerificationDelay);
  co_await pause.async_wait(kTuple);
  beast::tcp_stream stream(io);
  if (!co_await OpenConnection(stream, order)) co_return StageOrderResult::kUnknown;
  const auto report = co_await FetchReport(stream, order);
  if (!report) co_return StageOrderResult::kUnknown;
  const bool accepted = report->sequence > sequence_before || report->busy || HasReached(*report, order.goal);
  co_return accepted ? StageOrderResult::kAccepted : StageOrderResult::kRejected;
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

Awaitable<StageOrderResult> SendStageOrder(asio::io_context& io, StageOrder order, StageOrderIssuer issuer) {
  beast::tcp_stream stream(io);
  if (!co_await OpenConnection(stream, order)) co_return StageOrderResult::kRejected;
  const auto before = co_await FetchReport(stream, order);
  if (!before || before->busy) co_return StageOrderResult::kRejected;
  if (HasReached(*before, order.goal)) co_return StageOrderResult::kAccepted;
  // This process may have been suspended since it planned the order, and another member may lead by now.
  if (!issuer.may_send()) co_return StageOrderResult::kRejected;
  const auto request = MakeOrderRequest(order, issuer, before->sequence);
  const auto [write_error, written] = co_await bhttp::async_write(stream, request, kTuple);
  if (!write_error) {
    beast::flat_buffer buffer(kMaxParserBufferBytes);
    bhttp::response<bhttp::string_body> response;
    const auto [read_error, read] = co_await bhttp::async_read(stream, buffer, response, kTuple);
    if (!read_error)
      co_return response.result_int() / 100 == 2 ? StageOrderResult::kAccepted : StageOrderResult::kRejected;
  }
  stream.close();
  co_return co_await VerifyOrder(io, order, before->sequence);
}

}  // namespace kestrelline::control_plane

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

constexpr std::string_view kPrefill = "prefill";
constexpr std::string_view kDecode = "decode";
constexpr std::size_t kMaxReportBytes = 64 * 1024;

bhttp::request<bhttp::string_body> MakeOrderRequest(const StageOrder& order, const StageOrderIssuer& issuer,
                                                    std::uint64_t sequence) {
  bhttp::request<bhttp::string_body> request(bhttp::verb::post, "/-/order", 11);
  request.set(bhttp::field::host, order.address);
  request.set(bhttp::field::content_type, "application/json");
  request.set(bhttp::field::connection, "close");
  request.set("Expect-Instance", order.instance);
  const std::string goal(order.goal == StageGoal::kPrefill ? kPrefill : kDecode);
  request.body() = "{\"op\":\"stage\",\"stage\":\"" + goal + "\",\"holder\":\"" + issuer.holder +
                   "\",\"fence\":" + std::to_string(issuer.fence) +
                   ",\"if_revision\":" + std::to_string(sequence) + "}";
  request.prepare_payload();
  return request;
}

using Response = std::optional<bhttp::response<bhttp::string_body>>;

// Empty if no valid response arrived, or if bytes that belong to none follow it.
Awaitable<Response> ReadResponse(beast::tcp_stream& stream, const StageOrderIssuer& issuer) {
  beast::flat_buffer buffer(kMaxParserBufferBytes);
  bhttp::response_parser<bhttp::string_body> parser;
  parser.body_limit(kMaxReportBytes);
  const auto [error, read] = co_await bhttp::async_read(stream, buffer, parser, kTuple);
  if (!error && buffer.size() == 0) co_return parser.release();
  if (!error) issuer.on_fault("surplus_bytes");
  if (IsProtocolError(error)) issuer.on_fault("framing");
  co_return std::nullopt;
}

// Uses an open connection.
Awaitable<std::optional<StageReport>> FetchReport(beast::tcp_stream& stream, const StageOrder& order,
                                                  const StageOrderIssuer& issuer) {
  bhttp::request<bhttp::empty_body> request(bhttp::verb::get, "/-/report", 11);
  request.set(bhttp::field::host, order.address);
  request.set("Expect-Instance", order.instance);
  const auto [write_error, written] = co_await bhttp::async_write(stream, request, kTuple);
  if (write_error) co_return std::nullopt;
  const Response response = co_await ReadResponse(stream, issuer);
  if (!response || response->result() != bhttp::status::ok) co_return std::nullopt;
  auto report = ParseStageReport(response->body());
  if (!report) issuer.on_fault("report");
  co_return report;
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

// Empty for a status that is no answer to an order.
std::optional<StageOrderResult> ResultOf(bhttp::status status) {
  if (status == bhttp::status::ok || status == bhttp::status::accepted) return StageOrderResult::kAccepted;
  const auto kind = bhttp::to_status_class(status);
  const bool rejected =
      kind == bhttp::status_class::client_error || kind == bhttp::status_class::server_error;
  return rejected ? std::optional(StageOrderResult::kRejected) : std::nullopt;
}

// Finds out whether an order without an answer was accepted: the backend counts it, or is executing it.
Awaitable<StageOrderResult> VerifyOrder(asio::io_context& io, const StageOrder& order,
                                        const StageOrderIssuer& issuer, std::uint64_t sequence_before) {
  asio::steady_timer pause(io, kVerificationDelay);
  co_await pause.async_wait(kTuple);
  beast::tcp_stream stream(io);
  if (!co_await OpenConnection(stream, order)) co_return StageOrderResult::kUnknown;
  const auto report = co_await FetchReport(stream, order, issuer);
  if (!report) co_return StageOrderResult::kUnknown;
  const bool accepted = report->sequence > sequence_before || report->busy || HasReached(*report, order.goal);
  co_return accepted ? StageOrderResult::kAccepted : StageOrderResult::kRejected;
}

}  // namespace

std::optional<StageReport> ParseStageReport(const std::string& body) {
  const json::Owned root = json::Load(body);
  const json_t* sequence = root ? json_object_get(root.get(), "sequence") : nullptr;
  const json_t* stage = root ? json_object_get(root.get(), "stage") : nullptr;
  const json_t* busy = root ? json_object_get(root.get(), "busy") : nullptr;
  if (!json_is_integer(sequence) || !json_is_string(stage) || !json_is_boolean(busy)) return std::nullopt;
  if (json_integer_value(sequence) < 0) return std::nullopt;
  const std::string_view name = json_string_value(stage);
  if (name != kPrefill && name != kDecode) return std::nullopt;
  StageReport report;
  report.sequence = static_cast<std::uint64_t>(json_integer_value(sequence));
  report.busy = json_is_true(busy);
  report.prefill = name == kPrefill;
  return report;
}

Awaitable<StageOrderResult> SendStageOrder(asio::io_context& io, StageOrder order, StageOrderIssuer issuer) {
  beast::tcp_stream stream(io);
  if (!co_await OpenConnection(stream, order)) co_return StageOrderResult::kRejected;
  const auto before = co_await FetchReport(stream, order, issuer);
  if (!before || before->busy) co_return StageOrderResult::kRejected;
  if (HasReached(*before, order.goal)) co_return StageOrderResult::kAccepted;
  // This process may have been suspended since it planned the order, and another member may lead by now.
  if (!issuer.may_send()) co_return StageOrderResult::kRejected;
  // What came after the report would be taken for the response to the order.
  if (Peek(stream.socket()) != Peeked::kNothing) co_return StageOrderResult::kRejected;
  const auto request = MakeOrderRequest(order, issuer, before->sequence);
  const auto [write_error, written] = co_await bhttp::async_write(stream, request, kTuple);
  if (!write_error) {
    const Response response = co_await ReadResponse(stream, issuer);
    const auto result = response ? ResultOf(response->result()) : std::nullopt;
    if (result) co_return *result;
    if (response) issuer.on_fault("status");
  }
  stream.close();
  co_return co_await VerifyOrder(io, order, issuer, before->sequence);
}

}  // namespace kestrelline::control_plane

// SPDX-License-Identifier: Apache-2.0
//
// Routing, plain requests and responses. Services with engines are in generation_flow.cpp.
#include "data_plane/request_flow.h"

#include <spdlog/spdlog.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr milliseconds kRejectionBodyTimeout{200};  // for reading the body of a rejection
constexpr std::size_t kMaxRejectionBody = 64 * 1024;
constexpr milliseconds kRetryAfterNotReady{1000};
constexpr milliseconds kRetryAfterRejected{150};

template <std::size_t kCount>
bool IsOneOf(const std::array<std::string_view, kCount>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
    return beast::iequals({name.data(), name.size()}, candidate);
  });
}

// Hop-by-hop fields, of requests and responses.
constexpr std::array<std::string_view, 7> kConnectionFields = {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "content-length"};
// Further request fields that are not forwarded: those addressed to this proxy, and those that it sets
// itself.
constexpr std::array<std::string_view, 10> kStrippedRequestFields = {
    "proxy-authenticate", "proxy-authorization", "upgrade", "expect",         "deadline-ms",
    "expect-instance",    "serving-stage",       "kv-from", "expect-version", "priority"};

constexpr std::string_view kLastEventId = "Last-Event-Id";

bool IsSuccess(const bhttp::response<bhttp::buffer_body>& head) {
  return bhttp::to_status_class(head.result()) == bhttp::status_class::successful;
}

std::optional<milliseconds> ParseMilliseconds(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || value < 0) return std::nullopt;
  return milliseconds(value);
}

std::string ResponseHead(const bhttp::response<bhttp::buffer_body>& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
  text += std::string_view(head.reason());
  text += "\r\n";
  for (const auto& field : head) {
    if (IsOneOf(kConnectionFields, field.name_string())) continue;
    text += std::string_view(field.name_string());
    text += ": ";
    text += std::string_view(field.value());
    text += "\r\n";
  }
  return text;
}

}  // namespace

RequestFlow::RequestFlow(EdgeState& state, ClientConnection& client)
    : state_(state),
      client_(client),
      read_at_(steady_clock::now()),
      open_(state.open_requests.Add({.id = std::string(client.request()["Request-Id"]),
                                     .read_at = read_at_,
                                     .earlier_on_connection = client.requests_read() - 1,
                                     .finalize = [this] { Finalize(); }})),
      routes_(state.routes) {}

Awaitable<void> RequestFlow::Run() {
  ++state_.counters.requests;
  request_id_ = std::string(request()["Request-Id"]);
  if (!routes_) co_return co_await SendUnavailable(kRetryAfterNotReady);
  route_ = routes_->Find(request()[bhttp::field::host], request().target());
  if (route_ == nullptr) co_return co_await SendError(bhttp::status::not_found, "");
  service_ = configuration::RouteTable::Choose(*route_, state_.random.Unit()).service;
  const configuration::Service* service = routes_->configuration().FindService(service_);
  const bool generates = service != nullptr && service->engine.has_value();
  if (generates) prompt_ = ParsePrompt(request()["Token-Count"], request()["Prompt-Prefix"]);
  open_->output_tokens = prompt_.output_tokens;
  if (!Admit()) co_return co_await SendUnavailable(kRetryAfterRejected);
  state_.budget.CountRequest(service_, DecisionTime());
  client_.WatchForDisconnect([this] {
    ++state_.counters.client_disconnects;
    if (active_ != nullptr) active_->Abort();
  });
  if (generates) {
    co_await RunGeneration();
  } else {
    co_await RunPlain();
  }
  client_.StopWatching();
}

bool RequestFlow::Admit() {
  client_deadline_ = ParseMilliseconds(request()["Deadline-Ms"]);
  give_up_at_ =
      read_at_ + std::min<milliseconds>(route_->timeout, client_deadline_.value_or(route_->timeout));
  if (route_->resumable) events_.ContinueAfter(request()[kLastEventId]);
  const bool streams = route_->type == configuration::RouteType::kStreaming;
  const ResponseMode mode = streams ? ResponseMode::kStreamed : ResponseMode::kBuffered;
  if (!state_.drain.Admits(read_at_, give_up_at_, mode)) return false;
  admitted_while_stopping_ = state_.drain.draining();
  give_up_at_ = state_.drain.LimitDeadline(give_up_at_);
  return true;
}

void RequestFlow::AnnounceCloseIfStopping() {
  if (state_.drain.draining()) client_.CloseAfterBufferedRequests();
}

void RequestFlow::Finalize() {
  if (client_.stream_begun()) return;
  give_up_at_ = std::min(give_up_at_, steady_clock::now());
  if (active_ != nullptr) active_->Abort();
}

Awaitable<void> RequestFlow::RunPlain() {
  for (int attempts = 0; attempts < kMaxAttempts; ++attempts) {
    if (client_.disconnected()) break;
    const Pick pick = state_.placement.PickPlain(service_, excluded_, DecisionTime());
    if (!pick.backend || OutOfTime() || !AcquireRetryBudget()) co_return co_await GiveUp();
    Attempt attempt(state_, pick.backend, Expected());
    const AttemptResult result = co_await SendToExecute(attempt, "");
    if (result == AttemptResult::kResponded) {
      ++possible_executions_;
      co_return co_await ForwardResponse(attempt);
    }
    if (!MayRetry(result, *pick.backend)) co_return co_await GiveUp();
  }
  co_await GiveUp();
}

Awaitable<AttemptResult> RequestFlow::Send(Attempt& attempt, const std::string& extra_fields,
                                           steady_clock::time_point deadline) {
  active_ = &attempt;
  if (!admitted_while_stopping_)
    give_up_at_ = state_.drain.LimitDeadline(give_up_at_);  // read before SIGTERM
  if (give_up_at_ > state_.drain.LimitDeadline(give_up_at_)) {
    state_.violations.Report(invariants::Invariant::kForwardedWithinTime, "request_id=" + request_id_);
  }
  const RequestStage stage_before = std::exchange(open_->stage, RequestStage::kForwarded);
  const std::string head = BackendHead(attempt.backend(), extra_fields);
  const AttemptResult result = co_await attempt.Run(head, request().body(), request_id_, deadline);
  active_ = nullptr;
  if (result == AttemptResult::kNotSent) open_->stage = stage_before;
  if (result == AttemptResult::kNotExecuted) {
    std::string ignored;
    co_await attempt.ReadBody(ignored, kMaxRejectionBody, steady_clock::now() + kRejectionBodyTimeout);
    attempt.Finish();
  }
  co_return result;
}

Awaitable<AttemptResult> RequestFlow::SendToExecute(Attempt& attempt, const std::string& extra_fields) {
  const AttemptResult result = co_await Send(attempt, extra_fields, give_up_at_);
  if (result != AttemptResult::kNotSent) retry_account_.RecordExecution();
  co_return result;
}

std::string RequestFlow::BackendHead(const Backend& backend, const std::string& extra_fields) const {
  const ClientRequest& request = client_.request();
  std::string head(request.method_string());
  head += ' ';
  head += std::string_view(request.target());
  head += " HTTP/1.1\r\n";
  for (const auto& field : request) {
    if (IsOneOf(kConnectionFields, field.name_string()) ||
        IsOneOf(kStrippedRequestFields, field.name_string()))
      continue;
    // A resumed stream continues after the last event forwarded by this proxy, not after the one in the
    // client's request.
    const bool superseded = !events_.last_id().empty() && beast::iequals(field.name_string(), kLastEventId);
    if (superseded) continue;
    head += std::string_view(field.name_string());
    head += ": ";
    head += std::string_view(field.value());
    head += "\r\n";
  }
  const auto time_left = std::chrono::duration_cast<milliseconds>(give_up_at_ - steady_clock::now());
  head += "Deadline-Ms: " + std::to_string(std::max<std::int64_t>(1, time_left.count())) + "\r\n";
  head += "Expect-Instance: " + backend.info.id + "\r\n";
  head += extra_fields;
  const bool has_body = !request.body().empty() || request.method() != bhttp::verb::get;
  if (has_body) head += "Content-Length: " + std::to_string(request.body().size()) + "\r\n";
  return head + "\r\n";
}

bool RequestFlow::MayExecuteAgain() const {
  return route_->Idempotent() && possible_executions_ < route_->max_attempts;
}

bool RequestFlow::AcquireRetryBudget() {
  if (!retry_account_.NeedsBudget()) return true;
  if (!state_.budget.TryAcquire(service_, DecisionTime())) return false;
  ++state_.counters.retries;
  retry_account_.RecordBudget();
  return true;
}

bool RequestFlow::MayRetry(AttemptResult result, const Backend& backend) {
  excluded_.push_back(&backend);
  const bool may_have_run = result == AttemptResult::kConnectionLost || result == AttemptResult::kTimedOut;
  if (may_have_run) ++possible_executions_;
  if (client_.disconnected()) return false;
  return !may_have_run || MayExecuteAgain();
}

// --- responses ---

Awaitable<void> RequestFlow::ForwardResponse(Attempt& attempt) {
  const bool streams = Expected() == ExpectedResponse::kEvents && IsSuccess(attempt.head());
  if (!streams) co_return co_await ForwardBuffered(attempt);
  if (co_await ForwardStream(attempt)) co_return;
  excluded_.push_back(&attempt.backend());
  co_await ResumeStream();
}

ExpectedResponse RequestFlow::Expected() const {
  const bool streams = route_->type == configuration::RouteType::kStreaming;
  const bool has_body = client_.request().method() != bhttp::verb::head;
  return streams && has_body ? ExpectedResponse::kEvents : ExpectedResponse::kWhole;
}

Awaitable<void> RequestFlow::ForwardBuffered(Attempt& attempt) {
  std::string body;
  active_ = &attempt;
  const error_code error = co_await attempt.ReadBody(body, kMaxBufferedResponse, give_up_at_);
  active_ = nullptr;
  if (error) co_return co_await GiveUp();
  std::string head = ResponseHead(attempt.head());
  attempt.Finish();
  AnnounceCloseIfStopping();
  ++state_.counters.answered;
  open_->stage = RequestStage::kResponseBegun;
  co_await client_.WriteResponse(std::move(head), body);
}

// Forwards events as they arrive. Returns false if the stream was truncated, or is not valid from some byte
// on.
Awaitable<bool> RequestFlow::ForwardStream(Attempt& attempt) {
  AnnounceCloseIfStopping();
  if (!client_.stream_begun()) client_.BeginStream(ResponseHead(attempt.head()));
  events_.BeginRun();
  std::string chunk;
  active_ = &attempt;
  while (true) {
    const error_code error = co_await attempt.ReadChunk(chunk, give_up_at_);
    if (client_.disconnected()) {
      if (!client_.stream_begun()) co_await GiveUp();
      break;
    }
    const bool ended = !error && chunk.empty();
    std::string events;
    if (!error) events = ended ? events_.Finish() : events_.Append(chunk);
    const bool valid = events_.fault() == StreamFault::kNone;
    if (!valid) RejectStream(attempt);
    const bool doubtful = valid && ended && attempt.EndIsInDoubt();
    if (doubtful) attempt.Reject(backend_faults::Kind::kSurplusBytes, "after_event=" + events_.last_id());
    if (error || !valid || doubtful) {
      active_ = nullptr;
      co_return false;
    }
    if (!events.empty()) RecordEvents();
    if (!events.empty() && co_await client_.WriteChunk(events)) {
      client_.Close();
      break;
    }
    if (!ended) continue;
    attempt.Finish();
    ++state_.counters.answered;
    co_await client_.EndStream();
    break;
  }
  active_ = nullptr;
  co_return true;
}

void RequestFlow::RejectStream(Attempt& attempt) const {
  const StreamFault fault = events_.fault();
  const bool unfinished = fault == StreamFault::kUnfinished || fault == StreamFault::kEmpty;
  attempt.Reject(unfinished ? backend_faults::Kind::kUnfinished : backend_faults::Kind::kEvent,
                 std::string("reason=") + Name(fault) + " after_event=" + events_.last_id());
}

void RequestFlow::RecordEvents() {
  const auto now = steady_clock::now();
  open_->stage = RequestStage::kResponseBegun;
  if (!open_->first_event_at) open_->first_event_at = now;
  open_->last_event_at = now;
  ++open_->events;
}

Awaitable<void> RequestFlow::SendUnavailable(milliseconds retry_after) {
  ++state_.counters.refused;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n",
                static_cast<double>(retry_after.count()) / 1000);
  co_await SendError(bhttp::status::service_unavailable, text.data());
}

// Ends a request without a response: 503 with Retry-After if no backend can have executed it, else an error
// without Retry-After. A client that has closed its connection may have closed only its sending side, so it
// is answered too.
Awaitable<void> RequestFlow::GiveUp() {
  if (client_.stream_begun()) {
    ++state_.counters.truncated;
    truncated_ = true;
    if (state_.drain.draining()) {
      spdlog::warn("answer cut while stopping {}",
                   LogFields(*open_, steady_clock::now(), state_.drain.sigterm_at()));
    }
    client_.CloseIncomplete();
    co_return;
  }
  if (possible_executions_ == 0) co_return co_await SendUnavailable(kRetryAfterRejected);
  ++state_.counters.failed;
  co_await SendError(OutOfTime() ? bhttp::status::gateway_timeout : bhttp::status::bad_gateway, "");
}

Awaitable<void> RequestFlow::SendError(bhttp::status status, const std::string& fields) {
  std::string head = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) + " ";
  head += std::string_view(bhttp::obsolete_reason(status));
  head += "\r\n";
  if (!request_id_.empty()) head += "Request-Id: " + request_id_ + "\r\n";
  head += fields;
  open_->stage = RequestStage::kResponseBegun;
  AnnounceCloseIfStopping();
  co_await client_.WriteResponse(std::move(head), "");
}

bool RequestFlow::ended() const {
  return client_.answered() || client_.broken() || client_.disconnected() || truncated_;
}

}  // namespace kestrelline::data_plane

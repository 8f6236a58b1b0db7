// SPDX-License-Identifier: Apache-2.0
//
// Routes, plain requests, answers. generation_flow.cpp: services with engines.
#include "data_plane/request_flow.h"

#include <spdlog/spdlog.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr milliseconds kDrainPatience{200};  // for the body of a refusal
constexpr std::size_t kLongestRefusal = 64 * 1024;
constexpr milliseconds kNotReadyRetry{1000};
constexpr milliseconds kRefusedRetry{150};

template <std::size_t kCount>
bool IsOneOf(const std::array<std::string_view, kCount>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view one) {
    return beast::iequals({name.data(), name.size()}, one);
  });
}

// Fields that concern one connection alone, in requests and answers.
constexpr std::array<std::string_view, 7> kConnectionFields = {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "content-length"};
// Of requests besides: those that end here, and those that this proxy sets itself.
constexpr std::array<std::string_view, 10> kRequestFields = {
    "proxy-authenticate", "proxy-authorization", "upgrade", "expect",         "deadline-ms",
    "expect-instance",    "serving-stage",       "kv-from", "expect-version", "priority"};

constexpr std::string_view kLastEventId = "Last-Event-Id";

std::optional<milliseconds> ParseMilliseconds(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || value < 0) return std::nullopt;
  return milliseconds(value);
}

std::string AnswerHead(const bhttp::response<bhttp::buffer_body>& head) {
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
      arrived_(steady_clock::now()),
      open_(state.open_requests.Add({.id = std::string(client.request()["Request-Id"]),
                                     .read_at = arrived_,
                                     .earlier_on_connection = client.requests_read() - 1,
                                     .conclude = [this] { Conclude(); }})),
      routes_(state.routes) {}

Awaitable<void> RequestFlow::Run() {
  ++state_.counters.requests;
  request_id_ = std::string(request()["Request-Id"]);
  if (!routes_) co_return co_await Refuse(kNotReadyRetry);
  route_ = routes_->Find(request()[bhttp::field::host], request().target());
  if (route_ == nullptr) co_return co_await AnswerError(bhttp::status::not_found, "");
  service_ = configuration::RouteTable::Choose(*route_, state_.random.Unit()).service;
  const configuration::Service* service = routes_->configuration().FindService(service_);
  const bool generates = service != nullptr && service->engine.has_value();
  if (generates) prompt_ = ParsePrompt(request()["Token-Count"], request()["Prompt-Prefix"]);
  open_->output_tokens = prompt_.output_tokens;
  if (!Admit()) co_return co_await Refuse(kRefusedRetry);
  state_.budget.CountRequest(service_, DecisionTime());
  client_.Watch([this] {
    ++state_.counters.client_gone;
    if (active_ != nullptr) active_->Abort();
  });
  if (generates) {
    co_await RunGeneration();
  } else {
    co_await RunPlain();
  }
  client_.Unwatch();
}

bool RequestFlow::Admit() {
  client_deadline_ = ParseMilliseconds(request()["Deadline-Ms"]);
  give_up_at_ =
      arrived_ + std::min<milliseconds>(route_->timeout, client_deadline_.value_or(route_->timeout));
  const bool streams = route_->type == configuration::RouteType::kStreaming;
  const AnswerForm form = streams ? AnswerForm::kStream : AnswerForm::kWhole;
  if (!state_.drain.Admits(arrived_, give_up_at_, form)) return false;
  admitted_while_stopping_ = state_.drain.begun();
  give_up_at_ = state_.drain.Bound(give_up_at_);
  return true;
}

void RequestFlow::AnnounceCloseIfStopping() {
  if (state_.drain.begun()) client_.CloseAfterWhatWasRead();
}

void RequestFlow::Conclude() {
  if (client_.pieces_begun()) return;
  give_up_at_ = std::min(give_up_at_, steady_clock::now());
  if (active_ != nullptr) active_->Abort();
}

Awaitable<void> RequestFlow::RunPlain() {
  for (int tries = 0; tries < kMostSends; ++tries) {
    if (client_.gone()) break;
    const Pick pick = state_.placement.PickPlain(service_, excluded_, DecisionTime());
    if (!pick.backend || OutOfTime() || !PayForArrival()) co_return co_await GiveUp();
    Attempt attempt(state_, pick.backend);
    const AttemptEnd end = co_await SendToRun(attempt, "");
    if (end == AttemptEnd::kAnswered) {
      ++may_have_run_;
      co_return co_await PassOn(attempt);
    }
    if (!MayRetry(end, *pick.backend)) co_return co_await GiveUp();
  }
  co_await GiveUp();
}

Awaitable<AttemptEnd> RequestFlow::Send(Attempt& attempt, const std::string& extra_fields,
                                        steady_clock::time_point until) {
  active_ = &attempt;
  if (!admitted_while_stopping_) give_up_at_ = state_.drain.Bound(give_up_at_);  // read before SIGTERM
  if (give_up_at_ > state_.drain.Bound(give_up_at_)) {
    state_.violations.Report(invariants::Invariant::kPassedOnWithinTime, "request_id=" + request_id_);
  }
  const RequestStage stage_before = std::exchange(open_->stage, RequestStage::kPassedOn);
  const std::string head = BackendHead(attempt.backend(), extra_fields);
  const AttemptEnd end = co_await attempt.Run(head, request().body(), request_id_, until);
  active_ = nullptr;
  if (end == AttemptEnd::kNotSent) open_->stage = stage_before;
  if (end == AttemptEnd::kNotExecuted) {
    std::string ignored;
    co_await attempt.ReadBody(ignored, kLongestRefusal, steady_clock::now() + kDrainPatience);
    attempt.Finish();
  }
  co_return end;
}

Awaitable<AttemptEnd> RequestFlow::SendToRun(Attempt& attempt, const std::string& extra_fields) {
  const AttemptEnd end = co_await Send(attempt, extra_fields, give_up_at_);
  if (end != AttemptEnd::kNotSent) arrivals_.NoteRun();
  co_return end;
}

std::string RequestFlow::BackendHead(const Backend& backend, const std::string& extra_fields) const {
  const ClientRequest& request = client_.request();
  std::string head(request.method_string());
  head += ' ';
  head += std::string_view(request.target());
  head += " HTTP/1.1\r\n";
  for (const auto& field : request) {
    if (IsOneOf(kConnectionFields, field.name_string()) || IsOneOf(kRequestFields, field.name_string()))
      continue;
    // A stream that was broken off goes on after what this proxy passed on, not after what its client had
    // before.
    const bool superseded = !events_.last_id().empty() && beast::iequals(field.name_string(), kLastEventId);
    if (superseded) continue;
    head += std::string_view(field.name_string());
    head += ": ";
    head += std::string_view(field.value());
    head += "\r\n";
  }
  const auto left = std::chrono::duration_cast<milliseconds>(give_up_at_ - steady_clock::now());
  head += "Deadline-Ms: " + std::to_string(std::max<std::int64_t>(1, left.count())) + "\r\n";
  head += "Expect-Instance: " + backend.info.id + "\r\n";
  head += extra_fields;
  const bool has_body = !request.body().empty() || request.method() != bhttp::verb::get;
  if (has_body) head += "Content-Length: " + std::to_string(request.body().size()) + "\r\n";
  return head + "\r\n";
}

bool RequestFlow::MayRunAgain() const { return route_->Idempotent() && may_have_run_ < route_->max_attempts; }

bool RequestFlow::PayForArrival() {
  if (!arrivals_.NeedsPayment()) return true;
  if (!state_.budget.Take(service_, DecisionTime())) return false;
  ++state_.counters.retries;
  arrivals_.NotePayment();
  return true;
}

bool RequestFlow::MayRetry(AttemptEnd end, const Backend& backend) {
  excluded_.push_back(&backend);
  const bool may_have_run = end == AttemptEnd::kBroken || end == AttemptEnd::kTimedOut;
  if (may_have_run) ++may_have_run_;
  if (client_.gone()) return false;
  return !may_have_run || MayRunAgain();
}

// --- answers ---

Awaitable<void> RequestFlow::PassOn(Attempt& attempt) {
  const bool success = attempt.head().result_int() / 100 == 2;
  if (success && !attempt.has_stamp()) {
    attempt.RecordFailure();
    co_return co_await GiveUp();
  }
  if (success && route_->type == configuration::RouteType::kStreaming) {
    if (!co_await PassOnStream(attempt)) co_await ResumeStream();
    co_return;
  }
  co_await PassOnWhole(attempt);
}

Awaitable<void> RequestFlow::PassOnWhole(Attempt& attempt) {
  std::string body;
  active_ = &attempt;
  const error_code error = co_await attempt.ReadBody(body, kLongestAnswer, give_up_at_);
  active_ = nullptr;
  if (error) co_return co_await GiveUp();
  std::string head = AnswerHead(attempt.head());
  attempt.Finish();
  AnnounceCloseIfStopping();
  ++state_.counters.answered;
  open_->stage = RequestStage::kAnswerBegun;
  co_await client_.WriteWhole(std::move(head), body);
}

// Passes events on as they arrive. False if the stream broke before its end.
Awaitable<bool> RequestFlow::PassOnStream(Attempt& attempt) {
  AnnounceCloseIfStopping();
  if (!client_.pieces_begun()) client_.BeginPieces(AnswerHead(attempt.head()));
  std::string piece;
  active_ = &attempt;
  while (true) {
    const error_code error = co_await attempt.ReadPiece(piece, give_up_at_);
    if (client_.gone()) {
      if (!client_.pieces_begun()) co_await GiveUp();
      break;
    }
    if (error) {
      events_.DropPartial();
      active_ = nullptr;
      co_return false;
    }
    const std::string events = piece.empty() ? events_.Rest() : events_.Take(piece);
    if (!events.empty()) NoteEvents();
    if (!events.empty() && co_await client_.WritePiece(events)) {
      client_.Close();
      break;
    }
    if (!piece.empty()) continue;
    attempt.Finish();
    ++state_.counters.answered;
    co_await client_.WriteEnd();
    break;
  }
  active_ = nullptr;
  co_return true;
}

void RequestFlow::NoteEvents() {
  const auto now = steady_clock::now();
  open_->stage = RequestStage::kAnswerBegun;
  if (!open_->first_event_at) open_->first_event_at = now;
  open_->last_event_at = now;
  ++open_->events;
}

Awaitable<void> RequestFlow::Refuse(milliseconds retry_after) {
  ++state_.counters.refused;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n",
                static_cast<double>(retry_after.count()) / 1000);
  co_await AnswerError(bhttp::status::service_unavailable, text.data());
}

// Without an answer: a promise where nothing can have run, else none. A client that has closed its connection
// may have ended only its sending: it is answered too.
Awaitable<void> RequestFlow::GiveUp() {
  if (client_.pieces_begun()) {
    ++state_.counters.cut;
    cut_ = true;
    if (state_.drain.begun()) {
      spdlog::warn("answer cut while stopping {}",
                   LogFields(*open_, steady_clock::now(), state_.drain.began()));
    }
    client_.Close();
    co_return;
  }
  if (may_have_run_ == 0) co_return co_await Refuse(kRefusedRetry);
  ++state_.counters.failed;
  co_await AnswerError(OutOfTime() ? bhttp::status::gateway_timeout : bhttp::status::bad_gateway, "");
}

Awaitable<void> RequestFlow::AnswerError(bhttp::status status, const std::string& fields) {
  std::string head = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) + " ";
  head += std::string_view(bhttp::obsolete_reason(status));
  head += "\r\n";
  if (!request_id_.empty()) head += "Request-Id: " + request_id_ + "\r\n";
  head += fields;
  open_->stage = RequestStage::kAnswerBegun;
  AnnounceCloseIfStopping();
  co_await client_.WriteWhole(std::move(head), "");
}

bool RequestFlow::ended() const { return client_.answered() || client_.broken() || client_.gone() || cut_; }

}  // namespace kestrelline::data_plane

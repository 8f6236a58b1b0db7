// SPDX-License-Identifier: Apache-2.0
//
// Requests to services with engines: selection of prefill and decode backends, KV cache hand-over, and
// resumption of truncated streams.
#include <utility>

#include "data_plane/prefill_response.h"
#include "data_plane/request_flow.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr std::size_t kMaxPrefillResponse = 64 * 1024;
// If a prefill takes longer than kPrefillTimeoutFactor times the estimate plus kPrefillTimeoutMarginMs,
// another backend is tried.
constexpr double kPrefillTimeoutFactor = 3;
constexpr double kPrefillTimeoutMarginMs = 1200;
constexpr milliseconds kReleaseTimeout{500};

steady_clock::time_point DeadlineIn(double ms) {
  return steady_clock::now() + std::chrono::duration_cast<steady_clock::duration>(Duration(ms));
}

Awaitable<void> SendRelease(EdgeState& state, BackendPtr source, std::string handle) {
  const std::string head = "DELETE /-/kv-handle/" + handle + " HTTP/1.1\r\nHost: " + source->info.address +
                           "\r\nExpect-Instance: " + source->info.id + "\r\nContent-Length: 0\r\n\r\n";
  Attempt attempt(state, source, ExpectedResponse::kAny);
  const auto deadline = steady_clock::now() + kReleaseTimeout;
  const AttemptResult result = co_await attempt.Run(head, "", "", deadline);
  if (result != AttemptResult::kResponded) co_return;
  std::string ignored;
  co_await attempt.ReadBody(ignored, kMaxPrefillResponse, deadline);
  attempt.Finish();
}

}  // namespace

std::string RequestFlow::PriorityField() const {
  constexpr int kLeastUrgent = 9;
  return "Priority: " + std::to_string(std::clamp(route_->priority, 0, kLeastUrgent)) + "\r\n";
}

void RequestFlow::ReleaseHandle(const PrefilledPrompt& prompt) {
  asio::co_spawn(state_.io, SendRelease(state_, prompt.source, prompt.handle), asio::detached);
}

Awaitable<void> RequestFlow::RunGeneration() {
  for (int attempts = 0; attempts < kMaxAttempts && !client_.disconnected() && !OutOfTime(); ++attempts) {
    const auto target = co_await NextTarget();
    if (client_.disconnected()) break;
    if (!target) continue;
    if (!target->backend || !AcquireRetryBudget()) break;
    std::optional<PendingPrefill> pending;
    if (target->prefill_ms > 0) pending.emplace(target->backend, prompt_, target->prefill_ms, DecisionTime());
    Attempt attempt(state_, target->backend, Expected());
    const TimePoint sent_at = DecisionTime();
    const AttemptResult result = co_await SendToExecute(attempt, target->fields);
    pending.reset();
    if (result == AttemptResult::kResponded) {
      const bool handed_over = prefilled_.has_value();
      prefilled_.reset();  // the decode backend has taken the KV cache
      ++possible_executions_;
      co_await ForwardResponse(attempt);
      if (handed_over && client_.answered()) {
        state_.demand.RecordGeneration(service_, static_cast<double>(prompt_.output_tokens),
                                       (DecisionTime() - sent_at).count());
      }
      co_return;
    }
    if (prefilled_) HandleFailedHandOver(result, attempt);
    if (!MayRetry(result, *target->backend)) break;
  }
  if (prefilled_) ReleaseHandle(*prefilled_);
  co_await GiveUp();
}

// Chooses the next backend. After a prefill, picks the cheapest decode backend. Otherwise compares a separate
// prefill with prefill and decode on the same backend.
Awaitable<std::optional<RequestFlow::Target>> RequestFlow::NextTarget() {
  const TimePoint now = DecisionTime();
  if (!prefilled_) {
    const Pick combined = state_.placement.PickCombined(service_, prompt_, excluded_, now);
    const Pick prefill = state_.placement.PickPrefill(service_, prompt_, excluded_, now);
    if (retry_account_.empty() && prefill.backend) {
      state_.demand.Count(service_, prefill.work_ms, static_cast<double>(prompt_.output_tokens), now);
    }
    // Without prompt information there is nothing to prefill separately: a prefill backend would execute the
    // request.
    const bool separate =
        prompt_.tokens > 0 && prefill.backend && combined.backend && prefill.cost_ms < combined.cost_ms;
    if (!separate || !AcquireRetryBudget())
      co_return Target{combined.backend, combined.work_ms, PriorityField()};
    prefilled_ = co_await Prefill(prefill);
    if (!prefilled_) {
      excluded_.push_back(prefill.backend.get());
      if (possible_executions_ > 0 && !MayExecuteAgain()) co_return Target{};
      co_return std::nullopt;
    }
  }
  const Pick decode = state_.placement.PickDecode(service_, *prefilled_->source, excluded_, DecisionTime());
  co_return Target{
      decode.backend, 0,
      PriorityField() + "Kv-From: " + prefilled_->source->info.address + "/" + prefilled_->handle + "\r\n"};
}

// After a failed hand-over: decides whether the KV cache is still available, and which backend caused the
// failure.
void RequestFlow::HandleFailedHandOver(AttemptResult result, const Attempt& attempt) {
  if (result == AttemptResult::kNotSent) return;
  if (result != AttemptResult::kNotExecuted) {
    prefilled_.reset();  // the KV cache may already have been fetched
    return;
  }
  const bool rejected_for_load = attempt.rejection() != RejectionReason::kOther;
  if (rejected_for_load) return;
  // The decode backend had free slots, so it could not fetch the KV cache: the source lost it, or its link is
  // slow.
  if (state_.backends.Record(*prefilled_->source, false, DecisionTime())) ++state_.counters.ejections;
  excluded_.push_back(prefilled_->source.get());
  prefilled_.reset();
}

Awaitable<std::optional<RequestFlow::PrefilledPrompt>> RequestFlow::Prefill(Pick pick) {
  const TimePoint started_at = DecisionTime();
  const PendingPrefill pending(pick.backend, prompt_, pick.work_ms, started_at);
  Attempt attempt(state_, pick.backend, ExpectedResponse::kPrefill);
  const auto deadline =
      std::min(give_up_at_, DeadlineIn(pick.ready_ms * kPrefillTimeoutFactor + kPrefillTimeoutMarginMs));
  const std::string fields = "Serving-Stage: prefill\r\n" + PriorityField();
  const AttemptResult result = co_await Send(attempt, fields, deadline);
  if (result == AttemptResult::kNotSent) co_return std::nullopt;
  if (result != AttemptResult::kResponded) {
    retry_account_.RecordPrefill(false);
    co_return std::nullopt;
  }
  std::string body;
  active_ = &attempt;
  const error_code error = co_await attempt.ReadBody(body, kMaxPrefillResponse, deadline);
  active_ = nullptr;
  const bool prefilled = !error && attempt.head().result() == bhttp::status::ok;
  retry_account_.RecordPrefill(prefilled);
  if (!error) attempt.Finish();
  if (!prefilled) co_return std::nullopt;
  auto handle = ParsePrefillResponse(body);
  if (!handle) {
    attempt.ReportFault(backend_faults::Kind::kHandle);
    ++possible_executions_;  // the response is not that of a prefill, so the request may have run
    co_return std::nullopt;
  }
  state_.placement.RecordPrefill(service_, prompt_, pick, (DecisionTime() - started_at).count());
  co_return PrefilledPrompt{pick.backend, std::move(*handle)};
}

// Continues a resumable stream at another backend, after the last complete event.
Awaitable<void> RequestFlow::ResumeStream() {
  while (!client_.disconnected() && route_->resumable && !events_.returned_partial_event() &&
         MayExecuteAgain() && !OutOfTime() && AcquireRetryBudget()) {
    const TimePoint now = DecisionTime();
    const Pick pick = state_.placement.PickCombined(service_, prompt_, excluded_, now);
    if (!pick.backend) break;
    PendingPrefill pending(pick.backend, prompt_, pick.work_ms, now);
    std::string fields = PriorityField();
    if (!events_.last_id().empty()) fields += "Last-Event-Id: " + events_.last_id() + "\r\n";
    Attempt attempt(state_, pick.backend, Expected());
    const AttemptResult result = co_await SendToExecute(attempt, fields);
    pending.End();
    excluded_.push_back(pick.backend.get());
    if (result == AttemptResult::kNotSent || result == AttemptResult::kNotExecuted) continue;
    ++possible_executions_;
    if (result != AttemptResult::kResponded || attempt.head().result() != bhttp::status::ok) continue;
    if (co_await ForwardStream(attempt)) co_return;
  }
  co_await GiveUp();
}

}  // namespace kestrelline::data_plane

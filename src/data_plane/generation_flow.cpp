// SPDX-License-Identifier: Apache-2.0
//
// Requests to services with engines: who reads the prompt, who generates, what follows a stream that broke.
#include <utility>

#include "data_plane/request_flow.h"
#include "json/owned.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr std::size_t kLongestReceipt = 64 * 1024;
// A prompt that is not read after this much more than it should take is read elsewhere.
constexpr double kPrefillPatienceFactor = 3;
constexpr double kPrefillPatienceMs = 1200;
constexpr milliseconds kFreePatience{500};

// The handle in what a prefill backend says once it has read a prompt; nothing if it says something else.
std::optional<std::string> ParseHandle(const std::string& body) {
  const json::Owned root = json::Load(body);
  const json_t* handle = root ? json_object_get(root.get(), "kv_handle") : nullptr;
  if (!json_is_string(handle)) return std::nullopt;
  return json_string_value(handle);
}

steady_clock::time_point In(double ms) {
  return steady_clock::now() + std::chrono::duration_cast<steady_clock::duration>(Duration(ms));
}

Awaitable<void> Free(EdgeState& state, BackendPtr source, std::string handle) {
  const std::string head = "DELETE /-/kv-handle/" + handle + " HTTP/1.1\r\nHost: " + source->info.address +
                           "\r\nExpect-Instance: " + source->info.id + "\r\nContent-Length: 0\r\n\r\n";
  Attempt attempt(state, source);
  const auto until = steady_clock::now() + kFreePatience;
  const AttemptEnd end = co_await attempt.Run(head, "", "", until);
  if (end != AttemptEnd::kAnswered) co_return;
  std::string ignored;
  co_await attempt.ReadBody(ignored, kLongestReceipt, until);
  attempt.Finish();
}

}  // namespace

std::string RequestFlow::PriorityField() const {
  constexpr int kLeastUrgent = 9;
  return "Priority: " + std::to_string(std::clamp(route_->priority, 0, kLeastUrgent)) + "\r\n";
}

void RequestFlow::FreeHandle(const ReadPrompt& prompt) {
  asio::co_spawn(state_.io, Free(state_, prompt.source, prompt.handle), asio::detached);
}

Awaitable<void> RequestFlow::RunGeneration() {
  for (int tries = 0; tries < kMostSends && !client_.gone() && !OutOfTime(); ++tries) {
    const auto target = co_await NextTarget();
    if (client_.gone()) break;
    if (!target) continue;
    if (!target->backend || !PayForArrival()) break;
    std::optional<ReadingUnderWay> reading;
    if (target->reading_ms > 0) reading.emplace(target->backend, prompt_, target->reading_ms, DecisionTime());
    Attempt attempt(state_, target->backend);
    const TimePoint sent_at = DecisionTime();
    const AttemptEnd end = co_await SendToRun(attempt, target->fields);
    reading.reset();
    if (end == AttemptEnd::kAnswered) {
      const bool handed_over = read_.has_value();
      read_.reset();  // taken
      ++may_have_run_;
      co_await PassOn(attempt);
      if (handed_over) {
        state_.demand.NoteGeneration(service_, static_cast<double>(prompt_.output_tokens),
                                     (DecisionTime() - sent_at).count());
      }
      co_return;
    }
    if (read_) AfterHandOver(end, attempt);
    if (!MayRetry(end, *target->backend)) break;
  }
  if (read_) FreeHandle(*read_);
  co_await GiveUp();
}

// A prompt that was read goes on where it is cheapest; one that was not is read apart, or where it will be
// generated.
Awaitable<std::optional<RequestFlow::Target>> RequestFlow::NextTarget() {
  const TimePoint now = DecisionTime();
  if (!read_) {
    const Pick whole = state_.placement.PickWhole(service_, prompt_, excluded_, now);
    const Pick reader = state_.placement.PickPrefill(service_, prompt_, excluded_, now);
    if (arrivals_.empty() && reader.backend) {
      state_.demand.Count(service_, reader.work_ms, static_cast<double>(prompt_.output_tokens), now);
    }
    // A request that tells no prompt has nothing to be read apart: a prefill backend would run it.
    const bool apart =
        prompt_.tokens > 0 && reader.backend && whole.backend && reader.cost_ms < whole.cost_ms;
    if (!apart || !PayForArrival()) co_return Target{whole.backend, whole.work_ms, PriorityField()};
    read_ = co_await Prefill(reader);
    if (!read_) {
      excluded_.push_back(reader.backend.get());
      if (may_have_run_ > 0 && !MayRunAgain()) co_return Target{};
      co_return std::nullopt;
    }
  }
  const Pick decode = state_.placement.PickDecode(service_, *read_->source, excluded_, DecisionTime());
  co_return Target{
      decode.backend, 0,
      PriorityField() + "Kv-From: " + read_->source->info.address + "/" + read_->handle + "\r\n"};
}

// Whether the memory is still to be had, and whose fault it is if not.
void RequestFlow::AfterHandOver(AttemptEnd end, const Attempt& attempt) {
  if (end == AttemptEnd::kNotSent) return;
  if (end != AttemptEnd::kNotExecuted) {
    read_.reset();  // it may have been taken
    return;
  }
  const bool refused_for_load = attempt.Refused() != AttemptRefusal::kOther;
  if (refused_for_load) return;
  // There was room, so the memory could not be had: the source lost it, or its link is slow.
  if (state_.backends.Record(*read_->source, false, DecisionTime())) ++state_.counters.ejections;
  excluded_.push_back(read_->source.get());
  read_.reset();
}

Awaitable<std::optional<RequestFlow::ReadPrompt>> RequestFlow::Prefill(Pick pick) {
  const TimePoint began = DecisionTime();
  const ReadingUnderWay reading(pick.backend, prompt_, pick.work_ms, began);
  Attempt attempt(state_, pick.backend);
  const auto until = std::min(give_up_at_, In(pick.ready_ms * kPrefillPatienceFactor + kPrefillPatienceMs));
  const std::string fields = "Serving-Stage: prefill\r\n" + PriorityField();
  const AttemptEnd end = co_await Send(attempt, fields, until);
  if (end == AttemptEnd::kNotSent) co_return std::nullopt;
  if (end != AttemptEnd::kAnswered) {
    arrivals_.NoteReading(false);
    co_return std::nullopt;
  }
  std::string body;
  active_ = &attempt;
  const error_code error = co_await attempt.ReadBody(body, kLongestReceipt, until);
  active_ = nullptr;
  const bool read = !error && attempt.head().result() == bhttp::status::ok;
  arrivals_.NoteReading(read);
  if (!error) attempt.Finish();
  if (!read) co_return std::nullopt;
  auto handle = ParseHandle(body);
  if (!handle) {
    ++may_have_run_;  // whatever this was, it was no reading
    co_return std::nullopt;
  }
  state_.placement.NoteReading(service_, prompt_, pick, (DecisionTime() - began).count());
  co_return ReadPrompt{pick.backend, std::move(*handle)};
}

// A stream that may be resumed goes on at another backend, after its last whole event.
Awaitable<void> RequestFlow::ResumeStream() {
  while (!client_.gone() && route_->resumable && MayRunAgain() && !OutOfTime() && PayForArrival()) {
    const TimePoint now = DecisionTime();
    const Pick pick = state_.placement.PickWhole(service_, prompt_, excluded_, now);
    if (!pick.backend) break;
    ReadingUnderWay reading(pick.backend, prompt_, pick.work_ms, now);
    std::string fields = PriorityField();
    if (!events_.last_id().empty()) fields += "Last-Event-Id: " + events_.last_id() + "\r\n";
    Attempt attempt(state_, pick.backend);
    const AttemptEnd end = co_await SendToRun(attempt, fields);
    reading.End();
    excluded_.push_back(pick.backend.get());
    if (end == AttemptEnd::kNotSent || end == AttemptEnd::kNotExecuted) continue;
    ++may_have_run_;
    if (end != AttemptEnd::kAnswered || attempt.head().result() != bhttp::status::ok) continue;
    if (co_await PassOnStream(attempt)) co_return;
  }
  co_await GiveUp();
}

}  // namespace kestrelline::data_plane

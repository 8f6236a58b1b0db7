// SPDX-License-Identifier: Apache-2.0
//
// Requests to services with engines: who reads the prompt, who generates, what follows a stream that broke.
#include <jansson.h>

#include <utility>

#include "data_plane/request_flow.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr milliseconds kDrainPatience{200};
constexpr std::size_t kLongestReceipt = 64 * 1024;
// A prompt that is not read after this much more than it should take is read elsewhere.
constexpr double kPrefillPatienceFactor = 3;
constexpr double kPrefillPatienceMs = 1200;
constexpr milliseconds kFreePatience{500};

struct JsonRelease {
  void operator()(json_t* value) const { json_decref(value); }
};

// What a prefill backend says once it has read a prompt.
struct Receipt {
  std::string handle;
  std::string version;
};

std::optional<Receipt> ParseReceipt(const std::string& body) {
  json_error_t error;
  const std::unique_ptr<json_t, JsonRelease> root(json_loadb(body.data(), body.size(), 0, &error));
  const json_t* handle = root ? json_object_get(root.get(), "kv_handle") : nullptr;
  if (!json_is_string(handle)) return std::nullopt;
  Receipt receipt;
  receipt.handle = json_string_value(handle);
  const json_t* version = json_object_get(root.get(), "version");
  if (json_is_integer(version)) receipt.version = std::to_string(json_integer_value(version));
  return receipt;
}

steady_clock::time_point After(double ms) {
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
  for (int tries = 0; tries < kMostSends; ++tries) {
    if (client_.gone()) co_return;
    if (OutOfTime()) break;
    const TimePoint now = DecisionTime();
    const Pick whole = state_.placement.PickWhole(service_, prompt_, excluded_, now);
    const Pick reader = state_.placement.PickPrefill(service_, prompt_, excluded_, now);
    if (!whole.backend) break;
    if (tries == 0 && reader.backend) {
      state_.demand.Count(service_, reader.work_ms, static_cast<double>(prompt_.output_tokens), now);
    }
    // A request that tells no prompt has nothing to be read apart: a prefill backend would run it.
    const bool split = prompt_.tokens > 0 && reader.backend && reader.cost_ms < whole.cost_ms;
    std::optional<ReadPrompt> read;
    BackendPtr target = whole.backend;
    std::string fields = PriorityField();
    if (split) {
      read = co_await Prefill(reader);
      if (client_.gone()) {
        if (read) FreeHandle(*read);
        co_return;
      }
      if (!read) {
        excluded_.push_back(reader.backend.get());
        if ((may_have_run_ > 0 && !MayRunAgain()) || !TakeBudget()) break;
        continue;
      }
      const Pick decode = state_.placement.PickDecode(service_, *read->source, excluded_, DecisionTime());
      if (!decode.backend) {
        FreeHandle(*read);
        break;
      }
      target = decode.backend;
      fields += "Kv-From: " + read->source->info.address + "/" + read->handle + "\r\n";
    }
    std::optional<ReadingUnderWay> reading;
    if (!split) reading.emplace(target, prompt_, whole.work_ms, now);
    Attempt attempt(state_, target);
    const AttemptEnd end = co_await Send(attempt, fields, give_up_at_);
    reading.reset();
    if (end == AttemptEnd::kAnswered) {
      ++may_have_run_;
      co_return co_await PassOn(attempt);
    }
    if (read && end == AttemptEnd::kNotSent) FreeHandle(*read);
    if (end == AttemptEnd::kNotExecuted) {
      std::string ignored;
      co_await attempt.ReadBody(ignored, kLongestReceipt, steady_clock::now() + kDrainPatience);
      attempt.Finish();
    }
    if (After(end, *target) != Next::kTryAgain) break;
  }
  co_await GiveUp();
}

Awaitable<std::optional<RequestFlow::ReadPrompt>> RequestFlow::Prefill(Pick pick) {
  const ReadingUnderWay reading(pick.backend, prompt_, pick.work_ms, DecisionTime());
  Attempt attempt(state_, pick.backend);
  const auto until =
      std::min(give_up_at_, kestrelline::data_plane::After(pick.ready_ms * kPrefillPatienceFactor + kPrefillPatienceMs));
  const AttemptEnd end = co_await Send(attempt, "Serving-Stage: prefill\r\n" + PriorityField(), until);
  if (end != AttemptEnd::kAnswered && end != AttemptEnd::kNotExecuted) co_return std::nullopt;
  std::string body;
  active_ = &attempt;
  const error_code error = co_await attempt.ReadBody(body, kLongestReceipt, until);
  active_ = nullptr;
  if (error) co_return std::nullopt;
  attempt.Finish();
  if (end == AttemptEnd::kNotExecuted || attempt.head().result() != bhttp::status::ok) co_return std::nullopt;
  auto receipt = ParseReceipt(body);
  if (!receipt) {
    ++may_have_run_;  // whatever this was, it was no reading
    co_return std::nullopt;
  }
  co_return ReadPrompt{pick.backend, std::move(receipt->handle), std::move(receipt->version)};
}

// A stream that may be resumed goes on at another backend, after its last whole event.
Awaitable<void> RequestFlow::ResumeStream() {
  while (!client_.gone() && route_->resumable && MayRunAgain() && !OutOfTime() && TakeBudget()) {
    const TimePoint now = DecisionTime();
    const Pick pick = state_.placement.PickWhole(service_, prompt_, excluded_, now);
    if (!pick.backend) break;
    std::optional<ReadingUnderWay> reading;
    reading.emplace(pick.backend, prompt_, pick.work_ms, now);
    std::string fields = PriorityField();
    if (!events_.last_id().empty()) fields += "Last-Event-Id: " + events_.last_id() + "\r\n";
    Attempt attempt(state_, pick.backend);
    const AttemptEnd end = co_await Send(attempt, fields, give_up_at_);
    reading.reset();
    excluded_.push_back(pick.backend.get());
    if (end == AttemptEnd::kNotSent || end == AttemptEnd::kNotExecuted) continue;
    ++may_have_run_;
    if (end != AttemptEnd::kAnswered || attempt.head().result() != bhttp::status::ok) continue;
    if (co_await PassOnStream(attempt)) co_return;
  }
  co_await GiveUp();
}

}  // namespace kestrelline::data_plane

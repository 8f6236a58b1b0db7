// SPDX-License-Identifier: Apache-2.0
#include "control_plane/operator_api.h"

#include <charconv>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "configuration/configuration.h"
#include "configuration/patch.h"

namespace kestrelline::control_plane {
namespace {

using namespace http;

constexpr milliseconds kLeaderTimeout{600};
constexpr milliseconds kLeaderPollInterval{50};
// Callers retry with another member after a second without an answer, so nobody waits any longer by then.
constexpr milliseconds kDecisionTimeout{3500};

wire::Digest DigestOf(const std::string& text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

std::optional<std::uint64_t> ParseIfMatch(const ApiRequest& request) {
  std::string_view text = request[bhttp::field::if_match];
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

ApiResponse ResponseFor(Outcome outcome, std::uint64_t version) {
  switch (outcome) {
    case Outcome::kCommitted:
      return JsonResponse(bhttp::status::ok, "{\"version\":" + std::to_string(version) + "}");
    case Outcome::kConflict:
      return ErrorResponse(bhttp::status::precondition_failed, "another version is current");
    case Outcome::kOldVersion:
      return ErrorResponse(bhttp::status::bad_request, "version is not above the current one");
    case Outcome::kNotLeader:
    case Outcome::kOverloaded:
    case Outcome::kHistoryExpired:
      break;
  }
  return ErrorResponse(bhttp::status::service_unavailable, "not decided here, ask again");
}

}  // namespace

OperatorApi::OperatorApi(asio::io_context& io, ControlState& state, std::uint16_t control_port)
    : io_(io), state_(state), control_port_(control_port) {}

Awaitable<ApiResponse> OperatorApi::Handle(ApiRequest request) {
  const std::string target(request.target());
  if (target == "/-/config") {
    if (request.method() == bhttp::verb::put) co_return co_await ReplaceConfiguration(std::move(request));
    if (request.method() == bhttp::verb::patch) co_return co_await PatchConfiguration(std::move(request));
    if (request.method() == bhttp::verb::get) co_return co_await GetConfiguration(target);
    co_return ErrorResponse(bhttp::status::method_not_allowed, "PUT, PATCH or GET");
  }
  const bool get = request.method() == bhttp::verb::get;
  if (target == "/-/status" && get) co_return JsonResponse(bhttp::status::ok, state_.Status());
  if (target == "/-/metrics" && get) co_return MetricsResponse(state_.Metrics());
  if (target == "/-/members" && get) co_return JsonResponse(bhttp::status::ok, state_.Members());
  if (target == "/-/history" && get) co_return co_await GetHistory(target);
  if (target == "/-/leave" && request.method() == bhttp::verb::post) {
    state_.RequestLeave();
    co_return JsonResponse(bhttp::status::accepted, "{\"leaving\":true}");
  }
  co_return ErrorResponse(bhttp::status::not_found, "no such resource");
}

Awaitable<std::optional<ApiResponse>> OperatorApi::RedirectUnlessLeader(std::string target) {
  asio::steady_timer timer(io_);
  const auto deadline = steady_clock::now() + kLeaderTimeout;
  while (true) {
    if (state_.Leads()) co_return std::nullopt;
    const std::string leader = state_.OtherLeader();
    if (!leader.empty()) {
      ApiResponse response = ErrorResponse(bhttp::status::temporary_redirect, "another member leads");
      response.set(bhttp::field::location, "http://" + leader + ":" + std::to_string(control_port_) + target);
      co_return response;
    }
    if (steady_clock::now() >= deadline) break;
    timer.expires_after(kLeaderPollInterval);
    co_await timer.async_wait(kTuple);
  }
  co_return ErrorResponse(bhttp::status::service_unavailable, "no leader is known");
}

Awaitable<ApiResponse> OperatorApi::GetConfiguration(std::string target) {
  if (auto redirect = co_await RedirectUnlessLeader(target)) co_return std::move(*redirect);
  const wire::RecordPtr record = state_.Committed();
  if (!record || record->configuration.empty()) {
    co_return ErrorResponse(bhttp::status::not_found, "there is no configuration yet");
  }
  co_return JsonResponse(bhttp::status::ok, record->configuration);
}

Awaitable<ApiResponse> OperatorApi::GetHistory(std::string target) {
  if (auto redirect = co_await RedirectUnlessLeader(target)) co_return std::move(*redirect);
  std::string versions;
  if (const wire::RecordPtr record = state_.Committed()) {
    for (const wire::AcceptedChange& change : record->history) {
      versions += (versions.empty() ? "" : ",") + std::to_string(change.version);
    }
  }
  co_return JsonResponse(bhttp::status::ok, "{\"versions\":[" + versions + "]}");
}

Awaitable<ApiResponse> OperatorApi::ReplaceConfiguration(ApiRequest request) {
  if (auto redirect = co_await RedirectUnlessLeader("/-/config")) co_return std::move(*redirect);
  const auto base_version = ParseIfMatch(request);
  if (!base_version) co_return ErrorResponse(bhttp::status::bad_request, "If-Match holds no version");
  const configuration::ParseResult parsed = configuration::Parse(request.body());
  if (!parsed.configuration) co_return ErrorResponse(bhttp::status::bad_request, parsed.error);
  Change change;
  change.version = parsed.configuration->version;
  change.base_version = *base_version;
  change.digest = DigestOf(request.body());
  change.configuration = std::move(request.body());
  const std::uint64_t version = change.version;
  co_return ResponseFor(co_await AwaitDecision(std::move(change)), version);
}

Awaitable<ApiResponse> OperatorApi::PatchConfiguration(ApiRequest request) {
  if (auto redirect = co_await RedirectUnlessLeader("/-/config")) co_return std::move(*redirect);
  const auto base_version = ParseIfMatch(request);
  if (!base_version) co_return ErrorResponse(bhttp::status::bad_request, "If-Match holds no version");
  const configuration::Patch::Result parsed = configuration::Patch::Parse(request.body());
  if (!parsed.patch) co_return ErrorResponse(bhttp::status::bad_request, parsed.error);
  Change change;
  change.version = parsed.patch->version();
  change.base_version = *base_version;
  change.digest = DigestOf(request.body());
  const wire::RecordPtr record = state_.Committed();
  if (record && record->version == *base_version) {
    configuration::PatchedText patched = parsed.patch->ApplyTo(record->configuration);
    if (!patched.error.empty()) co_return ErrorResponse(bhttp::status::bad_request, patched.error);
    change.configuration = std::move(patched.text);
  } else {
    change.only_if_accepted_before = true;
  }
  const std::uint64_t version = change.version;
  co_return ResponseFor(co_await AwaitDecision(std::move(change)), version);
}

Awaitable<Outcome> OperatorApi::AwaitDecision(Change change) {
  struct PendingDecision {
    explicit PendingDecision(asio::io_context& io) : timer(io, kDecisionTimeout) {}
    asio::steady_timer timer;
    std::optional<Outcome> outcome;
  };
  const auto decision = std::make_shared<PendingDecision>(io_);
  state_.Propose(std::move(change), [decision](Outcome outcome) {
    decision->outcome = outcome;
    decision->timer.cancel();
  });
  if (!decision->outcome) co_await decision->timer.async_wait(kTuple);
  co_return decision->outcome.value_or(Outcome::kNotLeader);
}

}  // namespace kestrelline::control_plane

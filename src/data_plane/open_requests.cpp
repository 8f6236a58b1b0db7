// SPDX-License-Identifier: Apache-2.0
#include "data_plane/open_requests.h"

#include <spdlog/fmt/fmt.h>

namespace kestrelline::data_plane {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;

constexpr std::int64_t kDidNotHappen = -1;

std::int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

std::int64_t MillisecondsBetween(TimePoint from, const std::optional<TimePoint>& to) {
  return to ? MillisecondsBetween(from, *to) : kDidNotHappen;
}

}  // namespace

const char* Name(RequestStage stage) {
  switch (stage) {
    case RequestStage::kRead:
      return "read";
    case RequestStage::kForwarded:
      return "passed_on";
    case RequestStage::kResponseBegun:
      return "answer_begun";
  }
  return "unknown";
}

std::string LogFields(const OpenRequest& request, TimePoint now, TimePoint term_at) {
  const std::int64_t since_last_event =
      request.last_event_at ? MillisecondsBetween(*request.last_event_at, now) : kDidNotHappen;
  return fmt::format(
      "request_id={} stage={} read_after_term_ms={} open_ms={} earlier_on_connection={} output_tokens={} "
      "first_event_ms={} events={} silent_ms={}",
      request.id, Name(request.stage), MillisecondsBetween(term_at, request.read_at),
      MillisecondsBetween(request.read_at, now), request.earlier_on_connection, request.output_tokens,
      MillisecondsBetween(request.read_at, request.first_event_at), request.events, since_last_event);
}

}  // namespace kestrelline::data_plane

// SPDX-License-Identifier: Apache-2.0
//
// Faults of backends against the protocol: what they sent was no valid response, event stream or report. Each
// one is logged as a warning (`backend fault kind=... backend=...`) and counted for the metrics. Bytes from a
// backend are never logged.
#ifndef KESTRELLINE_BACKEND_FAULTS_BACKEND_FAULTS_H_
#define KESTRELLINE_BACKEND_FAULTS_BACKEND_FAULTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace kestrelline::backend_faults {

enum class Kind {
  kFraming,        // bytes that are no HTTP message, or a broken message framing
  kHead,           // a response head that contradicts itself or the request
  kStrayResponse,  // a response to another request, in the place where this one's was due
  kSurplusBytes,   // bytes after the end of a response
  kLoad,           // a `Backend-Load` field that is no load
  kHandle,         // a prefill response without a valid handle
  kEvent,          // an event stream that holds something other than events with rising ids
  kUnfinished,     // an event stream that ends within an event, or without any
  kReport,         // a stage report, or a response to a stage order, that is not valid
};
inline constexpr std::size_t kKinds = 9;

// The name used in logs and metrics.
const char* Name(Kind kind);

struct Fault {
  Kind kind = Kind::kFraming;
  std::string backend;     // id of the instance
  std::string request_id;  // empty if it concerns no client request
  std::string detail;      // more log fields, such as `reason=missing_id after_event=4`; may be empty
};

// Counts the faults seen by this process. Not thread-safe.
class BackendFaults {
 public:
  // Backends with a counter of their own. Faults of further ones count by kind only.
  static constexpr std::size_t kMaxBackends = 512;

  void Report(const Fault& fault);
  std::uint64_t count(Kind kind) const { return by_kind_[static_cast<std::size_t>(kind)]; }
  // Counters by kind, and by backend, in the Prometheus text format.
  std::string MetricsText() const;

 private:
  std::array<std::uint64_t, kKinds> by_kind_{};
  std::map<std::string, std::uint64_t> by_backend_;
};

}  // namespace kestrelline::backend_faults

#endif  // KESTRELLINE_BACKEND_FAULTS_BACKEND_FAULTS_H_

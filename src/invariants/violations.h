// SPDX-License-Identifier: Apache-2.0
//
// Runtime invariants, which must hold whatever clients, backends and the network do. A violation is a bug in
// this program: it is logged as an error (`invariant violated name=... `) and counted, and the program
// continues.
#ifndef KESTRELLINE_INVARIANTS_VIOLATIONS_H_
#define KESTRELLINE_INVARIANTS_VIOLATIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace kestrelline::invariants {

enum class Invariant {
  // No request that was read is still open when the process exits, unless its response had begun and it
  // arrived while the process was still serving normally.
  kAnsweredBeforeExit,
  // A request that was read ends with a complete response, or because the client or the backend failed or its
  // time ran out.
  kEveryRequestEnds,
  // Requests that are forwarded after SIGTERM end before the process does.
  kForwardedWithinTime,
};
inline constexpr std::size_t kInvariants = 3;

// The name used in logs and metrics.
const char* Name(Invariant invariant);

// Counts the violations in this process. Not thread-safe.
class Violations {
 public:
  // Logs and counts a violation. `detail` has the form of log fields, such as `request_id=r1 stage=read`.
  void Report(Invariant invariant, const std::string& detail);
  std::uint64_t count(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
  std::uint64_t total() const;
  // The counts as a JSON object: {"answered_before_exit":0,...}
  std::string Json() const;

 private:
  std::array<std::uint64_t, kInvariants> counts_{};
};

}  // namespace kestrelline::invariants

#endif  // KESTRELLINE_INVARIANTS_VIOLATIONS_H_

// SPDX-License-Identifier: Apache-2.0
#include "invariants/violations.h"

#include <spdlog/spdlog.h>

#include <numeric>

namespace kestrelline::invariants {

const char* Name(Invariant invariant) {
  switch (invariant) {
    case Invariant::kAnsweredBeforeExit:
      return "answered_before_exit";
    case Invariant::kEveryRequestEnds:
      return "every_request_ends";
    case Invariant::kForwardedWithinTime:
      return "passed_on_within_time";
  }
  return "unknown";
}

void Violations::Report(Invariant invariant, const std::string& detail) {
  ++counts_[static_cast<std::size_t>(invariant)];
  spdlog::error("invariant violated name={} {}", Name(invariant), detail);
}

std::uint64_t Violations::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

std::string Violations::Json() const {
  std::string text = "{";
  for (std::size_t i = 0; i < kInvariants; ++i) {
    if (i > 0) text += ',';
    text += '"';
    text += Name(static_cast<Invariant>(i));
    text += "\":" + std::to_string(counts_[i]);
  }
  return text + "}";
}

}  // namespace kestrelline::invariants

// SPDX-License-Identifier: Apache-2.0
#include "backend_faults/backend_faults.h"

#include <spdlog/spdlog.h>

namespace kestrelline::backend_faults {
namespace {

// A label value of the Prometheus text format.
std::string Escaped(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') escaped += '\\';
    escaped += c;
  }
  return escaped;
}

std::string Header(const char* name) { return std::string("# TYPE ") + name + " counter\n"; }

std::string Line(const char* name, const char* label, std::string_view value, std::uint64_t count) {
  return std::string(name) + "{" + label + "=\"" + Escaped(value) + "\"} " + std::to_string(count) + "\n";
}

}  // namespace

const char* Name(Kind kind) {
  switch (kind) {
    case Kind::kFraming:
      return "framing";
    case Kind::kHead:
      return "head";
    case Kind::kStrayResponse:
      return "stray_response";
    case Kind::kSurplusBytes:
      return "surplus_bytes";
    case Kind::kLoad:
      return "load";
    case Kind::kHandle:
      return "handle";
    case Kind::kEvent:
      return "event";
    case Kind::kUnfinished:
      return "unfinished";
    case Kind::kReport:
      return "report";
  }
  return "unknown";
}

void BackendFaults::Report(const Fault& fault) {
  ++by_kind_[static_cast<std::size_t>(fault.kind)];
  const auto known = by_backend_.find(fault.backend);
  if (known != by_backend_.end()) {
    ++known->second;
  } else if (by_backend_.size() < kMaxBackends) {
    by_backend_.emplace(fault.backend, 1);
  }
  spdlog::warn("backend fault kind={} backend={} request_id={}{}{}", Name(fault.kind), fault.backend,
               fault.request_id, fault.detail.empty() ? "" : " ", fault.detail);
}

std::string BackendFaults::MetricsText() const {
  constexpr const char* kByKind = "kestrelline_backend_faults_total";
  constexpr const char* kByBackend = "kestrelline_backend_faults_by_backend_total";
  std::string text = Header(kByKind);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    text += Line(kByKind, "kind", Name(static_cast<Kind>(kind)), by_kind_[kind]);
  }
  text += Header(kByBackend);
  for (const auto& [backend, count] : by_backend_) text += Line(kByBackend, "backend", backend, count);
  return text;
}

}  // namespace kestrelline::backend_faults

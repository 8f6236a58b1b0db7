// SPDX-License-Identifier: Apache-2.0
#include "sim/words.h"

#include <cstdio>
#include <type_traits>

namespace kestrelline::sim {
namespace {

template <typename... Values>
std::string Format(const char* format, Values... values) {
  char text[256];
  std::snprintf(text, sizeof text, format, values...);
  return text;
}

unsigned long long Id(std::uint64_t id) { return id; }

}  // namespace

std::string_view NameOf(Outcome outcome) {
  constexpr std::string_view kNames[] = {"ok",    "error",     "full", "timeout", "connect failed",
                                         "reset", "cancelled", "moot", "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::string InWords(const Event& event) {
  return std::visit(
      [](const auto& e) -> std::string {
        using T = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<T, ListUpdate>) {
          constexpr const char* kKinds[] = {"changes", "whole list", "cached list", "no list"};
          return Format("%s of %zu servers", kKinds[static_cast<int>(e.kind)], e.entries.size());
        } else if constexpr (std::is_same_v<T, Submit>) {
          return Format("request %llu of class %d, %.1f ms of work%s", Id(e.request), e.request_class,
                        e.work_ms, e.client_retry ? ", again" : "");
        } else if constexpr (std::is_same_v<T, StreamStarted>) {
          return Format("request %llu streams", Id(e.request));
        } else if constexpr (std::is_same_v<T, AttemptEnded>) {
          return Format("request %llu, attempt %d at %llu: %s after %.3f ms%s", Id(e.request), e.attempt,
                        Id(e.server), std::string(NameOf(e.outcome)).c_str(), e.took.count(),
                        e.settled ? ", settled" : "");
        } else if constexpr (std::is_same_v<T, ClientGone>) {
          return Format("request %llu: its client has gone", Id(e.request));
        } else {
          return "a timer";
        }
      },
      event);
}

std::string InWords(const Action& action) {
  return std::visit(
      [](const auto& a) -> std::string {
        using T = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<T, Dispatch>) {
          return Format("send %llu to %llu%s", Id(a.request), Id(a.server),
                        a.timeout.count() > 0 ? Format(", for %.1f ms", a.timeout.count()).c_str() : "");
        } else if constexpr (std::is_same_v<T, Refuse>) {
          return Format("refuse %llu", Id(a.request)) +
                 (a.retry_after.count() > 0 ? Format(", back in %.0f ms", a.retry_after.count()) : "");
        } else if constexpr (std::is_same_v<T, Fail>) {
          return Format("fail %llu", Id(a.request));
        } else if constexpr (std::is_same_v<T, SetTimer>) {
          return "set a timer";
        } else if constexpr (std::is_same_v<T, Subscribe>) {
          return "subscribe";
        } else if constexpr (std::is_same_v<T, kestrelline::CloseIdle>) {
          return Format("close what is idle to %llu", Id(a.server));
        } else {
          return "say: " + a.text;
        }
      },
      action);
}

}  // namespace kestrelline::sim

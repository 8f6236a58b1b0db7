// SPDX-License-Identifier: Apache-2.0
#include "lifecycle/process_lifecycle.h"

namespace kestrelline::lifecycle {
namespace {

// Returns the point in an interval, from 0 up to 1, at which a connection is closed. Multiples of the golden
// ratio fill the interval evenly for any number of connections.
double SpreadPoint(std::uint64_t serial) {
  return static_cast<double>((serial * 0x9e3779b97f4a7c15u) >> 11) / static_cast<double>(1ull << 53);
}

}  // namespace

const char* NameOf(State state) {
  switch (state) {
    case State::kStarting:
      return "starting";
    case State::kReady:
      return "ready";
    case State::kDraining:
      return "draining";
    case State::kStopping:
      return "stopping";
  }
  return "";
}

State ProcessLifecycle::state() const {
  if (stopping_) return State::kStopping;
  if (drained_) return State::kDraining;
  return servable() ? State::kReady : State::kStarting;
}

CommandResult ProcessLifecycle::Drain(Time now) {
  if (stopping_) return CommandResult::kStopping;
  if (drained_) return CommandResult::kNoChange;  // the delays still count from the first call
  drained_ = true;
  drained_since_ = now;
  return CommandResult::kDone;
}

CommandResult ProcessLifecycle::Resume() {
  if (stopping_) return CommandResult::kStopping;
  if (!drained_) return CommandResult::kNoChange;
  drained_ = false;
  return CommandResult::kDone;
}

CommandResult ProcessLifecycle::Stop(Time now) {
  if (stopping_) return CommandResult::kNoChange;
  stopping_ = true;
  stopping_since_ = now;
  return CommandResult::kDone;
}

bool ProcessLifecycle::AcceptsConnections(Time now) const {
  if (listener_is_shared_) return !stopping_ && servable();
  return !stopping_ || Since(now) < delays_.stop_accepting;
}

bool ProcessLifecycle::ClosesIdle(Time now, Time idle_since, std::uint64_t serial) const {
  if (!ClosesAfterResponse() || now - idle_since < delays_.min_age) return false;
  const auto from = stopping_ ? delays_.stop_close_idle_from : delays_.drain_close_idle_from;
  const auto to = stopping_ ? delays_.stop_close_idle_to : delays_.drain_close_idle_to;
  return Since(now) >= from + std::chrono::duration_cast<Span>((to - from) * SpreadPoint(serial));
}

bool ProcessLifecycle::ClosesIncomplete(Time now, Time read_since) const {
  return ClosesAfterResponse() && now - read_since >= delays_.min_age &&
         Since(now) >= (stopping_ ? delays_.stop_close_incomplete : delays_.drain_close_incomplete);
}

bool ProcessLifecycle::AcceptsRequest(Time now, Time due) const {
  return !stopping_ || Since(now) < delays_.stop_accept_any || Since(due) <= delays_.stop_last_end;
}

}  // namespace kestrelline::lifecycle

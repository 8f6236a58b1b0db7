// SPDX-License-Identifier: Apache-2.0
//
// Decides what a proxy does between SIGTERM and its exit. No I/O, no clock.
//
// A request is admitted only if it can be answered before the process exits. The process is killed `grace`
// after SIGTERM, so the schedule counts back from that time:
//
//   SIGTERM       accept_until         finalize_at        exit_at   SIGKILL
//      |  admits buffered |  admits requests   |  finalizes    |         |
//      |  responses, and  |  that end by       |  what is      |         |
//      |  streams that end|  finalize_at       |  still open   |         |
//      |  by finalize_at  |                    |               |         |
//
// A buffered response that has not arrived by finalize_at is replaced by an error. A started stream would be
// truncated at the exit, whatever its backend's progress; so it is only admitted if its own deadline ends
// before that.
//
// New connections are accepted until the platform has seen two failed readiness checks, a second apart.
#ifndef KESTRELLINE_DATA_PLANE_DRAIN_SCHEDULE_H_
#define KESTRELLINE_DATA_PLANE_DRAIN_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <optional>

namespace kestrelline::data_plane {

// How a response is forwarded to the client.
enum class ResponseMode {
  kBuffered,  // in one piece, after all of it arrived
  kStreamed,  // event by event
};

class DrainSchedule {
 public:
  using Clock = std::chrono::steady_clock;
  using milliseconds = std::chrono::milliseconds;

  // Two readiness checks of the platform, a second apart, and time for connections already under way. Well
  // below the 3 s within which the operators excuse work that outlasts the process, because SIGTERM may be
  // noticed late.
  static constexpr milliseconds kAcceptAfterSigterm{2600};
  // Time between the exit and SIGKILL.
  static constexpr milliseconds kExitMargin{350};
  // Time to write the final responses.
  static constexpr milliseconds kFinalizeMargin{300};
  // The two margins above take at most 1 / kMaxMarginDivisor of the grace period: work cut off by the exit is
  // only excused in its last sixth.
  static constexpr int kMaxMarginDivisor = 6;
  // If finalization starts late, its responses are still written for this long, but not closer than this to
  // SIGKILL.
  static constexpr milliseconds kLateFinalizeTime{100};

  explicit DrainSchedule(milliseconds grace) : grace_(grace) {}

  // Call on SIGTERM. Further calls have no effect.
  void Begin(Clock::time_point now) {
    if (!sigterm_at_) sigterm_at_ = now;
  }
  bool draining() const { return sigterm_at_.has_value(); }
  Clock::time_point sigterm_at() const { return sigterm_at_.value_or(Clock::time_point::max()); }

  // Whether new connections are accepted and idle ones are kept open.
  bool AcceptsConnections(Clock::time_point now) const { return !sigterm_at_ || now < AcceptUntil(); }
  // Whether a request read completely at `now` is admitted; `latest_end` is its deadline.
  bool Admits(Clock::time_point now, Clock::time_point latest_end, ResponseMode mode) const {
    if (!sigterm_at_ || latest_end <= FinalizeAt()) return true;
    return AcceptsConnections(now) && mode == ResponseMode::kBuffered;
  }
  // Limits the deadline of a request. Requests without a response are answered at finalize_at; a started
  // stream may continue until the exit.
  Clock::time_point LimitDeadline(Clock::time_point latest_end) const {
    return sigterm_at_ ? std::min(latest_end, ExitAt()) : latest_end;
  }
  // Whether open requests must be answered now, with an error if necessary.
  bool ShouldFinalize(Clock::time_point now) const { return sigterm_at_ && now >= FinalizeAt(); }
  // Open requests were told to finish; their responses are still being written.
  void RecordFinalization(Clock::time_point now) {
    if (!finalized_at_) finalized_at_ = now;
  }
  // Whether the process exits now, regardless of open requests. If finalization was late because the process
  // was stalled, it gets its time as far as there is any: responses are written after the tick that
  // finalizes, never in it.
  bool ShouldExit(Clock::time_point now) const {
    if (!sigterm_at_ || now < ExitAt() || !finalized_at_ || now <= *finalized_at_) return false;
    return now >= *finalized_at_ + kLateFinalizeTime || now >= *sigterm_at_ + grace_ - kLateFinalizeTime;
  }

 private:
  // Scales a margin down if the grace period is short.
  milliseconds Margin(milliseconds margin) const {
    constexpr milliseconds kTotal = kExitMargin + kFinalizeMargin;
    return std::min(margin, margin * (grace_ / kMaxMarginDivisor).count() / kTotal.count());
  }
  Clock::time_point ExitAt() const { return *sigterm_at_ + grace_ - Margin(kExitMargin); }
  Clock::time_point FinalizeAt() const { return ExitAt() - Margin(kFinalizeMargin); }
  // At least half of the remaining time is kept for finishing admitted requests.
  Clock::time_point AcceptUntil() const {
    const milliseconds until_finalize = std::chrono::duration_cast<milliseconds>(FinalizeAt() - *sigterm_at_);
    return *sigterm_at_ + std::min(kAcceptAfterSigterm, until_finalize / 2);
  }

  milliseconds grace_;
  std::optional<Clock::time_point> sigterm_at_;
  std::optional<Clock::time_point> finalized_at_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_DRAIN_SCHEDULE_H_

// SPDX-License-Identifier: Apache-2.0
//
// What a proxy that is to stop (SIGTERM) still does, and until when. No I/O, no clock.
//
// A request is taken only if it can be answered before the process ends. The process is killed `grace` after
// SIGTERM, so the schedule counts back from there:
//
//   SIGTERM       serve_on_until          conclude_at       exit_at   SIGKILL
//      |  takes whole     |  takes what ends   |   answers     |         |
//      |  answers; streams|  by conclude_at    |   what is open|         |
//      |  that end by     |                    |               |         |
//      |  conclude_at     |                    |               |         |
//
// A whole answer that has not come by the conclusion is replaced by an error. A stream that has begun would
// be cut at the exit, however far its backend has come; so it must end in time by its own bounds.
//
// New connections come until the platform has seen two refusals, a second apart, of the readiness address.
#ifndef KESTRELLINE_DATA_PLANE_DRAIN_SCHEDULE_H_
#define KESTRELLINE_DATA_PLANE_DRAIN_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <optional>

namespace kestrelline::data_plane {

// How an answer goes on to the client.
enum class AnswerForm {
  kWhole,   // once all of it has come
  kStream,  // event by event
};

class DrainSchedule {
 public:
  using Clock = std::chrono::steady_clock;
  using milliseconds = std::chrono::milliseconds;

  // Two questions of the platform, a second apart, and some time for connections under way. Well below the
  // 3 s within which the operators excuse work that outlasts the process: SIGTERM may be noticed late.
  static constexpr milliseconds kServeOn{2600};
  // From the exit to SIGKILL.
  static constexpr milliseconds kExitMargin{350};
  // For the last answers to be written.
  static constexpr milliseconds kConcluding{300};
  // What these two take of the grace at the most: work that outlasts the process is excused in its last
  // sixth.
  static constexpr int kLargestShare = 6;
  // The answers of a conclusion that came late are written for this long, up to this much before SIGKILL.
  static constexpr milliseconds kLastAnswers{100};

  explicit DrainSchedule(milliseconds grace) : grace_(grace) {}

  // SIGTERM came. Another one changes nothing.
  void Begin(Clock::time_point now) {
    if (!began_) began_ = now;
  }
  bool begun() const { return began_.has_value(); }
  Clock::time_point began() const { return began_.value_or(Clock::time_point::max()); }

  // Whether new connections are accepted and idle ones kept.
  bool ServesOn(Clock::time_point now) const { return !began_ || now < ServeOnUntil(); }
  // Whether a request that is whole now is taken on; `latest_end` is when it is given up at the latest.
  bool Admits(Clock::time_point now, Clock::time_point latest_end, AnswerForm form) const {
    if (!began_ || latest_end <= ConcludeAt()) return true;
    return ServesOn(now) && form == AnswerForm::kWhole;
  }
  // When work on a request ends at the latest. What has no answer by the conclusion is answered then; a
  // stream that has begun may go on until the exit.
  Clock::time_point Bound(Clock::time_point latest_end) const {
    return began_ ? std::min(latest_end, ExitAt()) : latest_end;
  }
  // Whether what is open is to be answered now, with an error if need be.
  bool Concludes(Clock::time_point now) const { return began_ && now >= ConcludeAt(); }
  // What was open has been told to conclude; its answers are still to be written.
  void NoteConclusion(Clock::time_point now) {
    if (!concluded_) concluded_ = now;
  }
  // Whether the process ends now, whatever is open. A process that was held up gives a late conclusion its
  // time, as far as there is any: answers are written after the tick that concludes, never in it.
  bool Exits(Clock::time_point now) const {
    if (!began_ || now < ExitAt() || !concluded_ || now <= *concluded_) return false;
    return now >= *concluded_ + kLastAnswers || now >= *began_ + grace_ - kLastAnswers;
  }

 private:
  // A part of the margins, which are cut down together where the grace is short.
  milliseconds Margin(milliseconds part) const {
    constexpr milliseconds kWhole = kExitMargin + kConcluding;
    return std::min(part, part * (grace_ / kLargestShare).count() / kWhole.count());
  }
  Clock::time_point ExitAt() const { return *began_ + grace_ - Margin(kExitMargin); }
  Clock::time_point ConcludeAt() const { return ExitAt() - Margin(kConcluding); }
  // Half of the time is left to finish what was taken.
  Clock::time_point ServeOnUntil() const {
    const milliseconds until_conclusion = std::chrono::duration_cast<milliseconds>(ConcludeAt() - *began_);
    return *began_ + std::min(kServeOn, until_conclusion / 2);
  }

  milliseconds grace_;
  std::optional<Clock::time_point> began_;
  std::optional<Clock::time_point> concluded_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_DRAIN_SCHEDULE_H_

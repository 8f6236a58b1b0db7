// SPDX-License-Identifier: Apache-2.0
//
// Dates what a peer says by the receiver's own clock. A message that was held up on its way, or that lay in
// the socket while the process stood still, looks fresh by the time of its receipt. So the receiver sends a
// probe, the peer echoes the newest one that it got, and what comes with the echo was composed after the
// probe was sent. No clock is compared with another machine's. No I/O.
#ifndef KESTRELLINE_FRESHNESS_PROBE_CLOCK_H_
#define KESTRELLINE_FRESHNESS_PROBE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace kestrelline::freshness {

class ProbeClock {
 public:
  using Time = std::chrono::milliseconds;          // of the owner's steady clock
  static constexpr std::size_t kRemembered = 128;  // probes; echoes of older ones date nothing

  // `first` should be random: echoes of probes that an earlier life of the process sent are then unknown.
  explicit ProbeClock(std::uint64_t first) : next_(first) {}

  // The value of a probe that is sent now. Never 0, which stands for none.
  std::uint64_t Send(Time now) {
    if (next_ == 0) sent_.clear(), ++next_;
    if (sent_.size() >= kRemembered) sent_.pop_front();
    sent_.push_back({next_, now});
    return next_++;
  }
  // When the probe of that value was sent; nothing if it is unknown or forgotten.
  std::optional<Time> SentAt(std::uint64_t value) const {
    if (sent_.empty() || value < sent_.front().value || value > sent_.back().value) return std::nullopt;
    return sent_[value - sent_.front().value].at;
  }

 private:
  struct Sent {
    std::uint64_t value = 0;
    Time at{0};
  };
  std::deque<Sent> sent_;  // values without gaps
  std::uint64_t next_;
};

}  // namespace kestrelline::freshness

#endif  // KESTRELLINE_FRESHNESS_PROBE_CLOCK_H_

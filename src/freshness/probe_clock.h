// SPDX-License-Identifier: Apache-2.0
//
// Bounds the age of messages from a peer by the receiver's own clock. The time of receipt is no such bound: a
// message that was delayed in the network, or that waited in the socket while the process was suspended,
// looks fresh when it is read. The receiver therefore sends probes and the peer echoes the newest one it
// received; whatever comes with the echo was composed after that probe was sent. Clocks of different machines
// are never compared. Performs no I/O.
#ifndef KESTRELLINE_FRESHNESS_PROBE_CLOCK_H_
#define KESTRELLINE_FRESHNESS_PROBE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace kestrelline::freshness {

class ProbeClock {
 public:
  using Time = std::chrono::milliseconds;         // on the owner's steady clock
  static constexpr std::size_t kMaxProbes = 128;  // probes kept; echoes of older ones are ignored

  // `first` is the value of the first probe. It should be random, so that echoes of probes that were sent
  // before a restart of the process are not recognised.
  explicit ProbeClock(std::uint64_t first) : next_(first) {}

  // Records that a probe is sent now and returns its value. Never returns 0, which stands for no probe.
  std::uint64_t Send(Time now) {
    if (next_ == 0) sent_.clear(), ++next_;
    if (sent_.size() >= kMaxProbes) sent_.pop_front();
    sent_.push_back({next_, now});
    return next_++;
  }
  // Returns when the probe of that value was sent; nullopt if it is unknown or no longer kept.
  std::optional<Time> SentAt(std::uint64_t value) const {
    if (sent_.empty() || value < sent_.front().value || value > sent_.back().value) return std::nullopt;
    return sent_[value - sent_.front().value].at;
  }

 private:
  struct Sent {
    std::uint64_t value = 0;
    Time at{0};
  };
  std::deque<Sent> sent_;  // values are consecutive
  std::uint64_t next_;
};

}  // namespace kestrelline::freshness

#endif  // KESTRELLINE_FRESHNESS_PROBE_CLOCK_H_

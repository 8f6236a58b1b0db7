// SPDX-License-Identifier: Apache-2.0
//
// How many requests come to a proxy a second, averaged. No I/O, no clock: it is asked once each kInterval.
#ifndef KESTRELLINE_CONCERT_RATE_METER_H_
#define KESTRELLINE_CONCERT_RATE_METER_H_

#include <chrono>
#include <cstdint>
#include <utility>

namespace kestrelline::quota {

class RateMeter {
 public:
  static constexpr std::chrono::seconds kInterval{1};

  // `total`: requests that have come since the start.
  double Measure(std::uint64_t total) {
    const auto come = static_cast<double>(total - std::exchange(total_, total));
    return rate_ += kGain * (come - rate_);
  }
  double rate() const { return rate_; }

 private:
  static constexpr double kGain = 0.5;  // of one second

  std::uint64_t total_ = 0;
  double rate_ = 0;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_CONCERT_RATE_METER_H_

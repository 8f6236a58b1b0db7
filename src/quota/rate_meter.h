// SPDX-License-Identifier: Apache-2.0
//
// Moving average of the request rate of one proxy. No I/O, no clock: the caller samples it once per
// kInterval.
#ifndef KESTRELLINE_QUOTA_RATE_METER_H_
#define KESTRELLINE_QUOTA_RATE_METER_H_

#include <chrono>
#include <cstdint>
#include <utility>

namespace kestrelline::quota {

class RateMeter {
 public:
  static constexpr std::chrono::seconds kInterval{1};

  // `total`: requests received since the start. Returns the averaged rate in requests per second.
  double Measure(std::uint64_t total) {
    const auto received = static_cast<double>(total - std::exchange(total_, total));
    return rate_ += kGain * (received - rate_);
  }
  double rate() const { return rate_; }

 private:
  static constexpr double kGain = 0.5;  // weight of the latest interval

  std::uint64_t total_ = 0;
  double rate_ = 0;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_RATE_METER_H_

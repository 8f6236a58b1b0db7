// SPDX-License-Identifier: Apache-2.0
//
// Latencies with a bounded relative error, and the correction that an open loop needs: a latency counts from
// when a request was meant to be sent, so that a stall is seen by every request that it delayed.
#ifndef KESTRELLINE_LOAD_LATENCY_H_
#define KESTRELLINE_LOAD_LATENCY_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

namespace kestrelline::load {

using Microseconds = std::chrono::microseconds;

// 1 us to 1 h, what is outside counts at the ends; a quantile is off by the relative error at most. 18 kB
// each at kRelativeError, and less in proportion at a larger one.
class Latencies {
 public:
  static constexpr double kRelativeError = 0.005;

  Latencies() : Latencies(kRelativeError) {}
  // Those that are to be added up have the same error.
  explicit Latencies(double relative_error);
  void Add(Microseconds latency, std::uint64_t times = 1);
  Latencies& operator+=(const Latencies& other);

  // For files: counts by bin, without the empty ones, and back again. False if there is no such bin.
  std::vector<std::pair<int, std::uint64_t>> Bins() const;
  bool AddBin(int bin, std::uint64_t times);
  void SetExact(Microseconds least, Microseconds most, double sum_us);
  double sum_us() const { return sum_us_; }

  std::uint64_t count() const { return count_; }
  Microseconds least() const { return count_ == 0 ? Microseconds(0) : least_; }  // exact
  Microseconds most() const { return most_; }                                    // exact
  double mean_us() const;

  // The latency that a share `q` (0 to 1) of all have at most; 0 without any.
  Microseconds Quantile(double q) const;
  // How many took longer than so long, to the error above.
  std::uint64_t Over(Microseconds limit) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

  Counts counts_;
  std::uint64_t count_ = 0;
  double sum_us_ = 0;
  Microseconds least_ = Microseconds::max(), most_{0};
};

// One request of an open loop, times from the start of the run.
struct Timing {
  Microseconds intended{0}, sent{0}, answered{0};
  // When the generator got to it, and looked for a connection; below 0: when it was sent.
  Microseconds ready{-1};
};

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_LATENCY_H_

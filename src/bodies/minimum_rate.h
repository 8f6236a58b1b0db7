// SPDX-License-Identifier: Apache-2.0
//
// Minimum rate of a body sent by a peer: an initial allowance, and then an average rate. Only time spent
// waiting for the peer counts, not time in which nothing was read from it. No I/O, no clock.
#ifndef KESTRELLINE_BODIES_MINIMUM_RATE_H_
#define KESTRELLINE_BODIES_MINIMUM_RATE_H_

#include <chrono>
#include <cstddef>

namespace kestrelline::bodies {

class MinimumRate {
 public:
  using Span = std::chrono::steady_clock::duration;

  // `start`: initial allowance. `bytes_per_s`: required average rate after that.
  MinimumRate(Span start, double bytes_per_s) : credit_(start), bytes_per_s_(bytes_per_s) {}

  // How long to wait for the next bytes.
  Span Remaining() const { return credit_; }
  void OnRead(Span waited, std::size_t bytes) {
    credit_ += std::chrono::duration_cast<Span>(
                   std::chrono::duration<double>(static_cast<double>(bytes) / bytes_per_s_)) -
               waited;
    // A fast start must not earn a long pause.
    if (credit_ > kMaxCredit) credit_ = kMaxCredit;
  }

 private:
  static constexpr std::chrono::seconds kMaxCredit{10};

  Span credit_;
  double bytes_per_s_;
};

}  // namespace kestrelline::bodies

#endif  // KESTRELLINE_BODIES_MINIMUM_RATE_H_

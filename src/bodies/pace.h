// SPDX-License-Identifier: Apache-2.0
//
// How long a peer may take over a body that it sends: a start, and then a rate on the whole. Only the time
// for which it was waited for counts: who is not read from is not slow. No I/O, no clock.
#ifndef KESTRELLINE_BODIES_PACE_H_
#define KESTRELLINE_BODIES_PACE_H_

#include <chrono>
#include <cstddef>

namespace kestrelline::bodies {

class Pace {
 public:
  using Span = std::chrono::steady_clock::duration;

  // `bytes_per_s`: on the whole, after `start`.
  Pace(Span start, double bytes_per_s) : credit_(start), bytes_per_s_(bytes_per_s) {}

  // For how long it may be waited for now.
  Span Remaining() const { return credit_; }
  void OnRead(Span waited, std::size_t bytes) {
    credit_ += std::chrono::duration_cast<Span>(
                   std::chrono::duration<double>(static_cast<double>(bytes) / bytes_per_s_)) -
               waited;
    // What came fast does not buy a long silence.
    if (credit_ > kMaxCredit) credit_ = kMaxCredit;
  }

 private:
  static constexpr std::chrono::seconds kMaxCredit{10};

  Span credit_;
  double bytes_per_s_;
};

}  // namespace kestrelline::bodies

#endif  // KESTRELLINE_BODIES_PACE_H_

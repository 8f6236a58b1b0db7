// SPDX-License-Identifier: Apache-2.0
//
// A member's promise to support nobody else for a while. No I/O, no clock.
//
// Nothing is kept on disk: who starts anew may have promised something just before, and promises nothing
// until that must have ended.
#ifndef KESTRELLINE_CONCERT_VOTER_H_
#define KESTRELLINE_CONCERT_VOTER_H_

#include <algorithm>

#include "concert/message.h"

namespace kestrelline::quota {

// Clocks that run this much too fast or too slow do no harm: whoever gives counts a span as longer, whoever
// takes as shorter.
inline constexpr double kDrift = 0.02;
inline Span Longer(Span span) { return std::chrono::duration_cast<Span>(span * (1 + kDrift)); }
inline Span Shorter(Span span) { return std::chrono::duration_cast<Span>(span * (1 - kDrift)); }

class Voter {
 public:
  Voter(Span lease, Time now) : lease_(lease), until_(now + Longer(lease)) {}

  // Whether it supports that term from now on, for the length of the lease.
  bool Ask(Time now, const Term& term) {
    Learn(term.number);
    if (now < until_ && term != promised_) return false;
    if (term < promised_) return false;
    promised_ = term;
    until_ = now + Longer(lease_);
    return true;
  }
  void Learn(std::uint64_t number) { greatest_ = std::max(greatest_, number); }
  // The number of the latest term that it has heard of.
  std::uint64_t greatest() const { return greatest_; }
  Time until() const { return until_; }

 private:
  Span lease_;
  Term promised_;
  std::uint64_t greatest_ = 0;
  Time until_;  // of the promise, or of the silence at the start
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_CONCERT_VOTER_H_

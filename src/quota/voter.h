// SPDX-License-Identifier: Apache-2.0
//
// A member's vote: a promise to support no other allocator for the length of a lease. No I/O, no clock.
//
// Nothing is stored on disk. A process that has just started may have made a promise before it restarted, so
// it promises nothing until any such promise has expired.
#ifndef KESTRELLINE_QUOTA_VOTER_H_
#define KESTRELLINE_QUOTA_VOTER_H_

#include <algorithm>

#include "quota/message.h"

namespace kestrelline::quota {

// Tolerated clock drift, as a fraction: clocks that run this much too fast or too slow do no harm, because
// whoever grants a time counts it as longer and whoever receives it counts it as shorter.
inline constexpr double kMaxClockDrift = 0.02;
inline Span LengthenedByDrift(Span span) {
  return std::chrono::duration_cast<Span>(span * (1 + kMaxClockDrift));
}
inline Span ShortenedByDrift(Span span) {
  return std::chrono::duration_cast<Span>(span * (1 - kMaxClockDrift));
}

class Voter {
 public:
  Voter(Span lease, Time now) : lease_(lease), until_(now + LengthenedByDrift(lease)) {}

  // Returns whether the member supports that term; if so, it is bound to the term for the length of a lease.
  bool RequestVote(Time now, const Term& term) {
    ObserveTerm(term.number);
    if (now < until_ && term != promised_) return false;
    if (term < promised_) return false;
    promised_ = term;
    until_ = now + LengthenedByDrift(lease_);
    return true;
  }
  void ObserveTerm(std::uint64_t number) { highest_term_ = std::max(highest_term_, number); }
  // Number of the latest term that the member knows of.
  std::uint64_t highest_term() const { return highest_term_; }
  Time until() const { return until_; }

 private:
  Span lease_;
  Term promised_;
  std::uint64_t highest_term_ = 0;
  Time until_;  // end of the promise, or of the waiting time after the start
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_VOTER_H_

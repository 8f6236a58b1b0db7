// SPDX-License-Identifier: Apache-2.0
//
// What whoever leads has handed out of the pool, and to whom how much more may go. No I/O, no clock.
//
// Safe whatever is lost or late: a grant counts until its time is up by the giver's clock, or until its
// holder has said that it took a later one; of a holder's grants that may be in use the greatest counts. What
// all of them sum up to never passes the pool.
#ifndef KESTRELLINE_CONCERT_POOL_H_
#define KESTRELLINE_CONCERT_POOL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "concert/message.h"

namespace kestrelline::quota {

class Pool {
 public:
  // `size`: of the pool, 0 to 1.
  explicit Pool(double size) : size_(size) {}

  // Hands out as much of `wish` as is free to the process that goes by this boot.
  Grant Give(Time now, std::uint64_t boot, double wish, Span lasts, std::uint64_t answers);
  // It has taken the grant of that number, and uses none before it.
  void OnTaken(std::uint64_t boot, std::uint64_t number);
  void Tick(Time now);

  double size() const { return size_; }
  double Outstanding(Time now, std::uint64_t boot) const;
  double Outstanding(Time now);  // of all

 private:
  struct Given {
    std::uint64_t number;
    double share;
    Time until;
  };
  // Of one holder; more are not kept: the oldest two count as one that lasts as long as the longer.
  static constexpr std::size_t kMostGiven = 8;

  double size_;
  std::uint64_t last_ = 0;
  double sum_ = 0;  // of all that is outstanding, as of then: a round gives to each in turn
  Time summed_at_{};
  std::map<std::uint64_t, std::vector<Given>> given_;  // by boot, in the order of their numbers
};

// What each is to have of the pool: half of it in even parts, half by what comes to each.
std::vector<double> Divided(double pool, const std::vector<double>& rates);

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_CONCERT_POOL_H_

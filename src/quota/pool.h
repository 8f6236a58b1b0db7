// SPDX-License-Identifier: Apache-2.0
//
// The allocator's account of the pool: which grants are outstanding, and how much more may be granted to
// whom. No I/O, no clock.
//
// Safe whatever messages are lost or delayed: a grant counts as outstanding until it expires by the
// allocator's clock, or until its holder confirms a later one. Of the grants of one holder that may still be
// in use the largest counts. The sum over all holders never exceeds the pool.
#ifndef KESTRELLINE_QUOTA_POOL_H_
#define KESTRELLINE_QUOTA_POOL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "quota/message.h"

namespace kestrelline::quota {

class Pool {
 public:
  // `size`: part of the whole that is granted dynamically, 0 to 1.
  explicit Pool(double size) : size_(size) {}

  // Grants as much of `requested` as is free to the process with this boot number. `reply_number`: the reply
  // that the grant acknowledges.
  Grant Issue(Time now, std::uint64_t boot, double requested, Span duration, std::uint64_t reply_number);
  // The holder uses the grant of that number, and none before it.
  void OnAccepted(std::uint64_t boot, std::uint64_t number);
  // Forgets expired grants.
  void Tick(Time now);

  double size() const { return size_; }
  double Outstanding(Time now, std::uint64_t boot) const;
  double Outstanding(Time now);  // of all holders

 private:
  struct IssuedGrant {
    std::uint64_t number;
    double share;
    Time until;
  };
  // Grants kept per holder. Beyond that the two oldest are merged into one with the larger share and the
  // later expiry, which never counts less than both did.
  static constexpr std::size_t kMaxGrantsPerHolder = 8;

  double size_;
  std::uint64_t last_number_ = 0;
  // Sum of all outstanding grants as of `summed_at_`: a round issues grants to all holders at one time.
  double sum_ = 0;
  Time summed_at_{};
  std::map<std::uint64_t, std::vector<IssuedGrant>> issued_;  // by boot number, in ascending order of grants
};

// Splits the pool among members with these request rates: half of it evenly, half in proportion to the rates.
std::vector<double> DivideByRates(double pool, const std::vector<double>& rates);

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_POOL_H_

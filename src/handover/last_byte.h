// SPDX-License-Identifier: Apache-2.0
//
// When the last byte of a request is held back for a moment. No I/O, no clock.
//
// A connection that breaks after a request was written leaves open whether it ran: what must not run twice
// has failed then. A connection that breaks before the last byte was written proves that it never ran, and
// the request may go elsewhere. Most of the connections that break at all do so at once, under the first
// bytes of a next request. So while that is seen to happen, requests are written but for their last byte, and
// that follows when the connection has stood a little longer.
//
// What it costs is the wait, as a share of the time in which an answer is worth something; what it brings is
// the share of attempts that break within the wait, weighed by what a break costs the request. The wait is
// the one that brings the most over its cost, and none where none does.
#ifndef KESTRELLINE_HANDOVER_LAST_BYTE_H_
#define KESTRELLINE_HANDOVER_LAST_BYTE_H_

#include <array>
#include <cstddef>

#include "kestrelline/balancer.h"

namespace kestrelline::handover {

class LastByte {
 public:
  static constexpr std::array kWaits{Duration(0.25), Duration(0.5), Duration(1), Duration(2)};
  static constexpr Duration kMemory{10000};  // what was seen counts by 1/e after this
  static constexpr double kLeastSeen = 2;    // breaks, below which nothing is made of them
  // Of the worth of a request, what an unproven break costs it: one that cannot be repeated is lost, others
  // lose the time and a repeat of the budget.
  static constexpr double kLossUnsafe = 1, kLossKeyed = 0.2, kLossSafe = 0.1;

  // An attempt has ended, `after` the first byte of it was written. `broke`: its connection broke or ended
  // before any byte of an answer, held back or not.
  void OnEnded(TimePoint now, Duration after, bool broke);

  // How long to hold the last byte of a request of this effect, which is worth something for `useful` more;
  // 0: not at all.
  Duration WaitFor(TimePoint now, Effect effect, Duration useful) const;

 private:
  double Kept(TimePoint now) const;

  // As of `as_of_`.
  double attempts_ = 0;
  std::array<double, kWaits.size()> broke_within_{};
  TimePoint as_of_{};
};

}  // namespace kestrelline::handover

#endif  // KESTRELLINE_HANDOVER_LAST_BYTE_H_

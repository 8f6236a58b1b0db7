// SPDX-License-Identifier: Apache-2.0
//
// Decides when to delay the last byte of a request for a moment. Performs no I/O and reads no clock.
//
// If a connection breaks after a request was written, it is unknown whether the request ran, and one that
// must not run twice has failed. If it breaks before the last byte was written, the request cannot have run
// and may be sent to another server. Most connections that break do so immediately, under the first bytes of
// the next request. While such breaks are observed, requests are therefore written except for their last
// byte, which follows once the connection has stayed open a little longer.
//
// The cost of a delay is its share of the time during which a response is still useful. Its gain is the share
// of attempts that break within the delay, weighted by the loss that a break means for the request. The delay
// with the largest net gain is chosen, or none if no delay has a positive net gain.
#ifndef KESTRELLINE_HANDOVER_LAST_BYTE_H_
#define KESTRELLINE_HANDOVER_LAST_BYTE_H_

#include <array>
#include <cstddef>

#include "kestrelline/balancer.h"

namespace kestrelline::handover {

class LastByte {
 public:
  static constexpr std::array kDelays{Duration(0.25), Duration(0.5), Duration(1), Duration(2)};
  // Time constant of the exponential decay of observations: their weight falls to 1/e after this time.
  static constexpr Duration kDecayTime{10000};
  static constexpr double kMinBreaks = 2;  // with fewer observed breaks, bytes are not delayed
  // The loss of a request, as a share of its value, if a break leaves open whether it ran: a request that
  // cannot be repeated is lost, others lose time and one retry of the budget.
  static constexpr double kLossUnsafe = 1, kLossKeyed = 0.2, kLossSafe = 0.1;

  // Records the end of an attempt, `after` its first byte was written. `broke`: the connection broke or was
  // closed before any byte of a response arrived, whether or not the last byte was delayed.
  void OnEnded(TimePoint now, Duration after, bool broke);

  // Returns how long to delay the last byte of a request with this effect whose response is useful for
  // `useful` longer; 0 for no delay.
  Duration WaitFor(TimePoint now, Effect effect, Duration useful) const;

 private:
  // The factor by which observations have decayed since `as_of_`.
  double DecayFactor(TimePoint now) const;

  // Decayed counts as of `as_of_`.
  double attempts_ = 0;
  std::array<double, kDelays.size()> broke_within_{};
  TimePoint as_of_{};
};

}  // namespace kestrelline::handover

#endif  // KESTRELLINE_HANDOVER_LAST_BYTE_H_

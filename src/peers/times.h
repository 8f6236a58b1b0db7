// SPDX-License-Identifier: Apache-2.0
//
// The times of the view, and what follows from them. No I/O, no clock.
#ifndef KESTRELLINE_PEERS_TIMES_H_
#define KESTRELLINE_PEERS_TIMES_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "peers/member.h"

namespace kestrelline::peers {

inline constexpr std::size_t kRelays = 3;         // asked to try where a ping is not answered
inline constexpr std::size_t kConfirmations = 3;  // after which a suspicion is as short as it gets

struct Times {
  Span period = std::chrono::milliseconds(200);           // from one probe to the next
  Span least_suspicion = std::chrono::milliseconds(900);  // however small the fleet
  Span digest_every = std::chrono::milliseconds(2000);
  Span digest_again = std::chrono::milliseconds(200);    // after one in which something differed
  Span knock_every = std::chrono::milliseconds(500);     // at those believed to be gone
  Span reading_holds = std::chrono::milliseconds(1000);  // before a partition is said to be one, or over
  Span heard_lately = std::chrono::milliseconds(3000);
  double longest_suspicion = 3;  // without confirmations, times the shortest; 1: plain SWIM
  double health_step = 0.5;      // by which waits grow with each sign of one's own slowness; 0: plain SWIM
  Span left_kept = std::chrono::minutes(1);
  Span failed_kept = std::chrono::hours(1);

  // For how long a suspicion stands before it counts as a failure (SWIM 4.2; Lifeguard 4.2): it shortens with
  // the logarithm of its independent confirmations.
  Span Suspicion(std::size_t members, std::size_t confirmations) const {
    const double least = std::max(std::chrono::duration<double>(least_suspicion).count(),
                                  4 * std::log10(static_cast<double>(std::max<std::size_t>(members, 1))) *
                                      std::chrono::duration<double>(period).count());
    const double most = longest_suspicion * least;
    // Of a few members no more can confirm than there are beside the accuser and the accused.
    const std::size_t can = std::min(kConfirmations, members > 2 ? members - 2 : 0);
    const double share = can == 0 ? 1
                                  : std::log(static_cast<double>(std::min(confirmations, can)) + 1) /
                                        std::log(static_cast<double>(can) + 1);
    return std::chrono::duration_cast<Span>(std::chrono::duration<double>(most - (most - least) * share));
  }
  // How often a piece of news is told.
  static unsigned Tellings(std::size_t members) {
    return 4 * static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(members + 1))));
  }
  // By when a crash is known to all, as far as one can say: the file's own promise is checked against it.
  Span Detection(std::size_t members) const {
    const double rounds = std::log2(static_cast<double>(std::max<std::size_t>(members, 2)));
    return std::chrono::duration_cast<Span>(period * (3 + rounds)) + Suspicion(members, kConfirmations - 1);
  }
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_TIMES_H_

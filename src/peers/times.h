// SPDX-License-Identifier: Apache-2.0
//
// Timing parameters of the membership protocol, and the delays derived from them. No I/O, no clock.
#ifndef KESTRELLINE_PEERS_TIMES_H_
#define KESTRELLINE_PEERS_TIMES_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "peers/member.h"

namespace kestrelline::peers {

inline constexpr std::size_t kRelays = 3;            // members asked to ping one that did not answer
inline constexpr std::size_t kMaxConfirmations = 3;  // beyond these a suspicion gets no shorter

struct Times {
  Span period = std::chrono::milliseconds(200);         // between probes
  Span min_suspicion = std::chrono::milliseconds(900);  // lower bound, however small the fleet is
  Span digest_interval = std::chrono::milliseconds(2000);
  Span digest_retry_interval = std::chrono::milliseconds(200);  // after an exchange that found differences
  Span contact_interval = std::chrono::milliseconds(500);       // between attempts to reach absent members
  Span connectivity_hold = std::chrono::milliseconds(1000);     // before a partition or its end is reported
  Span recent_contact = std::chrono::milliseconds(3000);  // how old a member's view hash may be; Settled()
  double max_suspicion_factor = 3;  // suspicion without confirmations, in minimum suspicions; 1: plain SWIM
  double health_step = 0.5;  // growth of timeouts for each point of the local health score; 0: plain SWIM
  Span left_retention = std::chrono::minutes(1);  // how long a member that left is remembered
  Span failed_retention = std::chrono::hours(1);  // how long a member that failed is remembered

  // How long a suspicion lasts before it counts as a failure (SWIM 4.2; Lifeguard 4.2). It shortens with the
  // logarithm of its independent confirmations.
  Span Suspicion(std::size_t members, std::size_t confirmations) const {
    const double min = std::max(std::chrono::duration<double>(min_suspicion).count(),
                                4 * std::log10(static_cast<double>(std::max<std::size_t>(members, 1))) *
                                    std::chrono::duration<double>(period).count());
    const double max = max_suspicion_factor * min;
    // Only members other than the accuser and the accused can confirm.
    const std::size_t confirmers = std::min(kMaxConfirmations, members > 2 ? members - 2 : 0);
    const double share = confirmers == 0
                             ? 1
                             : std::log(static_cast<double>(std::min(confirmations, confirmers)) + 1) /
                                   std::log(static_cast<double>(confirmers) + 1);
    return std::chrono::duration_cast<Span>(std::chrono::duration<double>(max - (max - min) * share));
  }
  // How often an update is sent (gossip.h).
  static unsigned RetransmitLimit(std::size_t members) {
    return 4 * static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(members + 1))));
  }
  // The estimated time until all members know of a crash. The setting detect_within is checked against it.
  Span DetectionTime(std::size_t members) const {
    const double rounds = std::log2(static_cast<double>(std::max<std::size_t>(members, 2)));
    return std::chrono::duration_cast<Span>(period * (3 + rounds)) +
           Suspicion(members, kMaxConfirmations - 1);
  }
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_TIMES_H_

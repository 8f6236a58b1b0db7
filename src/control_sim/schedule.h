// SPDX-License-Identifier: Apache-2.0
//
// Days of a simulated control plane: troubles one after the other, drawn from a seed, never more disks lost
// than the deployment is to bear; orders all the while; after each round the system must serve again in time.
// A day that breaks a promise is cut down to the rounds that it needs.
#ifndef KESTRELLINE_CONTROL_SIM_SCHEDULE_H_
#define KESTRELLINE_CONTROL_SIM_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "control_sim/world.h"

namespace kestrelline::control_sim {

enum class Trouble {
  kNone,
  kKill,
  kKillAtEvent,  // after some messages and syncs
  kPowerLoss,
  kWipe,
  kWipeAfterAcknowledgement,  // whoever led as an order was acknowledged
  kCutOff,                    // from all members, for long
  kCutOffBehind,              // so that it misses changes, then another loses its disk
  kHold,                      // its links hold what is sent, and deliver it late
  kOneWay,
  kFreeze,
  kFreezeAll,
  kFreezeProxy,
  kDiskFull,
  kDiskSlow,
  kRestartAll,
  kPowerLossOfAll,        // one of them without its disk
  kPlannedLeave,          // a new machine first, then SIGTERM, then another loss at once
  kReplace,               // gone for good, then a new machine, then another loss at once
  kRestartPlanned,        // SIGTERM, and back with its disk
  kRace,                  // two operators build on one version
  kRestartProxyAtCutOff,  // a proxy starts that reaches only one that is cut off
  kDamageFirst,           // a founder's disk is damaged while `bootstrap` still holds
  kCount,
};
const char* NameOf(Trouble trouble);

struct Round {
  Trouble trouble = Trouble::kNone;
  std::uint64_t seed = 0;  // of all that is drawn within it
};

struct Day {
  WorldOptions options;
  std::vector<Round> rounds;
};

struct DayResult {
  std::string broken;  // empty: every promise was kept
  int orders = 0;
  Duration longest_repair{0};          // from the start of a new machine to its seat
  Duration longest_without_leader{0};  // after a round's trouble had ended
};

// The day of that seed, at 3 members of which one may be lost, or at 5 of which two may.
Day DrawDay(std::uint64_t seed, int members = 3, int rounds = 8);
DayResult Play(const Day& day);
// The same with as few rounds as break a promise still.
Day Shrink(const Day& day);
std::string Describe(const Day& day);

}  // namespace kestrelline::control_sim

#endif  // KESTRELLINE_CONTROL_SIM_SCHEDULE_H_

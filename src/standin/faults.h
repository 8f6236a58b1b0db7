// SPDX-License-Identifier: Apache-2.0
//
// Faults of a stand-in site: what, whom, when, for how long. On a schedule, or on command. No I/O, no clock.
#ifndef KESTRELLINE_STANDIN_FAULTS_H_
#define KESTRELLINE_STANDIN_FAULTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "charts/chart.h"
#include "load/ledger.h"

namespace kestrelline::standin {

using load::Microseconds;

struct Fault {
  enum class Kind {
    // Of converters.
    kSlow,       // its cores, by `amount`
    kStall,      // reads, writes and accepts nothing
    kStallBody,  // every answer pauses in its middle, for `amount` ms
    kReset,      // a share `amount` of its answers ends in a reset in the middle of the body
    kLose,       // a share `amount` of its connections is reset as a request comes on them
    kMute,       // a share `amount` of its unsafe requests is never answered; all others are
    kRefuse,     // nobody listens, and what is open is reset
    kVanish,     // open connections fall silent, new ones never come up; all are reset when it is back
    kDrain,      // terminating, and gone after `lasts`
    kRestart,    // dies, and is back under its id after `lasts`, cold
    kReplace,    // dies, and another id is at its addresses after `lasts`, cold
    // Of discovery. No target.
    kLateList,  // says nothing new
    kDown,      // watches end, nobody listens
    kGarble,    // every list that it sends breaks off in its middle, and is none
    // Of proxies.
    kPause,         // SIGSTOP, and SIGCONT after `lasts`
    kKill,          // SIGKILL, and a new start after `lasts`
    kRestartProxy,  // SIGTERM, and a new start after its end
    // Of the network between proxies that are peers; `who`: "n0>n1" one way, "n0-n1" both, "n0" all of its
    // links, "zone:ebene" those between that zone and the others, "all". kestrelsim run plays the first and
    // the
    // third between proxies and converters.
    kCut,       // nothing passes
    kNetLoss,   // a share `amount` of datagrams is lost
    kNetDelay,  // all come `amount` ms later, half as much again by chance
    kNetTwice,  // a share `amount` comes twice
    kNetOrder,  // a share `amount` is overtaken
    kNetSlow    // `amount` bytes a second pass
  };
  Microseconds at{0};  // from the start of the schedule
  Kind kind = Kind::kSlow;
  std::string who;  // an id, "cell:2", "zone:ebene", or a share ("25%"), drawn by seed
  Microseconds lasts{0};
  double amount = 0;

  bool operator==(const Fault&) const = default;
};

enum class Target { kConverters, kDiscovery, kProxies, kNetwork };

struct FaultKind {
  Fault::Kind kind;
  std::string_view name;
  Target target;
  std::string_view amount;  // what it means; empty if it has none
  double least, most;       // of the amount
};

const std::vector<FaultKind>& FaultKinds();
const FaultKind& KindOf(Fault::Kind kind);
const FaultKind* FindKind(std::string_view name);

// In seconds, for the time axis of charts.
charts::Span SpanOf(const Fault& fault);

// "slow s-03 10s 3", "late_list 2s": KIND [WHO] FOR [AMOUNT]. Nothing, and why, if it is not right.
std::optional<Fault> ParseCommand(std::string_view line, std::string* why);

// Whom a fault may meet.
struct Candidate {
  std::string id, zone;
  int cell = 0;
};

// The ids that `who` means; empty if none. A share is at least one, and depends on the seed and the fault
// alone.
std::vector<std::string> Victims(const Fault& fault, const std::vector<Candidate>& candidates,
                                 std::uint64_t seed);

// The ordered pairs of candidates, by their places, whose links `who` means; empty if none.
std::vector<std::pair<int, int>> Links(std::string_view who, const std::vector<Candidate>& candidates);

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_FAULTS_H_

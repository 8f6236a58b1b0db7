// SPDX-License-Identifier: Apache-2.0
//
// Conflict resolution between two processes with the same name. Stateful, but without I/O or clock.
//
//     the other has this process's address         it is stale, since one address has one process; raise
//     it is live and started earlier (lower boot)  yield
//     it is live and started later                 raise, so that it learns of this process
//     its liveness is unknown                      raise, and contact it
//
// To raise is to set the own incarnation above the other's. A process counts as live if it has sent a
// datagram itself, or if it keeps raising its incarnation over this one's, which no other process can do on
// its behalf. If both are live, both apply the same rule, so that exactly one yields.
#ifndef KESTRELLINE_PEERS_NAME_CONFLICT_H_
#define KESTRELLINE_PEERS_NAME_CONFLICT_H_

#include <cstdint>
#include <map>
#include <utility>

#include "peers/member.h"

namespace kestrelline::peers {

// See the head of this file. Keeps what is known of at most kMaxRivals other processes.
class NameConflict {
 public:
  // What this process has to do about a statement that carries its name.
  enum class Verdict { kIgnore, kRaise, kYield };
  // A rival that has raised its incarnation more often than this counts as live.
  static constexpr int kRaisesProvingLiveness = 3;
  static constexpr std::size_t kMaxRivals = 16;

  // `direct`: the statement comes from `other` itself and wasn't relayed.
  Verdict Judge(const Member& self, const Member& other, bool direct) {
    if (other.name != self.name || other.boot == self.boot) return Verdict::kIgnore;
    if (other.address == self.address) return Supersedes(other, self) ? Verdict::kRaise : Verdict::kIgnore;
    if (rivals_.size() >= kMaxRivals && !rivals_.contains(other.boot)) rivals_.erase(rivals_.begin());
    Rival& rival = rivals_[other.boot];
    if (Present(other.state) && other.incarnation > rival.incarnation && Supersedes(other, self)) {
      rival.incarnation = other.incarnation;
      ++rival.raised;
    }
    const bool lives = Present(other.state) && (direct || rival.raised > kRaisesProvingLiveness);
    if (lives && other.boot < self.boot) return Verdict::kYield;
    return Supersedes(other, self) ? Verdict::kRaise : Verdict::kIgnore;
  }
  // True for the first call about this rival since it was last added to the table.
  bool IsFirstReport(std::uint64_t boot) { return !std::exchange(rivals_[boot].reported, true); }

 private:
  struct Rival {
    std::uint64_t incarnation = 0;
    int raised = 0;
    bool reported = false;
  };
  std::map<std::uint64_t, Rival> rivals_;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_NAME_CONFLICT_H_

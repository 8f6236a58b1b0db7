// SPDX-License-Identifier: Apache-2.0
//
// Two processes of one name: which one holds it. No I/O, no clock.
//
//     the other's address is this process's own    it is gone: an address has one process; raise
//     it lives, and started earlier (lesser boot)  yield
//     it lives, and started later                  raise, so that it hears of this one
//     nobody knows whether it lives                raise, and ask it
//
// A process lives if it has written itself, or has kept raising its incarnation over this one's: nobody else
// can. Where both live the rule is the same at both, so that one yields and the other stays.
#ifndef KESTRELLINE_PEERS_CONTEST_H_
#define KESTRELLINE_PEERS_CONTEST_H_

#include <cstdint>
#include <map>
#include <utility>

#include "peers/member.h"

namespace kestrelline::peers {

class Contest {
 public:
  enum class Verdict { kIgnore, kRaise, kYield };
  static constexpr int kRaisesOfTheLiving = 3;
  static constexpr std::size_t kMostRivals = 16;

  // `direct`: `other` has written this itself.
  Verdict Judge(const Member& self, const Member& other, bool direct) {
    if (other.name != self.name || other.boot == self.boot) return Verdict::kIgnore;
    if (other.address == self.address) return Wins(other, self) ? Verdict::kRaise : Verdict::kIgnore;
    if (rivals_.size() >= kMostRivals && !rivals_.contains(other.boot)) rivals_.erase(rivals_.begin());
    Rival& rival = rivals_[other.boot];
    if (Present(other.state) && other.incarnation > rival.incarnation && Wins(other, self)) {
      rival.incarnation = other.incarnation;
      ++rival.raised;
    }
    const bool lives = Present(other.state) && (direct || rival.raised > kRaisesOfTheLiving);
    if (lives && other.boot < self.boot) return Verdict::kYield;
    return Wins(other, self) ? Verdict::kRaise : Verdict::kIgnore;
  }
  // True the first time that a rival is heard of since it was last forgotten.
  bool IsNews(std::uint64_t boot) { return !std::exchange(rivals_[boot].told, true); }

 private:
  struct Rival {
    std::uint64_t incarnation = 0;
    int raised = 0;
    bool told = false;
  };
  std::map<std::uint64_t, Rival> rivals_;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_CONTEST_H_

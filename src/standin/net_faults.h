// SPDX-License-Identifier: Apache-2.0
//
// A network with faults between members that are numbered: what becomes of each datagram, by ordered pair. No
// I/O, no clock.
//
// What becomes of the n-th datagram of a pair depends on the seed, the pair, n, and the state of the pair
// alone, so that a run can be played again; what was decided can be recorded and be decided the same way
// again.
#ifndef KESTRELLINE_STANDIN_NET_FAULTS_H_
#define KESTRELLINE_STANDIN_NET_FAULTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "standin/faults.h"

namespace kestrelline::standin {

// How one direction of a link behaves.
struct LinkState {
  bool cut = false;
  double loss = 0, duplicate = 0, reorder = 0;  // shares of datagrams
  std::chrono::microseconds delay{0}, jitter{0};
  double bytes_per_s = 0;  // 0: no limit; what would wait for over a second is dropped

  bool operator==(const LinkState&) const = default;
};

class NetFaults {
 public:
  using Microseconds = std::chrono::microseconds;
  using Pair = std::pair<int, int>;  // from, to

  struct Verdict {
    std::uint64_t number = 0;          // of the datagram, among those of its pair
    std::vector<Microseconds> copies;  // how late each one is; none: dropped
    bool operator==(const Verdict&) const = default;
  };
  using OnVerdict = std::function<void(Microseconds now, Pair, const Verdict&)>;

  explicit NetFaults(std::uint64_t seed, LinkState all = {}) : seed_(seed), all_(all) {}

  // Of all links that have no state of their own.
  void SetAll(LinkState state) { all_ = state; }
  LinkState& Link(int from, int to) { return own_.try_emplace({from, to}, all_).first->second; }
  const LinkState& Of(int from, int to) const {
    const auto own = own_.find({from, to});
    return own == own_.end() ? all_ : own->second;
  }
  void Mend(int from, int to) { own_.erase({from, to}); }
  void MendAll() { own_.clear(); }
  // A fault of a plan on one link, and its end: then that of it is as on all links. Of two at once on one
  // link the later one holds, and the first one's end ends both.
  void Begin(Pair link, const Fault& fault);
  void End(Pair link, Fault::Kind kind);
  // Both directions between each of `side` and each of 0 to `members` that is not of it.
  void Part(const std::set<int>& side, int members, bool cut);

  Verdict Judge(Microseconds now, int from, int to, std::size_t bytes);

  // Of every datagram; and decisions of another run, which then hold for as long as they reach.
  void Record(OnVerdict on_verdict) { on_verdict_ = std::move(on_verdict); }
  void Replay(Pair pair, std::vector<Verdict> verdicts) { replayed_[pair] = std::move(verdicts); }

  std::uint64_t dropped() const { return dropped_; }

 private:
  std::uint64_t seed_;
  LinkState all_;
  std::map<Pair, LinkState> own_;
  std::map<Pair, std::uint64_t> numbers_;
  std::map<Pair, Microseconds> busy_until_;  // of slow links
  std::map<Pair, std::vector<Verdict>> replayed_;
  OnVerdict on_verdict_;
  std::uint64_t dropped_ = 0;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_NET_FAULTS_H_

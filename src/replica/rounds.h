// SPDX-License-Identifier: Apache-2.0
//
// Claims that wait for others to know of them before their request is sent. No I/O, no clock.
//
// A claim that waits for k may be acted on once k others hold it, and once so many have answered that one of
// them would know of any other claim of the key that was acted on: of n members an earlier one is held by
// k + 1 at the least, its own among them, so that n - 1 - k others have to answer. Those that do not have all
// that was known before their start (`current`) hold a claim, and answer for nothing. So one member in k may
// be lost at any time; what is cut off from too many is not acted on.
#ifndef KESTRELLINE_REPLICA_ROUNDS_H_
#define KESTRELLINE_REPLICA_ROUNDS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "replica/entry.h"

namespace kestrelline::replica {

// How many have to hold a claim, and how many of them to be current.
struct Quorum {
  std::size_t holders = 0, readers = 0;
  static Quorum Of(std::size_t members, std::size_t k) { return {k, members > k + 1 ? members - 1 - k : 0}; }
  std::size_t most() const { return std::max(holders, readers); }
};

class PendingClaims {
 public:
  static constexpr std::size_t kMost = 8192;  // that wait at once; more are unmet at once

  enum class Verdict { kHeld, kUnmet };
  using Id = std::uint64_t;

  // `present`: others that can answer at all.
  void Open(Id id, Seq seq, Quorum quorum, std::size_t present, Time now, Time deadline) {
    if (waiting_.size() >= kMost || quorum.most() > present) {
      verdicts_.push_back({id, Verdict::kUnmet});
    } else if (quorum.most() == 0) {
      verdicts_.push_back({id, Verdict::kHeld});
    } else {
      waiting_.emplace(seq, Waiting{id, quorum, {}, {}, deadline, now + (deadline - now) / 3});
    }
  }
  // `peer` (any number that is its own) holds all with numbers over `after`, up to `upto`.
  void OnAnswer(std::uint64_t peer, bool current, Seq after, Seq upto) {
    for (auto at = waiting_.upper_bound(after); at != waiting_.end() && at->first <= upto;) {
      Waiting& w = at->second;
      w.holders.insert(peer);
      if (current) w.readers.insert(peer);
      if (w.holders.size() < w.quorum.holders || w.readers.size() < w.quorum.readers) {
        ++at;
        continue;
      }
      verdicts_.push_back({w.id, Verdict::kHeld});
      at = waiting_.erase(at);
    }
  }
  // The numbers that have waited so long that they are told once more, and whom they need not be told.
  std::vector<std::pair<Seq, std::set<std::uint64_t>>> TakeAgain(Time now) {
    std::vector<std::pair<Seq, std::set<std::uint64_t>>> again;
    for (auto& [seq, w] : waiting_) {
      if (now < w.again) continue;
      w.again = now + std::max<Span>((w.deadline - now) / 2, std::chrono::milliseconds(1));
      again.emplace_back(seq, w.holders);
    }
    return again;
  }
  void Tick(Time now) {
    std::erase_if(waiting_, [&](const auto& w) {
      if (now < w.second.deadline) return false;
      verdicts_.push_back({w.second.id, Verdict::kUnmet});
      return true;
    });
  }
  // All that waits is unmet: its numbers hold no more.
  void GiveUp() {
    for (const auto& [seq, w] : waiting_) verdicts_.push_back({w.id, Verdict::kUnmet});
    waiting_.clear();
  }
  Time NextDue() const {
    Time due = Time::max();
    for (const auto& [seq, w] : waiting_) due = std::min({due, w.deadline, w.again});
    return due;
  }
  bool has_verdicts() const { return !verdicts_.empty(); }
  bool empty() const { return waiting_.empty(); }
  std::vector<std::pair<Id, Verdict>> TakeVerdicts() { return std::exchange(verdicts_, {}); }

 private:
  struct Waiting {
    Id id;
    Quorum quorum;
    std::set<std::uint64_t> holders, readers;
    Time deadline, again;
  };
  std::map<Seq, Waiting> waiting_;
  std::vector<std::pair<Id, Verdict>> verdicts_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_ROUNDS_H_

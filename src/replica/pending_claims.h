// SPDX-License-Identifier: Apache-2.0
//
// Claims that wait for acknowledgements of other members before their request is sent. No I/O, no clock.
//
// A claim that waits for k members is confirmed once k others hold it, and once enough others have
// acknowledged it that at least one of them would know of any other claim of the key that was confirmed. Of n
// members at least k + 1 hold an earlier confirmed claim, its writer included, so that n - 1 - k others have
// to acknowledge. A member that hasn't caught up since its start (`current`) counts as a holder, but its
// acknowledgement says nothing about other claims. So any k members may be lost at any time; a claim that is
// cut off from too many members is not confirmed.
#ifndef KESTRELLINE_REPLICA_PENDING_CLAIMS_H_
#define KESTRELLINE_REPLICA_PENDING_CLAIMS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "replica/entry.h"

namespace kestrelline::replica {

// Number of other members that have to hold a claim, and how many that are `current` have to acknowledge it.
struct Quorum {
  std::size_t holders = 0, readers = 0;
  // `members`: all, this one included. `k`: others that have to hold the claim.
  static Quorum Of(std::size_t members, std::size_t k) { return {k, members > k + 1 ? members - 1 - k : 0}; }
  std::size_t required() const { return std::max(holders, readers); }
};

class PendingClaims {
 public:
  static constexpr std::size_t kMaxPending = 8192;  // further claims are unconfirmed at once

  enum class Verdict { kConfirmed, kUnconfirmed };
  using Id = std::uint64_t;

  // `seq`: of the claim's entry. `present`: the number of other members that are reachable.
  void Add(Id id, Seq seq, Quorum quorum, std::size_t present, Time now, Time deadline) {
    if (pending_.size() >= kMaxPending || quorum.required() > present) {
      verdicts_.push_back({id, Verdict::kUnconfirmed});
    } else if (quorum.required() == 0) {
      verdicts_.push_back({id, Verdict::kConfirmed});
    } else {
      pending_.emplace(seq, Pending{id, quorum, {}, {}, deadline, now + (deadline - now) / 3});
    }
  }
  // `peer` (any identifier) holds all own entries after `after` and up to `upto`.
  void OnAck(std::uint64_t peer, bool current, Seq after, Seq upto) {
    for (auto it = pending_.upper_bound(after); it != pending_.end() && it->first <= upto;) {
      Pending& claim = it->second;
      claim.holders.insert(peer);
      if (current) claim.readers.insert(peer);
      if (claim.holders.size() < claim.quorum.holders || claim.readers.size() < claim.quorum.readers) {
        ++it;
        continue;
      }
      verdicts_.push_back({claim.id, Verdict::kConfirmed});
      it = pending_.erase(it);
    }
  }
  // The claims that are due for a retransmission, and the members that have acknowledged them already.
  std::vector<std::pair<Seq, std::set<std::uint64_t>>> TakeRetransmissions(Time now) {
    std::vector<std::pair<Seq, std::set<std::uint64_t>>> due;
    for (auto& [seq, claim] : pending_) {
      if (now < claim.retransmit_at) continue;
      claim.retransmit_at = now + std::max<Span>((claim.deadline - now) / 2, std::chrono::milliseconds(1));
      due.emplace_back(seq, claim.holders);
    }
    return due;
  }
  void Tick(Time now) {
    std::erase_if(pending_, [&](const auto& claim) {
      if (now < claim.second.deadline) return false;
      verdicts_.push_back({claim.second.id, Verdict::kUnconfirmed});
      return true;
    });
  }
  // All pending claims are unconfirmed: their sequence numbers are void, since the origin has changed.
  void FailAll() {
    for (const auto& [seq, claim] : pending_) verdicts_.push_back({claim.id, Verdict::kUnconfirmed});
    pending_.clear();
  }
  Time NextDue() const {
    Time due = Time::max();
    for (const auto& [seq, claim] : pending_) due = std::min({due, claim.deadline, claim.retransmit_at});
    return due;
  }
  bool has_verdicts() const { return !verdicts_.empty(); }
  bool empty() const { return pending_.empty(); }
  std::vector<std::pair<Id, Verdict>> TakeVerdicts() { return std::exchange(verdicts_, {}); }

 private:
  struct Pending {
    Id id;
    Quorum quorum;
    std::set<std::uint64_t> holders, readers;
    Time deadline, retransmit_at;
  };
  std::map<Seq, Pending> pending_;
  std::vector<std::pair<Id, Verdict>> verdicts_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_PENDING_CLAIMS_H_

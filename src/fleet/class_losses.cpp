// SPDX-License-Identifier: Apache-2.0
#include "fleet/class_losses.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::fleet {

void ClassLosses::Shares::Decay(TimePoint now) {
  const double kept = std::exp(std::min(0.0, (as_of - now) / kMemory));
  lost *= kept, all *= kept;
  as_of = std::max(as_of, now);
}

void ClassLosses::Shares::Add(TimePoint now, bool is_lost) {
  Decay(now);
  lost += is_lost, all += 1;
}

bool ClassLosses::Add(TimePoint now, std::uint32_t server, int request_class, bool lost, int hosts) {
  const auto c = static_cast<std::size_t>(request_class);
  if (c >= classes_.size()) classes_.resize(c + 1);
  classes_[c].Add(now, lost);
  if (!lost && pairs_.empty()) return false;
  if (now >= drop_at_) DropStale(now);
  if (!lost) NoteServed(now, server, request_class);
  auto found = pairs_.find(Key(server, request_class));
  if (found == pairs_.end()) {
    if (!lost || pairs_.size() >= kMaxPairs) return false;
    found = pairs_.emplace(Key(server, request_class), Pair()).first;
  }
  Pair& pair = found->second;
  pair.shares.Add(now, lost);
  if (now < pair.until)
    return false;  // sent before the pair was avoided, or because no other server was left
  if (!lost) {
    // It has answered several requests since it was used again: it has recovered.
    if (pair.times_avoided > 0 && pair.shares.all - pair.shares.lost >= 3) pair.times_avoided = 0;
    return false;
  }
  if (!DiffersFromClass(now, pair, classes_[c])) return false;
  int avoided = 0;
  for (const auto& [key, other] : pairs_)
    avoided +=
        static_cast<std::uint32_t>(key) == static_cast<std::uint32_t>(request_class) && now < other.until;
  if (avoided + 1 > kMaxAvoidedShare * hosts) return false;
  ++pair.times_avoided;
  pair.until = now + std::min(kAvoid * pair.times_avoided, kMaxAvoid);
  pair.shares = {0, 0, now};
  return true;
}

bool ClassLosses::DiffersFromClass(TimePoint now, const Pair& pair, const Shares& class_shares) const {
  if (now - pair.other_served > kMemory) return false;
  const double lost = pair.shares.lost, all = pair.shares.all;
  if (pair.times_avoided == 0 && lost < kMinLosses) return false;
  const double elsewhere = std::clamp(
      (class_shares.lost - lost + kPriorLost) / (class_shares.all - all + kPriorAll), 1e-6, 1 - 1e-6);
  const double here = std::clamp(lost / all, 1e-6, 1 - 1e-6);
  if (here < elsewhere + kMinExcess) return false;
  const double ratio =
      lost * std::log(here / elsewhere) + (all - lost) * std::log((1 - here) / (1 - elsewhere));
  return ratio >= kDecisiveRatio || (pair.times_avoided > 0 && ratio >= kDecisiveRatio / 2);
}

void ClassLosses::NoteServed(TimePoint now, std::uint32_t server, int request_class) {
  for (int c = 0; c < static_cast<int>(classes_.size()); ++c) {
    if (c == request_class) continue;
    const auto found = pairs_.find(Key(server, c));
    if (found != pairs_.end()) found->second.other_served = now;
  }
}

void ClassLosses::DropStale(TimePoint now) {
  drop_at_ = now + kMemory;
  erase_if(pairs_, [&](auto& kept) {
    Pair& pair = kept.second;
    pair.shares.Decay(now);
    return now >= pair.until + kMaxAvoid && pair.shares.lost < 0.1;
  });
}

void ClassLosses::Forget(std::uint32_t server) {
  if (pairs_.empty()) return;
  erase_if(pairs_, [server](const auto& kept) { return kept.first >> 32 == server; });
}

}  // namespace kestrelline::fleet

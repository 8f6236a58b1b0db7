// SPDX-License-Identifier: Apache-2.0
#include "fleet/class_losses.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::fleet {

void ClassLosses::Shares::Fade(TimePoint now) {
  const double kept = std::exp(std::min(0.0, (as_of - now) / kMemory));
  lost *= kept, all *= kept;
  as_of = std::max(as_of, now);
}

void ClassLosses::Shares::Add(TimePoint now, bool is_lost) {
  Fade(now);
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
    if (!lost || pairs_.size() >= kMostPairs) return false;
    found = pairs_.emplace(Key(server, request_class), Pair()).first;
  }
  Pair& pair = found->second;
  pair.seen.Add(now, lost);
  if (now < pair.until) return false;  // an attempt of before, or for want of another server
  if (!lost) {
    // It has served some since it was tried again: what it did before is past.
    if (pair.times > 0 && pair.seen.all - pair.seen.lost >= 3) pair.times = 0;
    return false;
  }
  if (!IsApart(now, pair, classes_[c])) return false;
  int avoided = 0;
  for (const auto& [key, other] : pairs_)
    avoided +=
        static_cast<std::uint32_t>(key) == static_cast<std::uint32_t>(request_class) && now < other.until;
  if (avoided + 1 > kMostAvoided * hosts) return false;
  ++pair.times;
  pair.until = now + std::min(kAvoid * pair.times, kMostAvoid);
  pair.seen = {0, 0, now};
  return true;
}

bool ClassLosses::IsApart(TimePoint now, const Pair& pair, const Shares& of_class) const {
  if (now - pair.other_served > kMemory) return false;
  const double lost = pair.seen.lost, all = pair.seen.all;
  if (pair.times == 0 && lost < kLeastLost) return false;
  const double elsewhere =
      std::clamp((of_class.lost - lost + kPriorLost) / (of_class.all - all + kPriorAll), 1e-6, 1 - 1e-6);
  const double here = std::clamp(lost / all, 1e-6, 1 - 1e-6);
  if (here < elsewhere + kLeastExcess) return false;
  const double ratio =
      lost * std::log(here / elsewhere) + (all - lost) * std::log((1 - here) / (1 - elsewhere));
  return ratio >= kDecisive || (pair.times > 0 && ratio >= kDecisive / 2);
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
    pair.seen.Fade(now);
    return now >= pair.until + kMostAvoid && pair.seen.lost < 0.1;
  });
}

void ClassLosses::Forget(std::uint32_t server) {
  if (pairs_.empty()) return;
  erase_if(pairs_, [server](const auto& kept) { return kept.first >> 32 == server; });
}

}  // namespace kestrelline::fleet

// SPDX-License-Identifier: Apache-2.0
#include "data_plane/backend.h"

#include <charconv>
#include <vector>

namespace kestrelline::data_plane {

void Backend::NoteRefusal(TimePoint now) {
  constexpr Duration kFirst{150};
  constexpr int kMostDoublings = 3;
  avoid_until = now + kFirst * (1 << std::min(refusals, kMostDoublings));
  ++refusals;
}

bool ParseLoad(std::string_view text, LoadHint& hint) {
  int numbers[3] = {};
  const char* at = text.data();
  const char* const end = at + text.size();
  for (int i = 0; i < 3; ++i) {
    while (at != end && (*at == ' ' || *at == ',')) ++at;
    const auto [next, error] = std::from_chars(at, end, numbers[i]);
    if (error != std::errc() || numbers[i] < 0) return false;
    at = next;
  }
  hint.running = numbers[0];
  hint.waiting = numbers[1];
  hint.slots = numbers[2];
  hint.known = true;
  return true;
}

void KnownParts::Note(std::uint64_t chain, TimePoint now) {
  used_[chain] = now;
  if (used_.size() <= kMost) return;
  std::vector<TimePoint> times;
  times.reserve(used_.size());
  for (const auto& [key, at] : used_) times.push_back(at);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const TimePoint oldest_kept = *middle;
  std::erase_if(used_, [oldest_kept](const auto& entry) { return entry.second < oldest_kept; });
}

bool KnownParts::Has(std::uint64_t chain, TimePoint since) const {
  const auto found = used_.find(chain);
  return found != used_.end() && found->second >= since;
}

}  // namespace kestrelline::data_plane

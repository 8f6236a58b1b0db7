// SPDX-License-Identifier: Apache-2.0
#include "data_plane/backend.h"

#include <charconv>
#include <vector>

namespace kestrelline::data_plane {

void Backend::RecordRejection(TimePoint now) {
  constexpr Duration kInitialBackoff{150};
  constexpr int kMaxDoublings = 3;
  backoff_until = now + kInitialBackoff * (1 << std::min(consecutive_rejections, kMaxDoublings));
  ++consecutive_rejections;
}

bool ParseLoad(std::string_view text, LoadHint& hint) {
  int values[3] = {};
  const char* next = text.data();
  const char* const end = next + text.size();
  for (int i = 0; i < 3; ++i) {
    while (next != end && (*next == ' ' || *next == ',')) ++next;
    const auto [parsed_end, error] = std::from_chars(next, end, values[i]);
    if (error != std::errc() || values[i] < 0) return false;
    next = parsed_end;
  }
  hint.running = values[0];
  hint.waiting = values[1];
  hint.slots = values[2];
  hint.known = true;
  return true;
}

void PrefixCacheIndex::Touch(std::uint64_t prefix_hash, TimePoint now) {
  used_[prefix_hash] = now;
  if (used_.size() <= kMaxEntries) return;
  std::vector<TimePoint> times;
  times.reserve(used_.size());
  for (const auto& [hash, last_used] : used_) times.push_back(last_used);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const TimePoint oldest_kept = *middle;
  std::erase_if(used_, [oldest_kept](const auto& entry) { return entry.second < oldest_kept; });
}

bool PrefixCacheIndex::Contains(std::uint64_t prefix_hash, TimePoint since) const {
  const auto entry = used_.find(prefix_hash);
  return entry != used_.end() && entry->second >= since;
}

}  // namespace kestrelline::data_plane

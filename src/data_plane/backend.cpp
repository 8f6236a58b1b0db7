// SPDX-License-Identifier: Apache-2.0
#include "data_plane/backend.h"

#include <array>
#include <charconv>
#include <vector>

namespace kestrelline::data_plane {
namespace {

std::string_view Trimmed(std::string_view text) {
  while (text.starts_with(' ')) text.remove_prefix(1);
  while (text.ends_with(' ')) text.remove_suffix(1);
  return text;
}

}  // namespace

void Backend::RecordRejection(TimePoint now) {
  constexpr Duration kInitialBackoff{150};
  constexpr int kMaxDoublings = 3;
  backoff_until = now + kInitialBackoff * (1 << std::min(consecutive_rejections, kMaxDoublings));
  ++consecutive_rejections;
}

void Backend::RecordReusedAddress(TimePoint now) {
  constexpr Duration kAskAgainAfter{10000};
  address_reused = true;
  ask_again_at = now + kAskAgainAfter;
}

bool ParseLoad(std::string_view text, LoadHint& hint) {
  constexpr int kMaxValue = 1'000'000;  // far above any number of slots; sums of values fit into an int
  constexpr std::size_t kValues = 3;
  std::array<int, kValues> values{};
  for (std::size_t i = 0; i < kValues; ++i) {
    const std::size_t comma = i + 1 < kValues ? text.find(',') : text.size();
    if (comma == std::string_view::npos) return false;
    const std::string_view value = Trimmed(text.substr(0, comma));
    const char* const end = value.data() + value.size();
    const auto [parsed_end, error] = std::from_chars(value.data(), end, values[i]);
    if (error != std::errc() || parsed_end != end || values[i] < 0 || values[i] > kMaxValue) return false;
    text.remove_prefix(std::min(comma + 1, text.size()));
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

// SPDX-License-Identifier: Apache-2.0
//
// Maps keys to members by multi-probe consistent hashing (Appleton and O'Reilly, 2015). All processes that
// know the same members agree on the owner, whatever the order in which they learned of them. A key is hashed
// 21 times, and the member that follows one of the hashes most closely on the ring owns it. With one point
// per member, the busiest owns a few per cent more keys than the mean; with a single hash it would own many
// times the mean. Keys of a member that leaves are spread over all others, a new one takes keys from all
// others, and no other key moves.
#ifndef KESTRELLINE_FLEET_AFFINITY_H_
#define KESTRELLINE_FLEET_AFFINITY_H_

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "fleet/ring.h"

namespace kestrelline::fleet {

class KeyOwners {
 public:
  static constexpr std::size_t kProbes = 21;

  // `ring` must outlive this object and not change meanwhile.
  KeyOwners(const Ring& ring, std::uint64_t key) : ring_(ring) {
    if (ring.size() == 0) return;
    for (std::size_t k = 0; k < kProbes; ++k) {
      const auto hash = static_cast<std::uint32_t>(XXH3_64bits_withSeed(&key, sizeof(key), k));
      const std::size_t at = ring.At(hash);
      probes_[k] = {ring.PlaceOf(at) - hash, at};  // distance along the ring, modulo 2^32
    }
    std::sort(probes_.begin(), probes_.end());
  }

  // Visits members until `take(member)` returns true: the owner, then whoever would own the key without the
  // ones before, then all members along the ring. Some are visited twice.
  template <typename Take>
  void ForEachCandidate(Take&& take) const {
    if (ring_.size() == 0) return;
    for (const auto& [distance, at] : probes_) {
      if (take(ring_[at])) return;
    }
    for (std::size_t k = 1; k < ring_.size(); ++k) {
      if (take(ring_[(probes_[0].second + k) % ring_.size()])) return;
    }
  }

 private:
  const Ring& ring_;
  std::array<std::pair<std::uint32_t, std::size_t>, kProbes> probes_{};
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_AFFINITY_H_

// SPDX-License-Identifier: Apache-2.0
//
// To whom a key belongs: the same member at everybody who knows the same members, whatever the order in which
// they learned of them. Multi-probe consistent hashing (Appleton and O'Reilly, 2015): a key is hashed 21
// times, and the member that follows closest on one of the hashes owns it. With one spot a member on the
// ring, the busiest owns a few per cent more keys than the mean where a single hash gives it many times as
// much; one that goes gives its keys to all others, and one that comes takes from all, no other key moves.
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

  // The ring must outlive it, unchanged.
  KeyOwners(const Ring& ring, std::uint64_t key) : ring_(ring) {
    if (ring.size() == 0) return;
    for (std::size_t k = 0; k < kProbes; ++k) {
      const auto hash = static_cast<std::uint32_t>(XXH3_64bits_withSeed(&key, sizeof(key), k));
      const std::size_t at = ring.At(hash);
      probes_[k] = {ring.PlaceOf(at) - hash, at};  // the distance round the ring, modulo 2^32
    }
    std::sort(probes_.begin(), probes_.end());
  }

  // The owner, then those who would be were the ones before not there, then all along the ring; some twice.
  // Until `take(member)` is true.
  template <typename Take>
  void Try(Take&& take) const {
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

// SPDX-License-Identifier: Apache-2.0
//
// The data that proxies replicate among each other, as values. No I/O, no clock.
//
// All replicated data consists of entries. Each entry has one origin, the process that wrote it, and a
// sequence number of that origin. Entries are immutable: a later entry of the same origin about the same
// subject replaces the earlier one, also when it is a removal. Entries of several origins about one subject
// exist side by side and are combined by the reader (claims.h).
//
// Times are milliseconds of the origin's own clock, which starts with the process; clocks of different
// machines are never compared. An entry expires at `until_ms`, and its replacement expires no earlier than it
// would have.
#ifndef KESTRELLINE_REPLICA_ENTRY_H_
#define KESTRELLINE_REPLICA_ENTRY_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "hashing/mix.h"

namespace kestrelline::replica {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

using Origin = std::uint64_t;  // random identifier, drawn by each process at its start; never 0
using Seq = std::uint64_t;     // sequence number of an origin's entries, from 1

// The kinds of replicated data. Numbers are never reused. Why other knowledge of a proxy isn't worth
// replicating: docs/design/replica.md.
enum class Table : std::uint8_t { kClaims = 1 };
inline constexpr std::size_t kTableCount = 1;

// What an entry is about. In kClaims: the hash of a request key, and the group that the request was sent to.
struct Subject {
  Table table = Table::kClaims;
  std::uint64_t id = 0, detail = 0;
  auto operator<=>(const Subject&) const = default;
};

struct Entry {
  Seq seq = 0;
  Subject subject;
  std::uint64_t until_ms = 0;  // at most kMaxLifetimeMs after the entry was written
  std::uint32_t value = 0;     // in kClaims: ClaimState
  auto operator<=>(const Entry&) const = default;
};

inline constexpr std::uint64_t kMaxLifetimeMs = 24ull * 3600 * 1000;

// State of a claim. A released claim means that the request never ran; it binds nobody.
enum class ClaimState : std::uint32_t { kHeld = 0, kReleased = 1 };

inline std::size_t HashOf(const Subject& s) {
  return hashing::Mixed(s.id ^ hashing::Mixed(s.detail + static_cast<std::uint64_t>(s.table)));
}
// The same at every proxy: digests are built from it.
inline std::uint64_t HashOf(const Entry& e) {
  return hashing::Mixed(HashOf(e.subject) ^ hashing::Mixed(e.seq) ^ hashing::Mixed(e.until_ms + 1) ^
                        (std::uint64_t{e.value} << 32));
}

// A contiguous range of an origin's sequence numbers, after `after` and up to `upto`, with all entries in it
// that are still valid. A receiver that has everything up to `after` has everything up to `upto` then.
struct Interval {
  Origin origin = 0;
  std::uint64_t owner = 0;   // hash of the name of the origin's member
  std::uint64_t now_ms = 0;  // the origin's clock as the sender knows it: never ahead of the origin
  Seq after = 0, upto = 0;
  std::vector<Entry> entries;  // ascending by sequence number
  bool operator==(const Interval&) const = default;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_ENTRY_H_

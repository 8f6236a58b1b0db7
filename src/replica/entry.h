// SPDX-License-Identifier: Apache-2.0
//
// What proxies share, as values. No I/O, no clock.
//
// Everything that is shared is an entry of one origin: a process that wrote it, once, under a number of its
// own. An entry never changes. A later one of the same origin about the same subject takes its place, also
// where it says that nothing is left. What several origins say of one subject stands side by side, and is
// joined where it is read (tables.h).
//
// Times are milliseconds of the origin's own clock, which begins with it: clocks of different machines are
// never compared. Nothing outlives `until_ms`, and what takes an entry's place lives at least as long.
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

using Origin = std::uint64_t;  // drawn by each process at its start; never 0
using Seq = std::uint64_t;     // of an origin's entries, from 1

// Numbers are never used again. What else a proxy learns does not pay to be shared: docs/design/replica.md.
enum class Table : std::uint8_t { kClaims = 1 };
inline constexpr std::size_t kTables = 1;

// Of claims: the hash of a key, and the group that it was sent to.
struct Subject {
  Table table = Table::kClaims;
  std::uint64_t id = 0, detail = 0;
  auto operator<=>(const Subject&) const = default;
};

struct Entry {
  Seq seq = 0;
  Subject subject;
  std::uint64_t until_ms = 0;  // no longer than kLongest from when it was written
  std::uint32_t value = 0;     // of claims: ClaimState
  auto operator<=>(const Entry&) const = default;
};

inline constexpr std::uint64_t kLongestMs = 24ull * 3600 * 1000;

// Of a claim. What is released never ran, and binds nobody.
enum class ClaimState : std::uint32_t { kHeld = 0, kReleased = 1 };

inline std::size_t HashOf(const Subject& s) {
  return hashing::Mixed(s.id ^ hashing::Mixed(s.detail + static_cast<std::uint64_t>(s.table)));
}
// The same at every proxy, for digests.
inline std::uint64_t HashOf(const Entry& e) {
  return hashing::Mixed(HashOf(e.subject) ^ hashing::Mixed(e.seq) ^ hashing::Mixed(e.until_ms + 1) ^
                        (std::uint64_t{e.value} << 32));
}

// Part of what an origin wrote: all that still holds of its entries with numbers over `after`, up to `upto`.
// Whoever has everything up to `after` has everything up to `upto` then.
struct Interval {
  Origin origin = 0;
  std::uint64_t owner = 0;   // the hash of its member's name
  std::uint64_t now_ms = 0;  // the origin's clock, as whoever sends this knows it: never ahead of it
  Seq after = 0, upto = 0;
  std::vector<Entry> entries;  // by number
  bool operator==(const Interval&) const = default;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_ENTRY_H_

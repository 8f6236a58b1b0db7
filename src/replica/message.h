// SPDX-License-Identifier: Apache-2.0
//
// What replicas say to each other, as values; wire.h has their bytes.
#ifndef KESTRELLINE_REPLICA_MESSAGE_H_
#define KESTRELLINE_REPLICA_MESSAGE_H_

#include <array>
#include <vector>

#include "replica/entry.h"

namespace kestrelline::replica {

// What somebody holds of an origin.
struct Holding {
  Origin origin = 0;
  std::uint64_t owner = 0;
  std::uint64_t now_ms = 0;  // the origin's clock, as for Interval
  Seq upto = 0;
  std::uint64_t as_of_ms = 0;  // entries that end later are in the digest
  std::uint32_t digest = 0;
  bool operator==(const Holding&) const = default;
};

// Digests of equal parts of the numbers over `after`, up to `upto`.
struct Ranges {
  static constexpr std::size_t kParts = 16;
  Origin origin = 0;
  std::uint64_t as_of_ms = 0;
  Seq after = 0, upto = 0;
  std::array<std::uint32_t, kParts> digests{};
  bool operator==(const Ranges&) const = default;

  // The end of a part: its begin is the end of the one before.
  Seq End(std::size_t part) const {
    const Seq all = upto - after;
    return after + all / kParts * (part + 1) + all % kParts * (part + 1) / kParts;
  }
};

struct Want {
  Origin origin = 0;
  Seq after = 0;
  bool operator==(const Want&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    kNews = 1,      // `intervals`; an answer to this number is wanted if that is not 0
    kAnswer = 2,    // of news: that number, `intervals` of what others have said of the same subjects
    kHoldings = 3,  // of the sender; the receiver's own are wanted if `number` is not 0
    kWants = 4,     // a slice of news: `number` comes back with its last
    kSlice = 5,     // `intervals`; `last` of those that were asked for
    kRanges = 6     // `ranges` where two copies differ
  };
  Kind kind = Kind::kNews;
  // The sender has had all that others knew when it started, or there were no others.
  bool current = false;
  bool last = false;
  std::uint64_t number = 0;
  std::vector<Interval> intervals;
  std::vector<Holding> holdings;
  std::vector<Want> wants;
  std::vector<Ranges> ranges;

  bool operator==(const Message&) const = default;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_MESSAGE_H_

// SPDX-License-Identifier: Apache-2.0
//
// The messages that replicas exchange, as values. wire.h encodes them.
#ifndef KESTRELLINE_REPLICA_MESSAGE_H_
#define KESTRELLINE_REPLICA_MESSAGE_H_

#include <array>
#include <vector>

#include "replica/entry.h"

namespace kestrelline::replica {

// Summary of a member's copy of one origin's entries.
struct CopySummary {
  Origin origin = 0;
  std::uint64_t owner = 0;
  std::uint64_t now_ms = 0;  // the origin's clock, as in Interval
  Seq upto = 0;
  std::uint64_t as_of_ms = 0;  // the digest covers the entries that expire later
  std::uint32_t digest = 0;
  bool operator==(const CopySummary&) const = default;
};

// Digests of kParts equal parts of the sequence numbers after `after` and up to `upto`.
struct RangeDigests {
  static constexpr std::size_t kParts = 16;
  Origin origin = 0;
  std::uint64_t as_of_ms = 0;
  Seq after = 0, upto = 0;
  std::array<std::uint32_t, kParts> digests{};
  bool operator==(const RangeDigests&) const = default;

  // The last sequence number of a part. A part begins after the end of the previous one.
  Seq End(std::size_t part) const {
    const Seq all = upto - after;
    return after + all / kParts * (part + 1) + all % kParts * (part + 1) / kParts;
  }
};

// Asks for the entries of an origin after a sequence number.
struct Pull {
  Origin origin = 0;
  Seq after = 0;
  bool operator==(const Pull&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    kUpdate = 1,  // new entries in `intervals`; a `number` other than 0 requests an acknowledgement
    // Acknowledges an update, with `intervals` of what other origins wrote about the same subjects; or
    // acknowledges the chunk with this `number`.
    kAck = 2,
    kSummaries = 3,    // of the sender's copies; a `number` other than 0 requests those of the receiver
    kPullRequest = 4,  // requests a chunk, which repeats `number`
    kChunk = 5,        // `intervals`; `last` marks the last datagram of those that were requested
    kRangeDigests = 6  // `range_digests` of ranges in which two copies differ
  };
  Kind kind = Kind::kUpdate;
  // The sender has everything that other members knew when it started, or there were no others.
  bool current = false;
  bool last = false;
  std::uint64_t number = 0;
  std::vector<Interval> intervals;
  std::vector<CopySummary> summaries;
  std::vector<Pull> pulls;
  std::vector<RangeDigests> range_digests;

  bool operator==(const Message&) const = default;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_MESSAGE_H_

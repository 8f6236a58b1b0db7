// SPDX-License-Identifier: Apache-2.0
//
// A message as bytes: numbers as LEB128, hashes whole, entries by what differs from the one before. A claim
// takes some 14 bytes. Readers stop at the tables and kinds that they do not know: an older program among
// newer ones leaves those out.
#ifndef KESTRELLINE_REPLICA_WIRE_H_
#define KESTRELLINE_REPLICA_WIRE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "replica/message.h"

namespace kestrelline::replica::wire {

using Bytes = std::vector<std::uint8_t>;

inline constexpr std::uint8_t kForm = 1;
// Of the body of a datagram (peers/wire.h); what every message is kept to.
inline constexpr std::size_t kMostBody = 1100;
inline constexpr std::size_t kMostEntryBytes = 8 + 8 + 10 + 10 + 5 + 1;
inline constexpr std::size_t kMostIntervalBytes = 8 + 8 + 4 * 10;
inline constexpr std::size_t kMostHoldingBytes = 8 + 8 + 3 * 10 + 4;
inline constexpr std::size_t kMostRangesBytes = 8 + 3 * 10 + 4 * Ranges::kParts;
inline constexpr std::size_t kHeadBytes = 3 + 10;
inline constexpr std::size_t kMostParts = 128;  // of each kind in a message

Bytes Encode(const Message& message);

// Nothing unless it is a whole message within every bound.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes);

// So many entries of an interval fit in what is left of a message whatever they are.
constexpr std::size_t EntriesWithin(std::size_t bytes) {
  return bytes < kMostIntervalBytes ? 0 : (bytes - kMostIntervalBytes) / kMostEntryBytes;
}

// Puts as many entries into datagrams as fit: intervals are cut in two where one ends.
class Packer {
 public:
  explicit Packer(Message head) : head_(std::move(head)) {}
  void Add(const Interval& interval);
  // All of them; none without an Add.
  std::vector<Message> Take();

 private:
  Message head_;
  std::vector<Message> full_;
  std::optional<Message> open_;
  std::size_t bytes_ = 0;
};

}  // namespace kestrelline::replica::wire

#endif  // KESTRELLINE_REPLICA_WIRE_H_

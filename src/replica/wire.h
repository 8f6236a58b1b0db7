// SPDX-License-Identifier: Apache-2.0
//
// Encodes replica messages: numbers as LEB128, hashes in full, entries as differences to the previous entry.
// A claim takes about 14 bytes. Readers drop tables and message kinds that they don't know, so that an older
// version can run among newer ones.
#ifndef KESTRELLINE_REPLICA_WIRE_H_
#define KESTRELLINE_REPLICA_WIRE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "replica/message.h"

namespace kestrelline::replica::wire {

using Bytes = std::vector<std::uint8_t>;

inline constexpr std::uint8_t kFormatVersion = 1;
// Maximum size of a datagram's body (peers/wire.h); every message fits into it.
inline constexpr std::size_t kMaxBodyBytes = 1100;
inline constexpr std::size_t kMaxEntryBytes = 8 + 8 + 10 + 10 + 5 + 1;
inline constexpr std::size_t kMaxIntervalBytes = 8 + 8 + 4 * 10;
inline constexpr std::size_t kMaxSummaryBytes = 8 + 8 + 3 * 10 + 4;
inline constexpr std::size_t kMaxRangeDigestsBytes = 8 + 3 * 10 + 4 * RangeDigests::kParts;
inline constexpr std::size_t kHeaderBytes = 3 + 10;
inline constexpr std::size_t kMaxItems = 128;  // of each kind of item in a message

Bytes Encode(const Message& message);

// Returns nothing unless the bytes are a complete message with every field within its bounds.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes);

// Number of entries of an interval that fit into `bytes` in any case.
constexpr std::size_t EntriesThatFit(std::size_t bytes) {
  return bytes < kMaxIntervalBytes ? 0 : (bytes - kMaxIntervalBytes) / kMaxEntryBytes;
}

// Packs intervals into as few datagrams as possible, splitting an interval where a datagram is full.
class Packer {
 public:
  // `header`: all messages are copies of it, with intervals added.
  explicit Packer(Message header) : header_(std::move(header)) {}
  void Add(const Interval& interval);
  // Returns all messages; none if nothing was added.
  std::vector<Message> Take();

 private:
  Message header_;
  std::vector<Message> full_;
  std::optional<Message> current_;
  std::size_t bytes_ = 0;  // upper bound of the size of `current_`
};

}  // namespace kestrelline::replica::wire

#endif  // KESTRELLINE_REPLICA_WIRE_H_

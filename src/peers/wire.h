// SPDX-License-Identifier: Apache-2.0
//
// A message as bytes: CBOR (RFC 8949), arrays whose further elements an older reader leaves alone.
//
// Two forms stand side by side, so that a fleet can be upgraded one by one: the second adds the hash of the
// sender's view. Everybody reads both, and writes what its receiver is known to read.
#ifndef KESTRELLINE_PEERS_WIRE_H_
#define KESTRELLINE_PEERS_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "peers/message.h"

namespace kestrelline::peers::wire {

inline constexpr std::uint8_t kOldest = 1, kNewest = 2;
inline constexpr std::size_t kMaxDatagramBytes = 1200;  // bytes, the seal included
inline constexpr std::size_t kSealOverheadBytes = 36;   // seal.h
inline constexpr std::size_t kMostBody = kMaxDatagramBytes - kSealOverheadBytes;

using Bytes = std::vector<std::uint8_t>;

Bytes Encode(const Message& message, std::uint8_t form);

// Nothing unless it is a whole message within every bound. Never throws.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes, std::uint8_t form);

// At most so many bytes; what is left of a datagram is filled by this.
std::size_t MostBytes(const Statement& statement);
std::size_t MostBytes(const Message& message);  // its statements included

// As little as says the same to somebody who knows of the member.
Statement Shortened(Statement statement);

}  // namespace kestrelline::peers::wire

#endif  // KESTRELLINE_PEERS_WIRE_H_

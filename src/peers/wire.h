// SPDX-License-Identifier: Apache-2.0
//
// Encoding of messages: CBOR arrays (RFC 8949). Decoders ignore trailing elements that they do not know.
//
// There are two formats, so that a fleet can be upgraded one proxy at a time; format 2 adds the hash of the
// sender's view. Every proxy reads both, and writes the one that the receiver is known to read.
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

inline constexpr std::uint8_t kOldestFormat = 1, kNewestFormat = 2;
inline constexpr std::size_t kMaxDatagramBytes = 1200;  // including the seal
inline constexpr std::size_t kSealOverheadBytes = 36;   // header and tag; authenticator.h
inline constexpr std::size_t kMaxBodyBytes = kMaxDatagramBytes - kSealOverheadBytes;

using Bytes = std::vector<std::uint8_t>;

Bytes Encode(const Message& message, std::uint8_t format);

// Nothing unless `bytes` are one complete message within all limits. Never throws.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes, std::uint8_t format);

// Upper bounds of the encoded size, by which datagrams are filled.
std::size_t MaxBytes(const Statement& statement);
std::size_t MaxBytes(const Message& message);  // including its statements

// The statement without what a receiver that knows the member has already (address, zone, version), unless
// the state is alive or leaving.
Statement ShortForm(Statement statement);

}  // namespace kestrelline::peers::wire

#endif  // KESTRELLINE_PEERS_WIRE_H_

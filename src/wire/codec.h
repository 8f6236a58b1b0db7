// SPDX-License-Identifier: Apache-2.0
//
// Encoding and decoding of the internal protocol's messages, by nanopb. No I/O.
#ifndef KESTRELLINE_WIRE_CODEC_H_
#define KESTRELLINE_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/messages.h"

namespace kestrelline::wire {

inline constexpr std::uint32_t kProtocolVersion = 1;
// Limit of an envelope in either direction: room for a configuration of the largest size and its history.
inline constexpr std::size_t kMaxEnvelopeBytes = 8 * 1024 * 1024;
// Size of the length that precedes an envelope.
inline constexpr std::size_t kLengthBytes = 4;

// The encoded envelope, preceded by its length.
std::string EncodeFrame(const Message& message);
// The envelope length in the first four bytes of a frame; nothing if there are fewer bytes or it is over the
// limit.
std::optional<std::size_t> DecodeLength(std::string_view four_bytes);
// Decodes an envelope without its length; nothing if it is malformed or of an unknown protocol version.
std::optional<Message> DecodeEnvelope(std::string_view bytes);

// A record on its own, as it is stored on disk.
std::string EncodeRecord(const Record& record);
std::optional<Record> DecodeRecord(std::string_view bytes);

}  // namespace kestrelline::wire

#endif  // KESTRELLINE_WIRE_CODEC_H_

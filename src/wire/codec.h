// SPDX-License-Identifier: Apache-2.0
//
// Messages of the internal protocol as bytes and back, by nanopb. No I/O.
#ifndef KESTRELLINE_WIRE_CODEC_H_
#define KESTRELLINE_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/messages.h"

namespace kestrelline::wire {

inline constexpr std::uint32_t kProtocolVersion = 1;
// The longest envelope that is read or written: a configuration of the largest size, its history and room
// besides.
inline constexpr std::size_t kLongestEnvelope = 8 * 1024 * 1024;
inline constexpr std::size_t kLengthBytes = 4;

// The message with its length before it, ready to be written.
std::string EncodeFrame(const Message& message);
// The length that the first four bytes of a frame give; nothing if it is over the bound.
std::optional<std::size_t> DecodeLength(std::string_view four_bytes);
// The envelope without its length; nothing if it is malformed or of an unknown protocol.
std::optional<Message> DecodeEnvelope(std::string_view bytes);

// A record by itself, as it is stored.
std::string EncodeRecord(const Record& record);
std::optional<Record> DecodeRecord(std::string_view bytes);

}  // namespace kestrelline::wire

#endif  // KESTRELLINE_WIRE_CODEC_H_

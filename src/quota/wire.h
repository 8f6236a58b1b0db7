// SPDX-License-Identifier: Apache-2.0
//
// Encodes quota messages, in about 20 to 40 bytes each. Readers ignore bytes after the last field of this
// format, so that newer versions can append fields.
#ifndef KESTRELLINE_QUOTA_WIRE_H_
#define KESTRELLINE_QUOTA_WIRE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "quota/message.h"

namespace kestrelline::quota::wire {

using Bytes = std::vector<std::uint8_t>;
inline constexpr std::uint8_t kFormatVersion = 1;
inline constexpr Span kMaxGrantDuration = std::chrono::minutes(5);
inline constexpr double kMaxRate = 1e9;  // requests per second

Bytes Encode(const Message& message);
// Returns nothing unless the bytes are a complete message with every field within its bounds.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace kestrelline::quota::wire

#endif  // KESTRELLINE_QUOTA_WIRE_H_

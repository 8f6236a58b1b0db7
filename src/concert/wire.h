// SPDX-License-Identifier: Apache-2.0
//
// A message as bytes: some 20 to 40 of them. What comes after the fields of this form is left out by readers:
// a newer program may say more.
#ifndef KESTRELLINE_CONCERT_WIRE_H_
#define KESTRELLINE_CONCERT_WIRE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "concert/message.h"

namespace kestrelline::quota::wire {

using Bytes = std::vector<std::uint8_t>;
inline constexpr std::uint8_t kForm = 1;
inline constexpr Span kLongest = std::chrono::minutes(5);  // of a grant
inline constexpr double kMostRate = 1e9;

Bytes Encode(const Message& message);
// Nothing unless it is a whole message within every bound.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes);

}  // namespace kestrelline::quota::wire

#endif  // KESTRELLINE_CONCERT_WIRE_H_

// SPDX-License-Identifier: Apache-2.0
//
// Long envelopes are compressed (zlib): configurations and lists are mostly text that repeats. No I/O.
#ifndef KESTRELLINE_WIRE_COMPRESSION_H_
#define KESTRELLINE_WIRE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kestrelline::wire {

// Shorter envelopes are not worth the time.
inline constexpr std::size_t kCompressedFrom = 4096;

// Whether an envelope is a compressed one: no other begins with this byte.
bool IsCompressed(std::string_view envelope);
// The compressed form; nothing where it would not be shorter.
std::optional<std::string> Compress(std::string_view envelope);
// Nothing where it is damaged or comes to more than `most` bytes.
std::optional<std::string> Decompress(std::string_view compressed, std::size_t most);

}  // namespace kestrelline::wire

#endif  // KESTRELLINE_WIRE_COMPRESSION_H_

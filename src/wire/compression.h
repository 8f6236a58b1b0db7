// SPDX-License-Identifier: Apache-2.0
//
// Compression of long envelopes by zlib; configurations and lists are mostly repetitive text. No I/O.
#ifndef KESTRELLINE_WIRE_COMPRESSION_H_
#define KESTRELLINE_WIRE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kestrelline::wire {

// Shorter envelopes are not worth the CPU time.
inline constexpr std::size_t kMinCompressedBytes = 4096;

// Whether an envelope is compressed, which its first byte tells.
bool IsCompressed(std::string_view envelope);
// The compressed envelope; nothing if it would not be shorter.
std::optional<std::string> Compress(std::string_view envelope);
// Nothing if the data is damaged or expands to more than `max_bytes` bytes.
std::optional<std::string> Decompress(std::string_view compressed, std::size_t max_bytes);

}  // namespace kestrelline::wire

#endif  // KESTRELLINE_WIRE_COMPRESSION_H_

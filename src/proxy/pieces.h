// SPDX-License-Identifier: Apache-2.0
//
// Helpers for reading and writing bodies piece by piece, on both sides of the proxy.
#ifndef KESTRELLINE_PROXY_PIECES_H_
#define KESTRELLINE_PROXY_PIECES_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdio>
#include <string>
#include <string_view>

namespace kestrelline::proxy {

// Appends `bytes` as a chunk, unless empty, and the last-chunk if `last` (RFC 9112, 7.1).
inline void AppendChunk(std::string_view bytes, bool last, std::string* out) {
  if (!bytes.empty()) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    out->append(size).append(bytes).append("\r\n");
  }
  if (last) *out += "0\r\n\r\n";
}

// Adapts the capacity for a next piece of `room` bytes, since a read takes as much as the buffer has capacity
// for.
inline void FitBuffer(std::size_t room, boost::beast::flat_buffer* buffer) {
  if (buffer->capacity() > 2 * room) buffer->shrink_to_fit();
  if (buffer->capacity() < room) buffer->reserve(room);
}

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_PIECES_H_

// SPDX-License-Identifier: Apache-2.0
//
// Pieces of a body as both sides read and write them.
#ifndef KESTRELLINE_PROXY_PIECES_H_
#define KESTRELLINE_PROXY_PIECES_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdio>
#include <string>
#include <string_view>

namespace kestrelline::proxy {

// As a chunk, none if it is empty, and the end of the chunks behind it if it is the last (RFC 9112, 7.1).
inline void AppendChunk(std::string_view bytes, bool last, std::string* out) {
  if (!bytes.empty()) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    out->append(size).append(bytes).append("\r\n");
  }
  if (last) *out += "0\r\n\r\n";
}

// For a next piece of `room` bytes. A read takes as much as there is capacity for.
inline void FitBuffer(std::size_t room, boost::beast::flat_buffer* buffer) {
  if (buffer->capacity() > 2 * room) buffer->shrink_to_fit();
  if (buffer->capacity() < room) buffer->reserve(room);
}

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_PIECES_H_

// SPDX-License-Identifier: Apache-2.0
#include "wire/compression.h"

#include <zlib.h>

namespace kestrelline::wire {
namespace {

// An uncompressed envelope begins with the tag of its first field, which is never 0.
constexpr char kMarker = 0;
constexpr std::size_t kLengthBytes = 4;  // uncompressed length, most significant byte first
constexpr std::size_t kHeaderBytes = 1 + kLengthBytes;
constexpr int kLevel = 1;  // the fastest

}  // namespace

bool IsCompressed(std::string_view envelope) { return !envelope.empty() && envelope.front() == kMarker; }

std::optional<std::string> Compress(std::string_view envelope) {
  uLongf size = compressBound(static_cast<uLong>(envelope.size()));
  std::string compressed(kHeaderBytes + size, kMarker);
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    compressed[1 + i] = static_cast<char>((envelope.size() >> (8 * (kLengthBytes - 1 - i))) & 0xff);
  }
  const int result =
      compress2(reinterpret_cast<Bytef*>(compressed.data() + kHeaderBytes), &size,
                reinterpret_cast<const Bytef*>(envelope.data()), static_cast<uLong>(envelope.size()), kLevel);
  if (result != Z_OK || kHeaderBytes + size >= envelope.size()) return std::nullopt;
  compressed.resize(kHeaderBytes + size);
  return compressed;
}

std::optional<std::string> Decompress(std::string_view compressed, std::size_t max_bytes) {
  if (compressed.size() < kHeaderBytes) return std::nullopt;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(compressed[1 + i]);
  }
  if (length > max_bytes) return std::nullopt;
  std::string envelope(length, '\0');
  auto size = static_cast<uLongf>(length);
  const std::string_view body = compressed.substr(kHeaderBytes);
  const int result = uncompress(reinterpret_cast<Bytef*>(envelope.data()), &size,
                                reinterpret_cast<const Bytef*>(body.data()), static_cast<uLong>(body.size()));
  if (result != Z_OK || size != length) return std::nullopt;
  return envelope;
}

}  // namespace kestrelline::wire

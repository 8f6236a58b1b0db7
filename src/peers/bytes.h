// SPDX-License-Identifier: Apache-2.0
//
// Byte reader and writer for the datagrams between proxies. Integers are either variable-length (LEB128) or
// fixed-size little-endian.
#ifndef KESTRELLINE_PEERS_BYTES_H_
#define KESTRELLINE_PEERS_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace kestrelline::peers {

// Appends to a buffer that it doesn't own.
class Writer {
 public:
  explicit Writer(std::vector<std::uint8_t>* out) : out_(*out) {}
  void Byte(std::uint8_t b) { out_.push_back(b); }
  void Varint(std::uint64_t n) {
    for (; n >= 0x80; n >>= 7) Byte(static_cast<std::uint8_t>(n | 0x80));
    Byte(static_cast<std::uint8_t>(n));
  }
  // All bytes of `n`, least significant first.
  template <typename T>
  void Fixed(T n) {
    for (std::size_t i = 0; i < sizeof n; ++i) Byte(static_cast<std::uint8_t>(n >> (8 * i)));
  }

 private:
  std::vector<std::uint8_t>& out_;
};

// Reads from bytes that it doesn't own. After the first missing or out-of-range value ok() stays false, and
// every further read returns 0.
class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : rest_(bytes) {}
  bool ok() const { return ok_; }
  bool AtEnd() const { return rest_.empty(); }
  void Fail() { ok_ = false, rest_ = {}; }
  std::uint8_t Byte() {
    if (rest_.empty()) return Fail(), std::uint8_t{0};
    const std::uint8_t b = rest_.front();
    rest_ = rest_.subspan(1);
    return b;
  }
  // Fails on values greater than `max` or longer than 64 bits.
  std::uint64_t Varint(std::uint64_t max = ~0ull) {
    std::uint64_t n = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      const std::uint64_t b = Byte();
      if (shift == 63 && b > 1) break;
      n |= (b & 0x7f) << shift;
      if (b & 0x80) continue;
      if (n > max) Fail();
      return n;
    }
    Fail();
    return 0;
  }
  template <typename T>
  T Fixed() {
    T n = 0;
    for (std::size_t i = 0; i < sizeof n; ++i) n = static_cast<T>(n | static_cast<T>(Byte()) << (8 * i));
    return n;
  }

 private:
  std::span<const std::uint8_t> rest_;
  bool ok_ = true;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_BYTES_H_

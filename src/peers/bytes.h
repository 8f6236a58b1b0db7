// SPDX-License-Identifier: Apache-2.0
//
// The bytes of datagrams between members: numbers as LEB128, or whole with the lowest byte first.
#ifndef KESTRELLINE_PEERS_BYTES_H_
#define KESTRELLINE_PEERS_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace kestrelline::peers {

class Writer {
 public:
  explicit Writer(std::vector<std::uint8_t>* out) : out_(*out) {}
  void Byte(std::uint8_t b) { out_.push_back(b); }
  void Number(std::uint64_t n) {
    for (; n >= 0x80; n >>= 7) Byte(static_cast<std::uint8_t>(n | 0x80));
    Byte(static_cast<std::uint8_t>(n));
  }
  template <typename T>
  void Whole(T n) {
    for (std::size_t i = 0; i < sizeof n; ++i) Byte(static_cast<std::uint8_t>(n >> (8 * i)));
  }

 private:
  std::vector<std::uint8_t>& out_;
};

// Fails for good at the first thing that is not there, or not within its bound.
class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : left_(bytes) {}
  bool ok() const { return ok_; }
  bool AtEnd() const { return left_.empty(); }
  void Fail() { ok_ = false, left_ = {}; }
  std::uint8_t Byte() {
    if (left_.empty()) return Fail(), std::uint8_t{0};
    const std::uint8_t b = left_.front();
    left_ = left_.subspan(1);
    return b;
  }
  std::uint64_t Number(std::uint64_t most = ~0ull) {
    std::uint64_t n = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      const std::uint64_t b = Byte();
      if (shift == 63 && b > 1) break;
      n |= (b & 0x7f) << shift;
      if (b & 0x80) continue;
      if (n > most) Fail();
      return n;
    }
    Fail();
    return 0;
  }
  template <typename T>
  T Whole() {
    T n = 0;
    for (std::size_t i = 0; i < sizeof n; ++i) n = static_cast<T>(n | static_cast<T>(Byte()) << (8 * i));
    return n;
  }

 private:
  std::span<const std::uint8_t> left_;
  bool ok_ = true;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_BYTES_H_

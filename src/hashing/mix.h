// SPDX-License-Identifier: Apache-2.0
//
// SplitMix64 (Steele, Lea, Flood 2014): a number to which all bits of another have contributed.
#ifndef KESTRELLINE_HASHING_MIX_H_
#define KESTRELLINE_HASHING_MIX_H_

#include <cstdint>

namespace kestrelline::hashing {

inline std::uint64_t Mixed(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace kestrelline::hashing

#endif  // KESTRELLINE_HASHING_MIX_H_

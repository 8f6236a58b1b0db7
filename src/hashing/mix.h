// SPDX-License-Identifier: Apache-2.0
//
// SplitMix64 (Steele, Lea, Flood 2014): a number to which all bits of another have contributed. And bits as a
// share.
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

// 53 of 64 even bits as a number from 0 to just under 1.
inline double Unit(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

}  // namespace kestrelline::hashing

#endif  // KESTRELLINE_HASHING_MIX_H_

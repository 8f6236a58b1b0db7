// SPDX-License-Identifier: Apache-2.0
//
// The SplitMix64 mixing function (Steele, Lea, Flood 2014) and the conversion of random bits to a number from
// 0 up to 1.
#ifndef KESTRELLINE_HASHING_MIX_H_
#define KESTRELLINE_HASHING_MIX_H_

#include <cstdint>

namespace kestrelline::hashing {

// Every bit of the result depends on all bits of `x`.
inline std::uint64_t Mixed(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Maps the upper 53 of 64 uniformly distributed bits to a number in [0, 1).
inline double Unit(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

}  // namespace kestrelline::hashing

#endif  // KESTRELLINE_HASHING_MIX_H_

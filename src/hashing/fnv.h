// SPDX-License-Identifier: Apache-2.0
//
// 64-bit FNV-1a hash. Unlike std::hash, it yields the same value at every proxy and in every build.
#ifndef KESTRELLINE_HASHING_FNV_H_
#define KESTRELLINE_HASHING_FNV_H_

#include <cstdint>
#include <string_view>

namespace kestrelline::hashing {

inline constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325u;

// Returns the hash of `bytes`. Pass the hash of a prefix as `hash` to hash the concatenation.
constexpr std::uint64_t Fnv1a(std::string_view bytes, std::uint64_t hash = kFnvOffsetBasis) {
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return hash;
}

}  // namespace kestrelline::hashing

#endif  // KESTRELLINE_HASHING_FNV_H_

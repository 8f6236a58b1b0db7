// SPDX-License-Identifier: Apache-2.0
//
// FNV-1a, 64 bits: the same at every proxy and in every build, which std::hash does not promise.
#ifndef KESTRELLINE_HASHING_FNV_H_
#define KESTRELLINE_HASHING_FNV_H_

#include <cstdint>
#include <string_view>

namespace kestrelline::hashing {

inline constexpr std::uint64_t kFnvStart = 0xcbf29ce484222325u;

// Of `bytes`; or, from the hash of what goes before them, of both together.
constexpr std::uint64_t Fnv1a(std::string_view bytes, std::uint64_t hash = kFnvStart) {
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return hash;
}

}  // namespace kestrelline::hashing

#endif  // KESTRELLINE_HASHING_FNV_H_

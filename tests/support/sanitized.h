// SPDX-License-Identifier: Apache-2.0
//
// Under the sanitizers everything takes some ten times as long: what is played in virtual time is less there.
#ifndef KESTRELLINE_TESTS_SUPPORT_SANITIZED_H_
#define KESTRELLINE_TESTS_SUPPORT_SANITIZED_H_

namespace kestrelline::testing {

#ifdef __SANITIZE_ADDRESS__
inline constexpr bool kSanitized = true;
#else
inline constexpr bool kSanitized = false;
#endif

// `all`, or fewer of it under the sanitizers.
template <typename T>
constexpr T OrFewer(T all, T fewer) {
  return kSanitized ? fewer : all;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_SANITIZED_H_

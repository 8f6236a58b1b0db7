// SPDX-License-Identifier: Apache-2.0
//
// Hexadecimal literals for tests of wire formats.
#ifndef KESTRELLINE_TESTS_HEX_H_
#define KESTRELLINE_TESTS_HEX_H_

#include <string>
#include <string_view>

namespace kestrelline::testing {

// Decodes hexadecimal digits; spaces are ignored.
inline std::string Hex(std::string_view text) {
  std::string digits, bytes;
  for (char c : text) {
    if (c != ' ') digits += c;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_HEX_H_

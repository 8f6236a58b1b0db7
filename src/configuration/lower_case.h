// SPDX-License-Identifier: Apache-2.0
//
// ASCII lower-casing. Host names are compared in lower case.
#ifndef KESTRELLINE_CONFIGURATION_LOWER_CASE_H_
#define KESTRELLINE_CONFIGURATION_LOWER_CASE_H_

#include <algorithm>
#include <cctype>
#include <string>

namespace kestrelline::configuration {

inline std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_LOWER_CASE_H_

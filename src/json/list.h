// SPDX-License-Identifier: Apache-2.0
//
// Formats JSON arrays of strings that need no escaping, such as addresses and names.
#ifndef KESTRELLINE_JSON_LIST_H_
#define KESTRELLINE_JSON_LIST_H_

#include <string>
#include <vector>

namespace kestrelline::json {

// Returns ["a","b"]. Does not escape the strings.
inline std::string List(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) list += (list.empty() ? "\"" : ",\"") + text + "\"";
  return "[" + list + "]";
}

}  // namespace kestrelline::json

#endif  // KESTRELLINE_JSON_LIST_H_

// SPDX-License-Identifier: Apache-2.0
//
// Owning pointers to jansson values. Performs no I/O.
#ifndef KESTRELLINE_JSON_OWNED_H_
#define KESTRELLINE_JSON_OWNED_H_

#include <jansson.h>

#include <memory>
#include <string_view>

namespace kestrelline::json {

struct Release {
  void operator()(json_t* value) const { json_decref(value); }
};
using Owned = std::unique_ptr<json_t, Release>;

// Parses `text`. Returns null and fills in `error` if it is not valid JSON. `flags` are jansson decoding
// flags.
inline Owned Load(std::string_view text, json_error_t& error, std::size_t flags = 0) {
  return Owned(json_loadb(text.data(), text.size(), flags, &error));
}
inline Owned Load(std::string_view text) {
  json_error_t ignored;
  return Load(text, ignored);
}

}  // namespace kestrelline::json

#endif  // KESTRELLINE_JSON_OWNED_H_

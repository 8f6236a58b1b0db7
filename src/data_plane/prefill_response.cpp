// SPDX-License-Identifier: Apache-2.0
#include "data_plane/prefill_response.h"

#include <algorithm>
#include <cctype>
#include <string_view>

#include "json/owned.h"

namespace kestrelline::data_plane {
namespace {

constexpr std::size_t kMaxHandleBytes = 256;

// Unreserved characters (RFC 3986, 2.3).
bool IsUnreserved(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

bool IsHandle(std::string_view text) {
  const bool dots_only = text.find_first_not_of('.') == std::string_view::npos;  // a path would lose them
  return !dots_only && text.size() <= kMaxHandleBytes && std::all_of(text.begin(), text.end(), IsUnreserved);
}

bool IsCount(const json_t* value) { return json_is_integer(value) && json_integer_value(value) >= 0; }

}  // namespace

std::optional<std::string> ParsePrefillResponse(const std::string& body) {
  const json::Owned root = json::Load(body);
  const json_t* handle = root ? json_object_get(root.get(), "kv_handle") : nullptr;
  if (!json_is_string(handle)) return std::nullopt;
  if (!IsCount(json_object_get(root.get(), "tokens"))) return std::nullopt;
  if (!IsCount(json_object_get(root.get(), "version"))) return std::nullopt;
  const std::string_view text(json_string_value(handle), json_string_length(handle));
  if (!IsHandle(text)) return std::nullopt;
  return std::string(text);
}

}  // namespace kestrelline::data_plane

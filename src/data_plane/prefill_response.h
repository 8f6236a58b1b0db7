// SPDX-License-Identifier: Apache-2.0
//
// The response to a prefill: the handle of the KV cache that the backend holds. No I/O.
#ifndef KESTRELLINE_DATA_PLANE_PREFILL_RESPONSE_H_
#define KESTRELLINE_DATA_PLANE_PREFILL_RESPONSE_H_

#include <optional>
#include <string>

namespace kestrelline::data_plane {

// Returns the handle; empty if `body` is no prefill response, or if the handle may not stand in a URL path,
// since it becomes part of `Kv-From` and of the path that releases it.
std::optional<std::string> ParsePrefillResponse(const std::string& body);

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_PREFILL_RESPONSE_H_

// SPDX-License-Identifier: Apache-2.0
//
// Parses a page of the backend list of the platform. Performs no I/O.
#ifndef KESTRELLINE_DISCOVERY_PAGE_H_
#define KESTRELLINE_DISCOVERY_PAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::discovery {

struct Page {
  std::vector<wire::Instance> instances;
  std::string next_token;  // empty on the last page
};

// Returns nullopt if the text is not a page. Skips entries that lack an id, a service or an address.
std::optional<Page> ParsePage(std::string_view text);

}  // namespace kestrelline::discovery

#endif  // KESTRELLINE_DISCOVERY_PAGE_H_

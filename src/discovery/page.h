// SPDX-License-Identifier: Apache-2.0
//
// A page of the platform's list of backends. No I/O.
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

// Nothing if the text is no page; entries that lack an id, a service or an address are left out.
std::optional<Page> ParsePage(std::string_view text);

}  // namespace kestrelline::discovery

#endif  // KESTRELLINE_DISCOVERY_PAGE_H_

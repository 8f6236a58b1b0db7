// SPDX-License-Identifier: Apache-2.0
//
// Client of a running proxy's management endpoint, for the subcommands that query it.
#ifndef KESTRELLINE_APP_MANAGEMENT_CLIENT_H_
#define KESTRELLINE_APP_MANAGEMENT_CLIENT_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <ostream>
#include <string>

namespace kestrelline::app {

// Exit codes of these subcommands: no answer in time or one that is not a proxy's; an invalid address; the
// proxy runs without the feature that is queried.
inline constexpr int kUnreachable = 1, kInvalidAddress = 2, kDisabled = 3;

// Sends the command `command`, such as "peers", to `address` and returns the JSON object in its answer. On
// failure returns nothing, writes the reason to `err` and sets `*exit_code`.
std::optional<nlohmann::json> FetchReport(const std::string& address, const std::string& command,
                                          std::ostream& err, int* exit_code);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_MANAGEMENT_CLIENT_H_

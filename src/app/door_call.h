// SPDX-License-Identifier: Apache-2.0
//
// One call at the door of a proxy that runs, for the commands that ask it something.
#ifndef KESTRELLINE_APP_DOOR_CALL_H_
#define KESTRELLINE_APP_DOOR_CALL_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <ostream>
#include <string>

namespace kestrelline::app {

// Exit codes of such commands.
inline constexpr int kNobodyAnswers = 1, kNoAddress = 2, kOff = 3;

// The whole of what a report says to one call; nothing, and why in `err`, with the exit code in `*code`.
// `what` is what may be off there: "peers".
std::optional<nlohmann::json> AskForReport(const std::string& door, const std::string& what,
                                           std::ostream& err, int* code);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_DOOR_CALL_H_

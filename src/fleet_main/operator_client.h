// SPDX-License-Identifier: Apache-2.0
//
// The commands that ask a running member of the control plane.
#ifndef KESTRELLINE_FLEET_MAIN_OPERATOR_CLIENT_H_
#define KESTRELLINE_FLEET_MAIN_OPERATOR_CLIENT_H_

#include <optional>
#include <ostream>
#include <string>

namespace kestrelline::fleet_main {

enum class Question { kMembers, kLeader, kHistory, kConfiguration, kLeave };
// Nothing if the command is none of these.
std::optional<Question> QuestionOf(const std::string& command);

// Asks the member at `address` (IP:PORT), and those that it names, at most twice. Prints a line each, or JSON
// as it came. Returns the exit code.
int AskMember(Question question, const std::string& address, bool json, std::ostream& out,
              std::ostream& errors);

}  // namespace kestrelline::fleet_main

#endif  // KESTRELLINE_FLEET_MAIN_OPERATOR_CLIENT_H_

// SPDX-License-Identifier: Apache-2.0
//
// Client of the operator's API: the commands that call a running member of the control plane.
#ifndef KESTRELLINE_FLEET_MAIN_OPERATOR_CLIENT_H_
#define KESTRELLINE_FLEET_MAIN_OPERATOR_CLIENT_H_

#include <optional>
#include <ostream>
#include <string>

namespace kestrelline::fleet_main {

enum class MemberCommand { kMembers, kLeader, kHistory, kConfiguration, kLeave };
// Returns nothing if no such command is known.
std::optional<MemberCommand> ParseMemberCommand(const std::string& name);

// Calls the member at `address` (IP:PORT), and follows at most two redirects. Prints one line for each entry,
// or with `json` the response body. Returns the exit code of the process.
int RunMemberCommand(MemberCommand command, const std::string& address, bool json, std::ostream& out,
                     std::ostream& errors);

}  // namespace kestrelline::fleet_main

#endif  // KESTRELLINE_FLEET_MAIN_OPERATOR_CLIENT_H_

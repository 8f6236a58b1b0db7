// SPDX-License-Identifier: Apache-2.0
//
// kestrelline replica: what a proxy that runs shares with the others, and whether two copies agree.
#ifndef KESTRELLINE_APP_REPLICA_COMMAND_H_
#define KESTRELLINE_APP_REPLICA_COMMAND_H_

#include <ostream>

#include "app/cli.h"

namespace kestrelline::app {

// Exit codes: those of door_call.h; of `diff`, 4 if copies differ, 5 if they could not be compared now.
int ShowReplica(const Command& command, std::ostream& out, std::ostream& err);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_REPLICA_COMMAND_H_

// SPDX-License-Identifier: Apache-2.0
//
// kestrelline replica: shows the replicated state of a running proxy, or compares that of two proxies.
#ifndef KESTRELLINE_APP_REPLICA_COMMAND_H_
#define KESTRELLINE_APP_REPLICA_COMMAND_H_

#include <ostream>

#include "app/cli.h"

namespace kestrelline::app {

// Returns the exit code: 0, or one of those in management_client.h; `diff` returns 4 if the replicas differ,
// and 5 if they could not be compared and the command should be repeated.
int ShowReplica(const Command& command, std::ostream& out, std::ostream& err);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_REPLICA_COMMAND_H_

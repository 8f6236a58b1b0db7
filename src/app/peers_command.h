// SPDX-License-Identifier: Apache-2.0
//
// kestrelline peers: shows a running proxy's view of its peers, read from its management endpoint.
#ifndef KESTRELLINE_APP_PEERS_COMMAND_H_
#define KESTRELLINE_APP_PEERS_COMMAND_H_

#include <ostream>

#include "app/cli.h"

namespace kestrelline::app {

// Returns the exit code: 0, or one of those in management_client.h.
int ShowPeers(const Command& command, std::ostream& out, std::ostream& err);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_PEERS_COMMAND_H_

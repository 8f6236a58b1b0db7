// SPDX-License-Identifier: Apache-2.0
//
// kestrelline peers: asks a proxy that runs, at its door, what it knows of the others.
#ifndef KESTRELLINE_APP_PEERS_COMMAND_H_
#define KESTRELLINE_APP_PEERS_COMMAND_H_

#include <ostream>

#include "app/cli.h"

namespace kestrelline::app {

// Exit codes: 0; 1 if nobody answers or what answers is no proxy; 2 for an address that is none; 3 if that
// proxy's peers are off.
int ShowPeers(const Command& command, std::ostream& out, std::ostream& err);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_PEERS_COMMAND_H_

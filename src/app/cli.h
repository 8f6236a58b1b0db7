// SPDX-License-Identifier: Apache-2.0
//
// The command line.
//
//   kestrelline [--operator FILE]                          the proxy
//   kestrelline check FILE --config CONFIG.json            exit 0 and a table of routes, or 1 and the
//   messages
//   kestrelline explain FILE --config CONFIG.json --class C [--tenant T] [--path P] [--header N=V
//   ...]
//   kestrelline peers ADDRESS [--watch | --json]           what a proxy that runs knows of the others
//   kestrelline replica ADDRESS [show | digest | diff OTHER] [--json]   what it shares with them
#ifndef KESTRELLINE_APP_CLI_H_
#define KESTRELLINE_APP_CLI_H_

#include <ostream>
#include <string>
#include <vector>

#include "app/operator_config.h"

namespace kestrelline::app {

struct Command {
  enum class What { kServe, kCheck, kExplain, kPeers, kReplica, kExit };
  What what = What::kServe;
  int exit_code = 0;          // of kExit: help was asked for, or the arguments are wrong
  std::string operator_file;  // empty: none
  std::string plugin_worker;  // the program that plug-ins run in; beside this one unless given
  std::string config_file;
  std::string request_class, tenant, path;
  std::vector<std::string> headers;  // "Name=value"
  std::string door;                  // of the proxy that is asked for its peers
  bool json = false, watch = false;
  std::string replica = "show", other_door;  // what is asked of what it shares
};

// What is said about the arguments goes to standard output or error.
Command ParseArguments(int argc, char** argv);

// Exit codes: 0; 1 for a file that is refused, or a request that cannot be.
int Check(const Command& command, std::ostream& out, std::ostream& err);
int Explain(const Command& command, std::ostream& out, std::ostream& err);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_CLI_H_

// SPDX-License-Identifier: Apache-2.0
//
// The command line.
//
//   kestrelline [--operator FILE]
//       runs the proxy
//   kestrelline check FILE --config CONFIG.json
//       validates an operator file: prints its routes and exits with 0, or prints the errors and exits with 1
//   kestrelline explain FILE --config CONFIG.json --class C [--tenant T] [--path P] [--header N=V ...]
//       prints the route that a request takes and the origin of each of its limits
//   kestrelline peers ADDRESS [--watch | --json]
//       prints a running proxy's view of its peers
//   kestrelline replica ADDRESS [show | digest | diff OTHER] [--json]
//       prints a running proxy's replicated state, or compares it with that of another proxy
#ifndef KESTRELLINE_APP_CLI_H_
#define KESTRELLINE_APP_CLI_H_

#include <ostream>
#include <string>
#include <vector>

#include "app/operator_config.h"

namespace kestrelline::app {

// The parsed arguments.
struct Command {
  enum class Action { kServe, kCheck, kExplain, kPeers, kReplica, kExit };
  Action action = Action::kServe;
  int exit_code = 0;          // for kExit: help was requested, or the arguments are invalid
  std::string operator_file;  // empty: none
  std::string plugin_worker;  // path of the plug-in worker executable; see DefaultPluginWorker
  std::string config_file;
  std::string request_class, tenant, path;
  std::vector<std::string> headers;  // "Name=value"
  std::string address;               // management address of the proxy to query, for peers and replica
  bool json = false, watch = false;
  // For replica: the operation (show, digest or diff), and the management address of the second proxy for
  // diff.
  std::string replica = "show", other_address;
};

// Prints help to standard output and errors to standard error.
Command ParseArguments(int argc, char** argv);

// Return the exit code: 0, or 1 if a file is rejected or the request is invalid.
int Check(const Command& command, std::ostream& out, std::ostream& err);
int Explain(const Command& command, std::ostream& out, std::ostream& err);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_CLI_H_

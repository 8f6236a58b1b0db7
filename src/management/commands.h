// SPDX-License-Identifier: Apache-2.0
//
// Commands of the management endpoint: parses a command line and forms its answer. No I/O, no clock.
//
// A command is one line, terminated by LF or CRLF. Its answer is one line that begins with ACK or NAK, except
// for `show-stat`: its answer is the metrics, followed by a line `--`.
#ifndef KESTRELLINE_MANAGEMENT_COMMANDS_H_
#define KESTRELLINE_MANAGEMENT_COMMANDS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "lifecycle/process_lifecycle.h"

namespace kestrelline::management {

inline constexpr std::size_t kMaxLineBytes = 256;  // length limit of a command, line terminator included

// The operations and state of the process that the commands need.
class Operations {
 public:
  virtual ~Operations() = default;
  virtual lifecycle::State state() const = 0;
  virtual lifecycle::CommandResult Drain() = 0;
  virtual lifecycle::CommandResult Resume() = 0;
  // The metrics in Prometheus text format.
  virtual std::string MetricsText() const = 0;
  // This proxy's view of its peers as one JSON object; empty if peers are disabled.
  virtual std::string PeersText() const { return {}; }
  // State of the replicated data as one JSON object; empty if replication is disabled.
  virtual std::string ReplicaText() const { return {}; }
};

// Runs the command in `line`, with or without its terminator, and returns the complete answer. Accepts
// arbitrary bytes without throwing.
std::string HandleCommand(std::string_view line, Operations& operations);

// The answer to a client that sent kMaxLineBytes without a line terminator.
std::string OverlongLineAnswer();

}  // namespace kestrelline::management

#endif  // KESTRELLINE_MANAGEMENT_COMMANDS_H_

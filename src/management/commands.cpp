// SPDX-License-Identifier: Apache-2.0
#include "management/commands.h"

namespace kestrelline::management {
namespace {

using lifecycle::CommandResult;
using lifecycle::State;

std::string Line(const char* status, std::string_view text) {
  return std::string(status).append(" ").append(text).append("\n");
}
std::string Ack(std::string_view text) { return Line("ACK", text); }
std::string Nak(std::string_view text) { return Line("NAK", text); }

// `changed`: the text if the operation changed the state; `unchanged`: if it was in effect already.
std::string AnswerFor(CommandResult result, std::string_view changed, std::string_view unchanged) {
  switch (result) {
    case CommandResult::kDone:
      return Ack(changed);
    case CommandResult::kNoChange:
      return Ack(unchanged);
    case CommandResult::kStopping:
      break;
  }
  return Nak("stopping");
}

}  // namespace

std::string HandleCommand(std::string_view line, Operations& operations) {
  if (!line.empty() && line.back() == '\n') line.remove_suffix(1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line == "ready") {
    const State state = operations.state();
    return state == State::kReady ? Ack("ready") : Nak(lifecycle::NameOf(state));
  }
  if (line == "show-stat") return operations.MetricsText() + "--\n";
  if (line == "peers") {
    const std::string text = operations.PeersText();
    return text.empty() ? Nak("peers are off") : Ack(text);
  }
  if (line == "replica") {
    const std::string text = operations.ReplicaText();
    return text.empty() ? Nak("replica is off") : Ack(text);
  }
  if (line == "drain") return AnswerFor(operations.Drain(), "draining", "draining already");
  if (line == "resume") return AnswerFor(operations.Resume(), "no longer draining", "was not draining");
  // The input is not echoed: it may hold arbitrary bytes.
  return Nak(line.empty() ? "empty line"
                          : "unknown call; there are ready, show-stat, drain, resume, peers, replica");
}

std::string OverlongLineAnswer() { return Nak("line too long"); }

}  // namespace kestrelline::management

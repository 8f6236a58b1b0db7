// SPDX-License-Identifier: Apache-2.0
#include "management/commands.h"

namespace kestrelline::management {
namespace {

using lifecycle::CommandResult;
using lifecycle::State;

std::string Line(const char* word, std::string_view text) {
  return std::string(word).append(" ").append(text).append("\n");
}
std::string Ack(std::string_view text) { return Line("ACK", text); }
std::string Nak(std::string_view text) { return Line("NAK", text); }

std::string Told(CommandResult done, std::string_view now, std::string_view already) {
  switch (done) {
    case CommandResult::kDone:
      return Ack(now);
    case CommandResult::kNoChange:
      return Ack(already);
    case CommandResult::kStopping:
      break;
  }
  return Nak("stopping");
}

}  // namespace

std::string AnswerTo(std::string_view line, Operations& operations) {
  if (!line.empty() && line.back() == '\n') line.remove_suffix(1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line == "ready") {
    const State state = operations.state();
    return state == State::kReady ? Ack("ready") : Nak(lifecycle::NameOf(state));
  }
  if (line == "show-stat") return operations.FiguresText() + "--\n";
  if (line == "peers") {
    const std::string text = operations.PeersText();
    return text.empty() ? Nak("peers are off") : Ack(text);
  }
  if (line == "replica") {
    const std::string text = operations.ReplicaText();
    return text.empty() ? Nak("replica is off") : Ack(text);
  }
  if (line == "drain") return Told(operations.Drain(), "draining", "draining already");
  if (line == "resume") return Told(operations.Resume(), "no longer draining", "was not draining");
  // What was said is not said again: it may be anything.
  return Nak(line.empty() ? "empty line"
                          : "unknown call; there are ready, show-stat, drain, resume, peers, replica");
}

std::string AnswerToOverlong() { return Nak("line too long"); }

}  // namespace kestrelline::management

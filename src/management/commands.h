// SPDX-License-Identifier: Apache-2.0
//
// The calls of the door: what each does and says. No I/O, no clock.
//
// A call is one line, ended by LF or CRLF. Its answer is one line that begins with ACK or NAK; the figures
// are the lines themselves and a line `--`.
#ifndef KESTRELLINE_MANAGEMENT_COMMANDS_H_
#define KESTRELLINE_MANAGEMENT_COMMANDS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "lifecycle/process_lifecycle.h"

namespace kestrelline::management {

inline constexpr std::size_t kMostLine = 256;  // bytes of a call, its end included

// What calls act on.
class Operations {
 public:
  virtual ~Operations() = default;
  virtual lifecycle::State state() const = 0;
  virtual lifecycle::CommandResult Drain() = 0;
  virtual lifecycle::CommandResult Resume() = 0;
  virtual std::string FiguresText() const = 0;
  // What is known of the other proxies, one JSON object; empty where that is off.
  virtual std::string PeersText() const { return {}; }
  // The same of what is shared with them.
  virtual std::string ReplicaText() const { return {}; }
};

// The whole answer to a line, which may still have its end. Never throws on what the line holds.
std::string AnswerTo(std::string_view line, Operations& operations);

// To a caller whose line has no end within kMostLine.
std::string AnswerToOverlong();

}  // namespace kestrelline::management

#endif  // KESTRELLINE_MANAGEMENT_COMMANDS_H_

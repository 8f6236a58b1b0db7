// SPDX-License-Identifier: Apache-2.0
//
// Messages between the daemon and a worker, without I/O. Each is one datagram of a SOCK_SEQPACKET pair, so
// that none arrives in part. Integers and texts (a 32-bit length before them) are of this machine's order:
// both ends are processes of one.
//
// The daemon believes nothing that it reads: a reply that is not wholly understood, is too long, or holds a
// number that is none, is refused by the reader.
#ifndef KESTRELLINE_PLUGIN_WIRE_H_
#define KESTRELLINE_PLUGIN_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "plugin/api.h"

namespace kestrelline::plugin::wire {

// The descriptor that the daemon leaves the worker.
inline constexpr int kWorkerSocket = 3;

inline constexpr std::size_t kMostSource = 64 * 1024;
inline constexpr std::size_t kMostMessage = kMostSource + 4096;

// To the worker.
struct Load {
  std::string name, source;
  Budgets budgets;
};
struct Call {
  std::uint64_t id = 0;
  RequestView request;  // of the buffer that was read
};

// From the worker.
struct Ready {
  std::uint64_t fuel = 0;  // that loading took
};
struct Refused {
  std::string text;
};
struct Reply {
  std::uint64_t id = 0;
  Outcome outcome;
};

std::string Write(const Load& message);
std::string Write(const Call& message);
std::string Write(const Ready& message);
std::string Write(const Refused& message);
std::string Write(const Reply& message);

using ToWorker = std::variant<Load, Call>;
using FromWorker = std::variant<Ready, Refused, Reply>;

// Nothing unless all of `bytes` is one message. The view of a Call points into `bytes`.
std::optional<ToWorker> ReadToWorker(std::string_view bytes);
std::optional<FromWorker> ReadFromWorker(std::string_view bytes);

}  // namespace kestrelline::plugin::wire

#endif  // KESTRELLINE_PLUGIN_WIRE_H_

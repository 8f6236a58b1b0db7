// SPDX-License-Identifier: Apache-2.0
//
// Encoding of the messages between the proxy and a worker, without I/O. Each message is one datagram of a
// SOCK_SEQPACKET socket pair, so that none arrives in part. Integers, and the 32-bit lengths of texts, are in
// host byte order, since both ends run on the same machine.
//
// The proxy does not trust a worker: the reader rejects a reply that is malformed, too long, or holds a
// number that is not finite.
#ifndef KESTRELLINE_PLUGIN_WIRE_H_
#define KESTRELLINE_PLUGIN_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "plugin/api.h"

namespace kestrelline::plugin::wire {

// File descriptor of the worker's socket.
inline constexpr int kWorkerSocket = 3;

inline constexpr std::size_t kMaxSourceBytes = 64 * 1024;  // bytes of a script
inline constexpr std::size_t kMaxMessageBytes = kMaxSourceBytes + 4096;

// Messages to the worker.
struct Load {
  std::string name, source;
  Budgets budgets;
};
struct Call {
  std::uint64_t id = 0;
  RequestView request;  // points into the buffer that was read
};

// Messages from the worker.
struct Ready {
  std::uint64_t fuel = 0;  // instructions that loading took
};
struct Refused {  // the script could not be loaded
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

// Return nothing unless `bytes` is exactly one valid message. The view of a Call points into `bytes`.
std::optional<ToWorker> ReadToWorker(std::string_view bytes);
std::optional<FromWorker> ReadFromWorker(std::string_view bytes);

}  // namespace kestrelline::plugin::wire

#endif  // KESTRELLINE_PLUGIN_WIRE_H_

// SPDX-License-Identifier: Apache-2.0
//
// Counts the messages that a process receives over internal connections, by kind. Sent messages are counted
// by their receivers. No I/O, no clock.
#ifndef KESTRELLINE_MESH_TRAFFIC_H_
#define KESTRELLINE_MESH_TRAFFIC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "wire/messages.h"

namespace kestrelline::mesh {

class Traffic {
 public:
  // `bytes`: size of the frame, including its length prefix.
  void Received(const wire::Body& body, std::size_t bytes);
  // Counters of messages and bytes in the Prometheus text format, for each kind received so far.
  std::string MetricsText() const;

 private:
  struct Count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  std::array<Count, std::variant_size_v<wire::Body>> counts_{};
};

}  // namespace kestrelline::mesh

#endif  // KESTRELLINE_MESH_TRAFFIC_H_

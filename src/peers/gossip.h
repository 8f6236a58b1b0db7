// SPDX-License-Identifier: Apache-2.0
//
// Membership updates that are piggybacked on other datagrams, each a bounded number of times. No I/O, no
// clock.
//
// Bounds: one update per name, the newest, and kMaxUpdates names. When full, the update that has been sent
// most often is evicted: a receiver that missed it gets it from the exchange of digests.
#ifndef KESTRELLINE_PEERS_GOSSIP_H_
#define KESTRELLINE_PEERS_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "peers/message.h"

namespace kestrelline::peers {

// See the head of this file.
class Gossip {
 public:
  static constexpr std::size_t kMaxUpdates = 2048;

  // Replaces an earlier update about the same name.
  void Add(Statement statement);
  void Drop(std::string_view name);

  // Appends to `into` the updates that fit into `room` bytes, the least often sent first. Each update is sent
  // at most `max_transmissions` times.
  void Fill(std::size_t room, unsigned max_transmissions, std::vector<Statement>* into);

 private:
  struct Update {
    Statement statement;
    unsigned transmissions = 0;
    std::uint64_t serial = 0;
  };
  using Key = std::pair<unsigned, std::uint64_t>;  // transmissions, then newest first

  std::map<std::string, Update, std::less<>> updates_;
  std::map<Key, std::string> queue_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_GOSSIP_H_

// SPDX-License-Identifier: Apache-2.0
//
// News that ride on datagrams which are sent anyway, each a bounded number of times. No I/O, no clock.
//
// Bounds: one piece of news a name, the newest; kMostNews names. Where there is no room the one that has been
// told most often makes way: whoever missed it learns of it by the exchange of digests.
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

class Gossip {
 public:
  static constexpr std::size_t kMostNews = 2048;

  // Takes the place of older news of the same name.
  void Add(Statement statement);
  void Drop(std::string_view name);

  // Adds to `into` what fits into `room` bytes, the least told first; each is told `times` at most.
  void Fill(std::size_t room, unsigned times, std::vector<Statement>* into);

 private:
  struct News {
    Statement statement;
    unsigned told = 0;
    std::uint64_t serial = 0;
  };
  using Key = std::pair<unsigned, std::uint64_t>;  // told, and the newest first

  std::map<std::string, News, std::less<>> news_;
  std::map<Key, std::string> order_;
  std::uint64_t last_ = 0;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_GOSSIP_H_

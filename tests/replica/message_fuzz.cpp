// SPDX-License-Identifier: Apache-2.0
//
// Fuzz target of what replicas say to each other; a part of the logic tests too.
#include "replica/message_fuzz.h"

#include "replica/node.h"

using namespace kestrelline;

int ReplicaReads(const std::uint8_t* data, std::size_t size) {
  const auto m = replica::wire::Decode({data, size});
  if (!m) return 0;
  constexpr std::size_t kMost = 64;
  replica::Time now{std::chrono::hours(1)};
  replica::Node node({.name = "a", .zone = "z", .seed = 5, .most_entries = kMost}, now);
  node.OnPeer(now, {peers::Event::Kind::kJoined, {"b", 7, 0, peers::State::kAlive, {1, 1}, "z", "1", 2}});
  node.Write(now, {replica::Table::kClaims, 1, 1}, std::chrono::seconds(10), 0);
  for (int i = 0; i < 3; ++i) {
    node.Receive(now, 7, {0x7f000001, 7002}, *m);
    now += std::chrono::milliseconds(700);
    node.Tick(now);
    for (const auto& out : node.TakeOutgoing())
      if (out.body.size() > replica::wire::kMostBody || !replica::wire::Decode(out.body)) __builtin_trap();
  }
  if (node.store().size() > kMost) __builtin_trap();
  // What is read is written as it was: tables of a newer program are left out both times.
  if (replica::wire::Decode(replica::wire::Encode(*m)) != m) __builtin_trap();
  return 1;
}

#ifdef KESTRELLINE_FUZZ
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  ReplicaReads(data, size);
  return 0;
}
#endif

// SPDX-License-Identifier: Apache-2.0
//
// Fuzz target for replica messages. The logic tests use it too.
#include "replica/message_fuzz.h"

#include "replica/node.h"

using namespace kestrelline;

int DecodesAsReplicaMessage(const std::uint8_t* data, std::size_t size) {
  const auto message = replica::wire::Decode({data, size});
  if (!message) return 0;
  constexpr std::size_t kMaxEntries = 64;
  replica::Time now{std::chrono::hours(1)};
  replica::Node node({.name = "a", .zone = "z", .seed = 5, .max_entries = kMaxEntries}, now);
  node.OnPeer(now, {peers::Event::Kind::kJoined, {"b", 7, 0, peers::State::kAlive, {1, 1}, "z", "1", 2}});
  node.Write(now, {replica::Table::kClaims, 1, 1}, std::chrono::seconds(10), 0);
  for (int i = 0; i < 3; ++i) {
    node.Receive(now, 7, {0x7f000001, 7002}, *message);
    now += std::chrono::milliseconds(700);
    node.Tick(now);
    for (const auto& out : node.TakeOutgoing())
      if (out.body.size() > replica::wire::kMaxBodyBytes || !replica::wire::Decode(out.body))
        __builtin_trap();
  }
  if (node.store().size() > kMaxEntries) __builtin_trap();
  // A decoded message encodes to itself: entries of unknown tables are dropped the first time already.
  if (replica::wire::Decode(replica::wire::Encode(*message)) != message) __builtin_trap();
  return 1;
}

#ifdef KESTRELLINE_FUZZ
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  DecodesAsReplicaMessage(data, size);
  return 0;
}
#endif

// SPDX-License-Identifier: Apache-2.0
//
// Fuzzes datagrams behind the seal: each is decoded, re-encoded, and received by a node, which must keep its
// limits and go on. A libFuzzer target (-DKESTRELLINE_FUZZ=ON, with clang); wire_test.cpp replays its corpus.
//
// The input is a sequence of datagrams: the format, the length of the body in two bytes (little-endian), and
// the body.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <span>

#include "peers/node.h"
#include "peers/wire.h"

namespace {

using namespace kestrelline::peers;

constexpr std::size_t kMaxReplies = 16;  // to one datagram: six datagrams of entries, an ack, and a few more

void Require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

Member PeerMember(int i) {
  return {"n" + std::to_string(i),
          100u + static_cast<unsigned>(i),
          0,
          State::kAlive,
          {0x7f000001, static_cast<std::uint16_t>(7001 + i)},
          "z" + std::to_string(i % 2),
          "1",
          2};
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Time now{std::chrono::hours(1)};
  Node::Options options{.name = "n0", .zone = "z0", .version = "1", .boot = 100, .seed = 1};
  options.address = PeerMember(0).address;
  options.seeds = {PeerMember(1).address};
  Node node(options, now);
  for (int i = 1; i <= 3; ++i) {
    Message ack;
    ack.kind = Message::Kind::kAck;
    ack.from = PeerMember(i);
    node.Receive(now, ack);
  }
  std::span<const std::uint8_t> rest(data, size);
  while (rest.size() >= 3) {
    const auto format = static_cast<std::uint8_t>(rest[0] % 4);
    const std::size_t length = std::min<std::size_t>(rest[1] | rest[2] << 8, rest.size() - 3);
    const auto message = wire::Decode(rest.subspan(3, length), format);
    rest = rest.subspan(3 + length);
    now += std::chrono::milliseconds(50);
    node.TakeOutgoing();
    if (message) {
      const auto reencoded = wire::Decode(wire::Encode(*message, format), format);
      Require(reencoded && *reencoded == *message, "what is read and written again is not the same");
      node.Receive(now, *message);
    }
    const auto replies = node.TakeOutgoing();
    Require(replies.size() <= kMaxReplies, "too many answers to one datagram");
    node.Tick(now);
    for (const Outgoing& out : replies)
      Require(wire::Encode(out.message, out.wire).size() <= wire::kMaxBodyBytes,
              "a datagram that is too long");
    Require(node.view().entries().size() <= kMaxMembers, "too many members");
    Require(node.displaced() || node.self().boot == options.boot, "somebody else's boot");
    Require(node.NextDue() > now, "a timer that never sleeps");
  }
  return 0;
}

// SPDX-License-Identifier: Apache-2.0
//
// What proxies say to each other, as values; wire.h has their bytes.
#ifndef KESTRELLINE_PEERS_MESSAGE_H_
#define KESTRELLINE_PEERS_MESSAGE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peers/member.h"

namespace kestrelline::peers {

struct Statement {
  Member member;              // short ones, about an end or a suspicion, have no address
  std::uint32_t accuser = 0;  // of a suspicion: who found it out; the hash of a name

  bool operator==(const Statement&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    kPing = 1,     // answer with an ack of this number
    kAck = 2,      // of a ping; or, passed on, of the ping that a relay sent
    kNack = 3,     // a relay has had no answer, and lives itself
    kRelay = 4,    // ping `target` at `target_address`, and pass on what comes
    kDigest = 5,   // the buckets of the sender's view
    kEntries = 6,  // statements of the buckets in which two views differ
    kJoin = 7      // a digest is wanted: from one who is new or was away
  };
  Kind kind = Kind::kPing;
  Member from;             // who says it, by its own word
  std::uint64_t view = 0;  // the hash of its view; 0: not said (the first form has no place for it)
  std::uint64_t number = 0;
  std::string target;                 // of a ping, a relay, an ack: a name; empty: whoever is there
  std::uint64_t target_boot = 0;      // 0: any
  Address target_address;             // of a relay
  std::vector<std::uint32_t> digest;  // empty, or kBuckets
  // Of entries: the buckets that they hold whole, and whether what is newer at the receiver is wanted.
  std::array<std::uint64_t, kBuckets / 64> whole{};
  bool reply = false;
  std::vector<Statement> statements;

  bool operator==(const Message&) const = default;
};

struct Outgoing {
  Address to;
  Message message;
  std::uint8_t wire = 1;  // the form that the receiver reads
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_MESSAGE_H_

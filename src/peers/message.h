// SPDX-License-Identifier: Apache-2.0
//
// The messages that proxies exchange, as values; wire.h encodes them.
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
  Member member;              // without address, zone and version in a short statement (wire::ShortForm)
  std::uint32_t accuser = 0;  // hash of the name of the member that raised the suspicion; 0: none

  bool operator==(const Statement&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    kPing = 1,     // asks for an ack with this number
    kAck = 2,      // answers a ping; also forwarded by a relay on behalf of its target
    kNack = 3,     // from a relay: the target did not answer, but the relay is alive
    kRelay = 4,    // asks the receiver to ping `target` at `target_address` and forward the ack
    kDigest = 5,   // the digest of the sender's view, for comparison
    kEntries = 6,  // statements from the buckets in which two views differ
    kJoin = 7      // asks for entries: from a member that is new or has been out of contact
  };
  Kind kind = Kind::kPing;
  Member from;             // the sender, as it describes itself
  std::uint64_t view = 0;  // hash of the sender's view; 0: unknown (format 1 doesn't carry it)
  std::uint64_t number = 0;
  std::string target;                 // name of the member meant by a ping, relay or ack; empty: any
  std::uint64_t target_boot = 0;      // 0: any
  Address target_address;             // of kRelay
  std::vector<std::uint32_t> digest;  // empty, or kBuckets
  // Of kEntries: bit set of the buckets sent completely, and whether the receiver is to answer with what is
  // newer in its own view.
  std::array<std::uint64_t, kBuckets / 64> whole{};
  bool reply = false;
  std::vector<Statement> statements;

  bool operator==(const Message&) const = default;
};

struct Outgoing {
  Address to;
  Message message;
  std::uint8_t wire = 1;  // the datagram format to use, which the receiver reads
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_MESSAGE_H_

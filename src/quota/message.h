// SPDX-License-Identifier: Apache-2.0
//
// The messages by which the proxies elect an allocator and receive its grants, as values. wire.h encodes
// them.
//
// The allocator, or a candidate for it, sends claims to all members: each asks for the receiver's support and
// may carry a grant. Members reply to each claim.
#ifndef KESTRELLINE_QUOTA_MESSAGE_H_
#define KESTRELLINE_QUOTA_MESSAGE_H_

#include <chrono>
#include <compare>
#include <cstdint>

namespace kestrelline::quota {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

// Term of an allocator, ordered: the greater one is the later. Serves as a fencing token for the grants of
// the term.
struct Term {
  std::uint64_t number = 0;  // 0: none
  std::uint64_t boot = 0;    // boot number of the allocator's process
  auto operator<=>(const Term&) const = default;
};

// A lease on a part of the pool. It starts when the receiver sent the reply that the grant acknowledges, so
// that the holder's lease never ends later than the allocator expects, however long the grant was on its way.
struct Grant {
  std::uint64_t reply_number = 0;  // the acknowledged reply; 0: the message has no grant
  std::uint64_t number = 0;        // increases with each grant of a term
  double share = 0;                // part of the whole, 0 to 1
  Span duration{};                 // whole milliseconds
  bool operator==(const Grant&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    kClaim = 1,  // from the allocator or a candidate: asks for support, and may grant a share
    kReply = 2   // a member's reply to a claim
  };
  Kind kind = Kind::kClaim;
  Term term;  // of the claim; a reply repeats it
  // Round of claims, increasing from 1. In a reply: the round that the member supports, 0 for none.
  std::uint64_t round = 0;
  // In claims only.
  Grant grant;
  // In replies only.
  std::uint64_t highest_term = 0;    // number of the latest term that the member knows of
  std::uint64_t number = 0;          // increases with each reply of the member
  std::uint32_t member_index = 0;    // the member's index among the configured proxies
  std::uint64_t accepted_grant = 0;  // last grant of this term in use there; the member uses none before it
  double rate = 0;                   // requests per second that arrive at the member
  bool operator==(const Message&) const = default;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_MESSAGE_H_

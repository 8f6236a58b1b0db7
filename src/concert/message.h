// SPDX-License-Identifier: Apache-2.0
//
// What members say to each other about shares, as values; wire.h has their bytes.
#ifndef KESTRELLINE_CONCERT_MESSAGE_H_
#define KESTRELLINE_CONCERT_MESSAGE_H_

#include <chrono>
#include <compare>
#include <cstdint>

namespace kestrelline::quota {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

// Of whoever hands shares out: the greater is the later one. A fencing token for whatever is done under it.
struct Term {
  std::uint64_t number = 0;  // 0: none
  std::uint64_t boot = 0;    // of the process that leads
  auto operator<=>(const Term&) const = default;
};

// A part of the pool, for a time that begins when the word that it answers was sent.
struct Grant {
  std::uint64_t answers = 0;  // the number of that word; 0: there is no grant
  std::uint64_t number = 0;   // of the grants of a term, rising
  double share = 0;           // 0 to 1
  Span lasts{};               // whole milliseconds
  bool operator==(const Grant&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    kClaim = 1,  // by who leads, or wants to: asks for support, and grants
    kWord = 2    // a member's answer to it
  };
  Kind kind = Kind::kClaim;
  Term term;                // of a word: that of the claim which it answers
  std::uint64_t round = 0;  // of claims, rising from 1; of a word: that which it supports; 0: none
  // Of a claim.
  Grant grant;
  // Of a word.
  std::uint64_t greatest = 0;  // the number of the latest term that it knows of
  std::uint64_t number = 0;    // of words, rising
  std::uint32_t place = 0;     // the member's number among those that are configured
  std::uint64_t taken = 0;     // the last grant of this term that it has taken; those before are void
  double rate = 0;             // requests a second that come to it
  bool operator==(const Message&) const = default;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_CONCERT_MESSAGE_H_

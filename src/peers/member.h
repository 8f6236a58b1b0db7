// SPDX-License-Identifier: Apache-2.0
//
// A member of the fleet of proxies as somebody states it, and which of two statements holds. No I/O, no
// clock.
//
// Statements about one name are in one total order: incarnation, then boot, then state. The greater one
// holds, so that in whichever order, and however often, statements come, everybody ends with the same one.
// The table is in docs/design/peers.md, and is tested row by row.
#ifndef KESTRELLINE_PEERS_MEMBER_H_
#define KESTRELLINE_PEERS_MEMBER_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kestrelline::peers {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

inline constexpr std::size_t kMostMembers = 4096;  // known at once, this proxy among them
// Names, zones and versions are printed and logged: nothing in them may move a terminal or end a line.
constexpr bool IsPlain(char c) { return c > 0x20 && c < 0x7f; }

inline constexpr std::size_t kMostName = 64, kMostZone = 32, kMostVersion = 24;  // bytes

// In the order in which they win against each other within one incarnation of one boot.
enum class State : std::uint8_t { kAlive, kSuspect, kFaulty, kLeaving, kLeft };
inline constexpr std::size_t kStates = 5;
const char* NameOf(State state);

// Alive, suspect and leaving ones answer, as far as anybody knows.
constexpr bool Present(State state) { return state != State::kFaulty && state != State::kLeft; }

// IPv4; numbers in the host's order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
  std::string Text() const;  // "127.0.0.1:7001"
};
// Nothing unless it is an address and a port over 0: names are not looked up.
std::optional<Address> ParseAddress(std::string_view text);

struct Member {
  std::string name;
  std::uint64_t boot =
      0;  // of the process: drawn at each start, the later the greater as far as clocks agree
  std::uint64_t incarnation = 0;  // raised by the member alone, to contradict what is said of it
  State state = State::kAlive;
  Address address;            // where it is to be written to
  std::string zone, version;  // of the program
  std::uint8_t wire = 1;      // the newest form of datagrams that it reads

  bool operator==(const Member&) const = default;
};

// Of two statements about one name, the greater one holds. What its member alone says (address, zone, ...)
// cannot differ unless somebody lies; it comes last, so that there is one order all the same.
// What the winning table compares: incarnation, then boot, then state. Statements are equal in it that differ
// in what only the member's own words hold, or are cut short.
std::strong_ordering Rank(const Member& a, const Member& b);
std::strong_ordering Order(const Member& a, const Member& b);
inline bool Wins(const Member& a, const Member& b) { return Order(a, b) > 0; }

// Hashes that are the same at every proxy. Of who is where, leaving out states and incarnations ...
std::uint64_t IdentityHash(const Member& member);
// ... and of the whole statement.
std::uint64_t StatementHash(const Member& member);
// By which members are sorted into buckets of a digest.
inline constexpr std::size_t kBuckets = 128;
std::size_t BucketOf(std::string_view name);

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_MEMBER_H_

// SPDX-License-Identifier: Apache-2.0
//
// A statement about one proxy of the fleet, and which of two statements takes precedence. No I/O, no clock.
//
// Statements about one name are totally ordered by incarnation, then boot id, then state, and the greater one
// is kept. So all proxies end up with the same statement, in whatever order and however often they receive
// them. The table is in docs/design/peers.md, and is tested row by row.
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

inline constexpr std::size_t kMaxMembers = 4096;  // in a view, this proxy included
// Whether `c` may stand in a name, zone or version. These are printed and logged, so that control characters,
// which could move a terminal's cursor or end a line, are not allowed.
constexpr bool IsPlain(char c) { return c > 0x20 && c < 0x7f; }

inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32, kMaxVersionBytes = 24;  // bytes

// In ascending order of precedence within one incarnation of one boot.
enum class State : std::uint8_t { kAlive, kSuspect, kFaulty, kLeaving, kLeft };
inline constexpr std::size_t kStates = 5;
const char* NameOf(State state);

// Whether a member in this state is believed to be running: alive, suspect or leaving.
constexpr bool Present(State state) { return state != State::kFaulty && state != State::kLeft; }

// An IPv4 address and port, both in host byte order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
  std::string Text() const;  // "127.0.0.1:7001"
};
// Parses "IP:PORT" with a port over 0. Host names are not resolved.
std::optional<Address> ParseAddress(std::string_view text);

struct Member {
  std::string name;
  // Identifies the process: drawn at each start, and increasing as far as clocks agree.
  std::uint64_t boot = 0;
  // Raised by the member alone, to refute statements that others make about it.
  std::uint64_t incarnation = 0;
  State state = State::kAlive;
  Address address;            // where others send datagrams for it
  std::string zone, version;  // the zone, and the version of the program
  std::uint8_t wire = 1;      // the newest datagram format that it reads

  bool operator==(const Member&) const = default;
};

// Compares incarnation, boot and state, as in the table of precedence. Statements compare equal if they
// differ only in fields that the member alone sets, or that short statements omit.
std::strong_ordering ComparePrecedence(const Member& a, const Member& b);
// As ComparePrecedence, with the remaining fields (address, zone, ...) as a tie-break. These differ between
// statements of one boot only if a key holder sends false ones; comparing them keeps the order total even
// then.
std::strong_ordering CompareStatements(const Member& a, const Member& b);
inline bool Supersedes(const Member& a, const Member& b) { return CompareStatements(a, b) > 0; }

// Hashes that are the same at every proxy. IdentityHash covers name, boot, address and zone ...
std::uint64_t IdentityHash(const Member& member);
// ... and StatementHash adds incarnation and state.
std::uint64_t StatementHash(const Member& member);
// The number of buckets of a digest, and the bucket of a name.
inline constexpr std::size_t kBuckets = 128;
std::size_t BucketOf(std::string_view name);

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_MEMBER_H_

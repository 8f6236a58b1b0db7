// SPDX-License-Identifier: Apache-2.0
//
// Authenticated datagrams: each ends with a seal, the first half of an HMAC-SHA256 (RFC 2104, truncated as in
// RFC 4868) under a key that all members share. No I/O but reading the key file.
//
//     0  'k' and the protocol  4  boot of the sender, 8 bytes, big-endian      20  body
//     2  format                12 number of the datagram, 8 bytes, big-endian  ..  seal, 16 bytes
//     3  key id
//
// The protocol is 'p' for membership, whose body is CBOR (wire.h), or the letter of another protocol. The
// seal covers all bytes before it. OpenSSL is loaded when it is first needed, so that a program without peers
// does not pay for it.
#ifndef KESTRELLINE_PEERS_AUTHENTICATOR_H_
#define KESTRELLINE_PEERS_AUTHENTICATOR_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peers/wire.h"

namespace kestrelline::peers {

// A shared secret, and the id by which datagrams refer to it.
struct Key {
  std::uint8_t id = 0;
  std::vector<std::uint8_t> secret;
};

// The first key seals; all of them are accepted.
using Keys = std::vector<Key>;
inline constexpr std::size_t kMaxKeys = 2;
inline constexpr std::size_t kMinSecretBytes = 16, kMaxSecretBytes = 64;

// Parses lines of "ID HEX". Comments ('#') and empty lines are skipped. On an error, returns nothing and sets
// `why`.
std::optional<Keys> ParseKeys(std::string_view text, std::string* why);
// Reads such a file, which must be a regular one that only its owner may read or write.
std::optional<Keys> ReadKeys(const std::string& path, std::string* why);

// Why a datagram is dropped; kNone if it is not.
enum class DropReason { kNone, kSize, kForm, kKey, kSeal, kReplay, kBody };
inline constexpr std::size_t kDropReasons = 7;
const char* NameOf(DropReason reason);

// Accepts each number of one sender once, if it is among the last kWindowSize.
class ReplayWindow {
 public:
  static constexpr std::uint64_t kWindowSize = 256;
  bool Accept(std::uint64_t number);

 private:
  std::uint64_t newest_ = 0;
  std::array<std::uint64_t, kWindowSize / 64> seen_{};
};

// Seals outgoing datagrams and verifies incoming ones. Bound: replay windows of kMaxSenders senders; a new
// sender evicts the one heard from longest ago.
class Authenticator {
 public:
  static constexpr std::size_t kMaxSenders = 2 * kMaxMembers;

  Authenticator(Keys keys, std::uint64_t boot) : keys_(std::move(keys)), boot_(boot) {}
  std::uint64_t boot() const { return boot_; }
  void SetKeys(Keys keys) { keys_ = std::move(keys); }

  wire::Bytes Seal(const Message& message, std::uint8_t format);
  // Seals a body of another protocol, at most kMaxBodyBytes.
  wire::Bytes SealProtocol(char protocol, std::span<const std::uint8_t> body);
  // The letter of the other protocol that the datagram belongs to; 0 if it is membership's or invalid.
  static char ProtocolOf(std::span<const std::uint8_t> datagram) {
    const bool known = datagram.size() > 2 && datagram[0] == 'k' && datagram[1] != 'p';
    return known ? static_cast<char>(datagram[1]) : '\0';
  }
  // Verifies a datagram of another protocol: sets the sender's boot, and the body, which points into
  // `datagram`.
  DropReason OpenProtocol(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                          std::span<const std::uint8_t>* body);
  // Verifies and decodes a membership datagram; `message` is set if the result is kNone. The body is parsed
  // only after the seal has been verified, and `from.boot` must equal the boot that the seal covers.
  DropReason Open(std::span<const std::uint8_t> datagram, Message* message);

 private:
  struct Window {
    ReplayWindow window;
    std::uint64_t last_use = 0;
  };
  wire::Bytes SealBody(char kind, std::uint8_t format, std::span<const std::uint8_t> body);
  DropReason Verify(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                    std::span<const std::uint8_t>* body);
  bool AcceptNumber(std::uint64_t boot, std::uint64_t number);

  Keys keys_;
  std::uint64_t boot_, number_ = 0, uses_ = 0;
  std::map<std::uint64_t, Window> windows_;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_AUTHENTICATOR_H_

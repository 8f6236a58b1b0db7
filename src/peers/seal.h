// SPDX-License-Identifier: Apache-2.0
//
// Datagrams that only holders of a key can make: HMAC-SHA256 (RFC 2104) by OpenSSL, its first half as RFC
// 4868 has it. No I/O but for the key file.
//
//     0  "kp" or "kr"   4  boot of the sender, 8 bytes, big-endian      20  body, CBOR
//     2  form           12 number of the datagram, 8 bytes, big-endian  ..  seal, 16 bytes
//     3  key id
//
// The seal covers all that goes before it. OpenSSL's library is taken up when the first key is read, so that
// a program without peers neither loads nor holds it.
#ifndef KESTRELLINE_PEERS_SEAL_H_
#define KESTRELLINE_PEERS_SEAL_H_

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

struct Key {
  std::uint8_t id = 0;
  std::vector<std::uint8_t> secret;
};

// The first seals, all of them are accepted.
using Keys = std::vector<Key>;
inline constexpr std::size_t kMostKeys = 2;
inline constexpr std::size_t kLeastSecret = 16, kMostSecret = 64;  // bytes

// "ID HEX" a line; what follows '#' and empty lines are left out. Nothing and why, if anything is wrong.
std::optional<Keys> ParseKeys(std::string_view text, std::string* why);
// The same of a file, which must be a regular one that nobody but its owner may read or write.
std::optional<Keys> ReadKeys(const std::string& path, std::string* why);

// What a datagram is, and why it is not read.
enum class Refusal { kNone, kSize, kForm, kKey, kSeal, kReplay, kBody };
inline constexpr std::size_t kRefusals = 7;
const char* NameOf(Refusal refusal);

// Which numbers of one boot have come: those of the last kWidth, each once.
class ReplayWindow {
 public:
  static constexpr std::uint64_t kWidth = 256;
  bool Take(std::uint64_t number);

 private:
  std::uint64_t newest_ = 0;
  std::array<std::uint64_t, kWidth / 64> seen_{};
};

// Seals and opens. Bound: the windows of kMostBoots senders; of the one that was heard longest ago the window
// is forgotten for a new one.
class Gate {
 public:
  static constexpr std::size_t kMostBoots = 2 * kMostMembers;

  Gate(Keys keys, std::uint64_t boot) : keys_(std::move(keys)), boot_(boot) {}
  std::uint64_t boot() const { return boot_; }
  void SetKeys(Keys keys) { keys_ = std::move(keys); }

  wire::Bytes Seal(const Message& message, std::uint8_t form);
  // The same round a body that is somebody else's, by a letter of theirs in place of the 'p' of "kp". At most
  // kMostBody.
  wire::Bytes SealOther(char whose, std::span<const std::uint8_t> body);
  // Whose it is; 0 for the view's own, or nobody's.
  static char WhoseOther(std::span<const std::uint8_t> datagram) {
    const bool known = datagram.size() > 2 && datagram[0] == 'k' && datagram[1] != 'p';
    return known ? static_cast<char>(datagram[1]) : '\0';
  }
  // Of such a datagram, the boot of who sealed it, and where the body is.
  Refusal OpenOther(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                    std::span<const std::uint8_t>* body);
  // The message, where the refusal is kNone. Nothing of a datagram is looked into before its seal is known to
  // be right; `from.boot` is then the one that the seal covers.
  Refusal Open(std::span<const std::uint8_t> datagram, Message* message);

 private:
  struct Window {
    ReplayWindow window;
    std::uint64_t used = 0;
  };
  wire::Bytes Sealed(char kind, std::uint8_t form, std::span<const std::uint8_t> body);
  Refusal Unsealed(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                   std::span<const std::uint8_t>* body);
  bool Fresh(std::uint64_t boot, std::uint64_t number);

  Keys keys_;
  std::uint64_t boot_, number_ = 0, uses_ = 0;
  std::map<std::uint64_t, Window> windows_;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_SEAL_H_

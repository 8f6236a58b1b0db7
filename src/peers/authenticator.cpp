// SPDX-License-Identifier: Apache-2.0
#include "peers/authenticator.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>

namespace kestrelline::peers {
namespace {

constexpr std::size_t kHeaderBytes = 20, kTagBytes = 16;
static_assert(kHeaderBytes + kTagBytes == wire::kSealOverheadBytes);
constexpr std::size_t kMaxKeyFileBytes = 4096;
constexpr std::uint8_t kProtocolFormat = 1;

using Tag = std::array<std::uint8_t, kTagBytes>;

// Functions of libcrypto, loaded at first use: linking it would cost every start 1.5 MB and 0.7 ms
// (docs/design/peers.md).
struct OpenSsl {
  decltype(&HMAC) hmac;
  decltype(&EVP_sha256) sha256;
  decltype(&CRYPTO_memcmp) equal;

  static const OpenSsl& Get() {
    static const OpenSsl library = Load();
    return library;
  }
  static OpenSsl Load() {
    void* handle = dlopen("libcrypto.so.3", RTLD_NOW | RTLD_LOCAL);
    if (!handle) throw std::runtime_error(std::string("peers need OpenSSL 3: ") + dlerror());
    const auto find = [&](const char* name) {
      void* symbol = dlsym(handle, name);
      if (!symbol) throw std::runtime_error(std::string("peers need OpenSSL 3: there is no ") + name);
      return symbol;
    };
    return {reinterpret_cast<decltype(&HMAC)>(find("HMAC")),
            reinterpret_cast<decltype(&EVP_sha256)>(find("EVP_sha256")),
            reinterpret_cast<decltype(&CRYPTO_memcmp)>(find("CRYPTO_memcmp"))};
  }
};

Tag TagOf(const Key& key, std::span<const std::uint8_t> bytes) {
  const OpenSsl& ssl = OpenSsl::Get();
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest;
  unsigned length = 0;
  if (!ssl.hmac(ssl.sha256(), key.secret.data(), static_cast<int>(key.secret.size()), bytes.data(),
                bytes.size(), digest.data(), &length))
    throw std::runtime_error("HMAC failed");
  Tag tag;
  std::copy_n(digest.begin(), kTagBytes, tag.begin());
  return tag;
}

void PutBigEndian(std::uint64_t number, std::uint8_t* out) {
  for (int i = 0; i < 8; ++i) out[i] = static_cast<std::uint8_t>(number >> (56 - 8 * i));
}
std::uint64_t GetBigEndian(const std::uint8_t* in) {
  std::uint64_t number = 0;
  for (int i = 0; i < 8; ++i) number = (number << 8) | in[i];
  return number;
}

std::optional<std::vector<std::uint8_t>> FromHex(std::string_view hex) {
  std::vector<std::uint8_t> bytes;
  if (hex.size() % 2 != 0) return std::nullopt;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, bytes.emplace_back(), 16);
    if (error != std::errc() || end != hex.data() + i + 2) return std::nullopt;
  }
  return bytes;
}

}  // namespace

std::optional<Keys> ParseKeys(std::string_view text, std::string* why) {
  Keys keys;
  for (std::size_t line_number = 1; !text.empty(); ++line_number) {
    const auto end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    line = line.substr(0, line.find('#'));
    const auto trim = [&] {
      while (!line.empty() && std::strchr(" \t\r", line.front())) line.remove_prefix(1);
      while (!line.empty() && std::strchr(" \t\r", line.back())) line.remove_suffix(1);
    };
    trim();
    if (line.empty()) continue;
    const std::string where = "line " + std::to_string(line_number) + ": ";
    Key key;
    const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), key.id);
    if (error != std::errc() || rest == line.data() + line.size() || !std::strchr(" \t", *rest))
      return *why = where + "a key is 'ID HEX', its id 0 to 255", std::nullopt;
    line.remove_prefix(static_cast<std::size_t>(rest - line.data()));
    trim();
    const auto secret = FromHex(line);
    if (!secret || secret->size() < kMinSecretBytes || secret->size() > kMaxSecretBytes)
      return *why = where + "a secret is 32 to 128 hexadecimal digits", std::nullopt;
    key.secret = *secret;
    if (std::any_of(keys.begin(), keys.end(), [&](const Key& k) { return k.id == key.id; }))
      return *why = where + "key " + std::to_string(key.id) + " is there twice", std::nullopt;
    if (keys.size() == kMaxKeys) return *why = where + "more than two keys", std::nullopt;
    keys.push_back(std::move(key));
  }
  if (keys.empty()) return *why = "there is no key in it", std::nullopt;
  return keys;
}

std::optional<Keys> ReadKeys(const std::string& path, std::string* why) {
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) return *why = std::strerror(errno), std::nullopt;
  struct stat status {};
  std::string text(kMaxKeyFileBytes + 1, '\0');
  const bool is_regular = ::fstat(file, &status) == 0 && S_ISREG(status.st_mode);
  const ssize_t length = is_regular ? ::read(file, text.data(), text.size()) : -1;
  ::close(file);
  if (length < 0) return *why = "it is no file that can be read", std::nullopt;
  if ((status.st_mode & 077) != 0)
    return *why = "others than its owner may use it; chmod 600 is accepted", std::nullopt;
  if (static_cast<std::size_t>(length) > kMaxKeyFileBytes) return *why = "over 4096 bytes", std::nullopt;
  text.resize(static_cast<std::size_t>(length));
  return ParseKeys(text, why);
}

const char* NameOf(DropReason reason) {
  static constexpr std::array<const char*, kDropReasons> kNames{"none", "size",   "form", "key",
                                                                "seal", "replay", "body"};
  return kNames[static_cast<std::size_t>(reason)];
}

bool ReplayWindow::Accept(std::uint64_t number) {
  if (number == 0) return false;
  if (number > newest_) {
    const std::uint64_t skipped = std::min(number - newest_, kWindowSize);
    for (std::uint64_t i = 1; i <= skipped; ++i) {
      const std::uint64_t bit = (newest_ + i) % kWindowSize;
      seen_[bit / 64] &= ~(1ull << (bit % 64));
    }
    newest_ = number;
  } else if (newest_ - number >= kWindowSize) {
    return false;  // before the window
  }
  std::uint64_t& word = seen_[number % kWindowSize / 64];
  const std::uint64_t bit = 1ull << (number % 64);
  if (word & bit) return false;
  word |= bit;
  return true;
}

wire::Bytes Authenticator::SealBody(char kind, std::uint8_t format, std::span<const std::uint8_t> body) {
  const Key& key = keys_.front();
  wire::Bytes datagram(kHeaderBytes);
  datagram.reserve(kHeaderBytes + body.size() + kTagBytes);
  datagram[0] = 'k', datagram[1] = static_cast<std::uint8_t>(kind), datagram[2] = format,
  datagram[3] = key.id;
  PutBigEndian(boot_, &datagram[4]);
  PutBigEndian(++number_, &datagram[12]);
  datagram.insert(datagram.end(), body.begin(), body.end());
  const Tag tag = TagOf(key, datagram);
  datagram.insert(datagram.end(), tag.begin(), tag.end());
  return datagram;
}

wire::Bytes Authenticator::Seal(const Message& message, std::uint8_t format) {
  return SealBody('p', format, wire::Encode(message, format));
}
wire::Bytes Authenticator::SealProtocol(char protocol, std::span<const std::uint8_t> body) {
  return SealBody(protocol, kProtocolFormat, body);
}

DropReason Authenticator::Verify(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                                 std::span<const std::uint8_t>* body) {
  const auto key =
      std::find_if(keys_.begin(), keys_.end(), [&](const Key& k) { return k.id == datagram[3]; });
  if (key == keys_.end()) return DropReason::kKey;
  const auto sealed = datagram.first(datagram.size() - kTagBytes);
  const Tag tag = TagOf(*key, sealed);
  if (OpenSsl::Get().equal(tag.data(), datagram.data() + sealed.size(), kTagBytes) != 0)
    return DropReason::kSeal;
  *boot = GetBigEndian(&datagram[4]);
  *body = sealed.subspan(kHeaderBytes);
  return AcceptNumber(*boot, GetBigEndian(&datagram[12])) ? DropReason::kNone : DropReason::kReplay;
}

DropReason Authenticator::Open(std::span<const std::uint8_t> datagram, Message* message) {
  if (datagram.size() <= kHeaderBytes + kTagBytes || datagram.size() > wire::kMaxDatagramBytes)
    return DropReason::kSize;
  if (datagram[0] != 'k' || datagram[1] != 'p' || datagram[2] < wire::kOldestFormat ||
      datagram[2] > wire::kNewestFormat)
    return DropReason::kForm;
  std::uint64_t boot = 0;
  std::span<const std::uint8_t> body;
  if (const DropReason reason = Verify(datagram, &boot, &body); reason != DropReason::kNone) return reason;
  auto read = wire::Decode(body, datagram[2]);
  if (!read || read->from.boot != boot) return DropReason::kBody;
  *message = std::move(*read);
  return DropReason::kNone;
}

DropReason Authenticator::OpenProtocol(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                                       std::span<const std::uint8_t>* body) {
  if (datagram.size() <= kHeaderBytes + kTagBytes || datagram.size() > wire::kMaxDatagramBytes)
    return DropReason::kSize;
  if (ProtocolOf(datagram) == 0 || datagram[2] != kProtocolFormat) return DropReason::kForm;
  return Verify(datagram, boot, body);
}

bool Authenticator::AcceptNumber(std::uint64_t boot, std::uint64_t number) {
  auto entry = windows_.find(boot);
  if (entry == windows_.end()) {
    if (windows_.size() >= kMaxSenders) {
      windows_.erase(std::min_element(windows_.begin(), windows_.end(), [](const auto& a, const auto& b) {
        return a.second.last_use < b.second.last_use;
      }));
    }
    entry = windows_.try_emplace(boot).first;
  }
  entry->second.last_use = ++uses_;
  return entry->second.window.Accept(number);
}

}  // namespace kestrelline::peers

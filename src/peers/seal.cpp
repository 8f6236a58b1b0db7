// SPDX-License-Identifier: Apache-2.0
#include "peers/seal.h"

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

constexpr std::size_t kHead = 20, kTag = 16;
static_assert(kHead + kTag == wire::kSealOverheadBytes);
constexpr std::size_t kMostKeyFile = 4096;
constexpr std::uint8_t kOtherForm = 1;

using Tag = std::array<std::uint8_t, kTag>;

// Opened at the first use (docs/design/peers.md: linked, it costs every start 1.5 MB and 0.7 ms).
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
      void* at = dlsym(handle, name);
      if (!at) throw std::runtime_error(std::string("peers need OpenSSL 3: there is no ") + name);
      return at;
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
  std::copy_n(digest.begin(), kTag, tag.begin());
  return tag;
}

void Put(std::uint64_t number, std::uint8_t* at) {
  for (int i = 0; i < 8; ++i) at[i] = static_cast<std::uint8_t>(number >> (56 - 8 * i));
}
std::uint64_t Get(const std::uint8_t* at) {
  std::uint64_t number = 0;
  for (int i = 0; i < 8; ++i) number = (number << 8) | at[i];
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
    if (!secret || secret->size() < kLeastSecret || secret->size() > kMostSecret)
      return *why = where + "a secret is 32 to 128 hexadecimal digits", std::nullopt;
    key.secret = *secret;
    if (std::any_of(keys.begin(), keys.end(), [&](const Key& k) { return k.id == key.id; }))
      return *why = where + "key " + std::to_string(key.id) + " is there twice", std::nullopt;
    if (keys.size() == kMostKeys) return *why = where + "more than two keys", std::nullopt;
    keys.push_back(std::move(key));
  }
  if (keys.empty()) return *why = "there is no key in it", std::nullopt;
  return keys;
}

std::optional<Keys> ReadKeys(const std::string& path, std::string* why) {
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) return *why = std::strerror(errno), std::nullopt;
  struct stat about {};
  std::string text(kMostKeyFile + 1, '\0');
  const bool known = ::fstat(file, &about) == 0 && S_ISREG(about.st_mode);
  const ssize_t length = known ? ::read(file, text.data(), text.size()) : -1;
  ::close(file);
  if (length < 0) return *why = "it is no file that can be read", std::nullopt;
  if ((about.st_mode & 077) != 0)
    return *why = "others than its owner may use it; chmod 600 is accepted", std::nullopt;
  if (static_cast<std::size_t>(length) > kMostKeyFile) return *why = "over 4096 bytes", std::nullopt;
  text.resize(static_cast<std::size_t>(length));
  return ParseKeys(text, why);
}

const char* NameOf(Refusal refusal) {
  static constexpr std::array<const char*, kRefusals> kNames{"none", "size",   "form", "key",
                                                             "seal", "replay", "body"};
  return kNames[static_cast<std::size_t>(refusal)];
}

bool ReplayWindow::Take(std::uint64_t number) {
  if (number == 0) return false;
  if (number > newest_) {
    const std::uint64_t gone = std::min(number - newest_, kWidth);
    for (std::uint64_t i = 1; i <= gone; ++i) {
      const std::uint64_t at = (newest_ + i) % kWidth;
      seen_[at / 64] &= ~(1ull << (at % 64));
    }
    newest_ = number;
  } else if (newest_ - number >= kWidth) {
    return false;  // too long ago to tell
  }
  std::uint64_t& word = seen_[number % kWidth / 64];
  const std::uint64_t bit = 1ull << (number % 64);
  if (word & bit) return false;
  word |= bit;
  return true;
}

wire::Bytes Gate::Sealed(char kind, std::uint8_t form, std::span<const std::uint8_t> body) {
  const Key& key = keys_.front();
  wire::Bytes datagram(kHead);
  datagram.reserve(kHead + body.size() + kTag);
  datagram[0] = 'k', datagram[1] = static_cast<std::uint8_t>(kind), datagram[2] = form, datagram[3] = key.id;
  Put(boot_, &datagram[4]);
  Put(++number_, &datagram[12]);
  datagram.insert(datagram.end(), body.begin(), body.end());
  const Tag tag = TagOf(key, datagram);
  datagram.insert(datagram.end(), tag.begin(), tag.end());
  return datagram;
}

wire::Bytes Gate::Seal(const Message& message, std::uint8_t form) {
  return Sealed('p', form, wire::Encode(message, form));
}
wire::Bytes Gate::SealOther(char whose, std::span<const std::uint8_t> body) {
  return Sealed(whose, kOtherForm, body);
}

Refusal Gate::Unsealed(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                       std::span<const std::uint8_t>* body) {
  const auto key =
      std::find_if(keys_.begin(), keys_.end(), [&](const Key& k) { return k.id == datagram[3]; });
  if (key == keys_.end()) return Refusal::kKey;
  const auto sealed = datagram.first(datagram.size() - kTag);
  const Tag tag = TagOf(*key, sealed);
  if (OpenSsl::Get().equal(tag.data(), datagram.data() + sealed.size(), kTag) != 0) return Refusal::kSeal;
  *boot = Get(&datagram[4]);
  *body = sealed.subspan(kHead);
  return Fresh(*boot, Get(&datagram[12])) ? Refusal::kNone : Refusal::kReplay;
}

Refusal Gate::Open(std::span<const std::uint8_t> datagram, Message* message) {
  if (datagram.size() <= kHead + kTag || datagram.size() > wire::kMaxDatagramBytes) return Refusal::kSize;
  if (datagram[0] != 'k' || datagram[1] != 'p' || datagram[2] < wire::kOldest || datagram[2] > wire::kNewest)
    return Refusal::kForm;
  std::uint64_t boot = 0;
  std::span<const std::uint8_t> body;
  if (const Refusal refusal = Unsealed(datagram, &boot, &body); refusal != Refusal::kNone) return refusal;
  auto read = wire::Decode(body, datagram[2]);
  if (!read || read->from.boot != boot) return Refusal::kBody;
  *message = std::move(*read);
  return Refusal::kNone;
}

Refusal Gate::OpenOther(std::span<const std::uint8_t> datagram, std::uint64_t* boot,
                        std::span<const std::uint8_t>* body) {
  if (datagram.size() <= kHead + kTag || datagram.size() > wire::kMaxDatagramBytes) return Refusal::kSize;
  if (WhoseOther(datagram) == 0 || datagram[2] != kOtherForm) return Refusal::kForm;
  return Unsealed(datagram, boot, body);
}

bool Gate::Fresh(std::uint64_t boot, std::uint64_t number) {
  auto found = windows_.find(boot);
  if (found == windows_.end()) {
    if (windows_.size() >= kMostBoots) {
      windows_.erase(std::min_element(windows_.begin(), windows_.end(), [](const auto& a, const auto& b) {
        return a.second.used < b.second.used;
      }));
    }
    found = windows_.try_emplace(boot).first;
  }
  found->second.used = ++uses_;
  return found->second.window.Take(number);
}

}  // namespace kestrelline::peers

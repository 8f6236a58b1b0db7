// SPDX-License-Identifier: Apache-2.0
#include "peers/member.h"

#include <arpa/inet.h>

#include <charconv>
#include <tuple>

#include "hashing/fnv.h"
#include "hashing/mix.h"

namespace kestrelline::peers {
namespace {

std::uint64_t Combined(std::uint64_t hash, std::uint64_t number) { return hashing::Mixed(hash ^ number); }

}  // namespace

const char* NameOf(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kFaulty:
      return "faulty";
    case State::kLeaving:
      return "leaving";
    case State::kLeft:
      return "left";
  }
  return "?";
}

std::string Address::Text() const {
  char text[INET_ADDRSTRLEN];
  const in_addr raw{htonl(ip)};
  inet_ntop(AF_INET, &raw, text, sizeof text);
  return std::string(text) + ':' + std::to_string(port);
}

std::optional<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon > INET_ADDRSTRLEN) return std::nullopt;
  in_addr raw{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &raw) != 1) return std::nullopt;
  const auto digits = text.substr(colon + 1);
  Address address;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
  if (error != std::errc() || end != digits.data() + digits.size() || address.port == 0) return std::nullopt;
  address.ip = ntohl(raw.s_addr);
  return address;
}

std::strong_ordering ComparePrecedence(const Member& a, const Member& b) {
  return std::tie(a.incarnation, a.boot, a.state) <=> std::tie(b.incarnation, b.boot, b.state);
}

std::strong_ordering CompareStatements(const Member& a, const Member& b) {
  const auto rank = ComparePrecedence(a, b);
  if (rank != 0) return rank;
  return std::tie(a.address, a.zone, a.version, a.wire) <=> std::tie(b.address, b.zone, b.version, b.wire);
}

std::uint64_t IdentityHash(const Member& m) {
  const std::uint64_t hash = Combined(hashing::Fnv1a(m.name), m.boot);
  return Combined(hashing::Fnv1a(m.zone, hash), (std::uint64_t{m.address.ip} << 16) | m.address.port);
}

std::uint64_t StatementHash(const Member& m) {
  return Combined(Combined(IdentityHash(m), m.incarnation), static_cast<std::uint64_t>(m.state));
}

std::size_t BucketOf(std::string_view name) { return hashing::Mixed(hashing::Fnv1a(name)) % kBuckets; }

}  // namespace kestrelline::peers

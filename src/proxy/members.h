// SPDX-License-Identifier: Apache-2.0
//
// The list of backends in the JSON format of discovery, and the numbers by which the balancer knows them.
#ifndef KESTRELLINE_PROXY_MEMBERS_H_
#define KESTRELLINE_PROXY_MEMBERS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kestrelline/balancer.h"

namespace kestrelline::proxy {

struct Member {
  std::string id;
  boost::asio::ip::tcp::endpoint address;
  std::string zone, kind;
  int cell = 0;
  ServerState state = ServerState::kReady;
  double weight = 1;
  double up_since_unix_ms = 0;  // 0: long ago
};

struct MemberList {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<Member> members;
};

// Returns nullopt, with the reason in `why`, unless every entry is well formed.
std::optional<MemberList> ParseMembers(const nlohmann::json& json, std::string* why);
std::optional<MemberList> ParseMembers(std::string_view text, std::string* why);

// Parses "a.b.c.d:port" or "[v6]:port".
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

// Assigns numbers to backend ids. The balancers of all proxies hash these numbers and must agree on them, so
// a number depends on the id alone. Only on a collision does the id that sorts later get a salted hash.
class ServerNumbers {
 public:
  using Hash = std::uint32_t (*)(std::string_view);
  static std::uint32_t HashOf(std::string_view id);
  explicit ServerNumbers(Hash hash = HashOf) : hash_(hash) {}

  // Assigns a number to each id of a list; `Of` returns it from then on.
  void Learn(const std::vector<Member>& members);
  ServerId Of(const std::string& id) const { return numbers_.at(id); }
  void Forget(const std::string& id);
  const std::unordered_map<std::string, ServerId>& all() const { return numbers_; }

 private:
  Hash hash_;
  std::unordered_map<std::string, ServerId> numbers_;
  std::unordered_map<ServerId, std::string> taken_;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_MEMBERS_H_

// SPDX-License-Identifier: Apache-2.0
//
// The list of backends in discovery's JSON form, and the numbers that the decision module knows them by.
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

// Nothing, and the reason in `why`, unless every entry is well formed.
std::optional<MemberList> ParseMembers(const nlohmann::json& json, std::string* why);
std::optional<MemberList> ParseMembers(std::string_view text, std::string* why);

// "a.b.c.d:port", or "[v6]:port".
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

// Numbers for server ids. The module hashes them over all proxies, so they come from the id alone; only the
// later of two ids with the same hash, in the order of their names, moves on to a salted one.
class ServerNumbers {
 public:
  using Hash = std::uint32_t (*)(std::string_view);
  static std::uint32_t HashOf(std::string_view id);
  explicit ServerNumbers(Hash hash = HashOf) : hash_(hash) {}

  // Numbers every id of a list, then `Of` finds them.
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

// SPDX-License-Identifier: Apache-2.0
#include "members.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "hashing/fnv.h"

namespace kestrelline::proxy {
namespace {

using nlohmann::json;
using Tcp = boost::asio::ip::tcp;

std::optional<ServerState> ParsePhase(std::string_view phase) {
  if (phase == "in_service") return ServerState::kReady;
  if (phase == "terminating") return ServerState::kDraining;
  if (phase == "terminated") return ServerState::kGone;
  return std::nullopt;
}

// Throws json::exception if a field is missing or has the wrong type.
Member ParseMember(const json& entry, std::string* why) {
  Member m;
  m.id = entry.at("id").get<std::string>();
  if (m.id.empty()) *why = "an entry has an empty id";
  const auto state = ParsePhase(entry.at("phase").get<std::string>());
  if (!state) *why = "an entry has an unknown phase";
  m.state = state.value_or(ServerState::kGone);
  const auto address = ParseEndpoint(entry.value("host_port", ""));
  // A removed backend needs no address.
  if (!address && m.state != ServerState::kGone) *why = "an entry has no usable host_port";
  m.address = address.value_or(Tcp::endpoint());
  m.zone = entry.value("locality", "");
  m.kind = entry.value("flavor", "");
  m.cell = entry.value("cell", 0);
  m.weight = entry.value("size", 1.0);
  m.up_since_unix_ms = entry.value("up_since_ms", 0.0);
  if (!std::isfinite(m.up_since_unix_ms)) *why = "an entry has no usable up_since_ms";
  return m;
}

}  // namespace

std::optional<MemberList> ParseMembers(const json& json, std::string* why) {
  MemberList list;
  why->clear();
  try {
    list.revision = json.at("revision").get<std::uint64_t>();
    list.complete = json.value("complete", false);
    for (const auto& entry : json.at("members")) {
      list.members.push_back(ParseMember(entry, why));
      if (!why->empty()) return std::nullopt;
    }
  } catch (const json::exception& error) {
    *why = error.what();
    return std::nullopt;
  }
  return list;
}

std::optional<MemberList> ParseMembers(std::string_view text, std::string* why) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) {
    *why = "not JSON";
    return std::nullopt;
  }
  return ParseMembers(parsed, why);
}

std::optional<Tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  std::string_view host = text.substr(0, colon), port = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error != std::errc() || end != port.data() + port.size()) return std::nullopt;
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(std::string(host), bad);
  if (bad) return std::nullopt;
  return Tcp::endpoint(address, number);
}

std::uint32_t ServerNumbers::HashOf(std::string_view id) {
  const std::uint64_t hash = kestrelline::hashing::Fnv1a(id);
  return static_cast<std::uint32_t>(hash ^ (hash >> 32));
}

void ServerNumbers::Learn(const std::vector<Member>& members) {
  std::vector<std::string> new_ids;
  for (const Member& m : members) {
    if (!numbers_.contains(m.id)) new_ids.push_back(m.id);
  }
  // Sorted, so that proxies that see the list in different orders resolve a collision alike.
  std::sort(new_ids.begin(), new_ids.end());
  for (const std::string& id : new_ids) {
    if (numbers_.contains(id)) continue;
    ServerId number = hash_(id);
    for (int salt = 1; taken_.contains(number); ++salt) {
      std::string salted(id);
      number = HashOf(salted.append(1, '#').append(std::to_string(salt)));
    }
    taken_.emplace(number, id);
    numbers_.emplace(id, number);
  }
}

void ServerNumbers::Forget(const std::string& id) {
  const auto number = numbers_.find(id);
  if (number == numbers_.end()) return;
  taken_.erase(number->second);
  numbers_.erase(number);
}

}  // namespace kestrelline::proxy

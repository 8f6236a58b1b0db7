// SPDX-License-Identifier: Apache-2.0
#include "config.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "settings.h"

namespace kestrelline::proxy {
namespace {

using nlohmann::json;
using Tcp = boost::asio::ip::tcp;

// A value in the form of the simulator's protocol: without blanks and line ends.
std::string ScalarText(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return std::isspace(c) || c == ','; }, '_');
  return text;
}

// Converts JSON to the path=value lines of the simulator's protocol, so that one parser of settings serves
// both.
void Flatten(const json& value, const std::string& path, std::string* lines) {
  const std::string under = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) Flatten(inner, under + name, lines);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    *lines += under + "count=" + std::to_string(value.size()) + '\n';
    for (std::size_t i = 0; i < value.size(); ++i) Flatten(value[i], under + std::to_string(i), lines);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) {
      if (!joined.empty()) joined += ',';
      joined += ScalarText(item);
    }
    *lines += path + '=' + joined + '\n';
  } else if (!value.is_null()) {
    *lines += path + '=' + ScalarText(value) + '\n';
  }
}

Tcp::endpoint ReadEndpoint(const char* from_env, const json& root, const char* name) {
  const std::string text = from_env && *from_env ? from_env : root.value(name, "");
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) throw ConfigError(std::string(name) + " is not an address: '" + text + "'");
  return *endpoint;
}

std::vector<std::string> ReadNames(const json& settings, const char* name) {
  std::vector<std::string> all;
  const auto found = settings.find(name);
  if (found == settings.end() || !found->is_array()) return all;
  for (const json& item : *found) all.push_back(item.is_object() ? item.value("name", "") : ScalarText(item));
  return all;
}

std::uint64_t ReadSeed(const json& root) {
  const auto found = root.find("seed");
  if (found == root.end()) throw ConfigError("seed is missing");
  if (found->is_number_unsigned()) return found->get<std::uint64_t>();
  const std::string text = found->is_string() ? found->get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed is not a hexadecimal number");
  return seed;
}

// Returns -1 if the variable is not set.
int ParseDescriptor(const char* text) {
  if (!text || !*text) return -1;
  const std::string_view digits(text);
  int number = -1;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || end != digits.data() + digits.size() || number < 0)
    throw ConfigError("ROUTER_INHERITED_FD is not a descriptor: '" + std::string(digits) + "'");
  return number;
}

Config ReadConfig(const json& root, const Environment& env) {
  Config config;
  const char* name = env("ROUTER_NAME");
  config.name = name && *name ? name : root.value("name", "");
  config.listen = ReadEndpoint(env("ROUTER_LISTEN"), root, "listen");
  config.discovery = ReadEndpoint(env("ROUTER_DISCOVERY"), root, "discovery");
  const char* management = env("ROUTER_MGMT");
  if ((management && *management) || !root.value("mgmt", "").empty())
    config.management = ReadEndpoint(management, root, "mgmt");
  config.inherited_listener = ParseDescriptor(env("ROUTER_INHERITED_FD"));
  if (const char* folder = env("TMPDIR"); folder && config.inherited_listener >= 0)
    config.sibling_folder = folder;
  config.seed = ReadSeed(root);
  if (const auto limits = root.find("limits"); limits != root.end()) {
    config.sockets = limits->value("sockets", config.sockets);
    config.memory_mb = limits->value("memory_mb", config.memory_mb);
  }
  if (!(config.memory_mb >= 8)) throw ConfigError("limits.memory_mb is too small to serve");
  if (config.sockets < 64) throw ConfigError("limits.sockets is too small to serve");

  const json& settings = root.at("settings");
  std::string lines;
  Flatten(settings, "", &lines);
  config.settings = adapter::ParseSettings(lines);
  config.classes = ReadNames(settings, "classes");
  config.tenants = ReadNames(settings, "tenants");
  config.zones = ReadNames(settings, "zones");
  config.kinds = ReadNames(settings, "kinds");
  if (const auto allowed = settings.find("permissions"); allowed != settings.end()) {
    if (const auto peers = allowed->find("peers"); peers != allowed->end())
      config.peers_allowed = peers->get<bool>();
    config.connect_timeout = Duration(allowed->value("connectTimeoutMs", config.connect_timeout.count()));
    config.conn_idle = Duration(allowed->value("connIdleMs", config.conn_idle.count()));
    // The simulator may disable Retry-After, but an HTTP response can always carry it: without it, clients
    // retry immediately, over and over, against a fleet that is full.
    config.settings.max_retry_after = std::max(Duration(0), Duration(allowed->value("maxRetryAfterMs", 0.0)));
  }
  if (!(config.connect_timeout.count() > 0) || !(config.conn_idle.count() > 0))
    throw ConfigError("permissions.connectTimeoutMs and connIdleMs must be over 0");

  if (const auto known = root.find("known"); known != root.end() && !known->is_null()) {
    std::string why;
    auto list = ParseMembers(*known, &why);
    if (!list) throw ConfigError("known is not a valid list: " + why);
    config.known = std::move(*list);
  }
  return config;
}

}  // namespace

Config ParseConfig(std::string_view text, const Environment& env) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) throw ConfigError("the configuration is not a JSON object");
  try {
    return ReadConfig(root, env);
  } catch (const adapter::BadSettings& error) {
    throw ConfigError(error.what());
  } catch (const json::exception& error) {
    throw ConfigError(error.what());
  }
}

Config LoadConfig(const Environment& env) {
  const char* path = env("ROUTER_CONFIG");
  if (!path || !*path) throw ConfigError("ROUTER_CONFIG is not set");
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError("cannot read ROUTER_CONFIG: " + std::string(path));
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return ParseConfig(text, env);
}

Config ReloadConfig(const Environment& env) {
  return LoadConfig([&](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_CONFIG" ? env(name) : nullptr;
  });
}

}  // namespace kestrelline::proxy

// SPDX-License-Identifier: Apache-2.0
#include "node/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace kestrelline::node {
namespace {

// Thrown on invalid settings and caught by ParseSettings. Line 0 means the file as a whole.
struct Invalid : std::runtime_error {
  Invalid(toml::source_position at, const std::string& what) : std::runtime_error(what), line(at.line) {}
  std::uint32_t line;
};

// Typed access to one table of the file.
class Table {
 public:
  explicit Table(const toml::table& table, std::string prefix = "")
      : table_(table), prefix_(std::move(prefix)) {}

  std::string Text(const char* key) const {
    if (!table_.contains(key)) throw Missing(key);
    return TextOr(key, "");
  }
  std::string TextOr(const char* key, std::string fallback) const {
    return As<std::string>(key, std::move(fallback), "no string");
  }
  bool FlagOr(const char* key, bool fallback) const {
    return As<bool>(key, fallback, "neither true nor false");
  }
  double NumberOr(const char* key, double fallback) const {
    const auto value = As<double>(key, fallback, "no number");
    if (!(value >= 0)) throw Invalid(At(key), Name(key) + " is under 0");
    return value;
  }
  Milliseconds MillisecondsOr(const char* key, Milliseconds fallback) const {
    return Milliseconds(static_cast<std::int64_t>(NumberOr(key, static_cast<double>(fallback.count()))));
  }
  Milliseconds SecondsOr(const char* key, Milliseconds fallback) const {
    constexpr double kPerSecond = 1000;
    const double seconds = NumberOr(key, static_cast<double>(fallback.count()) / kPerSecond);
    return Milliseconds(static_cast<std::int64_t>(seconds * kPerSecond));
  }
  std::vector<std::string> Texts(const char* key) const {
    std::vector<std::string> texts;
    if (!table_.contains(key)) return texts;
    const toml::array* list = table_[key].as_array();
    if (list == nullptr) throw Invalid(At(key), Name(key) + " is no list");
    for (const toml::node& entry : *list) {
      const auto text = entry.value<std::string>();
      if (!text) throw Invalid(entry.source().begin, Name(key) + " holds something that is no string");
      texts.push_back(*text);
    }
    return texts;
  }
  std::optional<Endpoint> OptionalEndpoint(const char* key) const {
    const std::string text = TextOr(key, "");
    if (text.empty()) return std::nullopt;
    auto endpoint = ParseEndpoint(text);
    if (!endpoint) throw Invalid(At(key), Name(key) + " is no IP:PORT: " + text);
    return endpoint;
  }
  Table Section(const char* key) const {
    static const toml::table kEmpty;
    const toml::table* section = table_[key].as_table();
    return Table(section ? *section : kEmpty, std::string(key) + ".");
  }
  const toml::table& raw() const { return table_; }
  toml::source_position At(const char* key) const {
    const toml::node* node = table_.get(key);
    return node ? node->source().begin : table_.source().begin;
  }
  std::string Name(const char* key) const { return prefix_ + key; }
  Invalid Missing(const char* key) const { return Invalid(table_.source().begin, Name(key) + " is missing"); }

 private:
  template <typename T>
  T As(const char* key, T fallback, const char* error) const {
    if (!table_.contains(key)) return fallback;
    const auto value = table_[key].value<T>();
    if (!value) throw Invalid(At(key), Name(key) + " is " + error);
    return *value;
  }

  const toml::table& table_;
  std::string prefix_;
};

void ReadPorts(const Table& root, Settings& settings) {
  const toml::array* ports = root.raw()["ephemeral_ports"].as_array();
  if (ports == nullptr || ports->size() != 2)
    throw Invalid(root.At("ephemeral_ports"), "ephemeral_ports is no pair");
  const auto first = (*ports)[0].value<std::int64_t>();
  const auto last = (*ports)[1].value<std::int64_t>();
  constexpr std::int64_t kHighestPort = 65535;
  if (!first || !last || *first < 1 || *last > kHighestPort || *first > *last) {
    throw Invalid(root.At("ephemeral_ports"), "ephemeral_ports is no range of ports");
  }
  settings.first_port = static_cast<std::uint16_t>(*first);
  settings.last_port = static_cast<std::uint16_t>(*last);
}

void ReadSeeds(const Table& root, Settings& settings) {
  for (const std::string& text : root.Texts("seeds")) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) throw Invalid(root.At("seeds"), "seeds holds something that is no IP:PORT: " + text);
    settings.seeds.push_back(*endpoint);
  }
}

void ReadLimits(const Table& section, ProcessLimits& limits) {
  limits.cpu_share = section.NumberOr("cpu_share", limits.cpu_share);
  limits.memory_mb = static_cast<std::int64_t>(section.NumberOr("memory_mb", 256));
  limits.max_fds = static_cast<std::int64_t>(section.NumberOr("max_fds", 1024));
  limits.disk_mb = static_cast<std::int64_t>(section.NumberOr("disk_mb", 0));
}

void ReadTolerance(const Table& section, FaultTolerance& tolerance) {
  tolerance.machines = static_cast<int>(section.NumberOr("machines", 0));
  tolerance.zones = static_cast<int>(section.NumberOr("zones", 0));
  tolerance.regions = static_cast<int>(section.NumberOr("regions", 0));
}

void ReadBounds(const Table& section, Bounds& bounds) {
  bounds.drain = section.MillisecondsOr("drain_ms", bounds.drain);
  bounds.grace = section.SecondsOr("grace_s", bounds.grace);
  bounds.loss_slack = section.MillisecondsOr("loss_slack_ms", bounds.loss_slack);
  bounds.config_apply = section.MillisecondsOr("config_apply_ms", bounds.config_apply);
  bounds.budget_window = section.SecondsOr("budget_window_s", bounds.budget_window);
  bounds.retry_budget_ratio = section.NumberOr("retry_budget_ratio", bounds.retry_budget_ratio);
  bounds.min_retries = section.NumberOr("min_retries", bounds.min_retries);
  bounds.transit = section.MillisecondsOr("transit_ms", bounds.transit);
  bounds.again = section.SecondsOr("again_s", bounds.again);
  bounds.lease = section.MillisecondsOr("lease_ms", bounds.lease);
}

Settings Read(const Table& root) {
  Settings settings;
  settings.node_name = root.Text("node_name");
  settings.role = root.TextOr("role", "");
  settings.machine_class = root.TextOr("machine_class", "");
  settings.serves = root.Texts("serves");
  settings.ip = root.Text("ip");
  settings.zone = root.TextOr("zone", "");
  settings.region = root.TextOr("region", "");
  ReadPorts(root, settings);
  ReadSeeds(root, settings);
  settings.bootstrap = root.FlagOr("bootstrap", false);
  settings.counts_for_quorum = root.FlagOr("counts_for_quorum", false);
  settings.data_dir = root.TextOr("data_dir", "");
  for (const auto& [zone, region] : root.Section("zones").raw()) {
    settings.region_of_zone.emplace(zone.str(), region.value_or(std::string()));
  }
  const Table listen = root.Section("listen");
  settings.front = listen.OptionalEndpoint("front");
  settings.ready = listen.OptionalEndpoint("ready");
  settings.control = listen.OptionalEndpoint("control");
  ReadLimits(root.Section("limits"), settings.limits);
  ReadTolerance(root.Section("fault_tolerance"), settings.fault_tolerance);
  ReadBounds(root.Section("bounds"), settings.bounds);
  const Table cloud = root.Section("cloud");
  settings.cloud = cloud.OptionalEndpoint("address");
  settings.cloud_rate_per_s = cloud.NumberOr("rate_per_s", settings.cloud_rate_per_s);
  const Table relay = root.Section("relay");
  settings.max_subscribers = static_cast<std::size_t>(
      relay.NumberOr("most_subscribers", static_cast<double>(settings.max_subscribers)));
  return settings;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stopped != end || port == 0) return std::nullopt;
  return Endpoint{text.substr(0, colon), port};
}

std::string ToText(const Endpoint& endpoint) { return endpoint.ip + ":" + std::to_string(endpoint.port); }

std::vector<std::string> Settings::SeedIps() const {
  std::vector<std::string> ips;
  for (const Endpoint& seed : seeds) ips.push_back(seed.ip);
  return ips;
}

Endpoint Settings::RelayEndpoint() const {
  return {ip, static_cast<std::uint16_t>(first_port < last_port ? first_port + 1 : first_port)};
}

bool Settings::Serves(const std::string& interface) const {
  return std::find(serves.begin(), serves.end(), interface) != serves.end();
}

SettingsResult ParseSettings(const std::string& text, const std::string& name) {
  const auto failure = [&](std::uint32_t line, const std::string& what) {
    return SettingsResult{std::nullopt, name + ":" + std::to_string(line) + ": " + what, text};
  };
  try {
    const toml::table root = toml::parse(text);
    return {Read(Table(root)), "", text};
  } catch (const toml::parse_error& error) {
    return failure(error.source().begin.line, std::string(error.description()));
  } catch (const Invalid& invalid) {
    return failure(invalid.line, invalid.what());
  }
}

SettingsResult ReadSettings(const std::string& path) {
  const std::optional<std::string> text = ReadSettingsText(path);
  if (!text) return {std::nullopt, path + ":0: cannot be read", ""};
  return ParseSettings(*text, path);
}

std::optional<std::string> ReadSettingsText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
}

}  // namespace kestrelline::node

// SPDX-License-Identifier: Apache-2.0
//
// The settings file of a fleet process (TOML): reading and validation. Unknown fields are ignored.
#ifndef KESTRELLINE_NODE_SETTINGS_H_
#define KESTRELLINE_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kestrelline::node {

using Milliseconds = std::chrono::milliseconds;

// An IPv4 address and a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};
// Formats as IP:PORT.
std::string ToText(const Endpoint& endpoint);
// Parses IP:PORT with a port over 0; nothing if `text` is malformed.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

// Resource limits of the process.
struct ProcessLimits {
  double cpu_share = 1;
  std::int64_t memory_mb = 256;
  std::int64_t max_fds = 1024;
  std::int64_t disk_mb = 0;
};

// How many machines, zones and regions may fail at once without the guarantees being affected.
struct FaultTolerance {
  int machines = 0;
  int zones = 0;
  int regions = 0;
};

// Time and retry limits that the deployment requires of the fleet.
struct Bounds {
  Milliseconds drain{3000};
  Milliseconds grace{8000};
  Milliseconds loss_slack{200};
  Milliseconds config_apply{2000};
  Milliseconds budget_window{10000};
  double retry_budget_ratio = 0.2;
  double min_retries = 10;
  Milliseconds transit{120};
  Milliseconds again{8000};
  Milliseconds lease{3000};
};

// All settings of a process.
struct Settings {
  std::string node_name;
  std::string role;
  std::string machine_class;
  std::vector<std::string> serves;
  std::string ip;
  std::string zone;
  std::string region;
  std::uint16_t first_port = 0;  // first of the ports reserved for the internal protocol
  std::uint16_t last_port = 0;
  std::vector<Endpoint> seeds;
  bool bootstrap = false;
  bool counts_for_quorum = false;
  std::string data_dir;
  std::map<std::string, std::string> region_of_zone;
  std::optional<Endpoint> front;
  std::optional<Endpoint> ready;
  std::optional<Endpoint> control;
  ProcessLimits limits;
  FaultTolerance fault_tolerance;
  Bounds bounds;
  std::optional<Endpoint> cloud;
  double cloud_rate_per_s = 1;
  std::size_t max_subscribers = 24;  // per member or relaying proxy; most_subscribers in [relay]

  bool Serves(const std::string& interface) const;
  // The IP addresses of `seeds`, in the same order.
  std::vector<std::string> SeedIps() const;
  // Where a member of the control plane listens for the internal protocol.
  Endpoint MemberEndpoint() const { return {ip, first_port}; }
  // Where a relaying proxy listens, next to a member on the same machine.
  Endpoint RelayEndpoint() const;
};

// Either the settings, or an error as `FILE:LINE: text`.
struct SettingsResult {
  std::optional<Settings> settings;
  std::string error;
  std::string text;  // as it was read
};

SettingsResult ReadSettings(const std::string& path);
// The text of the file at `path`; nothing if it cannot be read.
std::optional<std::string> ReadSettingsText(const std::string& path);
// `name` is the file name in error messages.
SettingsResult ParseSettings(const std::string& text, const std::string& name);

}  // namespace kestrelline::node

#endif  // KESTRELLINE_NODE_SETTINGS_H_

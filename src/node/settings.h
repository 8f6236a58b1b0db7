// SPDX-License-Identifier: Apache-2.0
//
// The settings file of a fleet process (TOML): reading and checks. Fields that are not known are ignored.
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
// IP:PORT.
std::string ToText(const Endpoint& endpoint);
// Nothing unless `text` is IP:PORT.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

struct ProcessLimits {
  double cpu_share = 1;
  std::int64_t memory_mb = 256;
  std::int64_t max_fds = 1024;
  std::int64_t disk_mb = 0;
};

// What may be lost at once while all promises hold.
struct FaultTolerance {
  int machines = 0;
  int zones = 0;
  int regions = 0;
};

// Bounds that the deployment holds the fleet to.
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

struct Settings {
  std::string node_name;
  std::string role;
  std::string machine_class;
  std::vector<std::string> serves;
  std::string ip;
  std::string zone;
  std::string region;
  std::uint16_t first_port = 0;  // of the ports that are free for the internal protocol
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
  std::size_t max_subscribers = 24;  // of a member, or of a proxy that passes on; [relay] of the file

  bool Serves(const std::string& interface) const;
  // The addresses of `seeds`, in their order.
  std::vector<std::string> SeedIps() const;
  // Where a member of the control plane listens for the internal protocol, on any machine.
  Endpoint MemberEndpoint() const { return {ip, first_port}; }
  // Where a proxy listens that passes on what it is told: beside a member on the same machine.
  Endpoint RelayEndpoint() const;
};

// Either settings or `FILE:LINE: what is wrong`.
struct SettingsResult {
  std::optional<Settings> settings;
  std::string error;
};

SettingsResult ReadSettings(const std::string& path);
SettingsResult ParseSettings(const std::string& text, const std::string& name);

}  // namespace kestrelline::node

#endif  // KESTRELLINE_NODE_SETTINGS_H_

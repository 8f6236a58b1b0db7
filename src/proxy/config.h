// SPDX-License-Identifier: Apache-2.0
//
// What a proxy is told at its start: environment and configuration file, checked.
#ifndef KESTRELLINE_PROXY_CONFIG_H_
#define KESTRELLINE_PROXY_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "kestrelline/balancer.h"
#include "members.h"

namespace kestrelline::proxy {

// what() is one line that says what is missing or wrong.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// How long things are waited for.
struct Timeouts {
  using Ms = std::chrono::milliseconds;
  Ms request_read{2500};      // from a connection's start to its first byte; from there to the end of a head
  Ms keep_alive{90000};       // for a client's next request
  Ms evict_idle{2000};        // after which a connection with no request open may make room for others
  Ms evict_unused{250};       // the same of one that never sent anything
  Ms response_write{10000};   // for a client to take its answer
  Ms linger{1000};            // for a client to close after its last answer
  Ms response_read{100};      // from an answer's first byte to its last
  Ms reuse_delay{2};          // before a connection to a backend is used again
  Ms forget_backend{900000};  // after which nothing is known of a backend that has gone
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::optional<boost::asio::ip::tcp::endpoint> management;  // the door's; none without it
  int inherited_listener = -1;  // a descriptor that listens for clients already; -1: there is none
  std::string sibling_folder;   // where processes of one proxy find each other; empty: nowhere
  std::uint64_t seed = 0;
  int sockets = 1024;       // descriptors that the process may hold
  double memory_mb = 2048;  // memory that it may use
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // their names, by index
  Duration connect_timeout{250};
  Duration conn_idle{15000};  // backends close what stands idle for this long
  Timeouts timeouts;
  MemberList known;
  bool await_replica = false;  // of what other proxies know, before it is ready; see Proxy::OnReplicaReady
  std::optional<bool> peers_allowed;  // permissions.peers; nothing where it is not said
};

// `text` is the configuration file; what the environment names goes before it.
using Environment = std::function<const char*(const char*)>;
Config ParseConfig(std::string_view text, const Environment& env);

// Reads the file that ROUTER_CONFIG names.
Config LoadConfig(const Environment& env);

// The same, for a process that runs: its environment is that of its start, so the file, which has been
// replaced since, goes before it.
Config ReloadConfig(const Environment& env);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_CONFIG_H_

// SPDX-License-Identifier: Apache-2.0
//
// The proxy's configuration, read from the environment and the configuration file and validated.
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

// Invalid configuration; what() is one line that names the problem.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Timeouts and delays of client and backend connections.
struct Timeouts {
  using Ms = std::chrono::milliseconds;
  Ms request_read{2500};  // from accept to the first byte, and from there to the end of the header; also the
                          // initial allowance for a body
  Ms keep_alive{90000};   // for the next request on a kept-alive connection
  Ms evict_idle{2000};    // an idle connection may be closed to make room after this time
  Ms evict_unused{250};   // the same for a connection that never sent a request
  Ms response_write{10000};   // for a client to read a buffered response
  Ms linger{1000};            // for a client to close after the last response
  Ms response_read{100};      // from the first byte of a buffered backend response to its last
  Ms reuse_delay{2};          // idle time before a backend connection is reused
  Ms forget_backend{900000};  // after which a removed backend is forgotten
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::optional<boost::asio::ip::tcp::endpoint> management;  // address of the management interface, if any
  int inherited_listener = -1;  // descriptor of an already listening socket; -1: none
  std::string sibling_folder;   // where processes of this proxy find each other; empty: single process
  std::uint64_t seed = 0;
  int sockets = 1024;       // maximum number of descriptors of the process
  double memory_mb = 2048;  // maximum memory of the process
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // names by index
  Duration connect_timeout{250};
  Duration conn_idle{15000};  // backends close connections that are idle for this long
  Timeouts timeouts;
  MemberList known;
  bool await_replica = false;         // become ready only after Proxy::OnReplicaReady
  std::optional<bool> peers_allowed;  // permissions.peers; nullopt if absent
};

// Parses the text of the configuration file; environment variables take precedence. Throws ConfigError.
using Environment = std::function<const char*(const char*)>;
Config ParseConfig(std::string_view text, const Environment& env);

// Reads and parses the file named by ROUTER_CONFIG. Throws ConfigError.
Config LoadConfig(const Environment& env);

// Reads the file again in a running process. Here the file takes precedence over the environment, which is
// still that of the start of the process.
Config ReloadConfig(const Environment& env);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_CONFIG_H_

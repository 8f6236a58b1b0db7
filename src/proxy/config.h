// SPDX-License-Identifier: Apache-2.0
//
// What a proxy is told at its start: environment and configuration file, checked.
#ifndef BRACKENSPOKE_PROXY_CONFIG_H_
#define BRACKENSPOKE_PROXY_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "brackenspoke/balancer.h"
#include "members.h"

namespace brackenspoke::proxy {

// what() is one line that says what is missing or wrong.
class BadConfig : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  int sockets = 1024;  // descriptors that the process may hold
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // their names, by index
  Duration connect_timeout{250};
  Duration conn_idle{15000};  // backends close what stands idle for this long
  MemberList known;
};

// `text` is the configuration file; what the environment names goes before it.
using Environment = std::function<const char*(const char*)>;
Config ParseConfig(std::string_view text, const Environment& env);

// Reads the file that ROUTER_CONFIG names.
Config LoadConfig(const Environment& env);

// The same, for a process that runs: its environment is that of its start, so the file, which has been
// replaced since, goes before it.
Config ReloadConfig(const Environment& env);

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_CONFIG_H_

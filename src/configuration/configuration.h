// SPDX-License-Identifier: Apache-2.0
//
// The operator's configuration as typed values: routes, services and limits. Immutable once parsed. Performs
// no I/O.
#ifndef KESTRELLINE_CONFIGURATION_CONFIGURATION_H_
#define KESTRELLINE_CONFIGURATION_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kestrelline::configuration {

using Milliseconds = std::chrono::milliseconds;

// Determines whether a request of the route may be retried; see Route::Idempotent.
enum class RouteType { kSafe, kUnsafe, kStreaming };

struct WeightedService {
  std::string service;
  std::uint64_t weight = 0;
};

struct Route {
  std::string name;
  std::string host;         // in lower case
  std::string path_prefix;  // begins and ends with a slash
  RouteType type = RouteType::kUnsafe;
  Milliseconds timeout{0};
  Milliseconds target_latency{0};
  int priority = 0;  // 0 is the most urgent
  std::vector<WeightedService> services;
  int max_attempts = 1;
  bool session_affinity = false;
  bool resumable = false;
  Milliseconds gap_aim{0};

  // Whether an attempt may run more than once.
  bool Idempotent() const { return type == RouteType::kSafe || (type == RouteType::kStreaming && resumable); }
};

// Properties of the inference engine behind a model service. Other services have none.
struct Engine {
  int slots = 1;
  std::int64_t kv_cache_tokens = 0;
  std::int64_t kv_token_bytes = 0;
  double link_mbps = 0;
  double handle_ttl_s = 0;
  double switch_s = 0;
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // per backend, summed over all proxies; 0 means unlimited
  std::optional<Engine> engine;
};

// Size limits and timeouts for client requests.
struct Limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15000};
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;

  // Returns null if there is no service of that name.
  const Service* FindService(std::string_view name) const;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

// Either a configuration or a message that tells the operator why the text was rejected.
struct ParseResult {
  ConfigurationPtr configuration;
  std::string error;
};

// Parses and validates a complete configuration in JSON.
ParseResult Parse(std::string_view text);

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_CONFIGURATION_H_

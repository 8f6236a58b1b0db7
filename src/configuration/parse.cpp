// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

#include "configuration/configuration.h"
#include "configuration/lower_case.h"
#include "configuration/read_items.h"
#include "json/owned.h"

namespace kestrelline::configuration {
namespace {

// A JSON object together with its location in the configuration, which error messages name. Accessors throw
// ValidationError if a value is missing or has the wrong type.
class Object {
 public:
  Object(const json_t* value, std::string where) : value_(value), where_(std::move(where)) {
    if (!json_is_object(value)) throw ValidationError(where_ + " is not an object");
  }

  std::string Text(const char* key) const {
    const json_t* value = json_object_get(value_, key);
    if (!json_is_string(value)) throw ValidationError(where_ + ": " + key + " is not a string");
    return std::string(json_string_value(value), json_string_length(value));
  }
  std::string TextOr(const char* key, std::string fallback) const {
    return Has(key) ? Text(key) : std::move(fallback);
  }
  // An integer of at least `minimum`; also accepts a real number without a fraction.
  std::int64_t Integer(const char* key, std::int64_t minimum) const {
    const json_t* value = json_object_get(value_, key);
    if (!json_is_number(value)) throw ValidationError(where_ + ": " + key + " is not a number");
    const double number = json_number_value(value);
    const auto integer =
        json_is_integer(value) ? json_integer_value(value) : static_cast<std::int64_t>(number);
    if (!json_is_integer(value) && static_cast<double>(integer) != number) {
      throw ValidationError(where_ + ": " + key + " is not an integer");
    }
    if (integer < minimum)
      throw ValidationError(where_ + ": " + key + " is less than " + std::to_string(minimum));
    return integer;
  }
  std::int64_t IntegerOr(const char* key, std::int64_t minimum, std::int64_t fallback) const {
    return Has(key) ? Integer(key, minimum) : fallback;
  }
  double NumberOr(const char* key, double fallback) const {
    if (!Has(key)) return fallback;
    const json_t* value = json_object_get(value_, key);
    if (!json_is_number(value)) throw ValidationError(where_ + ": " + key + " is not a number");
    return json_number_value(value);
  }
  bool BooleanOr(const char* key, bool fallback) const {
    if (!Has(key)) return fallback;
    const json_t* value = json_object_get(value_, key);
    if (!json_is_boolean(value)) throw ValidationError(where_ + ": " + key + " is neither true nor false");
    return json_is_true(value);
  }
  bool Has(const char* key) const {
    const json_t* value = json_object_get(value_, key);
    return value != nullptr && !json_is_null(value);
  }
  const json_t* Array(const char* key) const {
    const json_t* value = json_object_get(value_, key);
    if (!json_is_array(value)) throw ValidationError(where_ + ": " + key + " is not a list");
    return value;
  }
  const json_t* Raw(const char* key) const { return json_object_get(value_, key); }
  const std::string& where() const { return where_; }

 private:
  const json_t* value_;
  std::string where_;
};

RouteType ParseType(const Object& route) {
  const std::string type = route.Text("type");
  if (type == "safe") return RouteType::kSafe;
  if (type == "unsafe") return RouteType::kUnsafe;
  if (type == "streaming") return RouteType::kStreaming;
  throw ValidationError(route.where() + ": unknown type " + type);
}

std::vector<WeightedService> ParseTargets(const Object& route) {
  if (!route.Has("weighted_clusters")) return {{route.Text("cluster"), 1}};
  std::vector<WeightedService> services;
  const json_t* list = route.Array("weighted_clusters");
  std::uint64_t total_weight = 0;
  for (std::size_t i = 0; i < json_array_size(list); ++i) {
    const Object entry(json_array_get(list, i), route.where() + ".weighted_clusters");
    services.push_back({entry.Text("cluster"), static_cast<std::uint64_t>(entry.Integer("weight", 0))});
    total_weight += services.back().weight;
  }
  if (total_weight == 0) throw ValidationError(route.where() + ": the weights sum to 0");
  return services;
}

std::string ParsePrefix(const Object& route) {
  std::string prefix = route.Text("path_prefix");
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    throw ValidationError(route.where() + ": path_prefix does not begin and end with a slash");
  }
  return prefix;
}

Route ParseRoute(const Object& object) {
  constexpr std::int64_t kMaxAttempts = 1000;
  Route route;
  route.name = object.TextOr("name", "");
  route.host = LowerCase(object.Text("host"));
  route.path_prefix = ParsePrefix(object);
  route.type = ParseType(object);
  route.timeout = Milliseconds(object.Integer("timeout_ms", 1));
  route.target_latency = Milliseconds(object.IntegerOr("target_latency_ms", 0, 0));
  route.priority = static_cast<int>(object.IntegerOr("priority", 0, 0));
  route.services = ParseTargets(object);
  route.max_attempts = static_cast<int>(std::min(object.IntegerOr("max_attempts", 0, 1), kMaxAttempts));
  route.session_affinity = object.BooleanOr("session_affinity", false);
  route.resumable = object.BooleanOr("resumable", false);
  route.gap_aim = Milliseconds(object.IntegerOr("gap_aim_ms", 0, 0));
  return route;
}

Engine ParseEngine(const Object& object) {
  Engine engine;
  engine.slots = static_cast<int>(object.IntegerOr("slots", 1, 1));
  engine.kv_cache_tokens = object.IntegerOr("kv_cache_tokens", 0, 0);
  engine.kv_token_bytes = object.IntegerOr("kv_token_bytes", 0, 0);
  engine.link_mbps = object.NumberOr("link_mbps", 0);
  engine.handle_ttl_s = object.NumberOr("handle_ttl_s", 0);
  engine.switch_s = object.NumberOr("switch_s", 0);
  return engine;
}

Service ParseService(const Object& object) {
  Service service;
  service.name = object.Text("name");
  service.health_path = object.TextOr("health_path", "/healthz");
  service.max_connections = static_cast<int>(object.IntegerOr("max_connections", 0, 0));
  if (object.Has("engine")) {
    service.engine = ParseEngine(Object(object.Raw("engine"), object.where() + ".engine"));
  }
  return service;
}

Limits ParseLimits(const Object& object) {
  Limits limits;
  limits.max_header_bytes = static_cast<std::size_t>(
      object.IntegerOr("max_header_bytes", 1, static_cast<std::int64_t>(limits.max_header_bytes)));
  limits.max_body_bytes = static_cast<std::size_t>(
      object.IntegerOr("max_body_bytes", 0, static_cast<std::int64_t>(limits.max_body_bytes)));
  limits.header_timeout =
      Milliseconds(object.IntegerOr("header_timeout_ms", 1, limits.header_timeout.count()));
  limits.idle_timeout = Milliseconds(object.IntegerOr("idle_timeout_ms", 1, limits.idle_timeout.count()));
  return limits;
}

void CheckServicesKnown(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    for (const WeightedService& target : route.services) {
      if (configuration.FindService(target.service)) continue;
      throw ValidationError("route " + route.name + " names the unknown service " + target.service);
    }
  }
}

void CheckRoutesAreDistinct(const Configuration& configuration) {
  std::set<std::pair<std::string_view, std::string_view>> hosts_and_prefixes;
  for (const Route& route : configuration.routes) {
    if (hosts_and_prefixes.emplace(route.host, route.path_prefix).second) continue;
    throw ValidationError("two routes have the host and path prefix " + route.host + route.path_prefix);
  }
}

Configuration ParseObject(const Object& root) {
  Configuration configuration;
  configuration.version = static_cast<std::uint64_t>(root.Integer("version", 1));
  const json_t* services = root.Array("services");
  for (std::size_t i = 0; i < json_array_size(services); ++i) {
    configuration.services.push_back(
        ReadService(json_array_get(services, i), "services[" + std::to_string(i) + "]"));
  }
  const json_t* routes = root.Array("routes");
  for (std::size_t i = 0; i < json_array_size(routes); ++i) {
    configuration.routes.push_back(ReadRoute(json_array_get(routes, i), "routes[" + std::to_string(i) + "]"));
  }
  if (root.Has("limits")) configuration.limits = ParseLimits(Object(root.Raw("limits"), "limits"));
  CheckConsistency(configuration);
  return configuration;
}

}  // namespace

Route ReadRoute(const json_t* item, const std::string& where) { return ParseRoute(Object(item, where)); }

Service ReadService(const json_t* item, const std::string& where) {
  return ParseService(Object(item, where));
}

void CheckConsistency(const Configuration& configuration) {
  CheckServicesKnown(configuration);
  CheckRoutesAreDistinct(configuration);
}

const Service* Configuration::FindService(std::string_view name) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [name](const Service& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

ParseResult Parse(std::string_view text) {
  json_error_t error;
  const json::Owned root = json::Load(text, error, JSON_REJECT_DUPLICATES);
  if (!root) return {nullptr, "line " + std::to_string(error.line) + ": " + error.text};
  try {
    return {std::make_shared<const Configuration>(ParseObject(Object(root.get(), "the configuration"))), ""};
  } catch (const ValidationError& invalid) {
    return {nullptr, invalid.what()};
  }
}

}  // namespace kestrelline::configuration

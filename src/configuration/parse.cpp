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

// One JSON object and where it stands in the configuration, for messages.
class Object {
 public:
  Object(const json_t* value, std::string where) : value_(value), where_(std::move(where)) {
    if (!json_is_object(value)) throw Invalid(where_ + " is no object");
  }

  std::string Text(const char* key) const {
    const json_t* value = json_object_get(value_, key);
    if (!json_is_string(value)) throw Invalid(where_ + ": " + key + " is no string");
    return std::string(json_string_value(value), json_string_length(value));
  }
  std::string TextOr(const char* key, std::string otherwise) const {
    return Has(key) ? Text(key) : std::move(otherwise);
  }
  // A whole number from `least` on.
  std::int64_t Whole(const char* key, std::int64_t least) const {
    const json_t* value = json_object_get(value_, key);
    if (!json_is_number(value)) throw Invalid(where_ + ": " + key + " is no number");
    const double number = json_number_value(value);
    const auto whole = json_is_integer(value) ? json_integer_value(value) : static_cast<std::int64_t>(number);
    if (!json_is_integer(value) && static_cast<double>(whole) != number) {
      throw Invalid(where_ + ": " + key + " is no whole number");
    }
    if (whole < least) throw Invalid(where_ + ": " + key + " is under " + std::to_string(least));
    return whole;
  }
  std::int64_t WholeOr(const char* key, std::int64_t least, std::int64_t otherwise) const {
    return Has(key) ? Whole(key, least) : otherwise;
  }
  double NumberOr(const char* key, double otherwise) const {
    if (!Has(key)) return otherwise;
    const json_t* value = json_object_get(value_, key);
    if (!json_is_number(value)) throw Invalid(where_ + ": " + key + " is no number");
    return json_number_value(value);
  }
  bool FlagOr(const char* key, bool otherwise) const {
    if (!Has(key)) return otherwise;
    const json_t* value = json_object_get(value_, key);
    if (!json_is_boolean(value)) throw Invalid(where_ + ": " + key + " is neither true nor false");
    return json_is_true(value);
  }
  bool Has(const char* key) const {
    const json_t* value = json_object_get(value_, key);
    return value != nullptr && !json_is_null(value);
  }
  const json_t* Array(const char* key) const {
    const json_t* value = json_object_get(value_, key);
    if (!json_is_array(value)) throw Invalid(where_ + ": " + key + " is no list");
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
  throw Invalid(route.where() + ": unknown type " + type);
}

std::vector<WeightedService> ParseTargets(const Object& route) {
  if (!route.Has("weighted_clusters")) return {{route.Text("cluster"), 1}};
  std::vector<WeightedService> services;
  const json_t* list = route.Array("weighted_clusters");
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < json_array_size(list); ++i) {
    const Object entry(json_array_get(list, i), route.where() + ".weighted_clusters");
    services.push_back({entry.Text("cluster"), static_cast<std::uint64_t>(entry.Whole("weight", 0))});
    sum += services.back().weight;
  }
  if (sum == 0) throw Invalid(route.where() + ": the weights sum to 0");
  return services;
}

std::string ParsePrefix(const Object& route) {
  std::string prefix = route.Text("path_prefix");
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    throw Invalid(route.where() + ": path_prefix does not begin and end with a slash");
  }
  return prefix;
}

Route ParseRoute(const Object& object) {
  constexpr std::int64_t kMostAttempts = 1000;
  Route route;
  route.name = object.TextOr("name", "");
  route.host = LowerCase(object.Text("host"));
  route.path_prefix = ParsePrefix(object);
  route.type = ParseType(object);
  route.timeout = Milliseconds(object.Whole("timeout_ms", 1));
  route.target_latency = Milliseconds(object.WholeOr("target_latency_ms", 0, 0));
  route.priority = static_cast<int>(object.WholeOr("priority", 0, 0));
  route.services = ParseTargets(object);
  route.max_attempts = static_cast<int>(std::min(object.WholeOr("max_attempts", 0, 1), kMostAttempts));
  route.session_affinity = object.FlagOr("session_affinity", false);
  route.resumable = object.FlagOr("resumable", false);
  route.gap_aim = Milliseconds(object.WholeOr("gap_aim_ms", 0, 0));
  return route;
}

Engine ParseEngine(const Object& object) {
  Engine engine;
  engine.slots = static_cast<int>(object.WholeOr("slots", 1, 1));
  engine.kv_cache_tokens = object.WholeOr("kv_cache_tokens", 0, 0);
  engine.kv_token_bytes = object.WholeOr("kv_token_bytes", 0, 0);
  engine.link_mbps = object.NumberOr("link_mbps", 0);
  engine.handle_ttl_s = object.NumberOr("handle_ttl_s", 0);
  engine.switch_s = object.NumberOr("switch_s", 0);
  return engine;
}

Service ParseService(const Object& object) {
  Service service;
  service.name = object.Text("name");
  service.health_path = object.TextOr("health_path", "/healthz");
  service.max_connections = static_cast<int>(object.WholeOr("max_connections", 0, 0));
  if (object.Has("engine")) {
    service.engine = ParseEngine(Object(object.Raw("engine"), object.where() + ".engine"));
  }
  return service;
}

Limits ParseLimits(const Object& object) {
  Limits limits;
  limits.max_header_bytes = static_cast<std::size_t>(
      object.WholeOr("max_header_bytes", 1, static_cast<std::int64_t>(limits.max_header_bytes)));
  limits.max_body_bytes = static_cast<std::size_t>(
      object.WholeOr("max_body_bytes", 0, static_cast<std::int64_t>(limits.max_body_bytes)));
  limits.header_timeout = Milliseconds(object.WholeOr("header_timeout_ms", 1, limits.header_timeout.count()));
  limits.idle_timeout = Milliseconds(object.WholeOr("idle_timeout_ms", 1, limits.idle_timeout.count()));
  return limits;
}

void CheckServicesKnown(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    for (const WeightedService& target : route.services) {
      if (configuration.FindService(target.service)) continue;
      throw Invalid("route " + route.name + " names the unknown service " + target.service);
    }
  }
}

void CheckPlacesDiffer(const Configuration& configuration) {
  std::set<std::pair<std::string_view, std::string_view>> places;
  for (const Route& route : configuration.routes) {
    if (places.emplace(route.host, route.path_prefix).second) continue;
    throw Invalid("two routes stand at " + route.host + route.path_prefix);
  }
}

Configuration ParseObject(const Object& root) {
  Configuration configuration;
  configuration.version = static_cast<std::uint64_t>(root.Whole("version", 1));
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
  CheckWhole(configuration);
  return configuration;
}

}  // namespace

Route ReadRoute(const json_t* item, const std::string& where) { return ParseRoute(Object(item, where)); }

Service ReadService(const json_t* item, const std::string& where) {
  return ParseService(Object(item, where));
}

void CheckWhole(const Configuration& configuration) {
  CheckServicesKnown(configuration);
  CheckPlacesDiffer(configuration);
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
  } catch (const Invalid& invalid) {
    return {nullptr, invalid.what()};
  }
}

}  // namespace kestrelline::configuration

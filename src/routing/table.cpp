// SPDX-License-Identifier: Apache-2.0
#include "routing/table.h"

#include <algorithm>
#include <utility>

#include "hashing/fnv.h"

namespace kestrelline::routing {
namespace {

using hashing::Fnv1a;

std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  hash ^= value + 0x9e3779b97f4a7c15u + (hash << 6) + (hash >> 2);
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdu;
  return hash ^ (hash >> 33);
}

bool Contains(const std::vector<int>& sorted, int value) {
  return std::binary_search(sorted.begin(), sorted.end(), value);
}

}  // namespace

// The fields of a request that lookups compare, with their hashes, computed once per lookup.
class RouteTable::Probe {
 public:
  Probe(const RequestView& request, const std::vector<std::string>& names)
      : request_class(request.request_class()), tenant(request.tenant()) {
    path = request.target();
    path = path.substr(0, path.find('?'));
    // Hashes the path up to the end of each segment. Stops at the limits on prefixes, which no route exceeds.
    hashes[0] = hashing::kFnvOffsetBasis;
    const std::string_view head = path.substr(0, kMaxPrefixBytes + 1);
    std::size_t from = 0;
    while (segments < kMaxDepth && from < head.size() && head[from] == '/') {
      const std::size_t end = std::min(head.find('/', from + 1), head.size());
      hashes[segments + 1] = Fnv1a(head.substr(from, end - from), hashes[segments]);
      ends[++segments] = end;
      from = end;
    }
    for (std::size_t i = 0; i < names.size(); ++i) {
      values[i] = request.Header(names[i]);
      if (values[i].data() == nullptr) continue;
      present |= 1u << i;
      value_hashes[i] = Fnv1a(values[i]);
    }
  }

  std::uint64_t HashFor(const Shape& shape) const {
    std::uint64_t hash = hashes[shape.depth];
    if (shape.by_class) hash = Mix(hash, static_cast<std::uint64_t>(request_class) + 1);
    if (shape.by_tenant) hash = Mix(hash, (static_cast<std::uint64_t>(tenant) + 1) << 20);
    for (std::uint32_t remaining = shape.headers; remaining != 0; remaining &= remaining - 1)
      hash = Mix(hash, value_hashes[static_cast<std::size_t>(__builtin_ctz(remaining))]);
    return Mix(hash, shape.depth);
  }

  int request_class, tenant;
  std::string_view path;
  std::size_t segments = 0;
  std::array<std::size_t, kMaxDepth + 1> ends{};      // by depth: length of that many segments
  std::array<std::uint64_t, kMaxDepth + 1> hashes{};  // by depth: hash of that many segments
  std::array<std::string_view, kMaxHeaderNames> values;
  std::array<std::uint64_t, kMaxHeaderNames> value_hashes{};
  std::uint32_t present = 0;  // bit set of the headers that the request has
};

// The minimal request that a route matches: it has only the fields that the route constrains. Any other route
// that matches it therefore matches every request that this route matches.
class MinimalRequest : public RequestView {
 public:
  MinimalRequest(const Route& route, const std::vector<std::string>& names, int request_class, int tenant)
      : route_(route), names_(names), class_(request_class), tenant_(tenant) {}
  int request_class() const override { return class_; }
  int tenant() const override { return tenant_; }
  std::string_view target() const override { return route_.prefix; }
  std::string_view Header(std::string_view name) const override {
    for (const Route::Header& header : route_.headers) {
      if (names_[header.name] == name) return header.value;
    }
    return {};
  }

 private:
  const Route& route_;
  const std::vector<std::string>& names_;
  int class_, tenant_;
};

bool RouteTable::Matches(const Route& route, const Probe& probe) const {
  if (!route.any_class && !Contains(route.classes, probe.request_class)) return false;
  if (!route.any_tenant && !Contains(route.tenants, probe.tenant)) return false;
  if (route.depth > probe.segments || probe.path.substr(0, probe.ends[route.depth]) != route.prefix)
    return false;
  return std::all_of(route.headers.begin(), route.headers.end(), [&](const Route::Header& header) {
    return (probe.present >> header.name & 1) && probe.values[header.name] == header.value;
  });
}

std::uint32_t RouteTable::FindIn(const Index& index, const RequestView& request) const {
  const Probe probe(request, header_names_);
  std::uint32_t best = kNone;
  for (const Shape& shape : index.shapes) {
    if (shape.first >= best) break;
    if (shape.depth > probe.segments || (shape.headers & ~probe.present) != 0) continue;
    const std::uint64_t hash = probe.HashFor(shape);
    const std::size_t mask = shape.slots.size() - 1;
    for (std::size_t i = hash & mask; shape.slots[i].route != kNone; i = (i + 1) & mask) {
      const Slot& slot = shape.slots[i];
      if (slot.hash != hash || slot.route >= best || !Matches(routes_[slot.route], probe)) continue;
      best = slot.route;
      break;  // a table holds only the first of several routes with equal conditions
    }
  }
  return best;
}

RouteTable::LookupResult RouteTable::Find(const RequestView& request) const {
  const std::uint32_t route = FindIn(index_, request);
  const auto class_index = static_cast<std::size_t>(request.request_class());
  if (route == kNone) return {kNone, class_index < by_class_.size() ? &by_class_[class_index] : &no_limits_};
  const auto& classes = routes_[route].classes;
  const auto position = std::lower_bound(classes.begin(), classes.end(), request.request_class());
  return {route, &routes_[route].limits[static_cast<std::size_t>(position - classes.begin())]};
}

void RouteTable::Insert(Shape* shape, const Route& route, std::uint32_t route_index, int request_class,
                        int tenant) const {
  if (2 * (shape->used + 1) > shape->slots.size()) {
    std::vector<Slot> larger(std::max<std::size_t>(8, shape->slots.size() * 2));
    for (const Slot& slot : shape->slots) {
      if (slot.route == kNone) continue;
      std::size_t i = slot.hash & (larger.size() - 1);
      while (larger[i].route != kNone) i = (i + 1) & (larger.size() - 1);
      larger[i] = slot;
    }
    shape->slots = std::move(larger);
  }
  const MinimalRequest minimal(route, header_names_, request_class, tenant);
  const Probe probe(minimal, header_names_);
  const std::uint64_t hash = probe.HashFor(*shape);
  const std::size_t mask = shape->slots.size() - 1;
  std::size_t i = hash & mask;
  for (; shape->slots[i].route != kNone; i = (i + 1) & mask) {
    // An earlier route matches everything that this entry would.
    if (shape->slots[i].hash == hash && Matches(routes_[shape->slots[i].route], probe)) return;
  }
  shape->slots[i] = {hash, route_index};
  ++shape->used;
}

RouteTable::Index RouteTable::IndexOf(const std::vector<std::uint32_t>& routes) const {
  Index index;
  for (const std::uint32_t route_index : routes) {
    const Route& route = routes_[route_index];
    std::uint32_t headers = 0;
    for (const Route::Header& header : route.headers) headers |= 1u << header.name;
    auto shape = std::find_if(index.shapes.begin(), index.shapes.end(), [&](const Shape& s) {
      return s.by_class != route.any_class && s.by_tenant != route.any_tenant && s.depth == route.depth &&
             s.headers == headers;
    });
    if (shape == index.shapes.end()) {
      Shape added;
      added.by_class = !route.any_class, added.by_tenant = !route.any_tenant;
      added.depth = route.depth, added.headers = headers, added.first = route_index;
      shape = index.shapes.insert(index.shapes.end(), std::move(added));
    }
    static const std::vector<int> kAny{-1};
    const std::vector<int>& classes = route.any_class ? kAny : route.classes;
    const std::vector<int>& tenants = route.any_tenant ? kAny : route.tenants;
    index.entries += classes.size() * tenants.size();
    if (index.shapes.size() > kMaxShapes || index.entries > kMaxEntries) break;  // Build reports it
    for (const int request_class : classes) {
      for (const int tenant : tenants) Insert(&*shape, route, route_index, request_class, tenant);
    }
  }
  return index;
}

// Resolves the names in a Spec, validates its routes and builds the table.
class Builder {
 public:
  Builder(const Spec& spec, const Site& site, operator_file::Diagnostics* diagnostics)
      : spec_(spec), site_(site), diagnostics_(diagnostics), table_(std::make_shared<RouteTable>()) {
    for (std::size_t i = 0; i < site.tenants.size(); ++i)
      tenant_indices_.emplace(site.tenants[i], static_cast<int>(i));
    class_names_.assign(site.classes.begin(), site.classes.end());
    zone_names_.assign(site.zones.begin(), site.zones.end());
    tenant_names_.assign(site.tenants.begin(), site.tenants.end());
  }

  std::shared_ptr<const RouteTable> Build() {
    if (spec_.routes.size() > kMaxRoutes) {
      AddError(spec_.routes[kMaxRoutes].name.at, "bound",
               std::to_string(spec_.routes.size()) + " routes; " + std::to_string(kMaxRoutes) +
                   " at most are accepted");
      return nullptr;
    }
    const LimitsResolver resolver(spec_, site_, diagnostics_);
    CheckNames();
    table_->routes_.reserve(spec_.routes.size());
    for (const RouteSpec& route : spec_.routes) table_->routes_.push_back(Resolve(route));
    ResolveLimits(resolver);
    // Routes that are only partly resolved would cause false reports of unreachable routes.
    if (!diagnostics_->ok()) return nullptr;
    IndexAndCheckReachable();
    if (!diagnostics_->ok()) return nullptr;
    return table_;
  }

 private:
  void AddError(Position at, std::string_view rule, const std::string& text) {
    diagnostics_->Add(at, rule, text);
  }

  void CheckNames() {
    std::unordered_map<std::string_view, Position> seen;
    std::unordered_map<std::uint64_t, std::string_view> ids;
    for (const RouteSpec& route : spec_.routes) {
      const auto [first, added] = seen.emplace(route.name.value, route.name.at);
      if (!added) {
        AddError(route.name.at, "duplicate",
                 "the name of route '" + route.name.value + "' is used in line " +
                     std::to_string(first->second.line) + " already; names must be unique");
      } else if (!ids.emplace(IdOf("route", route.name.value), route.name.value).second) {
        AddError(route.name.at, "duplicate",
                 "the name of route '" + route.name.value + "' has the same hash as another; change it");
      }
    }
  }

  std::vector<int> ResolveClasses(const MatchSpec& match) {
    std::vector<int> classes;
    for (const auto& name : match.classes->value) {
      const auto found = std::find(site_.classes.begin(), site_.classes.end(), name.value);
      if (found != site_.classes.end()) {
        classes.push_back(static_cast<int>(found - site_.classes.begin()));
        continue;
      }
      AddError(name.at, "unknown-class",
               "the platform has no class '" + name.value + "'; " +
                   diagnostics_->Suggest(name.value, class_names_));
    }
    return classes;
  }

  Route Resolve(const RouteSpec& spec) {
    const MatchSpec& match = spec.match;
    Route route;
    route.name = spec.name.value;
    route.at = spec.name.at;
    for (const Maybe<Names>* names : {&match.classes, &match.tenants, &match.methods, &match.zones}) {
      if (*names && (*names)->value.empty())
        AddError((*names)->at, "empty",
                 "an empty list matches nothing; leave the key out to match everything");
    }
    if (match.classes) {
      route.classes = ResolveClasses(match);
    } else {
      for (std::size_t i = 0; i < site_.classes.size(); ++i) route.classes.push_back(static_cast<int>(i));
    }
    if (match.tenants) ResolveTenants(*match.tenants, &route);
    if (match.zones) ResolveZones(*match.zones, &route);
    if (match.path_prefix) ResolvePrefix(*match.path_prefix, &route);
    if (match.methods) ResolveMethods(*match.methods, &route);
    ResolveHeaders(match, &route);
    for (std::vector<int>* list : {&route.classes, &route.tenants, &route.zones}) {
      std::sort(list->begin(), list->end());
      list->erase(std::unique(list->begin(), list->end()), list->end());
    }
    route.any_class = route.classes.size() == site_.classes.size();
    return route;
  }

  void ResolveTenants(const Located<Names>& names, Route* route) {
    route->any_tenant = false;
    for (const auto& name : names.value) {
      const auto found = tenant_indices_.find(name.value);
      if (found != tenant_indices_.end()) {
        route->tenants.push_back(found->second);
        continue;
      }
      AddError(name.at, "unknown-tenant",
               "the platform has no tenant '" + name.value + "'; " +
                   diagnostics_->Suggest(name.value, tenant_names_));
    }
  }

  void ResolveZones(const Located<Names>& names, Route* route) {
    for (const auto& name : names.value) {
      const auto found = std::find(zone_names_.begin(), zone_names_.end(), name.value);
      if (found != zone_names_.end()) {
        route->zones.push_back(static_cast<int>(found - zone_names_.begin()));
        continue;
      }
      AddError(
          name.at, "unknown-zone",
          "the platform has no zone '" + name.value + "'; " + diagnostics_->Suggest(name.value, zone_names_));
    }
  }

  // The first segment of a path is the request class, so that a prefix also selects a class.
  void ResolvePrefix(const Located<std::string>& text, Route* route) {
    std::string prefix = text.value;
    const bool plain = std::all_of(prefix.begin(), prefix.end(), [](unsigned char c) {
      return c > 0x20 && c < 0x7f && c != '?' && c != '#';
    });
    if (!prefix.starts_with('/') || !plain || prefix.find("//") != std::string::npos) {
      AddError(text.at, "path",
               "'" + text.value +
                   "' is not a path; a path begins with '/' and contains no blanks, '//', '?' or '#'");
      return;
    }
    while (prefix.ends_with('/')) prefix.pop_back();
    route->depth = static_cast<std::size_t>(std::count(prefix.begin(), prefix.end(), '/'));
    if (prefix.size() > kMaxPrefixBytes || route->depth > kMaxDepth) {
      AddError(text.at, "bound",
               "a prefix of " + std::to_string(prefix.size()) + " bytes and " + std::to_string(route->depth) +
                   " segments; " + std::to_string(kMaxPrefixBytes) + " and " + std::to_string(kMaxDepth) +
                   " at most are accepted");
      route->depth = 0;
      return;
    }
    route->prefix = std::move(prefix);
    if (route->depth == 0) return;
    const std::string first = route->prefix.substr(1, route->prefix.find('/', 1) - 1);
    const auto found = std::find(site_.classes.begin(), site_.classes.end(), first);
    const int path_class =
        found == site_.classes.end() ? -1 : static_cast<int>(found - site_.classes.begin());
    if (path_class < 0) {
      AddError(text.at, "never",
               "no request has a path under '/" + first +
                   "': the first part of a path is its class, and there are " +
                   operator_file::JoinNames(class_names_));
      return;
    }
    if (std::find(route->classes.begin(), route->classes.end(), path_class) == route->classes.end()) {
      if (!route->classes.empty())  // otherwise its class is unknown, which has been reported
        AddError(text.at, "never",
                 "paths under '/" + first + "' are of class " + first + ", which the route excludes");
      return;
    }
    route->classes = {path_class};
    if (route->depth == 1) route->prefix.clear(), route->depth = 0;  // equivalent to the class alone
  }

  // The method of a request follows from the effect of its class: GET for safe classes, POST for the others.
  // A condition on methods therefore selects classes.
  void ResolveMethods(const Located<Names>& names, Route* route) {
    std::vector<bool> allowed(site_.classes.size());
    bool known = true;
    for (const auto& name : names.value) {
      const bool get = name.value == "GET", post = name.value == "POST";
      known &= get || post;
      if (!get && !post)
        AddError(name.at, "method",
                 "'" + name.value + "' is not a method of this protocol; accepted are GET and POST");
      for (std::size_t i = 0; i < allowed.size(); ++i) {
        const bool safe = site_.settings.classes[i].effect == kestrelline::Effect::kSafe;
        if (safe ? get : post) allowed[i] = true;
      }
    }
    if (!known || names.value.empty() || route->classes.empty()) return;
    std::erase_if(route->classes,
                  [&](int request_class) { return !allowed[static_cast<std::size_t>(request_class)]; });
    if (route->classes.empty())
      AddError(
          names.at, "never",
          "no request of the route's classes has these methods: GET is for classes that are safe to repeat, "
          "POST for the others");
  }

  static bool IsHeaderValue(const std::string& value) {
    constexpr std::size_t kMaxValueBytes = 256;
    return value.size() <= kMaxValueBytes &&
           std::all_of(value.begin(), value.end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; }) &&
           !value.starts_with(' ') && !value.ends_with(' ');
  }

  // Returns false if the route already has a condition on that header.
  bool AddCondition(Position at, const std::string& name, const std::string& value, Route* route) {
    auto& names = table_->header_names_;
    auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end() && names.size() == kMaxHeaderNames) {
      AddError(at, "bound",
               "more than " + std::to_string(kMaxHeaderNames) + " different header names in the file");
      return true;
    }
    if (found == names.end()) found = names.insert(names.end(), name);
    const auto name_index = static_cast<std::size_t>(found - names.begin());
    if (std::any_of(route->headers.begin(), route->headers.end(),
                    [&](const Route::Header& header) { return header.name == name_index; }))
      return false;
    route->headers.push_back({name_index, value});
    return true;
  }

  void ResolveHeaders(const MatchSpec& match, Route* route) {
    for (const auto& [name, value] : match.headers) {
      std::string lower = name.value;
      std::transform(lower.begin(), lower.end(), lower.begin(),
                     [](unsigned char c) { return c >= 'A' && c <= 'Z' ? c + 32 : c; });
      const bool token = !lower.empty() && lower.size() <= 64 &&
                         std::all_of(lower.begin(), lower.end(), [](unsigned char c) {
                           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
                         });
      if (!token) {
        AddError(name.at, "header", "'" + name.value + "' is not a header name");
        continue;
      }
      if (!IsHeaderValue(value.value)) {
        AddError(value.at, "header",
                 "invalid header value; accepted are up to 256 bytes, no control characters, no blanks at "
                 "the ends");
        continue;
      }
      if (!AddCondition(name.at, lower, value.value, route))
        AddError(name.at, "duplicate",
                 "header '" + name.value + "' is named twice: header names are case-insensitive");
    }
    if (match.tag) {
      if (!IsHeaderValue(match.tag->value)) AddError(match.tag->at, "header", "invalid route tag");
      AddCondition(match.tag->at, std::string(kTagHeader), match.tag->value, route);
    }
    std::sort(route->headers.begin(), route->headers.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
  }

  void ResolveLimits(const LimitsResolver& resolver) {
    const std::size_t classes = site_.classes.size();
    for (std::size_t class_index = 0; class_index < classes; ++class_index) {
      const EffectiveLimits limits = resolver.Resolve(nullptr, class_index);
      resolver.Check(limits, class_index, diagnostics_);
      table_->by_class_.push_back(Shared(resolver, limits, IdOf("class", site_.classes[class_index])));
    }
    for (std::size_t i = 0; i < table_->routes_.size(); ++i) {
      Route& route = table_->routes_[i];
      std::shared_ptr<const kestrelline::RouteLimits> previous;
      for (const int request_class : route.classes) {
        const auto class_index = static_cast<std::size_t>(request_class);
        const EffectiveLimits limits = resolver.Resolve(&spec_.routes[i], class_index);
        resolver.Check(limits, class_index, diagnostics_);
        auto compiled = Shared(resolver, limits, IdOf("route", route.name));
        if (compiled && previous && *compiled == *previous)
          compiled = previous;  // classes share equal limits
        previous = compiled;
        route.limits.push_back(std::move(compiled));
      }
    }
  }

  // Null if only the limits of the platform apply.
  static std::shared_ptr<const kestrelline::RouteLimits> Shared(const LimitsResolver& resolver,
                                                                const EffectiveLimits& limits,
                                                                std::uint64_t id) {
    if (limits.empty()) return nullptr;
    return std::make_shared<const kestrelline::RouteLimits>(resolver.Compile(limits, id));
  }

  // Builds the index and reports routes that are never reached. A route is hidden if, in every zone in which
  // it applies, earlier routes match every request that it matches: for each of its classes and tenants, the
  // minimal request that it matches is taken by an earlier route.
  void IndexAndCheckReachable() {
    const auto& routes = table_->routes_;
    const bool by_zone =
        std::any_of(routes.begin(), routes.end(), [](const Route& r) { return !r.zones.empty(); });
    const int own_zone = site_.settings.zone;
    std::vector<std::uint32_t> hidden_by(routes.size(), RouteTable::kNone);
    std::vector<char> reachable(routes.size());  // in at least one zone
    const int zones = by_zone ? std::max<int>(own_zone + 1, static_cast<int>(site_.zones.size())) : 1;
    for (int zone = 0; zone < zones; ++zone) {
      std::vector<std::uint32_t> in_zone;
      for (std::uint32_t i = 0; i < routes.size(); ++i) {
        if (routes[i].zones.empty() || Contains(routes[i].zones, zone)) in_zone.push_back(i);
      }
      RouteTable::Index index = table_->IndexOf(in_zone);
      if (!WithinBounds(index)) return;
      for (const std::uint32_t i : in_zone) reachable[i] |= !IsHidden(index, i, &hidden_by[i]);
      if (!by_zone || zone == own_zone) table_->index_ = std::move(index);
    }
    for (std::uint32_t i = 0; i < routes.size(); ++i) {
      if (reachable[i] || hidden_by[i] == RouteTable::kNone) continue;
      const Route& earlier = routes[hidden_by[i]];
      AddError(routes[i].at, "hidden",
               "route '" + routes[i].name + "' is never reached: route '" + earlier.name + "' in line " +
                   std::to_string(earlier.at.line) +
                   " comes first and matches all that it does; put the narrower one first");
    }
  }

  bool WithinBounds(const RouteTable::Index& index) {
    if (index.shapes.size() > kMaxShapes)
      AddError({}, "bound",
               "routes combine conditions in more than " + std::to_string(kMaxShapes) +
                   " ways (class, tenant, depth of the prefix, which headers)");
    if (index.entries > kMaxEntries)
      AddError({}, "bound",
               "routes name more than " + std::to_string(kMaxEntries) + " pairs of class and tenant in all");
    return diagnostics_->ok();
  }

  // `hidden_by` receives one of the earlier routes that hide the route.
  bool IsHidden(const RouteTable::Index& index, std::uint32_t route_index, std::uint32_t* hidden_by) const {
    const Route& route = table_->routes_[route_index];
    static const std::vector<int> kAny{-1};
    for (const int request_class : route.classes) {
      for (const int tenant : route.any_tenant ? kAny : route.tenants) {
        const MinimalRequest minimal(route, table_->header_names_, request_class, tenant);
        const std::uint32_t matched = table_->FindIn(index, minimal);
        if (matched >= route_index) return false;
        *hidden_by = matched;
      }
    }
    return !route.classes.empty();
  }

  const Spec& spec_;
  const Site& site_;
  operator_file::Diagnostics* diagnostics_;
  std::shared_ptr<RouteTable> table_;
  std::unordered_map<std::string_view, int> tenant_indices_;
  std::vector<std::string_view> class_names_, tenant_names_, zone_names_;
};

std::shared_ptr<const RouteTable> RouteTable::Build(const Spec& spec, const Site& site,
                                                    operator_file::Diagnostics* diagnostics) {
  return Builder(spec, site, diagnostics).Build();
}

}  // namespace kestrelline::routing

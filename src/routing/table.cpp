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

bool Holds(const std::vector<int>& sorted, int value) {
  return std::binary_search(sorted.begin(), sorted.end(), value);
}

}  // namespace

// What of a request takes part in look-ups, worked out once.
class RouteTable::Probe {
 public:
  Probe(const RequestView& request, const std::vector<std::string>& names)
      : request_class(request.request_class()), tenant(request.tenant()) {
    path = request.target();
    path = path.substr(0, path.find('?'));
    // The bytes up to the end of each segment; deeper or longer ones are in no prefix.
    hashes[0] = hashing::kFnvStart;
    const std::string_view head = path.substr(0, kMostPrefixBytes + 1);
    std::size_t from = 0;
    while (segments < kMostDepth && from < head.size() && head[from] == '/') {
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
    for (std::uint32_t left = shape.headers; left != 0; left &= left - 1)
      hash = Mix(hash, value_hashes[static_cast<std::size_t>(__builtin_ctz(left))]);
    return Mix(hash, shape.depth);
  }

  int request_class, tenant;
  std::string_view path;
  std::size_t segments = 0;
  std::array<std::size_t, kMostDepth + 1> ends{};
  std::array<std::uint64_t, kMostDepth + 1> hashes{};
  std::array<std::string_view, kMostHeaderNames> values;
  std::array<std::uint64_t, kMostHeaderNames> value_hashes{};
  std::uint32_t present = 0;
};

// A request that a route matches, and no more than that: whatever matches it matches all that the route does.
class LeastRequest : public RequestView {
 public:
  LeastRequest(const Route& route, const std::vector<std::string>& names, int request_class, int tenant)
      : route_(route), names_(names), class_(request_class), tenant_(tenant) {}
  int request_class() const override { return class_; }
  int tenant() const override { return tenant_; }
  std::string_view target() const override { return route_.prefix; }
  std::string_view Header(std::string_view name) const override {
    for (const Route::Header& h : route_.headers) {
      if (names_[h.name] == name) return h.value;
    }
    return {};
  }

 private:
  const Route& route_;
  const std::vector<std::string>& names_;
  int class_, tenant_;
};

bool RouteTable::Matches(const Route& route, const Probe& probe) const {
  if (!route.any_class && !Holds(route.classes, probe.request_class)) return false;
  if (!route.any_tenant && !Holds(route.tenants, probe.tenant)) return false;
  if (route.depth > probe.segments || probe.path.substr(0, probe.ends[route.depth]) != route.prefix)
    return false;
  return std::all_of(route.headers.begin(), route.headers.end(), [&](const Route::Header& h) {
    return (probe.present >> h.name & 1) && probe.values[h.name] == h.value;
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
      break;  // an entry is the first of its kind
    }
  }
  return best;
}

RouteTable::Found RouteTable::Find(const RequestView& request) const {
  const std::uint32_t route = FindIn(index_, request);
  const auto cls = static_cast<std::size_t>(request.request_class());
  if (route == kNone) return {kNone, cls < by_class_.size() ? &by_class_[cls] : &none_};
  const auto& classes = routes_[route].classes;
  const auto place = std::lower_bound(classes.begin(), classes.end(), request.request_class());
  return {route, &routes_[route].limits[static_cast<std::size_t>(place - classes.begin())]};
}

void RouteTable::Insert(Shape* shape, const Route& route, std::uint32_t number, int request_class,
                        int tenant) const {
  if (2 * (shape->used + 1) > shape->slots.size()) {
    std::vector<Slot> bigger(std::max<std::size_t>(8, shape->slots.size() * 2));
    for (const Slot& slot : shape->slots) {
      if (slot.route == kNone) continue;
      std::size_t i = slot.hash & (bigger.size() - 1);
      while (bigger[i].route != kNone) i = (i + 1) & (bigger.size() - 1);
      bigger[i] = slot;
    }
    shape->slots = std::move(bigger);
  }
  const LeastRequest least(route, header_names_, request_class, tenant);
  const Probe probe(least, header_names_);
  const std::uint64_t hash = probe.HashFor(*shape);
  const std::size_t mask = shape->slots.size() - 1;
  std::size_t i = hash & mask;
  for (; shape->slots[i].route != kNone; i = (i + 1) & mask) {
    // An earlier one takes all that this one would here.
    if (shape->slots[i].hash == hash && Matches(routes_[shape->slots[i].route], probe)) return;
  }
  shape->slots[i] = {hash, number};
  ++shape->used;
}

RouteTable::Index RouteTable::IndexOf(const std::vector<std::uint32_t>& routes) const {
  Index index;
  for (const std::uint32_t number : routes) {
    const Route& route = routes_[number];
    std::uint32_t headers = 0;
    for (const Route::Header& h : route.headers) headers |= 1u << h.name;
    auto shape = std::find_if(index.shapes.begin(), index.shapes.end(), [&](const Shape& s) {
      return s.by_class != route.any_class && s.by_tenant != route.any_tenant && s.depth == route.depth &&
             s.headers == headers;
    });
    if (shape == index.shapes.end()) {
      Shape added;
      added.by_class = !route.any_class, added.by_tenant = !route.any_tenant;
      added.depth = route.depth, added.headers = headers, added.first = number;
      shape = index.shapes.insert(index.shapes.end(), std::move(added));
    }
    static const std::vector<int> kAny{-1};
    const std::vector<int>& classes = route.any_class ? kAny : route.classes;
    const std::vector<int>& tenants = route.any_tenant ? kAny : route.tenants;
    index.entries += classes.size() * tenants.size();
    if (index.shapes.size() > kMostShapes || index.entries > kMostEntries) break;  // the build refuses it
    for (const int c : classes) {
      for (const int t : tenants) Insert(&*shape, route, number, c, t);
    }
  }
  return index;
}

// Resolves the names of a Spec and finds what is wrong with its routes.
class Builder {
 public:
  Builder(const Spec& spec, const Site& site, operator_file::Diagnostics* diagnostics)
      : spec_(spec), site_(site), diagnostics_(diagnostics), table_(std::make_shared<RouteTable>()) {
    for (std::size_t i = 0; i < site.tenants.size(); ++i)
      tenant_numbers_.emplace(site.tenants[i], static_cast<int>(i));
    class_names_.assign(site.classes.begin(), site.classes.end());
    zone_names_.assign(site.zones.begin(), site.zones.end());
    tenant_names_.assign(site.tenants.begin(), site.tenants.end());
  }

  std::shared_ptr<const RouteTable> Build() {
    if (spec_.routes.size() > kMostRoutes) {
      Bad(spec_.routes[kMostRoutes].name.at, "bound",
          std::to_string(spec_.routes.size()) + " routes; " + std::to_string(kMostRoutes) + " are accepted");
      return nullptr;
    }
    const LimitsBook book(spec_, site_, diagnostics_);
    CheckNames();
    table_->routes_.reserve(spec_.routes.size());
    for (const RouteSpec& route : spec_.routes) table_->routes_.push_back(Resolve(route));
    ResolveLimits(book);
    // What is half resolved would be said to hide what it does not.
    if (!diagnostics_->ok()) return nullptr;
    CheckHidden();
    if (!diagnostics_->ok()) return nullptr;
    return table_;
  }

 private:
  void Bad(Position at, std::string_view rule, const std::string& text) { diagnostics_->Add(at, rule, text); }

  void CheckNames() {
    std::unordered_map<std::string_view, Position> seen;
    std::unordered_map<std::uint64_t, std::string_view> ids;
    for (const RouteSpec& route : spec_.routes) {
      const auto [first, added] = seen.emplace(route.name.value, route.name.at);
      if (!added) {
        Bad(route.name.at, "duplicate",
            "route '" + route.name.value + "' is named so in line " + std::to_string(first->second.line) +
                " already; each name is accepted once");
      } else if (!ids.emplace(IdOf("route", route.name.value), route.name.value).second) {
        Bad(route.name.at, "duplicate",
            "the name of '" + route.name.value + "' hashes as another's; change it");
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
      Bad(name.at, "unknown-class",
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
        Bad((*names)->at, "empty", "an empty list matches nothing; leave the key out to match everything");
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
      const auto found = tenant_numbers_.find(name.value);
      if (found != tenant_numbers_.end()) {
        route->tenants.push_back(found->second);
        continue;
      }
      Bad(name.at, "unknown-tenant",
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
      Bad(name.at, "unknown-zone",
          "the platform has no zone '" + name.value + "'; " + diagnostics_->Suggest(name.value, zone_names_));
    }
  }

  // The first segment of a path is its class: a prefix names the class too.
  void ResolvePrefix(const Located<std::string>& text, Route* route) {
    std::string prefix = text.value;
    const bool plain = std::all_of(prefix.begin(), prefix.end(), [](unsigned char c) {
      return c > 0x20 && c < 0x7f && c != '?' && c != '#';
    });
    if (!prefix.starts_with('/') || !plain || prefix.find("//") != std::string::npos) {
      Bad(text.at, "path",
          "'" + text.value +
              "' is no path; accepted is one that begins with '/', without blanks, '//', '?' or '#'");
      return;
    }
    while (prefix.ends_with('/')) prefix.pop_back();
    route->depth = static_cast<std::size_t>(std::count(prefix.begin(), prefix.end(), '/'));
    if (prefix.size() > kMostPrefixBytes || route->depth > kMostDepth) {
      Bad(text.at, "bound",
          "a prefix of " + std::to_string(prefix.size()) + " bytes and " + std::to_string(route->depth) +
              " segments; " + std::to_string(kMostPrefixBytes) + " and " + std::to_string(kMostDepth) +
              " at most are accepted");
      route->depth = 0;
      return;
    }
    route->prefix = std::move(prefix);
    if (route->depth == 0) return;
    const std::string first = route->prefix.substr(1, route->prefix.find('/', 1) - 1);
    const auto found = std::find(site_.classes.begin(), site_.classes.end(), first);
    const int of_path = found == site_.classes.end() ? -1 : static_cast<int>(found - site_.classes.begin());
    if (of_path < 0) {
      Bad(text.at, "never",
          "no request has a path under '/" + first +
              "': the first part of a path is its class, and there are " +
              operator_file::JoinNames(class_names_));
      return;
    }
    if (std::find(route->classes.begin(), route->classes.end(), of_path) == route->classes.end()) {
      if (!route->classes.empty())  // else its class is unknown, which has been said
        Bad(text.at, "never",
            "paths under '/" + first + "' are of class " + first + ", which the route leaves out");
      return;
    }
    route->classes = {of_path};
    if (route->depth == 1) route->prefix.clear(), route->depth = 0;  // says no more than the class
  }

  // A class's method follows from what its requests do.
  void ResolveMethods(const Located<Names>& names, Route* route) {
    std::vector<bool> allowed(site_.classes.size());
    bool known = true;
    for (const auto& name : names.value) {
      const bool get = name.value == "GET", post = name.value == "POST";
      known &= get || post;
      if (!get && !post)
        Bad(name.at, "method",
            "'" + name.value + "' is no method of this protocol; accepted are GET and POST");
      for (std::size_t i = 0; i < allowed.size(); ++i) {
        const bool safe = site_.settings.classes[i].effect == kestrelline::Effect::kSafe;
        if (safe ? get : post) allowed[i] = true;
      }
    }
    if (!known || names.value.empty() || route->classes.empty()) return;
    std::erase_if(route->classes, [&](int c) { return !allowed[static_cast<std::size_t>(c)]; });
    if (route->classes.empty())
      Bad(names.at, "never",
          "no request of the route's classes comes so: GET is for classes that are safe to repeat, POST for "
          "the "
          "others");
  }

  static bool PlainValue(const std::string& value) {
    return value.size() <= 256 &&
           std::all_of(value.begin(), value.end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; }) &&
           !value.starts_with(' ') && !value.ends_with(' ');
  }

  // False if the route has a condition of that name already.
  bool AddCondition(Position at, const std::string& name, const std::string& value, Route* route) {
    auto& names = table_->header_names_;
    auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end() && names.size() == kMostHeaderNames) {
      Bad(at, "bound",
          "more than " + std::to_string(kMostHeaderNames) + " different names of headers in the file");
      return true;
    }
    if (found == names.end()) found = names.insert(names.end(), name);
    const auto number = static_cast<std::size_t>(found - names.begin());
    if (std::any_of(route->headers.begin(), route->headers.end(),
                    [&](const Route::Header& h) { return h.name == number; }))
      return false;
    route->headers.push_back({number, value});
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
        Bad(name.at, "header", "'" + name.value + "' is no name of a header");
        continue;
      }
      if (!PlainValue(value.value)) {
        Bad(value.at, "header",
            "no header has such a value; accepted are up to 256 bytes, no control characters, no blanks at "
            "the ends");
        continue;
      }
      if (!AddCondition(name.at, lower, value.value, route))
        Bad(name.at, "duplicate",
            "header '" + name.value + "' is named twice: names differ by more than case");
    }
    if (match.tag) {
      if (!PlainValue(match.tag->value)) Bad(match.tag->at, "header", "no route tag is like this");
      AddCondition(match.tag->at, std::string(kTagName), match.tag->value, route);
    }
    std::sort(route->headers.begin(), route->headers.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
  }

  void ResolveLimits(const LimitsBook& book) {
    const std::size_t classes = site_.classes.size();
    for (std::size_t c = 0; c < classes; ++c) {
      const Effective limits = book.Of(nullptr, c);
      book.Check(limits, c, diagnostics_);
      table_->by_class_.push_back(Shared(book, limits, IdOf("class", site_.classes[c])));
    }
    for (std::size_t i = 0; i < table_->routes_.size(); ++i) {
      Route& route = table_->routes_[i];
      std::shared_ptr<const kestrelline::RouteLimits> last;
      for (const int c : route.classes) {
        const auto at = static_cast<std::size_t>(c);
        const Effective limits = book.Of(&spec_.routes[i], at);
        book.Check(limits, at, diagnostics_);
        auto mine = Shared(book, limits, IdOf("route", route.name));
        if (mine && last && *mine == *last) mine = last;  // one copy where classes do not differ
        last = mine;
        route.limits.push_back(std::move(mine));
      }
    }
  }

  static std::shared_ptr<const kestrelline::RouteLimits> Shared(const LimitsBook& book,
                                                                const Effective& limits, std::uint64_t id) {
    if (limits.empty()) return nullptr;
    return std::make_shared<const kestrelline::RouteLimits>(book.Compile(limits, id));
  }

  // A route is hidden if, wherever it holds, earlier ones take every request that it would: for each of its
  // classes and tenants, the least request that it matches goes to one of them. Then makes the index.
  void CheckHidden() {
    const auto& routes = table_->routes_;
    const bool by_zone =
        std::any_of(routes.begin(), routes.end(), [](const Route& r) { return !r.zones.empty(); });
    const int own = site_.settings.zone;
    std::vector<std::uint32_t> seen_by(routes.size(), RouteTable::kNone);
    std::vector<char> free(routes.size());  // some of it is its own, in some zone
    const int zones = by_zone ? std::max<int>(own + 1, static_cast<int>(site_.zones.size())) : 1;
    for (int zone = 0; zone < zones; ++zone) {
      std::vector<std::uint32_t> here;
      for (std::uint32_t i = 0; i < routes.size(); ++i) {
        if (routes[i].zones.empty() || Holds(routes[i].zones, zone)) here.push_back(i);
      }
      RouteTable::Index index = table_->IndexOf(here);
      if (!WithinBounds(index)) return;
      for (const std::uint32_t i : here) free[i] |= !Hidden(index, i, &seen_by[i]);
      if (!by_zone || zone == own) table_->index_ = std::move(index);
    }
    for (std::uint32_t i = 0; i < routes.size(); ++i) {
      if (free[i] || seen_by[i] == RouteTable::kNone) continue;
      const Route& by = routes[seen_by[i]];
      Bad(routes[i].at, "hidden",
          "route '" + routes[i].name + "' is never reached: route '" + by.name + "' in line " +
              std::to_string(by.at.line) +
              " comes first and matches all that it does; put the narrower one first");
    }
  }

  bool WithinBounds(const RouteTable::Index& index) {
    if (index.shapes.size() > kMostShapes)
      Bad({}, "bound",
          "routes combine conditions in more than " + std::to_string(kMostShapes) +
              " ways (class, tenant, depth of the prefix, which headers)");
    if (index.entries > kMostEntries)
      Bad({}, "bound",
          "routes name more than " + std::to_string(kMostEntries) + " pairs of class and tenant in all");
    return diagnostics_->ok();
  }

  bool Hidden(const RouteTable::Index& index, std::uint32_t number, std::uint32_t* by) const {
    const Route& route = table_->routes_[number];
    static const std::vector<int> kAny{-1};
    for (const int c : route.classes) {
      for (const int t : route.any_tenant ? kAny : route.tenants) {
        const LeastRequest least(route, table_->header_names_, c, t);
        const std::uint32_t found = table_->FindIn(index, least);
        if (found >= number) return false;
        *by = found;
      }
    }
    return !route.classes.empty();
  }

  const Spec& spec_;
  const Site& site_;
  operator_file::Diagnostics* diagnostics_;
  std::shared_ptr<RouteTable> table_;
  std::unordered_map<std::string_view, int> tenant_numbers_;
  std::vector<std::string_view> class_names_, tenant_names_, zone_names_;
};

std::shared_ptr<const RouteTable> RouteTable::Build(const Spec& spec, const Site& site,
                                                    operator_file::Diagnostics* diagnostics) {
  return Builder(spec, site, diagnostics).Build();
}

}  // namespace kestrelline::routing

// SPDX-License-Identifier: Apache-2.0
//
// The route table, compiled for fast lookup. Immutable once built; performs no I/O and reads no clock.
//
// The index uses tuple space search: routes that constrain the same fields (class, tenant, depth of the path
// prefix, set of headers) share one hash table. A lookup then costs one probe for each such combination
// rather than one for each route. Build enforces the limits below.
#ifndef KESTRELLINE_ROUTING_TABLE_H_
#define KESTRELLINE_ROUTING_TABLE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kestrelline/balancer.h"
#include "operator/diagnostics.h"
#include "routing/limits.h"
#include "routing/spec.h"

namespace kestrelline::routing {

inline constexpr std::size_t kMaxShapes = 32;        // combinations of constrained fields
inline constexpr std::size_t kMaxHeaderNames = 16;   // different header names in the file
inline constexpr std::size_t kMaxDepth = 16;         // segments of a path prefix
inline constexpr std::size_t kMaxPrefixBytes = 256;  // length of a path prefix
inline constexpr std::size_t kMaxEntries = 200000;   // pairs of class and tenant over all routes
inline constexpr std::size_t kMaxRoutes = 20000;

// Pseudo-header under which the route tag is looked up. It is not a valid header name, so it cannot collide.
inline constexpr std::string_view kTagHeader = ":tag";

// The fields of a request that routes match on. The returned views are only used during the lookup.
class RequestView {
 public:
  virtual ~RequestView() = default;
  virtual int request_class() const = 0;  // index into Site::classes
  virtual int tenant() const = 0;         // index into Site::tenants; -1 if none
  // The request target as sent, including any query. Prefixes are compared byte by byte in whole segments.
  virtual std::string_view target() const = 0;
  // Returns the value of a header by its lower-case name; a view with null data if it is absent or occurs
  // more than once. For kTagHeader, returns the tag set by a plug-in, or null data if there is none.
  virtual std::string_view Header(std::string_view name) const = 0;
};

// A route with its names resolved.
struct Route {
  std::string name;
  Position at;
  bool any_class = true, any_tenant = true;
  std::vector<int> classes;  // sorted; lists all classes if any_class
  std::vector<int> tenants;  // sorted; empty if any_tenant
  std::vector<int> zones;    // zones of the proxies at which the route applies; sorted; empty means all
  std::string prefix;        // "" or "/a/b", without a trailing slash
  std::size_t depth = 0;     // number of segments of the prefix
  struct Header {
    std::size_t name;  // index into header_names()
    std::string value;
  };
  std::vector<Header> headers;  // sorted by name

  // Parallel to `classes`. Null if only the limits of the platform apply.
  std::vector<std::shared_ptr<const kestrelline::RouteLimits>> limits;
};

class RouteTable {
 public:
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};

  // Compiles `spec`. Returns null and reports to `diagnostics` if anything in it is invalid.
  static std::shared_ptr<const RouteTable> Build(const Spec& spec, const Site& site,
                                                 operator_file::Diagnostics* diagnostics);

  struct LookupResult {
    std::uint32_t route =
        kNone;  // index into routes(); kNone if no route matches and the class's limits apply
    // Never null itself; points to a null pointer if there are no limits but those of the platform.
    const std::shared_ptr<const kestrelline::RouteLimits>* limits = nullptr;
  };
  // Returns the first route that matches and applies at this proxy. Does not allocate memory.
  LookupResult Find(const RequestView& request) const;

  // All routes of the file, including those that only apply at other proxies.
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<std::string>& header_names() const { return header_names_; }
  // Number of hash tables that a lookup may probe.
  std::size_t combinations() const { return index_.shapes.size(); }

 private:
  struct Slot {
    std::uint64_t hash = 0;
    std::uint32_t route = kNone;
  };
  // The hash table of the routes that constrain the same fields.
  struct Shape {
    bool by_class = false, by_tenant = false;
    std::size_t depth = 0;
    std::uint32_t headers = 0;    // bit set over header_names()
    std::uint32_t first = kNone;  // lowest index of a route in this table
    std::vector<Slot> slots;      // open addressing; size is a power of two, at most half full
    std::size_t used = 0;
  };
  struct Index {
    std::vector<Shape> shapes;  // in ascending order of `first`, so that a lookup can stop early
    std::size_t entries = 0;
  };
  class Probe;
  friend class Builder;

  std::uint32_t FindIn(const Index& index, const RequestView& request) const;
  bool Matches(const Route& route, const Probe& probe) const;
  Index IndexOf(const std::vector<std::uint32_t>& routes) const;
  void Insert(Shape* shape, const Route& route, std::uint32_t route_index, int request_class,
              int tenant) const;

  std::vector<Route> routes_;
  std::vector<std::string> header_names_;
  std::vector<std::shared_ptr<const kestrelline::RouteLimits>> by_class_;  // where no route matches
  std::shared_ptr<const kestrelline::RouteLimits> no_limits_;              // always null
  Index index_;
};

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_TABLE_H_

// SPDX-License-Identifier: Apache-2.0
//
// Routes compiled for look-up: no I/O, no clock, immutable once built.
//
// The index is a tuple space search: routes that fix the same things (the class or not, the tenant or not,
// the prefix's depth, which headers) share one hash table, so that a look-up costs one probe for each such
// combination and not one for each route. Bounds, checked at the build: 32 combinations, 16 names of headers
// in the file, prefixes of 16 segments and 256 bytes, 200,000 entries.
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

inline constexpr std::size_t kMostShapes = 32;
inline constexpr std::size_t kMostHeaderNames = 16;
inline constexpr std::size_t kMostDepth = 16;
inline constexpr std::size_t kMostPrefixBytes = 256;
inline constexpr std::size_t kMostEntries = 200000;
inline constexpr std::size_t kMostRoutes = 20000;

// The name under which a route tag is looked up beside the headers: no header can have it.
inline constexpr std::string_view kTagName = ":tag";

// A request as routes see it. All views are read during the look-up only.
class RequestView {
 public:
  virtual ~RequestView() = default;
  virtual int request_class() const = 0;  // an index of the site's
  virtual int tenant() const = 0;         // the same; -1: none
  // As sent, the query may follow: prefixes are compared by bytes and whole segments.
  virtual std::string_view target() const = 0;
  // The value of a header, by its name in lower case; null data if it is absent or given more than once. Of
  // kTagName: what a plug-in set, null data if none did.
  virtual std::string_view Header(std::string_view name) const = 0;
};

// A route, its names resolved.
struct Route {
  std::string name;
  Position at;
  bool any_class = true, any_tenant = true;
  std::vector<int> classes;  // sorted, and all of them if any
  std::vector<int> tenants;  // sorted; empty if any
  std::vector<int> zones;    // of the proxies at which it holds; sorted; empty: all
  std::string prefix;        // "" or "/a/b", without a slash at its end
  std::size_t depth = 0;     // segments of the prefix
  struct Header {
    std::size_t name;  // an index of header_names()
    std::string value;
  };
  std::vector<Header> headers;  // sorted by name

  // By the position of a class in `classes`; null: nothing but the platform's limits.
  std::vector<std::shared_ptr<const kestrelline::RouteLimits>> limits;
};

class RouteTable {
 public:
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};

  // Null, and the reasons in `diagnostics`, unless everything in `spec` is right.
  static std::shared_ptr<const RouteTable> Build(const Spec& spec, const Site& site,
                                                 operator_file::Diagnostics* diagnostics);

  struct Found {
    std::uint32_t route = kNone;  // an index of routes(); kNone: its class's limits hold
    const std::shared_ptr<const kestrelline::RouteLimits>* limits = nullptr;  // points to null: none
  };
  // The first route that matches and holds at this proxy. Allocates nothing.
  Found Find(const RequestView& request) const;

  // All of the file, also those that hold at other proxies only.
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<std::string>& header_names() const { return header_names_; }
  std::size_t combinations() const { return index_.shapes.size(); }

 private:
  struct Slot {
    std::uint64_t hash = 0;
    std::uint32_t route = kNone;
  };
  struct Shape {
    bool by_class = false, by_tenant = false;
    std::size_t depth = 0;
    std::uint32_t headers = 0;  // a bit for each name
    std::uint32_t first = kNone;
    std::vector<Slot> slots;  // a power of two, at most half full
    std::size_t used = 0;
  };
  struct Index {
    std::vector<Shape> shapes;  // by `first`, so that a look-up may stop early
    std::size_t entries = 0;
  };
  class Probe;
  friend class Builder;

  std::uint32_t FindIn(const Index& index, const RequestView& request) const;
  bool Matches(const Route& route, const Probe& probe) const;
  Index IndexOf(const std::vector<std::uint32_t>& routes) const;
  void Insert(Shape* shape, const Route& route, std::uint32_t number, int request_class, int tenant) const;

  std::vector<Route> routes_;
  std::vector<std::string> header_names_;
  std::vector<std::shared_ptr<const kestrelline::RouteLimits>> by_class_;
  std::shared_ptr<const kestrelline::RouteLimits> none_;
  Index index_;
};

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_TABLE_H_

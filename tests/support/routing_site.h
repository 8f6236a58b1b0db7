// SPDX-License-Identifier: Apache-2.0
//
// Test support for routes: a platform with a request class of each kind, tenants and zones.
#ifndef KESTRELLINE_TESTS_SUPPORT_ROUTING_SITE_H_
#define KESTRELLINE_TESTS_SUPPORT_ROUTING_SITE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "operator/diagnostics.h"
#include "operator/document.h"
#include "routing/section.h"
#include "routing/spec.h"
#include "routing/table.h"

namespace kestrelline::testing {

enum SiteClass { kPreview, kConvert, kCertify, kStamp };

// preview: safe, 2 s; convert: keyed for 10 s, 2 s; certify: unsafe, 1 s; stamp: keyed for 500 ms, 2 s.
inline routing::Site RoutingSite() {
  const auto request_class = [](Effect effect, double deadline, double window) {
    kestrelline::ClassSettings settings;
    settings.effect = effect;
    settings.aim = kestrelline::Duration(500);
    settings.deadline = kestrelline::Duration(deadline);
    settings.window = kestrelline::Duration(window);
    settings.group = kestrelline::Group::kCell;
    return settings;
  };
  routing::Site site;
  site.settings.classes = {request_class(Effect::kSafe, 2000, 0), request_class(Effect::kKeyed, 2000, 10000),
                           request_class(Effect::kUnsafe, 1000, 0), request_class(Effect::kKeyed, 2000, 500)};
  site.settings.max_attempts = 4;
  site.settings.tenants.resize(2);
  site.classes = {"preview", "convert", "certify", "stamp"};
  site.tenants = {"acme", "noble"};
  site.zones = {"north", "south"};
  return site;
}

// Parses a file and builds its route table. If the file is rejected, `routes` is null and `diagnostics` has
// the reasons.
struct LoadedRoutes {
  explicit LoadedRoutes(std::string_view text, const routing::Site& site = RoutingSite())
      : diagnostics("f.toml") {
    const auto sections = routing::Sections(&spec);
    operator_file::ReadDocument(text, sections, &diagnostics);
    routes = routing::RouteTable::Build(spec, site, &diagnostics);
    if (!diagnostics.ok()) routes = nullptr;
  }
  std::string Said() const {
    std::string all;
    for (const auto& line : diagnostics.Lines()) all += line + '\n';
    return all;
  }

  routing::Spec spec;
  operator_file::Diagnostics diagnostics;
  std::shared_ptr<const routing::RouteTable> routes;
};

struct TestRequest : routing::RequestView {
  int class_index = 0, tenant_index = -1;
  std::string path = "/preview";
  std::map<std::string, std::string, std::less<>> headers;

  TestRequest() = default;
  TestRequest(int request_class_index, std::string target, int request_tenant_index = -1,
              std::map<std::string, std::string, std::less<>> header_values = {})
      : class_index(request_class_index),
        tenant_index(request_tenant_index),
        path(std::move(target)),
        headers(std::move(header_values)) {}
  int request_class() const override { return class_index; }
  int tenant() const override { return tenant_index; }
  std::string_view target() const override { return path; }
  std::string_view Header(std::string_view name) const override {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
  }
};

// Returns the name of the route that a request matches; "-" if there is none.
inline std::string RouteOf(const LoadedRoutes& built, const TestRequest& request) {
  const auto found = built.routes->Find(request);
  return found.route == routing::RouteTable::kNone ? "-" : built.routes->routes()[found.route].name;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_ROUTING_SITE_H_

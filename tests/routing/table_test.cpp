// SPDX-License-Identifier: Apache-2.0
//
// Checks what each kind of match means, and compares lookups in the index with a linear scan of the file.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "support/routing_site.h"

namespace kestrelline::testing {
namespace {

// ---- what a match means -------------------------------------------------------------------------------
TEST(RouteTable, FirstMatchingRouteApplies) {
  const LoadedRoutes built(R"(version = 1
[[route]]
name = "narrow"
match = { path_prefix = "/preview/a", tenant = "acme" }
[[route]]
name = "tenant"
match.tenant = "acme"
[[route]]
name = "class"
match.class = "preview"
[[route]]
name = "header"
match.header = { X-Job = "7" }
)");
  ASSERT_NE(built.routes, nullptr) << built.Said();
  EXPECT_EQ(RouteOf(built, {kPreview, "/preview/a/b", 0}), "narrow");
  EXPECT_EQ(RouteOf(built, {kPreview, "/preview/b", 0}), "tenant");
  EXPECT_EQ(RouteOf(built, {kPreview, "/preview/a", 1}), "class");
  EXPECT_EQ(RouteOf(built, {kCertify, "/certify", 1, {{"x-job", "7"}}}), "header");
  EXPECT_EQ(RouteOf(built, {kCertify, "/certify", 1, {{"x-job", "8"}}}), "-");
  EXPECT_EQ(RouteOf(built, {kCertify, "/certify", -1}), "-");
}

TEST(RouteTable, PrefixesMatchWholeSegments) {
  const LoadedRoutes built("version = 1\n[[route]]\nname = \"r\"\nmatch.path_prefix = \"/certify/1/\"\n");
  ASSERT_NE(built.routes, nullptr) << built.Said();
  for (const char* path : {"/certify/1", "/certify/1/", "/certify/1/2", "/certify/1?x=/9", "/certify/1/2?x"})
    EXPECT_EQ(RouteOf(built, {kCertify, path}), "r") << path;
  for (const char* path :
       {"/certify", "/certify/", "/certify/10", "/certify/2/1", "/certify?/1", "/certify//1", "", "x"})
    EXPECT_EQ(RouteOf(built, {kCertify, path}), "-") << path;
}

TEST(RouteTable, AllHeadersMustMatchAndAbsentIsNotEmpty) {
  const LoadedRoutes built("version = 1\n[[route]]\nname = \"r\"\nmatch.header = { A = \"1\", b = \"\" }\n");
  ASSERT_NE(built.routes, nullptr) << built.Said();
  EXPECT_EQ(RouteOf(built, {kPreview, "/preview", -1, {{"a", "1"}, {"b", ""}}}), "r");
  EXPECT_EQ(RouteOf(built, {kPreview, "/preview", -1, {{"a", "1"}}}), "-");
  EXPECT_EQ(RouteOf(built, {kPreview, "/preview", -1, {{"a", "1"}, {"b", "x"}}}), "-");
}

TEST(RouteTable, RoutesOfOtherZonesDoNotApplyAndHideNothing) {
  const std::string text = R"(version = 1
[[route]]
name = "south"
match = { class = "preview", zone = "south" }
[[route]]
name = "any"
match.class = "preview"
)";
  routing::Site site = RoutingSite();
  EXPECT_EQ(RouteOf(LoadedRoutes(text, site), {kPreview, "/preview"}), "any");
  site.settings.zone = 1;
  EXPECT_EQ(RouteOf(LoadedRoutes(text, site), {kPreview, "/preview"}), "south");
  // Hidden in every zone in which it applies, though not in all zones.
  const LoadedRoutes hidden(
      "version = 1\n[[route]]\nname = \"a\"\nmatch.zone = \"south\"\n[[route]]\nname = \"b\"\n"
      "match = { zone = \"south\", tenant = \"acme\" }\n");
  ASSERT_FALSE(hidden.diagnostics.ok());
  EXPECT_EQ(hidden.diagnostics.messages().begin()->rule, "hidden");
}

TEST(RouteTable, MethodsSelectTheClassesThatUseThem) {
  const LoadedRoutes built(
      "version = 1\n[[route]]\nname = \"posts\"\nmatch.method = \"POST\"\n[[route]]\nname = \"gets\"\n");
  ASSERT_NE(built.routes, nullptr) << built.Said();
  EXPECT_EQ(RouteOf(built, {kCertify, "/certify"}), "posts");
  EXPECT_EQ(RouteOf(built, {kPreview, "/preview"}), "gets");
}

TEST(RouteTable, LimitsAreInheritedFromTheClassThenTheDefaults) {
  const LoadedRoutes built(R"(version = 1
[defaults]
max_attempts = 2
max_in_flight = 50
[class.preview]
max_attempts = 3
[[route]]
name = "r"
match.class = ["preview", "certify"]
max_in_flight = 5
[[route]]
name = "plain"
match.class = "convert"
)");
  ASSERT_NE(built.routes, nullptr) << built.Said();
  const auto limits = [&](const TestRequest& request) { return *built.routes->Find(request).limits; };
  EXPECT_EQ(limits({kPreview, "/preview"})->max_attempts, 3);
  EXPECT_EQ(limits({kCertify, "/certify"})->max_attempts, 2);
  EXPECT_EQ(limits({kPreview, "/preview"})->max_in_flight, 5);
  EXPECT_EQ(limits({kConvert, "/convert"})->max_in_flight, 50);
  EXPECT_EQ(limits({kStamp, "/stamp"})->max_attempts, 2);
  // Counted together: by the route whatever the class, and by the class where no route matches.
  EXPECT_EQ(limits({kPreview, "/preview"})->route, limits({kCertify, "/certify"})->route);
  EXPECT_NE(limits({kStamp, "/stamp"})->route, limits({kConvert, "/convert"})->route);
}

TEST(RouteTable, NoLimitsUnlessConfigured) {
  const LoadedRoutes built("version = 1\n[[route]]\nname = \"r\"\nmatch.class = \"preview\"\n");
  EXPECT_EQ(*built.routes->Find(TestRequest{kPreview, "/preview"}).limits, nullptr);
  EXPECT_EQ(*built.routes->Find(TestRequest{kCertify, "/certify"}).limits, nullptr);
}

TEST(RouteTable, IdsSurviveAReload) {
  const std::string route = "[[route]]\nname = \"r\"\nmatch.class = \"preview\"\nmax_in_flight = 3\n";
  const LoadedRoutes before("version = 1\n" + route);
  const LoadedRoutes after("version = 1\n[[route]]\nname = \"new\"\nmatch.tenant = \"acme\"\n" + route);
  EXPECT_EQ((*before.routes->Find(TestRequest{kPreview, "/preview"}).limits)->route,
            (*after.routes->Find(TestRequest{kPreview, "/preview"}).limits)->route);
}

// ---- the index against a linear scan ------------------------------------------------------------------
const std::vector<std::string> kClasses{"preview", "convert", "certify", "stamp"};
const std::vector<std::string> kTenants{"acme", "noble"};

template <typename T>
bool Has(const routing::Maybe<routing::Names>& names, const T& value) {
  return !names || std::any_of(names->value.begin(), names->value.end(),
                               [&](const auto& name) { return name.value == value; });
}

// Reference implementation: scans the routes in order, for a proxy in zone 0.
std::string LinearScan(const routing::Spec& spec, const TestRequest& request) {
  const std::string class_name = kClasses[static_cast<std::size_t>(request.class_index)];
  const std::string tenant =
      request.tenant_index < 0 ? "" : kTenants[static_cast<std::size_t>(request.tenant_index)];
  const std::string path = request.path.substr(0, request.path.find('?'));
  for (const auto& route : spec.routes) {
    const auto& match = route.match;
    if (!Has(match.classes, class_name) || !Has(match.tenants, tenant) || !Has(match.zones, "north"))
      continue;
    if (!Has(match.methods, class_name == "preview" ? "GET" : "POST")) continue;
    if (match.path_prefix) {
      const std::string& prefix = match.path_prefix->value;
      if (path != prefix && !path.starts_with(prefix + "/")) continue;
    }
    const bool headers = std::all_of(match.headers.begin(), match.headers.end(), [&](const auto& header) {
      const auto found = request.headers.find(header.first.value);
      return found != request.headers.end() && found->second == header.second.value;
    });
    if (headers) return route.name.value;
  }
  return "-";
}

std::string RandomNames(const std::vector<std::string>& names) {
  std::string list;
  for (const auto& name : names) {
    if (*rc::gen::arbitrary<bool>()) list += (list.empty() ? "\"" : ", \"") + name + "\"";
  }
  return list.empty() ? "\"" + names[0] + "\"" : list;
}

std::string RandomPath(const std::string& class_name) {
  std::string path = "/" + class_name;
  for (int depth = *rc::gen::inRange(0, 3); depth > 0; --depth)
    path += "/" + std::string(1, *rc::gen::element('a', 'b'));
  return path;
}

std::string RandomMatch() {
  std::string match;
  if (*rc::gen::inRange(0, 2)) match += "match.class = [" + RandomNames(kClasses) + "]\n";
  if (*rc::gen::inRange(0, 2)) match += "match.tenant = [" + RandomNames(kTenants) + "]\n";
  if (*rc::gen::inRange(0, 4) == 0) match += "match.zone = [" + RandomNames({"north", "south"}) + "]\n";
  if (*rc::gen::inRange(0, 4) == 0) match += "match.method = [" + RandomNames({"GET", "POST"}) + "]\n";
  if (*rc::gen::inRange(0, 2))
    match += "match.path_prefix = \"" + RandomPath(*rc::gen::elementOf(kClasses)) + "\"\n";
  for (const char* name : {"x", "y"}) {
    if (*rc::gen::inRange(0, 3) == 0)
      match += std::string("match.header.") + name + " = \"" + *rc::gen::element('0', '1') + "\"\n";
  }
  return match;
}

RC_GTEST_PROP(RouteTableProperty, AgreesWithALinearScanAndRejectsOnlyUnreachableRoutes, ()) {
  std::vector<std::string> routes;
  for (int i = *rc::gen::inRange(1, 25); i > 0; --i)
    routes.push_back("[[route]]\nname = \"r" + std::to_string(i) + "\"\n" + RandomMatch());
  // Routes that are refused for being hidden, or for never matching, are left out; the rest must be accepted.
  std::string text = "version = 1\n";
  std::vector<std::string> hidden;
  for (const std::string& route : routes) {
    const LoadedRoutes with(text + route);
    if (with.diagnostics.ok()) {
      text += route;
      continue;
    }
    const auto& message = *with.diagnostics.messages().begin();
    RC_ASSERT(message.rule == "hidden" || message.rule == "never");
    if (message.rule == "hidden") hidden.push_back(route);
  }
  const LoadedRoutes built(text);
  RC_ASSERT(built.routes != nullptr);
  for (int i = 0; i < 100; ++i) {
    TestRequest request;
    request.class_index = *rc::gen::inRange(0, 4);
    request.tenant_index = *rc::gen::inRange(-1, 2);
    request.path = RandomPath(kClasses[static_cast<std::size_t>(request.class_index)]);
    for (const char* name : {"x", "y"}) {
      if (*rc::gen::inRange(0, 2)) request.headers[name] = std::string(1, *rc::gen::element('0', '1'));
    }
    const std::string found = RouteOf(built, request);
    RC_ASSERT(found == LinearScan(built.spec, request));
    // A route that was rejected as hidden matches no request that is not matched already.
    for (const std::string& route : hidden) {
      const LoadedRoutes alone("version = 1\n" + route);
      RC_ASSERT(alone.diagnostics.ok());
      if (RouteOf(alone, request) != "-") RC_ASSERT(found != "-");
    }
  }
}

// ---- documentation -------------------------------------------------------------------------------------
TEST(OperatorFilePage, NamesEveryKeyAndEveryKeyIsDescribed) {
  std::ifstream file(SOURCE_PATH "/docs/operating/operator-file.md");
  const std::string page{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  ASSERT_FALSE(page.empty());
  for (const auto& table : routing::DescribedTables()) {
    for (const auto& key : table.keys) {
      EXPECT_NE(page.find("`" + std::string(key.name) + "`"), std::string::npos) << key.name;
      EXPECT_GT(key.doc.size(), 10u) << key.name;
    }
  }
}

// ---- bounds -------------------------------------------------------------------------------------------
TEST(RouteTable, TenThousandRoutesTakeOneProbe) {
  std::string text = "version = 1\n";
  for (int i = 0; i < 10000; ++i)
    text += "[[route]]\nname = \"r" + std::to_string(i) + "\"\nmatch.path_prefix = \"/certify/" +
            std::to_string(i) + "\"\n";
  const LoadedRoutes built(text);
  ASSERT_NE(built.routes, nullptr) << built.Said();
  EXPECT_EQ(built.routes->combinations(), 1u);
  EXPECT_EQ(RouteOf(built, {kCertify, "/certify/9999/x"}), "r9999");
  EXPECT_EQ(RouteOf(built, {kCertify, "/certify/10000"}), "-");
}

TEST(RouteTable, BoundsOnRoutesHeadersAndCombinations) {
  std::string many = "version = 1\n", headers = many, shapes = many;
  for (std::size_t i = 0; i <= routing::kMaxRoutes; ++i)
    many += "[[route]]\nname = \"r" + std::to_string(i) + "\"\n";
  const LoadedRoutes too_many_routes(many);
  ASSERT_FALSE(too_many_routes.diagnostics.ok());
  EXPECT_EQ(too_many_routes.diagnostics.messages().begin()->rule, "bound");
  for (std::size_t i = 0; i <= routing::kMaxHeaderNames; ++i)
    headers +=
        "[[route]]\nname = \"r" + std::to_string(i) + "\"\nmatch.header.h" + std::to_string(i) + " = \"x\"\n";
  const LoadedRoutes too_many_headers(headers);
  ASSERT_FALSE(too_many_headers.diagnostics.ok());
  EXPECT_EQ(too_many_headers.diagnostics.messages().begin()->rule, "bound");
  for (int i = 0; i < 40; ++i) {
    shapes += "[[route]]\nname = \"r" + std::to_string(i) + "\"\n";
    for (int bit = 0; bit < 6; ++bit) {
      if ((i + 1) >> bit & 1)
        shapes += "match.header.h" + std::to_string(bit) + " = \"" + std::to_string(i) + "\"\n";
    }
  }
  const LoadedRoutes too_many_shapes(shapes);
  ASSERT_FALSE(too_many_shapes.diagnostics.ok());
  EXPECT_EQ(too_many_shapes.diagnostics.messages().begin()->rule, "bound");
}

}  // namespace
}  // namespace kestrelline::testing

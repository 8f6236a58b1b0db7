// SPDX-License-Identifier: Apache-2.0
//
// Applies patches to configurations, rejects invalid ones, and computes the patch between two configurations.
#include "configuration/patch.h"

#include <gtest/gtest.h>

#include <fstream>
#include <random>
#include <set>

namespace kestrelline::configuration {
namespace {

std::string Route(const std::string& name, const std::string& prefix, const std::string& service = "s",
                  int timeout_ms = 1000) {
  return R"({"name":")" + name + R"(","host":"h","path_prefix":"/)" + prefix +
         R"(/","type":"safe","timeout_ms":)" + std::to_string(timeout_ms) + R"(,"cluster":")" + service +
         R"(","max_attempts":2})";
}
std::string ConfigurationText(int version, const std::string& routes,
                              const std::string& services = R"({"name":"s"})") {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" +
         services + R"(],"limits":{"max_body_bytes":9}})";
}
PatchedText Patched(const std::string& base, const std::string& patch) {
  const Patch::Result parsed = Patch::Parse(patch);
  if (!parsed.patch) return {"", parsed.error};
  return parsed.patch->ApplyTo(base);
}
std::string ErrorOf(const std::string& patch) {
  return Patched(ConfigurationText(1, Route("a", "a")), patch).error;
}

TEST(Patch, AddsReplacesAndRemovesByName) {
  const std::string base = ConfigurationText(1, Route("a", "a") + "," + Route("b", "b"));
  const PatchedText next = Patched(
      base, R"({"version":4,"upsert":{"routes":[)" + Route("b", "bb", "t", 7) + "," + Route("c", "c") +
                R"(],"services":[{"name":"t"}]},"remove":{"routes":["a","never"]}})");
  ASSERT_EQ(next.error, "");
  const auto parsed_next = Parse(next.text).configuration;
  ASSERT_TRUE(parsed_next);
  EXPECT_EQ(parsed_next->version, 4u);
  ASSERT_EQ(parsed_next->routes.size(), 2u);
  EXPECT_EQ(parsed_next->routes[0].name, "b");
  EXPECT_EQ(parsed_next->routes[0].path_prefix, "/bb/");
  EXPECT_EQ(parsed_next->routes[0].timeout.count(), 7);
  EXPECT_EQ(parsed_next->routes[1].name, "c");
  EXPECT_EQ(parsed_next->services.size(), 2u);
  EXPECT_EQ(parsed_next->limits.max_body_bytes, 9u);
}

TEST(Patch, AnItemThatIsRemovedAndAddedIsReplaced) {
  const PatchedText next =
      Patched(ConfigurationText(1, Route("a", "a")),
              R"({"version":2,"upsert":{"routes":[)" + Route("a", "z") + R"(]},"remove":{"routes":["a"]}})");
  EXPECT_EQ(Parse(next.text).configuration->routes.at(0).path_prefix, "/z/");
}

TEST(Patch, ErrorsNameTheFault) {
  EXPECT_NE(ErrorOf("{\"version\":2,").find("line 1"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"upsert":{}})").find("version"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":0})").find("version"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"limits":{}})").find("limits"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"upsert":[]})").find("upsert"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"upsert":{"routes":{}}})").find("upsert.routes"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"upsert":{"routes":[{}]}})").find("upsert.routes[0]"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"remove":{"routes":[7]}})").find("remove.routes[0]"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"remove":{"limits":["x"]}})").find("limits"), std::string::npos);
  const std::string twice = R"({"version":2,"upsert":{"routes":[)" + Route("x", "x") + "," + Route("x", "y");
  EXPECT_NE(ErrorOf(twice + "]}}").find("upsert.routes names an item twice: x"), std::string::npos);
}

TEST(Patch, AcceptsTheExampleInTheOperatorDocumentation) {
  std::ifstream page(SOURCE_PATH "/docs/operating/edge-only.md");
  std::string line;
  std::string example;
  while (std::getline(page, line)) {
    if (line.starts_with("    {\"version\"")) example = line;
  }
  const PatchedText next =
      Patched(ConfigurationText(7, Route("r-old", "old") + "," + Route("r", "r")), example);
  ASSERT_EQ(next.error, "");
  const auto parsed_next = Parse(next.text).configuration;
  EXPECT_EQ(parsed_next->version, 9u);
  ASSERT_EQ(parsed_next->routes.size(), 2u);
  EXPECT_EQ(parsed_next->routes[1].name, "r-new");
}

// The resulting configuration is validated like one that is sent as a whole.
TEST(Patch, RejectsPatchesWithAnInvalidResult) {
  EXPECT_NE(ErrorOf(R"({"version":2,"remove":{"services":["s"]}})").find("unknown service s"),
            std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"upsert":{"routes":[)" + Route("b", "a") + "]}}").find("h/a/"),
            std::string::npos);
  EXPECT_NE(ErrorOf(R"({"version":2,"upsert":{"routes":[)" + Route("b", "b", "s", 0) + "]}}").find("timeout"),
            std::string::npos);
  EXPECT_NE(Patched("", R"({"version":2})").error, "");
}

std::set<std::string> RoutesOf(const Configuration& configuration) {
  std::set<std::string> routes;
  for (const auto& route : configuration.routes) {
    routes.insert(route.name + route.path_prefix + route.services.at(0).service +
                  std::to_string(route.timeout.count()));
  }
  return routes;
}

TEST(Patch, PatchBetweenTwoConfigurationsTurnsOneIntoTheOther) {
  std::mt19937 random(1);
  const auto random_configuration = [&random](int version) {
    std::string routes;
    for (int i = 0; i < 12; ++i) {
      if (random() % 3 == 0) continue;
      if (!routes.empty()) routes += ',';
      const std::string path = "p" + std::to_string(i);
      routes +=
          Route("r" + std::to_string(i), path, random() % 2 ? "s" : "t", 1 + static_cast<int>(random() % 3));
    }
    return ConfigurationText(version, routes, R"({"name":"s"},{"name":"t"})");
  };
  for (int round = 0; round < 200; ++round) {
    const std::string from = random_configuration(1);
    const std::string to = random_configuration(2);
    const auto patch = PatchBetween(from, to);
    ASSERT_TRUE(patch);
    const Patch::Result parsed = Patch::Parse(*patch);
    ASSERT_TRUE(parsed.patch) << parsed.error;
    const auto expected = Parse(to).configuration;
    const auto typed = parsed.patch->ApplyTo(*Parse(from).configuration);
    ASSERT_TRUE(typed.configuration) << typed.error;
    EXPECT_EQ(typed.configuration->version, 2u);
    EXPECT_EQ(RoutesOf(*typed.configuration), RoutesOf(*expected));
    EXPECT_EQ(RoutesOf(*Parse(parsed.patch->ApplyTo(from).text).configuration), RoutesOf(*expected));
  }
}

TEST(Patch, NoPatchBetweenConfigurationsThatDifferInMoreThanNamedItems) {
  const std::string base = ConfigurationText(1, Route("a", "a"));
  std::string limits = ConfigurationText(2, Route("a", "a"));
  limits.replace(limits.find(":9}"), 2, ":8");
  EXPECT_FALSE(PatchBetween(base, limits));
  EXPECT_FALSE(PatchBetween(base, ConfigurationText(2, Route("a", "a") + "," + Route("a", "b"))));
  EXPECT_FALSE(PatchBetween(base, "no JSON"));
  EXPECT_TRUE(PatchBetween(base, ConfigurationText(2, Route("a", "a"))));
}

}  // namespace
}  // namespace kestrelline::configuration

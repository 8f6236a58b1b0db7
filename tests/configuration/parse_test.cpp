// SPDX-License-Identifier: Apache-2.0
//
// Parses complete configurations, rejects invalid ones with a message that names the fault, and looks up
// routes.
#include <gtest/gtest.h>

#include <string>

#include "configuration/configuration.h"
#include "configuration/route_table.h"

namespace kestrelline::configuration {
namespace {

const std::string kService = R"({"name":"s","health_path":"/h","max_connections":7})";
const std::string kRoute =
    R"({"name":"r","host":"A.example","path_prefix":"/p/","type":"safe","timeout_ms":900,"cluster":"s","max_attempts":2})";

std::string ConfigurationText(const std::string& routes, const std::string& services = kService,
                              const std::string& version = "4") {
  return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "]}";
}
std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}
std::string ErrorOf(const std::string& text) {
  const ParseResult result = Parse(text);
  EXPECT_EQ(result.configuration, nullptr) << text;
  return result.error;
}

TEST(ParseConfiguration, ReadsRoutesServicesAndLimits) {
  const std::string text =
      R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","type":"streaming","timeout_ms":8000,
      "target_latency_ms":500,"priority":1,"weighted_clusters":[{"cluster":"s","weight":90},{"cluster":"t","weight":10}],
      "max_attempts":1,"session_affinity":true,"resumable":true,"gap_aim_ms":300}],
      "services":[{"name":"s","max_connections":630,"engine":{"slots":128,"kv_cache_tokens":10,"link_mbps":1.5,
      "handle_ttl_s":5.0,"switch_s":2.6}},{"name":"t"}],
      "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400}})";
  const ParseResult result = Parse(text);
  ASSERT_TRUE(result.configuration) << result.error;
  const Configuration& configuration = *result.configuration;
  EXPECT_EQ(configuration.version, 7u);
  ASSERT_EQ(configuration.routes.size(), 1u);
  const Route& route = configuration.routes[0];
  EXPECT_EQ(route.type, RouteType::kStreaming);
  EXPECT_TRUE(route.Idempotent());
  EXPECT_EQ(route.services.size(), 2u);
  EXPECT_EQ(route.gap_aim, Milliseconds(300));
  ASSERT_NE(configuration.FindService("s"), nullptr);
  ASSERT_TRUE(configuration.FindService("s")->engine);
  EXPECT_EQ(configuration.FindService("s")->engine->slots, 128);
  EXPECT_FALSE(configuration.FindService("t")->engine);
  EXPECT_EQ(configuration.limits.max_body_bytes, 200u);
  EXPECT_EQ(configuration.limits.idle_timeout, Milliseconds(400));
}

TEST(ParseConfiguration, RejectsInvalidConfigurationsWithAReason) {
  ASSERT_TRUE(Parse(ConfigurationText(kRoute)).configuration);
  EXPECT_NE(ErrorOf(ConfigurationText(kRoute).substr(0, 60)), "");
  EXPECT_NE(ErrorOf(ConfigurationText(kRoute) + "x"), "");
  EXPECT_NE(ErrorOf(ConfigurationText(Replaced(kRoute, "\"cluster\":\"s\"", "\"cluster\":\"other\"")))
                .find("unknown service"),
            std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(kRoute + "," + kRoute)).find("two routes"), std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(kRoute + "," + Replaced(kRoute, "A.example", "a.EXAMPLE")))
                .find("two routes"),
            std::string::npos);
  const std::string weights = R"("weighted_clusters":[{"cluster":"s","weight":0}])";
  EXPECT_NE(ErrorOf(ConfigurationText(Replaced(kRoute, "\"cluster\":\"s\"", weights))).find("weights"),
            std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(Replaced(kRoute, "900", "0"))).find("timeout_ms"), std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(Replaced(kRoute, "\"timeout_ms\":900,", ""))).find("timeout_ms"),
            std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(Replaced(kRoute, "\"safe\"", "\"unknown\""))).find("type"),
            std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(Replaced(kRoute, "/p/", "/p"))).find("path_prefix"), std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(kRoute, kService, "0")).find("version"), std::string::npos);
  EXPECT_NE(ErrorOf(ConfigurationText(kRoute, kService, "\"four\"")).find("version"), std::string::npos);
  EXPECT_NE(ErrorOf("[]"), "");
  EXPECT_NE(ErrorOf(""), "");
}

TEST(RouteTable, LongestMatchingPrefixOfTheHostApplies) {
  const std::string routes = kRoute + "," + Replaced(Replaced(kRoute, "/p/", "/p/q/"), "\"r\"", "\"longer\"");
  const RouteTable table(Parse(ConfigurationText(routes)).configuration);
  ASSERT_NE(table.Find("a.example", "/p/q/x"), nullptr);
  EXPECT_EQ(table.Find("a.example", "/p/q/x")->name, "longer");
  EXPECT_EQ(table.Find("A.EXAMPLE:8080", "/p/x?y=/p/q/")->name, "r");
  EXPECT_EQ(table.Find("a.example", "/p"), nullptr);
  EXPECT_EQ(table.Find("b.example", "/p/x"), nullptr);
}

TEST(RouteTable, ChoosesServicesByWeight) {
  Route route;
  route.services = {{"a", 0}, {"b", 1}, {"c", 3}};
  EXPECT_EQ(RouteTable::Choose(route, 0).service, "b");
  EXPECT_EQ(RouteTable::Choose(route, 0.24).service, "b");
  EXPECT_EQ(RouteTable::Choose(route, 0.26).service, "c");
  EXPECT_EQ(RouteTable::Choose(route, 1).service, "c");
}

}  // namespace
}  // namespace kestrelline::configuration

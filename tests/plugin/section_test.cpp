// SPDX-License-Identifier: Apache-2.0
//
// [[plugin]] in the operator's file: what is refused, by which line and rule, and what comes of what is not.
#include "plugin/section.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

#include "support/plugin_file.h"

namespace kestrelline::plugin {
namespace {

// Every script is there but none.lua.
struct Read : testing::PluginFile {
  explicit Read(const std::string& text)
      : PluginFile(
            text,
            [](const std::string& file, std::string* why) -> std::optional<std::string> {
              if (file != "none.lua") return "return { file = '" + file + "' }";
              *why = "no such file";
              return std::nullopt;
            },
            192) {}
};

std::string Plugin1(const std::string& rest, const std::string& name = "a") {
  return "[[plugin]]\nname = \"" + name + "\"\nfile = \"a.lua\"\n" + rest;
}

struct Refused {
  const char* name;
  std::string text;
  unsigned line;
  std::string rule, part;
};
void PrintTo(const Refused& refused, std::ostream* out) { *out << refused.name; }

const std::vector<Refused>& Table() {
  static const std::vector<Refused> table{
      {"PassWhereATagWouldNarrow",
       Plugin1("sets = \"class\"\nclasses = [\"certify\"]\non_failure = \"pass\"\n"), 7, "plugin-effect",
       "a request of 'convert' that passes without its tag 'certify' might run twice"},
      {"PassOfOneClassWhereATagWouldNarrow",
       Plugin1("sets = \"class\"\nclasses = [\"certify\"]\n[plugin.on_failure_of]\npreview = \"pass\"\n"), 8,
       "plugin-effect", "'preview'"},
      {"AClassThatOnlyWidens", Plugin1("sets = \"class\"\nclasses = [\"preview\"]\n"), 6, "plugin-class",
       "no request may be made one of 'preview'"},
      {"ClassWithoutClasses", Plugin1("sets = [\"class\", \"key\"]\n"), 5, "plugin-class", "classes = [...]"},
      {"ClassesWithoutClass", Plugin1("sets = \"key\"\nclasses = [\"certify\"]\n"), 5, "plugin-class",
       "not among"},
      {"AClassOfNone", Plugin1("sets = \"class\"\nclasses = [\"certifi\"]\n"), 6, "unknown-class",
       "did you mean 'certify'?"},
      {"ATagOfNone", Plugin1("sets = \"klass\"\n"), 5, "plugin-tag", "did you mean 'class'?"},
      {"NothingToSet", Plugin1("sets = []\n"), 5, "empty", "nothing"},
      {"NoTags", Plugin1(""), 2, "missing", "sets"},
      {"LongerThanAnyMay", Plugin1("sets = \"key\"\nwall = \"6ms\"\n"), 6, "plugin-wall",
       "0.5ms to 5ms is accepted"},
      {"ARouteOfNone", Plugin1("sets = \"key\"\nroutes = [\"r2\"]\n[[route]]\nname = \"r1\"\n"), 6,
       "unknown-route", "did you mean 'r1'?"},
      {"NoRoutes", Plugin1("sets = \"key\"\nroutes = []\n"), 6, "empty", "leave it out"},
      {"AWayToFailOfNone", Plugin1("sets = \"key\"\non_failure = \"retry\"\n"), 6, "plugin-failure",
       "pass and refuse"},
      {"TwiceTheName", Plugin1("sets = \"key\"\n") + Plugin1("sets = \"key\"\n"), 6, "duplicate", "twice"},
      {"NoFile", "[[plugin]]\nname = \"a\"\nfile = \"none.lua\"\nsets = \"key\"\n", 4, "plugin-file",
       "no such file"},
      {"TooMuchMemory", Plugin1("sets = \"key\"\nmemory_kb = 65536\n"), 2, "plugin-memory", "134 MB"},
      {"TooLittleFuel", Plugin1("sets = \"key\"\nfuel = 10\n"), 6, "range", "1000"},
      {"TooManyFaults", Plugin1("sets = \"key\"\nfaults = 1000\n"), 6, "range", "100"},
      {"APauseThatShrinks", Plugin1("sets = \"key\"\nretry_first = \"5s\"\nretry_most = \"1s\"\n"), 7,
       "range", "under retry_first"},
  };
  return table;
}

class RefusedPlugin : public ::testing::TestWithParam<Refused> {};
INSTANTIATE_TEST_SUITE_P(Files, RefusedPlugin, ::testing::ValuesIn(Table()),
                         [](const auto& info) { return info.param.name; });

TEST_P(RefusedPlugin, IsRefusedByItsLineAndRule) {
  const Read read(GetParam().text);
  EXPECT_EQ(read.built, nullptr);
  bool found = false;
  for (const auto& m : read.diagnostics.messages())
    found |= m.at.line == GetParam().line && m.rule == GetParam().rule &&
             m.text.find(GetParam().part) != std::string::npos;
  EXPECT_TRUE(found) << read.Said();
}

TEST(PluginSection, MoreThanMayBeAreRefused) {
  std::string text;
  for (int i = 0; i < 9; ++i) text += Plugin1("sets = \"key\"\nmemory_kb = 256\n", "p" + std::to_string(i));
  const Read read(text);
  EXPECT_EQ(read.built, nullptr);
  EXPECT_NE(read.Said().find("9 plug-ins; 8 are accepted"), std::string::npos) << read.Said();
}

TEST(PluginSection, AnAcceptedFileIsResolved) {
  const Read read(
      Plugin1("sets = [\"class\", \"key\"]\nclasses = [\"certify\"]\nroutes = [\"r\"]\nwall = \"2ms\"\n") +
      Plugin1("sets = \"cost\"\non_failure = \"refuse\"\n[plugin.on_failure_of]\npreview = \"pass\"\n", "b") +
      "[[route]]\nname = \"r\"\nmatch.class = \"convert\"\n[[route]]\nname = \"s\"\nmatch.tag = \"night\"\n");
  ASSERT_TRUE(read.built) << read.Said();
  const auto& plugins = read.built->plugins();
  ASSERT_EQ(plugins.size(), 2u);
  EXPECT_EQ(plugins[0].grants.classes, std::vector<int>{testing::kCertify});
  EXPECT_TRUE(plugins[0].grants.key && !plugins[0].grants.cost);
  EXPECT_EQ(plugins[0].supervision.budgets.wall, Duration(2));
  EXPECT_FALSE(plugins[1].grants.refuse_on_failure[testing::kPreview]);
  EXPECT_TRUE(plugins[1].grants.refuse_on_failure[testing::kCertify]);
  EXPECT_EQ(read.built->Of(0), (std::vector<std::uint32_t>{0, 1}));
  EXPECT_EQ(read.built->Of(1), std::vector<std::uint32_t>{1});
  EXPECT_EQ(read.built->Of(routing::RouteTable::kNone), std::vector<std::uint32_t>{1});
}

TEST(PluginSection, ThePageNamesEveryKey) {
  std::ifstream file(SOURCE_PATH "/docs/operating/plugins.md");
  const std::string page{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  for (const auto& table : DescribedPluginTables()) {
    for (const auto& key : table.keys)
      EXPECT_NE(page.find("`" + std::string(key.name) + "`"), std::string::npos) << key.name;
  }
}

TEST(PluginSection, ARouteOfATagTakesTaggedRequestsOnly) {
  struct Tagged : testing::TestRequest {
    std::string tag;
    std::string_view Header(std::string_view name) const override {
      if (name == routing::kTagHeader && !tag.empty()) return tag;
      return TestRequest::Header(name);
    }
  };
  const testing::LoadedRoutes built(
      "version = 1\n[[route]]\nname = \"night\"\nmatch.tag = \"night\"\nmax_attempts = 1\n");
  ASSERT_TRUE(built.routes) << built.Said();
  Tagged ask;
  EXPECT_EQ(testing::RouteOf(built, ask), "-");
  ask.tag = "day";
  const auto route = [&] { return built.routes->Find(ask).route; };
  EXPECT_EQ(route(), routing::RouteTable::kNone);
  ask.tag = "night";
  EXPECT_EQ(route(), 0u);
}

}  // namespace
}  // namespace kestrelline::plugin

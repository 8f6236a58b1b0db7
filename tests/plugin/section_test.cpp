// SPDX-License-Identifier: Apache-2.0
//
// The [[plugin]] sections of the operator's file: line and rule of each error, and the result of a valid
// file.
#include "plugin/section.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

#include "support/plugin_file.h"

namespace kestrelline::plugin {
namespace {

// A parsed file, for which every script exists except none.lua.
struct ParsedFile : testing::PluginFile {
  explicit ParsedFile(const std::string& text)
      : PluginFile(
            text,
            [](const std::string& name, std::string* why) -> std::optional<std::string> {
              if (name != "none.lua") return "return { file = '" + name + "' }";
              *why = "no such file";
              return std::nullopt;
            },
            192) {}
};

std::string PluginText(const std::string& rest, const std::string& name = "a") {
  return "[[plugin]]\nname = \"" + name + "\"\nfile = \"a.lua\"\n" + rest;
}

struct InvalidFile {
  const char* name;
  std::string text;
  unsigned line;
  std::string rule, text_part;
};
void PrintTo(const InvalidFile& invalid, std::ostream* out) { *out << invalid.name; }

const std::vector<InvalidFile>& InvalidFiles() {
  static const std::vector<InvalidFile> files{
      {"PassWithAMoreRestrictiveClassTag",
       PluginText("sets = \"class\"\nclasses = [\"certify\"]\non_failure = \"pass\"\n"), 7, "plugin-effect",
       "a request of 'convert' that passes without its tag 'certify' might run twice"},
      {"PassForOneClassWithAMoreRestrictiveClassTag",
       PluginText("sets = \"class\"\nclasses = [\"certify\"]\n[plugin.on_failure_of]\npreview = \"pass\"\n"),
       8, "plugin-effect", "'preview'"},
      {"AClassThatIsNeverMoreRestrictive", PluginText("sets = \"class\"\nclasses = [\"preview\"]\n"), 6,
       "plugin-class", "no request may be made one of 'preview'"},
      {"ClassWithoutClasses", PluginText("sets = [\"class\", \"key\"]\n"), 5, "plugin-class",
       "classes = [...]"},
      {"ClassesWithoutClass", PluginText("sets = \"key\"\nclasses = [\"certify\"]\n"), 5, "plugin-class",
       "not among"},
      {"UnknownClass", PluginText("sets = \"class\"\nclasses = [\"certifi\"]\n"), 6, "unknown-class",
       "did you mean 'certify'?"},
      {"UnknownTag", PluginText("sets = \"klass\"\n"), 5, "plugin-tag", "did you mean 'class'?"},
      {"EmptySets", PluginText("sets = []\n"), 5, "empty", "nothing"},
      {"MissingSets", PluginText(""), 2, "missing", "sets"},
      {"WallTooLong", PluginText("sets = \"key\"\nwall = \"6ms\"\n"), 6, "plugin-wall",
       "0.5ms to 5ms is accepted"},
      {"UnknownRoute", PluginText("sets = \"key\"\nroutes = [\"r2\"]\n[[route]]\nname = \"r1\"\n"), 6,
       "unknown-route", "did you mean 'r1'?"},
      {"EmptyRoutes", PluginText("sets = \"key\"\nroutes = []\n"), 6, "empty", "leave it out"},
      {"UnknownFailureMode", PluginText("sets = \"key\"\non_failure = \"retry\"\n"), 6, "plugin-failure",
       "pass and refuse"},
      {"DuplicateName", PluginText("sets = \"key\"\n") + PluginText("sets = \"key\"\n"), 6, "duplicate",
       "twice"},
      {"MissingFile", "[[plugin]]\nname = \"a\"\nfile = \"none.lua\"\nsets = \"key\"\n", 4, "plugin-file",
       "no such file"},
      {"TooMuchMemory", PluginText("sets = \"key\"\nmemory_kb = 65536\n"), 2, "plugin-memory", "134 MB"},
      {"TooLittleFuel", PluginText("sets = \"key\"\nfuel = 10\n"), 6, "range", "1000"},
      {"TooManyFaults", PluginText("sets = \"key\"\nfaults = 1000\n"), 6, "range", "100"},
      {"RetryMostBelowRetryFirst", PluginText("sets = \"key\"\nretry_first = \"5s\"\nretry_most = \"1s\"\n"),
       7, "range", "under retry_first"},
  };
  return files;
}

class InvalidPlugin : public ::testing::TestWithParam<InvalidFile> {};
INSTANTIATE_TEST_SUITE_P(Files, InvalidPlugin, ::testing::ValuesIn(InvalidFiles()),
                         [](const auto& info) { return info.param.name; });

TEST_P(InvalidPlugin, IsRejectedWithItsLineAndRule) {
  const ParsedFile file(GetParam().text);
  EXPECT_EQ(file.built, nullptr);
  bool found = false;
  for (const auto& message : file.diagnostics.messages())
    found |= message.at.line == GetParam().line && message.rule == GetParam().rule &&
             message.text.find(GetParam().text_part) != std::string::npos;
  EXPECT_TRUE(found) << file.DiagnosticsText();
}

TEST(PluginSection, TooManyPluginsAreRejected) {
  std::string text;
  for (int i = 0; i < 9; ++i)
    text += PluginText("sets = \"key\"\nmemory_kb = 256\n", "p" + std::to_string(i));
  const ParsedFile file(text);
  EXPECT_EQ(file.built, nullptr);
  EXPECT_NE(file.DiagnosticsText().find("9 plug-ins; 8 are accepted"), std::string::npos)
      << file.DiagnosticsText();
}

TEST(PluginSection, NamesOfAValidFileAreResolved) {
  const ParsedFile file(
      PluginText("sets = [\"class\", \"key\"]\nclasses = [\"certify\"]\nroutes = [\"r\"]\nwall = \"2ms\"\n") +
      PluginText("sets = \"cost\"\non_failure = \"refuse\"\n[plugin.on_failure_of]\npreview = \"pass\"\n",
                 "b") +
      "[[route]]\nname = \"r\"\nmatch.class = \"convert\"\n[[route]]\nname = \"s\"\nmatch.tag = \"night\"\n");
  ASSERT_TRUE(file.built) << file.DiagnosticsText();
  const auto& plugins = file.built->plugins();
  ASSERT_EQ(plugins.size(), 2u);
  EXPECT_EQ(plugins[0].grants.classes, std::vector<int>{testing::kCertify});
  EXPECT_TRUE(plugins[0].grants.key && !plugins[0].grants.cost);
  EXPECT_EQ(plugins[0].supervision.budgets.wall, Duration(2));
  EXPECT_FALSE(plugins[1].grants.refuse_on_failure[testing::kPreview]);
  EXPECT_TRUE(plugins[1].grants.refuse_on_failure[testing::kCertify]);
  EXPECT_EQ(file.built->Of(0), (std::vector<std::uint32_t>{0, 1}));
  EXPECT_EQ(file.built->Of(1), std::vector<std::uint32_t>{1});
  EXPECT_EQ(file.built->Of(routing::RouteTable::kNone), std::vector<std::uint32_t>{1});
}

TEST(PluginSection, TheDocumentationNamesEveryKey) {
  std::ifstream stream(SOURCE_PATH "/docs/operating/plugins.md");
  const std::string page{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  for (const auto& table : DescribedPluginTables()) {
    for (const auto& key : table.keys)
      EXPECT_NE(page.find("`" + std::string(key.name) + "`"), std::string::npos) << key.name;
  }
}

TEST(PluginSection, ARouteWithATagMatchesTaggedRequestsOnly) {
  struct TaggedRequest : testing::TestRequest {
    std::string tag;
    std::string_view Header(std::string_view name) const override {
      if (name == routing::kTagHeader && !tag.empty()) return tag;
      return TestRequest::Header(name);
    }
  };
  const testing::LoadedRoutes built(
      "version = 1\n[[route]]\nname = \"night\"\nmatch.tag = \"night\"\nmax_attempts = 1\n");
  ASSERT_TRUE(built.routes) << built.Said();
  TaggedRequest request;
  EXPECT_EQ(testing::RouteOf(built, request), "-");
  request.tag = "day";
  const auto route = [&] { return built.routes->Find(request).route; };
  EXPECT_EQ(route(), routing::RouteTable::kNone);
  request.tag = "night";
  EXPECT_EQ(route(), 0u);
}

}  // namespace
}  // namespace kestrelline::plugin

// SPDX-License-Identifier: Apache-2.0
//
// Files that must be rejected, each with the expected line and rule of the diagnostic.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/routing_site.h"

namespace kestrelline::testing {
namespace {

struct RejectedFile {
  const char* name;
  std::string text;  // after the line `version = 1`
  unsigned line;     // of the whole file
  std::string rule;
  std::string part;  // part of the message
};

void PrintTo(const RejectedFile& file, std::ostream* out) { *out << file.name; }

std::string Route(const std::string& rest) { return "[[route]]\nname = \"r\"\n" + rest; }

const std::vector<RejectedFile>& RejectedFileTable() {
  static const std::vector<RejectedFile> table{
      // ---- rules of the platform -------------------------------------------------------------------------
      {"CopyOfAnUnsafeClass", Route("match.class = \"certify\"\nsecond_copy_after = \"100ms\"\n"), 5,
       "second-copy", "class certify, which must never run twice"},
      {"CopyOfAKeyedClass", "[class.convert]\nsecond_copy_after = \"100ms\"\n", 3, "second-copy", "keyed"},
      {"CopyForbiddenByThePlatform", "[class.preview]\nsecond_copy_after = \"100ms\"\n", 3, "second-copy",
       "parallelTries"},
      {"CopyInherited", "[defaults]\nsecond_copy_after = \"50ms\"\n", 3, "second-copy", "certify"},
      {"CopyByPathOfAnUnsafeClass",
       Route("second_copy_after = \"100ms\"\n[route.match]\npath_prefix = \"/certify/1\"\n"), 4,
       "second-copy", "certify"},
      {"AttemptsLongerThanTheDeadline",
       Route("match.class = \"certify\"\nmax_attempts = 3\nattempt_timeout = \"400ms\"\n"), 6, "deadline",
       "3 attempts of 400ms add up to 1.2s, but class certify's clients wait 1s; max_attempts = 2 is "
       "accepted"},
      {"PausesCount",
       Route("match.class = \"certify\"\nmax_attempts = 2\nattempt_timeout = \"480ms\"\npause = "
             "\"50ms\"\n"),
       7, "deadline", "1.01s"},
      {"AttemptsOfThePlatformCount", "[class.preview]\nattempt_timeout = \"600ms\"\n", 3, "deadline",
       "4 attempts (the platform's) of 600ms"},
      {"PausesAloneCount", "[class.certify]\nretry_on = [\"refused\"]\npause = \"400ms\"\n", 4, "deadline",
       "1.2s"},
      {"AttemptsLongerThanThePatience",
       Route("match.class = \"preview\"\npatience = \"500ms\"\nmax_attempts = 2\nattempt_timeout = "
             "\"300ms\"\n"),
       7, "deadline", "patience is 500ms"},
      {"PatienceOverTheDeadline", "[class.certify]\npatience = \"1.5s\"\n", 3, "deadline", "clients wait 1s"},
      {"OneAttemptOverTheDeadline", "[class.certify]\nattempt_timeout = \"2s\"\nmax_attempts = 1\n", 4,
       "deadline", "1 attempt of 2s"},
      {"InheritedTimeoutOverAShorterDeadline",
       "[defaults]\nmax_attempts = 2\nattempt_timeout = \"700ms\"\n[class.stamp]\nmax_attempts = 1\n", 4,
       "deadline", "certify"},
      {"UnknownAffinity", "[defaults]\naffinity = \"cookie\"\n", 3, "affinity",
       "affinity is 'cookie'; accepted are key and none"},
      {"ClaimOfTooManyAcknowledgements", "[defaults]\nclaim = \"wait 9\"\n", 3, "claim", "wait 1 to wait 8"},
      {"ClaimOfAClassWithoutKeys", "[class.preview]\nclaim = \"tell\"\n", 3, "claim", "has no keys"},
      {"LoadBoundTooLow", "[class.preview]\nload_bound = 1.0\n", 3, "range", "1.1"},
      {"MoreAttemptsThanThePlatformAllows", "[defaults]\nmax_attempts = 5\n", 3, "attempts", "4 at most"},
      {"MoreAttemptsThanThePlatformAllowsInARoute", Route("max_attempts = 200\n"), 4, "attempts", "200"},
      {"KeyedRepeatAfterTheWindow",
       Route("match.class = \"stamp\"\nmax_attempts = 3\nattempt_timeout = \"300ms\"\n"), 6, "window",
       "attempt 3 would begin 600ms after the first, but its group drops repeats for 500ms"},
      {"KeyedRepeatAfterTheWindowDueToPauses", "[class.stamp]\npause = \"200ms\"\n", 3, "window",
       "450ms is accepted"},
      {"UnsafeRepeatAfterATimeout", "[class.certify]\nretry_on = [\"refused\", \"timeout\"]\n", 3,
       "unsafe-repeat", "may have run; accepted are 'refused' and 'connect'"},
      {"UnsafeRepeatAfterAReset", Route("match.class = \"certify\"\nretry_on = \"reset\"\n"), 5,
       "unsafe-repeat", "'reset'"},
      {"UnsafeRepeatInherited", "[defaults]\nretry_on = [\"connect\",\n  \"error\"]\n", 4, "unsafe-repeat",
       "'error'"},
      {"BudgetSharesOverAHundredPercent",
       "[budget.a]\nshare = \"60%\"\n[budget.b]\nshare = \"50%\"\n[defaults]\nretry_budgets = [\"a\", "
       "\"b\"]\n",
       7, "budget-sum", "110 repeats for 100"},
      {"BudgetTwice", "[budget.a]\nshare = \"60%\"\n[defaults]\nretry_budgets = [\"a\", \"a\"]\n", 5,
       "duplicate", "named twice"},
      // ---- names -----------------------------------------------------------------------------------------
      {"UnknownClass", Route("match.class = \"certifi\"\n"), 4, "unknown-class", "did you mean 'certify'?"},
      {"UnknownClassOfLimits", "[class.copies]\nmax_attempts = 1\n", 2, "unknown-class", "preview, convert"},
      {"UnknownTenant", Route("match.tenant = [\"acme\", \"nobel\"]\n"), 4, "unknown-tenant",
       "did you mean 'noble'?"},
      {"UnknownZone", Route("match.zone = \"east\"\n"), 4, "unknown-zone", "'east'"},
      {"UnknownBudget", Route("retry_budgets = [\"mine\"]\n"), 4, "unknown-budget", "[budget.mine]"},
      {"UnknownKey", Route("atempt_timeout = \"100ms\"\n"), 4, "unknown-key",
       "did you mean 'attempt_timeout'?"},
      {"UnknownKeyOfAMatch", Route("match = { clas = \"preview\" }\n"), 4, "unknown-key",
       "did you mean 'class'?"},
      {"UnknownSection", "[retries]\nshare = \"1%\"\n", 2, "unknown-key", "accepted are version"},
      {"UnknownRetryCondition", "[defaults]\nretry_on = [\"conect\"]\n", 3, "retry-on",
       "did you mean 'connect'?"},
      {"SameNameTwice", Route("match.class = \"preview\"\n") + Route("match.class = \"convert\"\n"), 5,
       "duplicate", "line 2 already"},
      {"RouteWithoutAName", "[[route]]\nmatch.class = \"preview\"\n", 2, "missing", "'name'"},
      {"BudgetWithoutAShare", "[budget.a]\nwindow = \"5s\"\n", 2, "missing", "'share'"},
      // ---- routes that are never reached -----------------------------------------------------------------
      {"HiddenByARouteOfTheWholeClass",
       "[[route]]\nname = \"a\"\nmatch.class = \"preview\"\n[[route]]\nname = \"b\"\nmatch.path_prefix = "
       "\"/preview/1\"\n",
       5, "hidden", "route 'a' in line 2"},
      {"HiddenBySeveralTogether",
       "[[route]]\nname = \"a\"\nmatch.class = [\"preview\", \"convert\"]\n[[route]]\nname = "
       "\"b\"\nmatch.class = "
       "[\"certify\", \"stamp\"]\n[[route]]\nname = \"c\"\nmatch.tenant = \"acme\"\n",
       8, "hidden", "route 'c' is never reached"},
      {"HiddenByEqualConditions", Route("") + "[[route]]\nname = \"b\"\n", 4, "hidden",
       "put the narrower one first"},
      {"HiddenByAShorterPrefix",
       "[[route]]\nname = \"a\"\nmatch.path_prefix = \"/certify/1/\"\n[[route]]\nname = "
       "\"b\"\nmatch.path_prefix = "
       "\"/certify/1/2\"\nmatch.header = { X-Job = \"7\" }\n",
       5, "hidden", "'b'"},
      {"ClassAndPathDisagree", Route("match.class = \"preview\"\nmatch.path_prefix = \"/certify\"\n"), 5,
       "never", "of class certify"},
      {"PathOfNoClass", Route("match.path_prefix = \"/checkout\"\n"), 4, "never", "'/checkout'"},
      {"ClassAndMethodDisagree", Route("match.class = \"certify\"\nmatch.method = \"GET\"\n"), 5, "never",
       "GET is for"},
      {"EmptyList", Route("match.class = []\n"), 4, "empty", "matches nothing"},
      // ---- values ----------------------------------------------------------------------------------------
      {"DurationWithoutUnit", "[defaults]\npatience = \"250\"\n", 3, "duration", "has no unit"},
      {"DurationAsNumber", "[defaults]\npatience = 250\n", 3, "duration", "has no unit"},
      {"DurationNegative", "[defaults]\npatience = \"-250ms\"\n", 3, "duration", "is no duration"},
      {"DurationNan", "[defaults]\npatience = \"nans\"\n", 3, "duration", "is no duration"},
      {"DurationNanAsNumber", "[defaults]\npatience = nan\n", 3, "duration", "has no unit"},
      {"DurationOverflow", "[defaults]\npatience = \"99999999999999999999999999999h\"\n", 3, "duration",
       "duration"},
      {"DurationTooLong", "[defaults]\npatience = \"61m\"\n", 3, "duration", "1h at most"},
      {"DurationExponent", "[defaults]\npatience = \"1e3ms\"\n", 3, "duration", "is no duration"},
      {"DurationZero", "[defaults]\nattempt_timeout = \"0ms\"\n", 3, "duration", "over 0"},
      {"DurationWithABlank", "[defaults]\npatience = \"2 s\"\n", 3, "duration", "is no duration"},
      {"DurationTrue", "[defaults]\npatience = true\n", 3, "duration", "is true or false"},
      {"ShareOverAHundred", "[budget.a]\nshare = \"120%\"\n", 3, "share", "over 100%"},
      {"ShareWithoutPercentSign", "[budget.a]\nshare = 0.2\n", 3, "share", "\"20%\""},
      {"WindowTooShort", "[budget.a]\nshare = \"20%\"\nwindow = \"5ms\"\n", 4, "range", "100ms or more"},
      {"AttemptsZero", "[defaults]\nmax_attempts = 0\n", 3, "range", "1 to 255"},
      {"AttemptsHuge", "[defaults]\nmax_attempts = 9223372036854775807\n", 3, "range", "1 to 255"},
      {"AttemptsAsText", "[defaults]\nmax_attempts = \"3\"\n", 3, "type", "a whole number is accepted"},
      {"InFlightNegative", "[defaults]\nmax_in_flight = -1\n", 3, "range", "1 to 100000"},
      {"PathWithoutSlash", Route("match.path_prefix = \"preview\"\n"), 4, "path", "begins with '/'"},
      {"PathWithQuery", Route("match.path_prefix = \"/preview?x=1\"\n"), 4, "path", "'?'"},
      {"PathTooDeep", Route("match.path_prefix = \"/preview/1/2/3/4/5/6/7/8/9/0/1/2/3/4/5/6\"\n"), 4, "bound",
       "17 segments"},
      {"UnknownMethod", Route("match.method = \"PUT\"\n"), 4, "method", "GET and POST"},
      {"InvalidHeaderName", Route("match.header = { \"a b\" = \"x\" }\n"), 4, "header",
       "is not a header name"},
      {"HeaderTwice", Route("match.header = { X-Job = \"a\", x-job = \"b\" }\n"), 4, "duplicate", "case"},
      {"HeaderValueThatIsANumber", Route("match.header = { X-Job = 5 }\n"), 4, "type", "a text is accepted"},
      {"ClassesThatAreNotAllTexts", Route("match.class = [\"preview\", 3]\n"), 4, "type", "a whole number"},
      {"RouteAsTable", "[route]\nname = \"r\"\n", 2, "type", "[[route]]"},
      // ---- the grammar -----------------------------------------------------------------------------------
      {"InvalidToml", "[[route]\n", 2, "syntax", "is no TOML"},
      {"KeyTwice", "[defaults]\npause = \"1ms\"\npause = \"2ms\"\n", 4, "syntax", "is no TOML"},
      {"InvalidUtf8", "[defaults]\n# \xc3\x28\n", 3, "syntax", "is no TOML"},
      {"NulByte", std::string("[defaults]\n#\0\n", 14), 3, "syntax", "is no TOML"},
  };
  return table;
}

class RejectedFiles : public ::testing::TestWithParam<RejectedFile> {};

TEST_P(RejectedFiles, NamesTheLineAndTheRule) {
  const RejectedFile& expected = GetParam();
  const LoadedRoutes built("version = 1\n" + expected.text);
  EXPECT_EQ(built.routes, nullptr);
  ASSERT_FALSE(built.diagnostics.ok());
  for (const auto& message : built.diagnostics.messages()) {
    EXPECT_EQ(message.at.line, expected.line) << built.Said();
    EXPECT_EQ(message.rule, expected.rule) << built.Said();
  }
  EXPECT_NE(built.Said().find(expected.part), std::string::npos) << built.Said();
  EXPECT_EQ(built.Said().find("f.toml:" + std::to_string(expected.line) + ":"), 0u) << built.Said();
}

INSTANTIATE_TEST_SUITE_P(Table, RejectedFiles, ::testing::ValuesIn(RejectedFileTable()),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(RejectedFilesTable, HasAtLeastFortyEntries) { EXPECT_GE(RejectedFileTable().size(), 40u); }

TEST(RejectedFilesTable, RejectsVersionsOtherThanOne) {
  for (const auto& [text, rule] : {std::pair{"version = 2\n", "range"},
                                   {"version = \"1\"\n", "type"},
                                   {"[defaults]\n", "missing"},
                                   {"", "empty"},
                                   {"\n \t\n", "empty"}}) {
    const LoadedRoutes built(text);
    ASSERT_FALSE(built.diagnostics.ok()) << text;
    EXPECT_EQ(built.diagnostics.messages().begin()->rule, rule) << built.Said();
  }
}

TEST(RejectedFilesTable, AllErrorsOfAFileAreReportedInItsOrder) {
  const LoadedRoutes built(
      "version = 1\n[defaults]\npatience = \"5\"\nmax_attempts = 9\n[class.certify]\nsecond_copy_after = "
      "\"9ms\"\n[[route]]\nname = \"r\"\nmatch.class = \"x\"\nmatch.tenant = \"y\"\n");
  std::vector<unsigned> lines;
  for (const auto& message : built.diagnostics.messages()) lines.push_back(message.at.line);
  EXPECT_EQ(lines, (std::vector<unsigned>{3, 4, 6, 9, 10})) << built.Said();
}

TEST(RejectedFilesTable, NumberOfReportedErrorsIsLimited) {
  std::string text = "version = 1\n";
  for (int i = 0; i < 5000; ++i) text += "key" + std::to_string(i) + " = " + std::to_string(i) + "\n";
  const LoadedRoutes built(text);
  EXPECT_EQ(built.diagnostics.Lines().size(), operator_file::Diagnostics::kMaxMessages + 1);
  EXPECT_EQ(built.diagnostics.Lines().back(), "f.toml: and 4900 more");
}

// The TOML library parses both recursively and would overflow the stack.
TEST(RejectedFilesTable, RejectsKeysWithAMillionDotsAndArraysWithAMillionLevels) {
  std::string dots = "version = 1\na", levels = "version = 1\na = ", inline_dots = "version = 1\na = {b";
  for (int i = 0; i < 1000000; ++i) dots += ".a", levels += "[", inline_dots += " . 'a'";
  for (const auto& [text, rule] : {std::pair{dots + " = 1\n", "bound"},
                                   {"version = 1\n[" + dots.substr(12) + "]\n", "bound"},
                                   {inline_dots + " = 1}\n", "bound"},
                                   {levels, "syntax"}}) {
    const LoadedRoutes built(text);
    ASSERT_EQ(built.diagnostics.messages().size(), 1u);
    EXPECT_EQ(built.diagnostics.messages().begin()->rule, rule);
    EXPECT_EQ(built.diagnostics.messages().begin()->at.line, 2u);
  }
}

// Without the limit on suggestions this would compare 400 million pairs of names.
TEST(RejectedFilesTable, ManyUnknownTenantsAreRejectedQuickly) {
  routing::Site site = RoutingSite();
  for (int i = 0; i < 20000; ++i) site.tenants.push_back("notary-of-the-district-" + std::to_string(i));
  std::string text = "version = 1\n[[route]]\nname = \"r\"\nmatch.tenant = [";
  for (int i = 0; i < 20000; ++i) text += "\"notary-of-a-district-" + std::to_string(i) + "\",";
  const LoadedRoutes built(text + "]\n", site);
  EXPECT_EQ(built.diagnostics.Lines().size(), operator_file::Diagnostics::kMaxMessages + 1);
}

TEST(RejectedFilesTable, ControlCharactersAreNotLogged) {
  const LoadedRoutes built("version = 1\n\"a\\u001b[2J\\n\" = 1\n");
  ASSERT_EQ(built.diagnostics.Lines().size(), 1u);
  EXPECT_EQ(built.Said().find('\x1b'), std::string::npos);
  EXPECT_NE(built.Said().find("a?[2J?"), std::string::npos) << built.Said();
}

// On a platform that allows second copies they are accepted, which shows that the rejections above are due to
// the platform's setting.
TEST(AcceptedFiles, SecondCopiesWhereThePlatformAllowsThem) {
  routing::Site site = RoutingSite();
  site.settings.parallel_tries = true;
  const std::string copy = "version = 1\n[class.preview]\nsecond_copy_after = \"100ms\"\n";
  EXPECT_NE(LoadedRoutes(copy, site).routes, nullptr) << LoadedRoutes(copy, site).Said();
  const std::string keyed = "version = 1\n[class.convert]\nsecond_copy_after = \"100ms\"\n";
  EXPECT_EQ(LoadedRoutes(keyed, site).routes, nullptr);
  const std::string alone = "version = 1\n[class.preview]\nmax_attempts = 1\nsecond_copy_after = \"100ms\"\n";
  EXPECT_EQ(LoadedRoutes(alone, site).diagnostics.messages().begin()->rule, "second-copy");
  const std::string late =
      "version = 1\n[class.preview]\nmax_attempts = 2\nattempt_timeout = \"100ms\"\nsecond_copy_after = "
      "\"100ms\"\n";
  EXPECT_EQ(LoadedRoutes(late, site).diagnostics.messages().begin()->rule, "second-copy");
}

TEST(AcceptedFiles, TimesAtTheLimit) {
  for (const char* text :
       {"[class.certify]\nmax_attempts = 2\nattempt_timeout = \"500ms\"\n",
        "[class.certify]\nmax_attempts = 2\nattempt_timeout = \"475ms\"\npause = \"50ms\"\n",
        "[class.stamp]\nmax_attempts = 2\nattempt_timeout = \"450ms\"\n",
        "[class.certify]\npatience = \"1s\"\n", "[class.certify]\nretry_on = []\nattempt_timeout = \"1s\"\n",
        "[budget.a]\nshare = \"50%\"\n[budget.b]\nshare = \"50%\"\n[defaults]\nretry_budgets = [\"a\", "
        "\"b\"]\n"}) {
    const LoadedRoutes built("version = 1\n" + std::string(text));
    EXPECT_NE(built.routes, nullptr) << built.Said();
  }
}

}  // namespace
}  // namespace kestrelline::testing

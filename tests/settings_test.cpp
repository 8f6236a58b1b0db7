// SPDX-License-Identifier: Apache-2.0
//
// Tests of the parser of the simulator's settings.
#include "settings.h"

#include <gtest/gtest.h>

#include <string>

#include "sample_settings.h"

namespace kestrelline::adapter {
namespace {

using kestrelline::testing::kSampleSettings;

std::string Without(const std::string& key) {
  std::string text(kSampleSettings);
  const std::size_t at = text.find("\n" + key + "=");
  EXPECT_NE(at, std::string::npos) << key;
  return text.erase(at, text.find('\n', at + 1) - at);
}
std::string With(const std::string& key, const std::string& value) {
  return Without(key) + key + "=" + value + "\n";
}

std::string ErrorText(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const BadSettings& error) {
    return error.what();
  }
  return "";
}

TEST(SettingsParser, ReadsAllUsedKeys) {
  const Settings s = ParseSettings(kSampleSettings);
  EXPECT_EQ(s.balancers, 2);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].effect, Effect::kSafe);
  EXPECT_EQ(s.classes[1].effect, Effect::kKeyed);
  EXPECT_EQ(s.classes[1].group, Group::kCell);
  EXPECT_EQ(s.classes[1].window.count(), 750);
  EXPECT_EQ(s.classes[1].worth, 10);
  ASSERT_EQ(s.tenants.size(), 1u);
  EXPECT_EQ(s.tenants[0].quota_per_s, 57);
  EXPECT_EQ(s.max_attempts, 4);
  EXPECT_TRUE(s.must_ask_for_list);
  EXPECT_EQ(s.must_ask_within.count(), 10000);
  EXPECT_EQ(s.cold_from, 0.35);
  EXPECT_TRUE(s.warm_keys);
  EXPECT_EQ(s.max_retry_after.count(), 600);
}

TEST(SettingsParser, IndexOfTheProxy) {
  EXPECT_EQ(ParseSettings(std::string(kSampleSettings) + "me=17\n").me, 17);
  EXPECT_EQ(ErrorText(std::string(kSampleSettings) + "me=-1\n"), "setting out of range: me");
}

TEST(SettingsParser, UnknownKeysAndMalformedLinesAreIgnored) {
  EXPECT_EQ(ErrorText(std::string(kSampleSettings) + "newKey=7\nno equals sign\n\n"), "");
}

TEST(SettingsParser, AbsentOptionalKeys) {
  const Settings s = ParseSettings(Without("tenants.count"));
  EXPECT_TRUE(s.tenants.empty());
  EXPECT_FALSE(ParseSettings(Without("registryMode")).must_ask_for_list);
  EXPECT_EQ(ParseSettings(Without("overShareWorth")).over_share_worth, 1);
  EXPECT_EQ(ParseSettings(Without("permissions.retryAfter")).max_retry_after.count(), 0);
  EXPECT_FALSE(ParseSettings(Without("specifics.warmKeys")).warm_keys);
}

TEST(SettingsParser, ErrorsNameAbsentRequiredKeys) {
  for (const char* key :
       {"classes.count", "classes.0.effect", "classes.0.goalTimeMs", "classes.0.deadlineMs",
        "classes.1.group", "classes.1.windowMs", "permissions.maxAttempts", "rules.coldFrom",
        "rules.warmUpMs", "rules.fallMultiple", "rules.overloadForMs", "rules.mustAskInMs", "zone"})
    EXPECT_NE(ErrorText(Without(key)).find(key), std::string::npos) << key;
}

TEST(SettingsParser, ErrorsNameKeysWithInvalidValues) {
  const std::pair<const char*, const char*> bad[] = {
      {"classes.count", "0"},           {"classes.count", "two"},
      {"classes.0.effect", "odd"},      {"classes.0.goalTimeMs", "-1"},
      {"rules.coldFrom", "1.5"},        {"rules.coldFrom", "nan"},
      {"rules.fallMultiple", "inf"},    {"rules.warmUpMs", "-5"},
      {"permissions.maxAttempts", "0"}, {"permissions.maxAttempts", "2.5"},
      {"registryMode", "pull"},         {"tenants.0.quotaPerS", "-3"},
      {"classes.1.lateWorth", "1e9"},   {"overShareWorth", "0.5x"}};
  for (const auto& [key, value] : bad)
    EXPECT_NE(ErrorText(With(key, value)).find(key), std::string::npos) << key << "=" << value;
}

}  // namespace
}  // namespace kestrelline::adapter

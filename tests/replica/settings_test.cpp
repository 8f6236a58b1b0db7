// SPDX-License-Identifier: Apache-2.0
//
// The [replica] section of the operator's file: accepted values, and the line and reason of each error.
#include "replica/settings.h"

#include <gtest/gtest.h>

namespace kestrelline::replica {
namespace {

std::optional<Settings> Read(const std::string& section, BuildContext context, std::string* errors) {
  operator_file::Diagnostics diagnostics("f.toml");
  Spec spec;
  const std::vector<operator_file::Section> sections{ReplicaSection(&spec)};
  operator_file::ReadDocument("version = 1\n" + section, sections, &diagnostics);
  auto settings = Build(spec, context, &diagnostics);
  errors->clear();
  for (const auto& line : diagnostics.Lines()) *errors += line + "\n";
  return settings;
}

TEST(ReplicaSettings, DefaultsFitTheMemory) {
  std::string errors;
  const auto settings = Read("[replica]\n", {true, {}, 48}, &errors);
  ASSERT_TRUE(settings) << errors;
  EXPECT_EQ(settings->claim, -1);
  EXPECT_FALSE(settings->send_unmet);
  EXPECT_LE(settings->entries * kEntryBytes, 6000000u);
  EXPECT_FALSE(Read("", {true, {}, 48}, &errors));
  EXPECT_EQ(errors, "");  // without a section there are no errors
  EXPECT_EQ(Read("[replica]\nclaim = \"wait 2\"\nclaim_unmet = \"send\"\n", {true, {}, 0}, &errors)->claim,
            2);
}

TEST(ReplicaSettings, ErrorsNameTheLineAndTheReason) {
  const struct {
    std::string text;
    bool peers;
    std::string expected_error;
  } table[] = {
      {"[replica]\n", false, "f.toml:2:1: [replica] [replica] needs [peers]"},
      {"[replica]\nclaim = \"wait\"\n", true, "f.toml:3:9: [claim] claim is 'wait'"},
      {"[replica]\nclaim = \"wait 0\"\n", true, "wait 1 to wait 8"},
      {"[replica]\nclaim_within = \"2s\"\n", true, "1ms to 1s is accepted"},
      {"[replica]\nready_within = \"1m\"\n", true, "f.toml:3:16: [range] 100ms to 20s is accepted"},
      {"[replica]\nclaim_unmet = \"drop\"\n", true, "neither refuse nor send"},
      {"[replica]\nentries = 100\n", true, "entries"},
      {"[replica]\nentries = 1000000\n", true, "MB, over half of this process's memory; 75000 are accepted"},
      {"[replica]\nclaims = \"tell\"\n", true, "claim"},
  };
  for (const auto& [text, peers, expected_error] : table) {
    std::string errors;
    EXPECT_FALSE(Read(text, {peers, {}, 48}, &errors)) << text;
    EXPECT_NE(errors.find(expected_error), std::string::npos) << text << errors;
  }
  std::string errors;
  EXPECT_FALSE(Read("", {true, operator_file::Position{7, 1}, 48}, &errors));
  EXPECT_NE(errors.find("f.toml:7:1: [replica] claim needs a [replica]"), std::string::npos) << errors;
}

}  // namespace
}  // namespace kestrelline::replica

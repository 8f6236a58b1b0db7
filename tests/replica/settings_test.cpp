// SPDX-License-Identifier: Apache-2.0
//
// [replica] in the operator's file: what is accepted, and the line and reason of what is not.
#include "replica/settings.h"

#include <gtest/gtest.h>

namespace kestrelline::replica {
namespace {

std::optional<Settings> Read(const std::string& section, Around around, std::string* said) {
  operator_file::Diagnostics diagnostics("f.toml");
  Spec spec;
  const std::vector<operator_file::Section> sections{ReplicaSection(&spec)};
  operator_file::ReadDocument("version = 1\n" + section, sections, &diagnostics);
  auto settings = Build(spec, around, &diagnostics);
  said->clear();
  for (const auto& line : diagnostics.Lines()) *said += line + "\n";
  return settings;
}

TEST(ReplicaSettings, WhatIsNotSaidHasADefaultAndFitsTheMemory) {
  std::string said;
  const auto settings = Read("[replica]\n", {true, {}, 48}, &said);
  ASSERT_TRUE(settings) << said;
  EXPECT_EQ(settings->claim, -1);
  EXPECT_FALSE(settings->send_unmet);
  EXPECT_LE(settings->entries * kEntryBytes, 6000000u);
  EXPECT_FALSE(Read("", {true, {}, 48}, &said));
  EXPECT_EQ(said, "");  // no section, nothing to say
  EXPECT_EQ(Read("[replica]\nclaim = \"wait 2\"\nclaim_unmet = \"send\"\n", {true, {}, 0}, &said)->claim, 2);
}

TEST(ReplicaSettings, WhatIsWrongIsSaidWithItsLine) {
  const struct {
    std::string text;
    bool peers;
    std::string part;
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
  for (const auto& [text, peers, part] : table) {
    std::string said;
    EXPECT_FALSE(Read(text, {peers, {}, 48}, &said)) << text;
    EXPECT_NE(said.find(part), std::string::npos) << text << said;
  }
  std::string said;
  EXPECT_FALSE(Read("", {true, operator_file::Position{7, 1}, 48}, &said));
  EXPECT_NE(said.find("f.toml:7:1: [replica] claim needs a [replica]"), std::string::npos) << said;
}

}  // namespace
}  // namespace kestrelline::replica

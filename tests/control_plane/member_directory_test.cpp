// SPDX-License-Identifier: Apache-2.0
//
// The rotation of nodes to ask, the expiry of a reported leader, and the parsing of reports.
#include "control_plane/member_directory.h"

#include <gtest/gtest.h>

#include <set>

namespace kestrelline::control_plane {
namespace {

using std::chrono::milliseconds;

TEST(MemberDirectory, AsksSeedsThenMembersInTurn) {
  MemberDirectory directory({"s1", "s2"});
  EXPECT_TRUE(directory.members().empty());
  EXPECT_EQ(directory.NextNode(), "s1");
  EXPECT_EQ(directory.NextNode(), "s2");
  directory.Update(milliseconds(0), {{"m1", "m2", "s1"}, "m2"});
  std::set<std::string> asked;
  for (std::size_t i = 0; i < directory.size(); ++i) asked.insert(directory.NextNode());
  EXPECT_EQ(asked, (std::set<std::string>{"m1", "m2", "s1", "s2"}));
}

// All members that are known may have been replaced (review/5).
TEST(MemberDirectory, NewSeedsAreAskedNext) {
  MemberDirectory directory({"s1"});
  directory.Update(milliseconds(0), {{"m1", "m2"}, "m2"});
  directory.SetSeeds({"s2", "s3"});
  EXPECT_EQ(directory.NextNode(), "s2");
  EXPECT_EQ(directory.NextNode(), "s3");
  EXPECT_EQ(directory.NextNode(), "m1");
  EXPECT_EQ(directory.size(), 4u);
  EXPECT_EQ(directory.seeds(), (std::vector<std::string>{"s2", "s3"}));
}

TEST(MemberDirectory, ALeaderExpires) {
  MemberDirectory directory({"s1"});
  EXPECT_FALSE(directory.Leader(milliseconds(0)));
  directory.Update(milliseconds(100), {{"m1"}, "m1"});
  EXPECT_EQ(directory.Leader(milliseconds(100) + MemberDirectory::kLeaderTtl), "m1");
  EXPECT_FALSE(directory.Leader(milliseconds(101) + MemberDirectory::kLeaderTtl));
}

// An empty report, as from a gateway that has just started, must not clear the known members.
TEST(MemberDirectory, AnEmptyReportChangesNothing) {
  MemberDirectory directory({"s1"});
  directory.Update(milliseconds(0), {{"m1"}, "m1"});
  directory.Update(milliseconds(1), {{}, ""});
  EXPECT_EQ(directory.Leader(milliseconds(1)), "m1");
  EXPECT_EQ(directory.members(), std::vector<std::string>{"m1"});
  EXPECT_EQ(MemberDirectory({}).NextNode(), "");
}

TEST(MemberDirectory, ParsesTheReportsOfMembers) {
  const auto report = ParseMembersReport(R"({"members":["a","b"],"next_members":[],"leader":"b","epoch":3})");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->members, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(report->leader, "b");
  EXPECT_FALSE(ParseMembersReport("{}"));
  EXPECT_FALSE(ParseMembersReport(R"({"members":[1]})"));
  EXPECT_FALSE(ParseMembersReport("no"));
}

}  // namespace
}  // namespace kestrelline::control_plane

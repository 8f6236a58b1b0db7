// SPDX-License-Identifier: Apache-2.0
//
// Which peers a proxy tries when it loses its member: seeds, members that were reported, and the limit.
#include "data_plane/subscription.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace kestrelline::data_plane {
namespace {

using Names = std::vector<std::string>;
constexpr Subscription::Time kNow{1000};

Names Numbered(const std::string& prefix, std::size_t count) {
  Names names;
  for (std::size_t i = 0; i < count; ++i) names.push_back(prefix + std::to_string(i));
  return names;
}

// The peers of the next `count` attempts.
std::set<std::string> Tried(Subscription& subscription, std::size_t count) {
  std::set<std::string> tried;
  for (std::size_t i = 0; i < count; ++i) tried.insert(subscription.BeginAttempt(kNow).value_or(""));
  return tried;
}

void Report(Subscription& subscription, const Names& members, bool certain = true) {
  wire::Publication publication;
  publication.certain = certain;
  publication.control_peers = members;
  subscription.HandlePublication(kNow, publication, kNow);
}

// All known members may have been replaced while the proxy was cut off (review/5).
TEST(Subscription, NewSeedsAreTriedNext) {
  Subscription subscription("self", {"a", "b", "c"}, 1);
  Tried(subscription, 4);
  subscription.SetSeeds({"x", "y", "b"});
  EXPECT_EQ(Tried(subscription, 2), (std::set<std::string>{"x", "y"}));
  EXPECT_EQ(Tried(subscription, 5), (std::set<std::string>{"a", "b", "c", "x", "y"}));
}

TEST(Subscription, FormerMembersAreForgottenOnceARecentPublicationNamesTheMembers) {
  Subscription subscription("self", {"a", "b"}, 1);
  Report(subscription, {"b", "m"});
  Report(subscription, {"b", "n"}, /*certain=*/false);
  EXPECT_EQ(Tried(subscription, 4), (std::set<std::string>{"a", "b", "m", "n"}));
  Report(subscription, {"b", "n"});
  EXPECT_EQ(Tried(subscription, 3), (std::set<std::string>{"a", "b", "n"}));
  subscription.SetSeeds({"b"});
  Report(subscription, {"b", "n"});
  EXPECT_EQ(Tried(subscription, 2), (std::set<std::string>{"b", "n"}));
}

TEST(Subscription, APublicationWithoutMembersForgetsNone) {
  Subscription subscription("self", {"a"}, 1);
  Report(subscription, {"m"});
  Report(subscription, {});
  EXPECT_EQ(Tried(subscription, 2), (std::set<std::string>{"a", "m"}));
}

// Guards against a table that is full of machines that are gone and takes no new ones: whatever peer is next.
TEST(Subscription, AtTheLimitNewPeersReplaceOldOnes) {
  for (std::size_t attempts = 0; attempts <= Subscription::kMaxPeers; ++attempts) {
    Subscription subscription("self", Numbered("gone", Subscription::kMaxPeers), attempts);
    Tried(subscription, attempts);
    Report(subscription, {"x", "y", "z"}, /*certain=*/false);
    EXPECT_EQ(Tried(subscription, 3), (std::set<std::string>{"x", "y", "z"})) << attempts;
    EXPECT_EQ(Tried(subscription, 2 * Subscription::kMaxPeers).size(), Subscription::kMaxPeers);
  }
}

}  // namespace
}  // namespace kestrelline::data_plane

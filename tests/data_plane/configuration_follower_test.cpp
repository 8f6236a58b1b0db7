// SPDX-License-Identifier: Apache-2.0
#include "data_plane/configuration_follower.h"

#include <gtest/gtest.h>

#include "configuration/patch.h"
#include "distribution/publication.h"

namespace kestrelline::data_plane {
namespace {

// A configuration with `count` routes; the path of the last one depends on the version.
std::string Text(int version, int count = 3) {
  std::string routes;
  for (int i = 0; i < count; ++i) {
    const bool last = i + 1 == count;
    routes += std::string(i ? "," : "") + R"({"name":"r)" + std::to_string(i) +
              R"(","host":"h","path_prefix":"/p)" + std::to_string(last ? 1000 + version : i) +
              R"(/","type":"safe","timeout_ms":5,"cluster":"s"})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
         R"(],"services":[{"name":"s"}]})";
}

// A control plane member that publishes successive versions.
class Sender {
 public:
  void Set(int version, int count = 3) {
    const std::string next = Text(version, count);
    if (version_ > 0) history_.Add(version_, version, *configuration::PatchBetween(*text_, next));
    text_ = std::make_shared<const std::string>(next);
    version_ = version;
  }
  wire::Publication Compose(std::uint64_t held) const {
    distribution::PublishedState published;
    published.version = version_;
    published.configuration = [this] { return text_; };
    published.configurations = &history_;
    distribution::SubscriberState subscriber;
    subscriber.version = held;
    subscriber.takes_configuration_patches = true;
    return distribution::Compose(subscriber, published);
  }

 private:
  std::uint64_t version_ = 0;
  std::shared_ptr<const std::string> text_;
  distribution::ConfigurationHistory history_;
};

std::string LastPathPrefix(const configuration::ConfigurationPtr& configuration) {
  return configuration ? configuration->routes.back().path_prefix : "none";
}

TEST(ConfigurationFollower, WholeFirstThenPatches) {
  Sender sender;
  ConfigurationFollower follower;
  sender.Set(1);
  EXPECT_EQ(LastPathPrefix(follower.Apply(sender.Compose(0), true)), "/p1001/");
  sender.Set(4);
  sender.Set(9);
  const wire::Publication publication = sender.Compose(follower.held_version());
  EXPECT_TRUE(publication.configuration.empty());
  EXPECT_EQ(publication.configuration_patches.size(), 2u);
  EXPECT_EQ(LastPathPrefix(follower.Apply(publication, false)), "/p1009/");
  EXPECT_EQ(follower.version_in_force(), 9u);
  EXPECT_EQ(follower.Apply(publication, true), nullptr);  // sent twice
}

TEST(ConfigurationFollower, PatchesForAnUnknownBaseAreRejectedAndTheWholeIsRequested) {
  Sender sender;
  ConfigurationFollower follower;
  sender.Set(1);
  follower.Apply(sender.Compose(0), true);
  sender.Set(2);
  sender.Set(3);
  EXPECT_EQ(follower.Apply(sender.Compose(2), true), nullptr);
  EXPECT_TRUE(follower.missing_base());
  EXPECT_EQ(follower.held_version(), 0u);
  EXPECT_EQ(follower.version_in_force(), 1u);
  EXPECT_EQ(LastPathPrefix(follower.Apply(sender.Compose(follower.held_version()), true)), "/p1003/");
  EXPECT_FALSE(follower.missing_base());
}

TEST(ConfigurationFollower, MalformedPatchesChangeNothing) {
  Sender sender;
  ConfigurationFollower follower;
  sender.Set(1);
  follower.Apply(sender.Compose(0), true);
  sender.Set(2);
  wire::Publication publication = sender.Compose(1);
  for (const char* patch : {"{", R"({"version":2,"remove":{"services":["s"]}})", R"({"version":7})"}) {
    publication.configuration_patches = {patch};
    EXPECT_EQ(follower.Apply(publication, true), nullptr) << patch;
    EXPECT_TRUE(follower.missing_base());
    EXPECT_NE(follower.error(), "");
    EXPECT_EQ(follower.version_in_force(), 1u);
  }
}

// After a start, a proxy is ready only once the publication is proven to be recent; this includes patches.
TEST(ConfigurationFollower, TheFirstVersionTakesEffectOnlyOnceProvenRecent) {
  Sender sender;
  ConfigurationFollower follower;
  sender.Set(1);
  EXPECT_EQ(follower.Apply(sender.Compose(0), false), nullptr);
  sender.Set(2);
  EXPECT_EQ(follower.Apply(sender.Compose(1), false), nullptr);
  EXPECT_EQ(follower.version_in_force(), 0u);
  EXPECT_EQ(LastPathPrefix(follower.Apply(sender.Compose(2), true)), "/p1002/");
}

TEST(ConfigurationFollower, RelaysTheNewestWholeOrAsPatches) {
  Sender sender;
  ConfigurationFollower follower;
  sender.Set(1);
  follower.Apply(sender.Compose(0), true);
  sender.Set(2);
  follower.Apply(sender.Compose(1), true);
  sender.Set(5);
  follower.Apply(sender.Compose(2), true);
  EXPECT_EQ(configuration::Parse(*follower.Text()).configuration->routes.back().path_prefix, "/p1005/");
  const auto patches = follower.history().Since(1, 1 << 20);
  ASSERT_TRUE(patches);
  EXPECT_EQ(patches->size(), 2u);
  EXPECT_FALSE(follower.history().Since(3, 1 << 20));
}

TEST(ConfigurationHistory, NoPatchesBeyondTheSizeLimitOrAcrossAGap) {
  distribution::ConfigurationHistory history;
  history.Add(1, 2, std::string(100, 'x'));
  history.Add(2, 5, std::string(100, 'y'));
  EXPECT_TRUE(history.Since(1, 200));
  EXPECT_FALSE(history.Since(1, 199));
  EXPECT_TRUE(history.Since(2, 199));
  history.Add(7, 8, "z");  // the step from 5 to 7 is missing
  EXPECT_FALSE(history.Since(1, 1000));
  EXPECT_TRUE(history.Since(7, 1000));
  for (std::uint64_t i = 8; i < 8 + distribution::ConfigurationHistory::kMaxPatches; ++i)
    history.Add(i, i + 1, "p");
  EXPECT_FALSE(history.Since(7, 1000));
}

}  // namespace
}  // namespace kestrelline::data_plane

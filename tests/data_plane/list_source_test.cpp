// SPDX-License-Identifier: Apache-2.0
//
// Whom a proxy believes about the list of backends, as publications come late, as changes, or not at all.
#include "data_plane/list_source.h"

#include <gtest/gtest.h>

namespace kestrelline::data_plane {
namespace {

using std::chrono::milliseconds;

const ListSource::Time kStart{std::chrono::hours(1)};

wire::InstanceListPtr ListOf(std::uint64_t revision, int backends) {
  wire::InstanceList list;
  list.revision = revision;
  for (int i = 0; i < backends; ++i) {
    wire::Instance instance;
    instance.id = "i-" + std::to_string(i);
    list.instances.push_back(instance);
  }
  return std::make_shared<const wire::InstanceList>(std::move(list));
}

wire::Publication Whole(std::uint64_t revision, int backends, milliseconds age = milliseconds(100)) {
  wire::Publication publication;
  publication.instances = ListOf(revision, backends);
  publication.instances_revision = revision;
  publication.instances_age_ms = static_cast<std::uint32_t>(age.count());
  return publication;
}
wire::Publication NoNews(std::uint64_t revision, milliseconds age) {
  wire::Publication publication = Whole(revision, 0, age);
  publication.instances = nullptr;
  return publication;
}
// One backend more than before.
wire::Publication OneMore(std::uint64_t base, int backends) {
  wire::Publication publication = NoNews(base + 1, milliseconds(100));
  publication.list_changes = wire::ListChanges{base, base + 1, {ListOf(0, backends)->instances.back()}, {}};
  return publication;
}

TEST(ListSource, GoesByWhatIsToldWholeThenByChanges) {
  ListSource source;
  const auto first = source.Apply(Whole(5, 3), kStart);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->instances.size(), 3u);
  EXPECT_EQ(source.read_at(), kStart - milliseconds(100));
  EXPECT_FALSE(source.Apply(NoNews(5, milliseconds(50)), kStart + milliseconds(300)));
  EXPECT_EQ(source.read_at(), kStart + milliseconds(250));
  const auto second = source.Apply(OneMore(5, 4), kStart + milliseconds(500));
  ASSERT_TRUE(second);
  EXPECT_EQ(second->instances.size(), 4u);
  EXPECT_EQ(source.newest_revision(), 6u);
  EXPECT_FALSE(source.ConsumeMissingBase());
}

// Nobody told it anything for a while. What it is told then was read before its own reading: it is not gone
// by, but changes build on it, and once it is known to be the newer one it counts, though it comes no more.
TEST(ListSource, AnOwnReadingCountsUntilTheToldListIsKnownToBeNewer) {
  ListSource source;
  source.Apply(Whole(5, 3), kStart);
  source.UseDirectRead(kStart + milliseconds(3000));
  EXPECT_FALSE(source.Apply(Whole(6, 4, milliseconds(900)), kStart + milliseconds(3200)));
  EXPECT_EQ(source.newest_revision(), 6u);
  EXPECT_FALSE(source.Apply(OneMore(6, 5), kStart + milliseconds(3050)));
  EXPECT_FALSE(source.ConsumeMissingBase()) << "no reason to subscribe anew";
  const auto newer = source.Apply(NoNews(7, milliseconds(100)), kStart + milliseconds(3500));
  ASSERT_TRUE(newer);
  EXPECT_EQ(newer->instances.size(), 5u);
  EXPECT_EQ(source.read_at(), kStart + milliseconds(3400));
}

TEST(ListSource, APublicationThatCannotBeDatedReplacesNoOwnReading) {
  ListSource source;
  source.UseDirectRead(kStart);
  EXPECT_FALSE(source.Apply(Whole(5, 3), std::nullopt));
  EXPECT_TRUE(source.Apply(NoNews(5, milliseconds(0)), kStart + milliseconds(1)));
}

TEST(ListSource, ChangesOfAListThatIsNotHereAskForItWholeOnce) {
  ListSource source;
  EXPECT_FALSE(source.Apply(OneMore(7, 3), kStart));
  EXPECT_TRUE(source.ConsumeMissingBase());
  EXPECT_FALSE(source.ConsumeMissingBase());
  source.Apply(Whole(9, 3), kStart);
  EXPECT_FALSE(source.Apply(OneMore(7, 3), kStart));  // late: a newer one is here
  EXPECT_FALSE(source.ConsumeMissingBase());
  EXPECT_EQ(source.newest_revision(), 9u);
}

}  // namespace
}  // namespace kestrelline::data_plane

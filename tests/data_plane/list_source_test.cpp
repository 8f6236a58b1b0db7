// SPDX-License-Identifier: Apache-2.0
//
// Which backend list a proxy uses when publications arrive late, as changes, or not at all.
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
wire::Publication Unchanged(std::uint64_t revision, milliseconds age) {
  wire::Publication publication = Whole(revision, 0, age);
  publication.instances = nullptr;
  return publication;
}
// A list with one backend more than its base.
wire::Publication OneAdded(std::uint64_t base, int backends) {
  wire::Publication publication = Unchanged(base + 1, milliseconds(100));
  publication.list_changes = wire::ListChanges{base, base + 1, {ListOf(0, backends)->instances.back()}, {}};
  return publication;
}

TEST(ListSource, UsesTheWholeListThenChanges) {
  ListSource source;
  const auto first = source.Apply(Whole(5, 3), kStart);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->instances.size(), 3u);
  EXPECT_EQ(source.read_at(), kStart - milliseconds(100));
  EXPECT_FALSE(source.Apply(Unchanged(5, milliseconds(50)), kStart + milliseconds(300)));
  EXPECT_EQ(source.read_at(), kStart + milliseconds(250));
  const auto second = source.Apply(OneAdded(5, 4), kStart + milliseconds(500));
  ASSERT_TRUE(second);
  EXPECT_EQ(second->instances.size(), 4u);
  EXPECT_EQ(source.newest_revision(), 6u);
  EXPECT_FALSE(source.ConsumeMissingBase());
}

// The control plane was silent for a while. The first list after that was read before the direct read: it is
// not used, but changes build on it. Once it is known to be newer than the direct read it is used, although
// it is not sent again.
TEST(ListSource, ADirectReadIsUsedUntilAReceivedListIsKnownToBeNewer) {
  ListSource source;
  source.Apply(Whole(5, 3), kStart);
  source.UseDirectRead(kStart + milliseconds(3000));
  EXPECT_FALSE(source.Apply(Whole(6, 4, milliseconds(900)), kStart + milliseconds(3200)));
  EXPECT_EQ(source.newest_revision(), 6u);
  EXPECT_FALSE(source.Apply(OneAdded(6, 5), kStart + milliseconds(3050)));
  EXPECT_FALSE(source.ConsumeMissingBase()) << "no reason to subscribe again";
  const auto newer = source.Apply(Unchanged(7, milliseconds(100)), kStart + milliseconds(3500));
  ASSERT_TRUE(newer);
  EXPECT_EQ(newer->instances.size(), 5u);
  EXPECT_EQ(source.read_at(), kStart + milliseconds(3400));
}

TEST(ListSource, AnUndatedPublicationDoesNotReplaceADirectRead) {
  ListSource source;
  source.UseDirectRead(kStart);
  EXPECT_FALSE(source.Apply(Whole(5, 3), std::nullopt));
  EXPECT_TRUE(source.Apply(Unchanged(5, milliseconds(0)), kStart + milliseconds(1)));
}

TEST(ListSource, ChangesForAnUnknownBaseRequestTheWholeListOnce) {
  ListSource source;
  EXPECT_FALSE(source.Apply(OneAdded(7, 3), kStart));
  EXPECT_TRUE(source.ConsumeMissingBase());
  EXPECT_FALSE(source.ConsumeMissingBase());
  source.Apply(Whole(9, 3), kStart);
  EXPECT_FALSE(source.Apply(OneAdded(7, 3), kStart));  // late: a newer list was received
  EXPECT_FALSE(source.ConsumeMissingBase());
  EXPECT_EQ(source.newest_revision(), 9u);
}

}  // namespace
}  // namespace kestrelline::data_plane

// SPDX-License-Identifier: Apache-2.0
//
// Backend lists sent as incremental changes: applying them yields the newest list, and a receiver is never
// sent changes to a list that it does not have.
#include "distribution/list_history.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "distribution/publication.h"
#include "wire/codec.h"

namespace kestrelline::distribution {
namespace {

using wire::Instance;
using wire::InstanceList;
using wire::InstanceListPtr;

Instance InstanceOf(int number, std::mt19937_64& random) {
  Instance instance;
  instance.id = "instance-" + std::to_string(number);
  instance.service = number % 3 == 0 ? "reader" : "writer";
  instance.address = "10.1." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":8000";
  instance.zone = "zone-" + std::to_string(number % 5);
  instance.slots = 1 + static_cast<std::uint32_t>(random() % 64);
  instance.draining = random() % 10 == 0;
  instance.models = {"m-" + std::to_string(random() % 4)};
  return instance;
}

InstanceListPtr ListOf(std::uint64_t revision, std::vector<Instance> instances) {
  InstanceList list;
  list.revision = revision;
  list.instances = std::move(instances);
  return std::make_shared<const InstanceList>(std::move(list));
}

std::vector<Instance> InOrder(std::vector<Instance> instances) {
  std::sort(instances.begin(), instances.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  return instances;
}

// Removes, changes and adds some instances at random.
std::vector<Instance> Next(std::vector<Instance> instances, int& last_number, double share,
                           std::mt19937_64& random) {
  std::bernoulli_distribution selected(share);
  std::erase_if(instances, [&](const Instance&) { return selected(random) && random() % 3 == 0; });
  for (Instance& instance : instances) {
    if (selected(random)) instance.draining = !instance.draining;
  }
  while (random() % 4 != 0) instances.push_back(InstanceOf(++last_number, random));
  return instances;
}

TEST(ListHistory, ChangesTurnAnyRecentListIntoTheNewest) {
  std::mt19937_64 random(5);
  ListHistory history;
  std::vector<InstanceListPtr> all;
  std::vector<Instance> instances;
  int last_number = 0;
  while (last_number < 100) instances.push_back(InstanceOf(++last_number, random));
  for (std::uint64_t revision = 10; revision < 60; ++revision) {
    instances = Next(std::move(instances), last_number, 0.02, random);
    all.push_back(ListOf(revision, instances));
    history.Add(all.back());
    for (const InstanceListPtr& base : all) {
      const auto changes = history.Since(base->revision);
      if (!changes) continue;
      EXPECT_EQ(changes->base, base->revision);
      const InstanceListPtr now = Apply(*base, *changes);
      EXPECT_EQ(now->revision, revision);
      EXPECT_EQ(InOrder(now->instances), InOrder(instances));
    }
    if (all.size() > 1) {
      EXPECT_TRUE(history.Since(revision - 1));
    }
    EXPECT_FALSE(history.Since(revision + 1));
    if (all.size() > ListHistory::kMaxLists) {
      EXPECT_FALSE(history.Since(revision - ListHistory::kMaxLists));
    }
  }
  // A new leader whose revisions start lower: earlier lists are no base for its changes.
  history.Add(ListOf(3, instances));
  EXPECT_FALSE(history.Since(59));
}

// If a tenth of 3,000 backends change at once, the changes take about a tenth of the bytes. A new subscriber,
// and one of an earlier version that takes no changes, get the whole list.
TEST(ListHistory, SubscribersAreSentOnlyWhatTheyLack) {
  std::mt19937_64 random(6);
  std::vector<Instance> instances;
  for (int i = 0; i < 3000; ++i) instances.push_back(InstanceOf(i, random));
  ListHistory history;
  history.Add(ListOf(1, instances));
  for (std::size_t i = 0; i < instances.size(); i += 10) instances[i].draining = !instances[i].draining;
  PublishedState now;
  now.instances = ListOf(2, instances);
  history.Add(now.instances);
  now.lists = &history;
  const auto size = [](const wire::Publication& publication) {
    return wire::EncodeFrame({"10.0.0.1", publication}).size();
  };
  const wire::Publication changes = Compose({0, 1, 0, true}, now);
  EXPECT_EQ(changes.instances, nullptr);
  ASSERT_TRUE(changes.list_changes);
  EXPECT_EQ(changes.list_changes->changed.size(), 300u);
  EXPECT_EQ(changes.instances_revision, 2u);
  const wire::Publication whole = Compose({0, 0, 0, true}, now);
  EXPECT_EQ(whole.instances, now.instances);
  EXPECT_FALSE(whole.list_changes);
  const wire::Publication without_changes = Compose({0, 1, 0, false}, now);
  EXPECT_EQ(without_changes.instances, now.instances);
  EXPECT_FALSE(without_changes.list_changes);
  EXPECT_LT(size(changes) * 9, size(whole));
  EXPECT_LT(size(Compose({0, 2, 0, true}, now)), 200u);
  // The changes survive encoding and decoding.
  const std::string frame = wire::EncodeFrame({"10.0.0.1", changes});
  const auto decoded = wire::DecodeEnvelope(std::string_view(frame).substr(wire::kLengthBytes));
  ASSERT_TRUE(decoded);
  const auto& received = std::get<wire::Publication>(decoded->body);
  ASSERT_TRUE(received.list_changes);
  EXPECT_EQ(received.list_changes->base, 1u);
  EXPECT_EQ(received.list_changes->revision, 2u);
  EXPECT_EQ(received.list_changes->changed, changes.list_changes->changed);
  EXPECT_EQ(received.list_changes->removed, changes.list_changes->removed);
}

TEST(ListHistory, NoChangesIfNearlyAllBackendsChanged) {
  std::mt19937_64 random(7);
  ListHistory history;
  history.Add(ListOf(1, {InstanceOf(1, random), InstanceOf(2, random)}));
  history.Add(ListOf(2, {InstanceOf(3, random), InstanceOf(4, random)}));
  EXPECT_FALSE(history.Since(1));
}

}  // namespace
}  // namespace kestrelline::distribution

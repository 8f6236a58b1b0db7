// SPDX-License-Identifier: Apache-2.0
//
// Several processes of one proxy: their limits when each has a stale view of the other's usage, and how they
// find each other.
#include <gtest/gtest.h>

#include <filesystem>
#include <random>

#include "shared_limits/process_limits.h"
#include "shared_limits/process_registry.h"
#include "support/temporary.h"

namespace kestrelline::shared_limits {
namespace {

TEST(ComputeLimits, ASingleProcessHasTheTotal) {
  EXPECT_EQ(ComputeLimits(384, {100, false}, {}).descriptors, 384);
  EXPECT_EQ(ComputeLimits(384, {100, false}, {}).memory, 1);
}

TEST(ComputeLimits, AProcessAboveItsShareOnlyShrinksAndTheOtherGetsTheRest) {
  EXPECT_EQ(ComputeLimits(384, {300, false}, {{10, false}}).descriptors, 192);
  EXPECT_EQ(ComputeLimits(384, {10, false}, {{300, false}}).descriptors, 84);
  EXPECT_EQ(ComputeLimits(384, {10, false}, {{1000, false}}).descriptors, 0);
  EXPECT_EQ(ComputeLimits(384, {10, false}, {{50, true}}).descriptors, 334);
  EXPECT_EQ(ComputeLimits(384, {50, true}, {{10, false}}).descriptors, 50);
  EXPECT_EQ(ComputeLimits(384, {10, false}, {{50, true}}).memory, 0.5);
}

// Each process moves towards a random target as far as its limit allows, with a view of the other that is
// some steps old. A process that starts above its half may only shrink. Guards against both exceeding the
// total.
TEST(ComputeLimits, ProcessesTogetherNeverExceedTheTotal) {
  for (unsigned seed = 0; seed < 500; ++seed) {
    std::mt19937 random(seed);
    const int total = 128 + static_cast<int>(random() % 1000);
    const int first = static_cast<int>(random() % static_cast<unsigned>(total));
    std::vector<ProcessUsage> usage{{first, false}, {0, false}}, view[2] = {{usage[1]}, {usage[0]}};
    for (int step = 0; step < 300; ++step) {
      const auto process = random() % 2;
      if (random() % 3 == 0) view[process] = {usage[1 - process]};
      if (step == 200) usage[0].stopping = true;
      const int allowed = ComputeLimits(total, usage[process], view[process]).descriptors;
      const int target = static_cast<int>(random() % static_cast<unsigned>(total));
      int& own = usage[process].descriptors;
      if (own < std::min(target, allowed))
        own += 1 + static_cast<int>(random() % 8) % (std::min(target, allowed) - own);
      if (own > std::min(target, allowed)) --own;
      ASSERT_LE(usage[0].descriptors + usage[1].descriptors, total) << "seed " << seed << " step " << step;
    }
  }
}

TEST(ProcessRegistry, ProcessesOfOneProxySeeEachOthersUsage) {
  const testing::TemporaryFolder folder;
  ProcessRegistry first(folder.path(), "n1"), second(folder.path(), "n1");
  ASSERT_TRUE(first.joined() && second.joined());
  second.Publish({77, true});
  ASSERT_EQ(first.OtherProcesses().size(), 1u);
  EXPECT_EQ(first.OtherProcesses()[0].descriptors, 77);
  EXPECT_TRUE(first.OtherProcesses()[0].stopping);
  EXPECT_EQ(second.OtherProcesses()[0].descriptors, 0);
  EXPECT_TRUE(ProcessRegistry(folder.path(), "n2").OtherProcesses().empty());  // another proxy
}

TEST(ProcessRegistry, SlotsOfEndedProcessesAreReusedWithoutStaleUsage) {
  const testing::TemporaryFolder folder;
  ProcessRegistry first(folder.path(), "n1");
  for (int upgrade = 0; upgrade < 10; ++upgrade) {
    ProcessRegistry next(folder.path(), "n1");
    ASSERT_TRUE(next.joined()) << next.failure_reason();
    next.Publish({500, true});
    EXPECT_EQ(first.OtherProcesses().size(), 1u);
  }
  EXPECT_TRUE(first.OtherProcesses().empty());
  ProcessRegistry after(folder.path(), "n1");
  EXPECT_EQ(first.OtherProcesses()[0].descriptors, 0);  // not the usage of the previous owner of the slot
}

TEST(ProcessRegistry, FailsToJoinIfAllSlotsAreInUseOrTheFolderIsMissing) {
  const testing::TemporaryFolder folder;
  ProcessRegistry first(folder.path(), "n1"), second(folder.path(), "n1"), third(folder.path(), "n1"),
      fourth(folder.path(), "n1");
  EXPECT_TRUE(third.joined());
  EXPECT_FALSE(fourth.joined());
  EXPECT_FALSE(fourth.failure_reason().empty());
  EXPECT_TRUE(fourth.OtherProcesses().empty());
  ProcessRegistry missing(folder / "missing", "n1");
  EXPECT_FALSE(missing.joined());
  EXPECT_NE(missing.failure_reason().find("missing"), std::string::npos);
  missing.Publish({1, false});
}

TEST(ProcessRegistry, IgnoresGarbageInTheFolder) {
  const testing::TemporaryFolder folder;
  folder.Write("kestrelline-n1.0.lock", std::string(100000, 'x'));
  folder.Write("kestrelline-n1.1.lock", "");
  std::filesystem::create_directory(folder / "kestrelline-n1.2.lock");
  ProcessRegistry first(folder.path(), "n1"), second(folder.path(), "n1");
  ASSERT_TRUE(first.joined() && second.joined());
  EXPECT_EQ(first.OtherProcesses().size(), 1u);
  EXPECT_EQ(first.OtherProcesses()[0].descriptors, 0);
  EXPECT_TRUE(ProcessRegistry(folder.path(), "../n1/\n").joined());  // the name is not used as a path
  EXPECT_FALSE(std::filesystem::exists(folder / "../n1"));
}

}  // namespace
}  // namespace kestrelline::shared_limits

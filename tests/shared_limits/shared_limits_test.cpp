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

TEST(Share, AloneAProcessHasAll) {
  EXPECT_EQ(ComputeLimits(384, {100, false}, {}).descriptors, 384);
  EXPECT_EQ(ComputeLimits(384, {100, false}, {}).memory, 1);
}

TEST(Share, WhoHoldsMoreThanItsHalfOnlyShrinksAndTheOtherHasTheRest) {
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
TEST(Share, TogetherTheyNeverGrowPastTheTotal) {
  for (unsigned seed = 0; seed < 500; ++seed) {
    std::mt19937 random(seed);
    const int total = 128 + static_cast<int>(random() % 1000);
    const int first = static_cast<int>(random() % static_cast<unsigned>(total));
    std::vector<ProcessUsage> now{{first, false}, {0, false}}, seen[2] = {{now[1]}, {now[0]}};
    for (int step = 0; step < 300; ++step) {
      const auto i = random() % 2;
      if (random() % 3 == 0) seen[i] = {now[1 - i]};
      if (step == 200) now[0].leaving = true;
      const int allowed = ComputeLimits(total, now[i], seen[i]).descriptors;
      const int wish = static_cast<int>(random() % static_cast<unsigned>(total));
      int& mine = now[i].descriptors;
      if (mine < std::min(wish, allowed))
        mine += 1 + static_cast<int>(random() % 8) % (std::min(wish, allowed) - mine);
      if (mine > std::min(wish, allowed)) --mine;
      ASSERT_LE(now[0].descriptors + now[1].descriptors, total) << "seed " << seed << " step " << step;
    }
  }
}

TEST(ProcessRegistry, ProcessesOfOneFolderSeeEachOtherAndWhatTheySay) {
  const testing::TemporaryFolder folder;
  ProcessRegistry first(folder.path(), "n1"), second(folder.path(), "n1");
  ASSERT_TRUE(first.joined() && second.joined());
  second.Publish({77, true});
  ASSERT_EQ(first.OtherProcesses().size(), 1u);
  EXPECT_EQ(first.OtherProcesses()[0].descriptors, 77);
  EXPECT_TRUE(first.OtherProcesses()[0].leaving);
  EXPECT_EQ(second.OtherProcesses()[0].descriptors, 0);
  EXPECT_TRUE(ProcessRegistry(folder.path(), "n2").OtherProcesses().empty());  // another proxy
}

TEST(ProcessRegistry, WhoEndsLeavesNothingFalseAndItsPlaceIsTakenAgain) {
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

TEST(ProcessRegistry, AFourthProcessAndAFolderThatIsNoneServeAlone) {
  const testing::TemporaryFolder folder;
  ProcessRegistry a(folder.path(), "n1"), b(folder.path(), "n1"), c(folder.path(), "n1"),
      d(folder.path(), "n1");
  EXPECT_TRUE(c.joined());
  EXPECT_FALSE(d.joined());
  EXPECT_FALSE(d.failure_reason().empty());
  EXPECT_TRUE(d.OtherProcesses().empty());
  ProcessRegistry nowhere(folder / "missing", "n1");
  EXPECT_FALSE(nowhere.joined());
  EXPECT_NE(nowhere.failure_reason().find("missing"), std::string::npos);
  nowhere.Publish({1, false});
}

TEST(ProcessRegistry, GarbageInTheFolderSaysNothing) {
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

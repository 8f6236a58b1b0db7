// SPDX-License-Identifier: Apache-2.0
//
// Virtual time, and the servers' model in it against queues whose answers are known.
#include "sim/kernel.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <unordered_map>
#include <vector>

#include "standin/converter_model.h"

namespace kestrelline::sim {
namespace {

std::vector<int> OrderOf(std::uint64_t seed) {
  Kernel kernel(seed);
  std::vector<int> order;
  for (int n = 0; n < 50; ++n) kernel.At(Microseconds(n / 10), [&order, n] { order.push_back(n); });
  while (kernel.Step(Microseconds(100))) {
  }
  return order;
}

TEST(Kernel, MomentsComeInTheirOrderAndWithinOneTheSeedDraws) {
  const auto one = OrderOf(1);
  ASSERT_EQ(one.size(), 50u);
  for (std::size_t k = 1; k < one.size(); ++k) EXPECT_LE(one[k - 1] / 10, one[k] / 10);
  EXPECT_EQ(one, OrderOf(1));
  EXPECT_NE(one, OrderOf(2));
}

TEST(Kernel, WhatIsScheduledForThePastComesNowAndAfterWhatCausedIt) {
  Kernel kernel(1);
  std::vector<int> order;
  kernel.At(Microseconds(10), [&] {
    order.push_back(1);
    kernel.At(Microseconds(3), [&] {
      order.push_back(2);
      EXPECT_EQ(kernel.now(), Microseconds(10));
    });
  });
  while (kernel.Step(Microseconds(20))) {
  }
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
  EXPECT_EQ(kernel.now(), Microseconds(20));
}

// A tick a second for a week: not a microsecond is lost.
TEST(Kernel, AWeekDoesNotDrift) {
  Kernel kernel(1);
  constexpr std::int64_t kTicks = 7LL * 24 * 3600;
  std::int64_t ticks = 0;
  std::function<void()> tick = [&] {
    ASSERT_EQ(kernel.now().count(), ++ticks * 1000000);
    if (ticks < kTicks) kernel.After(Microseconds(1000000), tick);
  };
  kernel.At(Microseconds(1000000), tick);
  while (kernel.Step(Microseconds::max())) {
  }
  EXPECT_EQ(kernel.events(), static_cast<std::uint64_t>(kTicks));
  EXPECT_EQ(kernel.now(), Microseconds::max());
}

TEST(Kernel, MemoryIsThatOfWhatIsPending) {
  Kernel kernel(1);
  std::function<void()> again = [&] { kernel.After(Microseconds(1), again); };
  for (int n = 0; n < 10; ++n) kernel.At(Microseconds(0), again);
  for (int n = 0; n < 100000; ++n) {
    kernel.Step(Microseconds::max());
    ASSERT_EQ(kernel.pending(), 10u);
  }
}

// The mean time at a server, in seconds: batches of `batch` at Poisson moments, exponential work of mean 10
// ms.
double MeanTime(int cores, int batch, double load) {
  constexpr double kWork = 0.01;
  Kernel kernel(20261201);
  std::mt19937_64 draw(7);
  standin::ConverterModel model(cores, 1, 1000000, 1, Microseconds(0));
  std::exponential_distribution<> between(load * cores / kWork / batch), work(1 / kWork);
  std::unordered_map<standin::JobId, Microseconds> came;
  Microseconds wakes{-1};
  double sum = 0;
  std::uint64_t done = 0, id = 0;
#ifdef __SANITIZE_ADDRESS__
  constexpr std::uint64_t kJobs = 200000;
#else
  constexpr std::uint64_t kJobs = 1000000;
#endif
  std::function<void()> wake = [&] {
    if (const auto next = model.Next(); next && (wakes.count() < 0 || *next < wakes)) {
      wakes = *next;
      kernel.At(*next, [&] {
        wakes = Microseconds(-1);
        for (const auto job : model.Advance(kernel.now())) {
          sum += static_cast<double>((kernel.now() - came.at(job)).count()) / 1e6;
          came.erase(job), ++done;
        }
        wake();
      });
    }
  };
  std::function<void()> arrive = [&] {
    for (int n = 0; n < batch; ++n) {
      came[++id] = kernel.now();
      EXPECT_TRUE(model.Offer(id, work(draw), kernel.now()));
    }
    wake();
    if (id < kJobs) kernel.After(Microseconds(std::llround(between(draw) * 1e6)), arrive);
  };
  kernel.At(Microseconds(0), arrive);
  while (kernel.Step(Microseconds::max())) {
  }
  EXPECT_EQ(done, id);
  return sum / static_cast<double>(done);
}

TEST(ServerModel, OneCoreIsTheQueueOfTheBooks) {
  for (const double load : {0.5, 0.8})
    EXPECT_NEAR(MeanTime(1, 1, load) / (0.01 / (1 - load)), 1, 0.05) << load;
}

TEST(ServerModel, SeveralCoresAreErlangsQueue) {
  constexpr int kCores = 4;
  constexpr double kLoad = 0.8, kOffered = kCores * kLoad;
  double sum = 0, term = 1;  // of a^k / k!
  for (int k = 0; k < kCores; ++k) sum += term, term *= kOffered / (k + 1);
  const double waits = term / (1 - kLoad) / (sum + term / (1 - kLoad));
  EXPECT_NEAR(MeanTime(kCores, 1, kLoad) / (0.01 + waits * 0.01 / (kCores * (1 - kLoad))), 1, 0.05);
}

TEST(ServerModel, BatchesWaitForEachOther) {
  constexpr int kBatch = 5;
  constexpr double kLoad = 0.6;
  const double in_system = kLoad * (1 + kBatch) / (2 * (1 - kLoad));
  EXPECT_NEAR(MeanTime(1, kBatch, kLoad) / (in_system * 0.01 / kLoad), 1, 0.05);
}

}  // namespace
}  // namespace kestrelline::sim

// SPDX-License-Identifier: Apache-2.0
//
// What is said of paired runs: intervals that hold what they promise, effects found, and chance not taken for
// one.
#include "lab/statistics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace kestrelline::lab {
namespace {

// Unoptimised code is thirty times slower; the cases are the same ones every time.
#ifdef __SANITIZE_ADDRESS__
constexpr int kPart = 10;
#else
constexpr int kPart = 1;
#endif

// Skewed, as latencies and losses are: exp of a normal, less its mean.
double Skewed(std::mt19937_64& draw) {
  std::normal_distribution<double> normal(0, 0.7);
  return std::exp(normal(draw)) - std::exp(0.7 * 0.7 / 2);
}
double Even(std::mt19937_64& draw) { return std::normal_distribution<double>(0, 1)(draw); }

using Draw = double (*)(std::mt19937_64&);

TEST(Statistics, IntervalsHoldTheMeanAsOftenAsTheySay) {
  const std::pair<Draw, double> laws[] = {{Even, 0.92}, {Skewed, 0.86}};
  for (const auto& [draw_one, least] : laws) {
    std::mt19937_64 draw(1);
    int held = 0;
    constexpr int kTimes = 400 / kPart;
    for (int time = 0; time < kTimes; ++time) {
      std::vector<double> values(8);
      for (double& v : values) v = draw_one(draw);
      const Estimate e = MeanOf(values, 0.95, static_cast<std::uint64_t>(time));
      held += e.low <= 0 && 0 <= e.high;
      EXPECT_LE(e.low, e.mean);
      EXPECT_GE(e.high, e.mean);
    }
    EXPECT_GE(held, (least - 0.05 * (kPart > 1)) * kTimes);
    EXPECT_LE(held, 0.99 * kTimes + (kPart > 1));
  }
}

TEST(Statistics, OfNoDifferenceNoMoreIsFoundThanChanceAllows) {
  std::mt19937_64 draw(2);
  int found = 0;
  constexpr int kTimes = 1000 / kPart;
  for (int time = 0; time < kTimes; ++time) {
    std::vector<double> a(10), b(10);
    for (std::size_t i = 0; i < a.size(); ++i) {
      const double day = 20 * Even(draw);  // what the days have in common
      a[i] = day + Even(draw), b[i] = day + Even(draw);
    }
    std::vector<Difference> alone{PairedDifference(a, b, 0.95, 7)};
    Judge(&alone, 0.95);
    found += alone[0].significant;
  }
  EXPECT_LE(found, 0.07 * kTimes + 3 * (kPart > 1));
  EXPECT_GE(found, 0.02 * kTimes - 2 * (kPart > 1));  // the test is not deaf
}

TEST(Statistics, AnEffectThatTheDaysWouldHideIsFoundInPairs) {
  std::mt19937_64 draw(3);
  int found = 0;
  for (int time = 0; time < 200 / kPart; ++time) {
    std::vector<double> a(10), b(10);
    for (std::size_t i = 0; i < a.size(); ++i) {
      const double day = 20 * Even(draw);
      a[i] = day + Even(draw), b[i] = day + 2 + Even(draw);
    }
    std::vector<Difference> alone{PairedDifference(a, b, 0.95, 7)};
    Judge(&alone, 0.95);
    found += alone[0].significant && alone[0].of.mean > 0;
  }
  EXPECT_GE(found, 180 / kPart);
}

TEST(Statistics, AmongManyComparisonsNoneStandsOutByChance) {
  std::mt19937_64 draw(4);
  int any = 0;
  for (int time = 0; time < 200 / kPart; ++time) {
    std::vector<Difference> family;
    for (int k = 0; k < 20; ++k) {
      std::vector<double> a(12), b(12);
      for (std::size_t i = 0; i < a.size(); ++i) a[i] = Even(draw), b[i] = Even(draw);
      family.push_back(PairedDifference(a, b, 0.95, 7));
    }
    Judge(&family, 0.95);
    any += std::any_of(family.begin(), family.end(), [](const auto& d) { return d.significant; });
  }
  EXPECT_LE(any, 18 / kPart + 2 * (kPart > 1));  // 5 % of 200, and what chance adds to that
}

TEST(Statistics, TooFewDaysSayNothingHoweverFarApart) {
  std::vector<Difference> family{
      PairedDifference(std::vector<double>{1, 2, 3, 4}, std::vector<double>{101, 102, 103, 104}, 0.95, 1)};
  Judge(&family, 0.95);
  EXPECT_TRUE(family[0].too_few);
  EXPECT_FALSE(family[0].significant);
  EXPECT_DOUBLE_EQ(family[0].of.mean, 100);
  const std::vector<double> a{1, 2, 3, 4, 5, 6}, b{101, 102, 103, 104, 105, 106};
  family = {PairedDifference(a, b, 0.95, 1)};
  Judge(&family, 0.95);
  EXPECT_FALSE(family[0].too_few);
  EXPECT_TRUE(family[0].significant);
}

TEST(Statistics, TheSameIsNoDifferenceAndNothingIsNothing) {
  const std::vector<double> a{0.1, 0.2, 0.7, 0.3, 0.9, 0.4, 0.5};
  const Difference same = PairedDifference(a, a, 0.95, 1);
  EXPECT_EQ(same.of.mean, 0);
  EXPECT_EQ(same.p, 1);
  const Difference none = PairedDifference({}, {}, 0.95, 1);
  EXPECT_EQ(none.of.blocks, 0u);
  EXPECT_TRUE(none.too_few);
}

TEST(Statistics, OneSeedHasOneAnswerAndLargeSamplesAgreeWithAllFlips) {
  std::mt19937_64 draw(5);
  std::vector<double> a(14), b(14);
  for (std::size_t i = 0; i < a.size(); ++i) a[i] = Even(draw), b[i] = 0.5 + Even(draw);
  const Difference once = PairedDifference(a, b, 0.95, 9), again = PairedDifference(a, b, 0.95, 9);
  EXPECT_EQ(once.of.low, again.of.low);
  EXPECT_EQ(once.p, again.p);
  // 15 blocks are flipped by chance; the 15th differs by nothing, and changes nothing of the test.
  a.push_back(1), b.push_back(1);
  EXPECT_NEAR(PairedDifference(a, b, 0.95, 9).p, once.p, 0.02);
}

}  // namespace
}  // namespace kestrelline::lab

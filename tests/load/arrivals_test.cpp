// SPDX-License-Identifier: Apache-2.0
//
// Arrivals: from a seed, as many as their rate says, spread as they should be.
#include "load/arrivals.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace kestrelline::load {
namespace {

Mixture Plain(Shape shape, double seconds, Spacing spacing = Spacing::kPoisson) {
  Mixture m;
  m.shapes = {std::move(shape)};
  m.spacing = spacing;
  m.classes = {{"preview", 48, 100, 200}, {"convert", 29, 0, 65536}, {"certify", 23, 1, 1}};
  m.seconds = seconds;
  return m;
}

std::vector<Arrival> All(const Mixture& mixture, std::uint64_t seed) {
  EXPECT_EQ(Wrong(mixture), "");
  Arrivals arrivals(mixture, seed);
  std::vector<Arrival> all;
  while (const auto next = arrivals.Next()) all.push_back(*next);
  EXPECT_FALSE(arrivals.Next()) << "over for good";
  return all;
}

TEST(Arrivals, TheSameSeedGivesTheSameAndAnotherDoesNot) {
  Mixture m = Plain(Sine{400, 200, 3}, 5);
  m.keys = 2400, m.tenants = {1, 2, 3};
  EXPECT_EQ(All(m, 7), All(m, 7));
  EXPECT_NE(All(m, 7), All(m, 8));
}

TEST(Arrivals, AnotherMixtureKeepsTheTimes) {
  Mixture one = Plain(Constant{500}, 4), two = one;
  two.classes = {{"only", 1, 0, 0}};
  const auto a = All(one, 7), b = All(two, 7);
  ASSERT_EQ(a.size(), b.size());
  for (std::size_t i = 0; i < a.size(); ++i) EXPECT_EQ(a[i].at, b[i].at);
}

// The integral against sums of small steps of the rate itself.
TEST(Arrivals, IntegralsAreThoseOfTheRates) {
  const auto rate = [](const Shape& shape, double t) {
    return (ArrivedBy(shape, t + 1e-6) - ArrivedBy(shape, t)) / 1e-6;
  };
  const Shape ramp = Ramp{100, 300, 4}, sine = Sine{100, 50, 2}, steps = Steps{{10, 30, 20}, 2},
              bursts = Bursts{90, 5, 1};
  for (const auto& [shape, t, expected] : {std::tuple{ramp, 0.0, 100.0},
                                           {ramp, 2.0, 200.0},
                                           {ramp, 9.0, 300.0},
                                           {sine, 0.5, 150.0},
                                           {sine, 1.5, 50.0},
                                           {steps, 1.0, 10.0},
                                           {steps, 3.0, 30.0},
                                           {steps, 50.0, 20.0},
                                           {bursts, 0.5, 90.0},
                                           {bursts, 2.0, 0.0},
                                           {bursts, 5.5, 90.0}})
    EXPECT_NEAR(rate(shape, t), expected, 0.01 * std::max(1.0, expected)) << shape.index() << " at " << t;
  EXPECT_NEAR(ArrivedBy(ramp, 4), 800, 1e-9);
  EXPECT_NEAR(ArrivedBy(steps, 6), 120, 1e-9);
  EXPECT_NEAR(ArrivedBy(bursts, 10), 180, 1e-9);
}

TEST(Arrivals, EvenSpacingIsEvenAndInOrder) {
  const auto all = All(Plain(Constant{1000}, 2, Spacing::kEven), 1);
  ASSERT_EQ(all.size(), 2000u);
  for (std::size_t i = 0; i < all.size(); ++i)
    EXPECT_NEAR(all[i].at.count(), 1000.0 * (static_cast<double>(i) + 1), 2);
}

TEST(Arrivals, NothingArrivesWhileTheRateIsNothing) {
  const auto all = All(Plain(Steps{{0, 200, 0, 200}, 1}, 4), 3);
  EXPECT_GT(all.size(), 300u);
  EXPECT_TRUE(
      std::is_sorted(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; }));
  for (const Arrival& a : all) {
    const auto second = a.at.count() / 1000000;
    EXPECT_TRUE(second == 1 || second >= 3) << a.at.count();
  }
}

// Kolmogorov-Smirnov at 1 %: gaps of a Poisson process are exponential. Fixed seeds, so the verdict is too.
TEST(Arrivals, PoissonGapsAreExponential) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const auto all = All(Plain(Constant{1000}, 20), seed);
    std::vector<double> gaps;
    for (std::size_t i = 1; i < all.size(); ++i)
      gaps.push_back(static_cast<double>((all[i].at - all[i - 1].at).count()) / 1e6);
    std::sort(gaps.begin(), gaps.end());
    const auto n = static_cast<double>(gaps.size());
    double distance = 0;
    for (std::size_t i = 0; i < gaps.size(); ++i) {
      const double expected = 1 - std::exp(-1000 * gaps[i]);
      distance = std::max({distance, std::abs(static_cast<double>(i) / n - expected),
                           std::abs(static_cast<double>(i + 1) / n - expected)});
    }
    EXPECT_LT(distance, 1.63 / std::sqrt(n) + 1e-3) << "seed " << seed;  // times are told in microseconds
    EXPECT_NEAR(n, 20000, 4 * std::sqrt(20000));
  }
}

// The statistic of chi-squared over cells, against its mean and four deviations.
void ExpectFits(const std::vector<double>& seen, const std::vector<double>& expected) {
  double chi = 0;
  for (std::size_t i = 0; i < seen.size(); ++i) {
    ASSERT_GT(expected[i], 5);
    chi += (seen[i] - expected[i]) * (seen[i] - expected[i]) / expected[i];
  }
  const auto freedom = static_cast<double>(seen.size() - 1);
  EXPECT_LT(chi, freedom + 4 * std::sqrt(2 * freedom));
}

TEST(Arrivals, KeysFollowZipfAndClassesTheirWeights) {
  Mixture m = Plain(Constant{10000}, 10);
  m.keys = 100, m.zipf = 1.1;
  m.tenants = {3, 1};
  const auto all = All(m, 11);
  const auto n = static_cast<double>(all.size());
  std::vector<double> keys(100), classes(3), tenants(2), expected(100);
  double sum = 0;
  for (int k = 1; k <= 100; ++k) sum += std::pow(k, -1.1);
  for (std::size_t k = 0; k < 100; ++k) expected[k] = n * std::pow(static_cast<double>(k + 1), -1.1) / sum;
  for (const Arrival& a : all) {
    ASSERT_TRUE(a.key >= 1 && a.key <= 100);
    ++keys[a.key - 1], ++classes[a.request_class], ++tenants[a.tenant];
    const ClassShare& c = m.classes[a.request_class];
    EXPECT_TRUE(a.bytes >= c.least_bytes && a.bytes <= c.most_bytes);
  }
  ExpectFits(keys, expected);
  ExpectFits(classes, {0.48 * n, 0.29 * n, 0.23 * n});
  ExpectFits(tenants, {0.75 * n, 0.25 * n});
}

TEST(Arrivals, ImpossiblePlansAreRefusedInWords) {
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  const Mixture good = Plain(Constant{10}, 10);
  ASSERT_EQ(Wrong(good), "");
  const auto with = [&](auto change) {
    Mixture m = good;
    change(m);
    return Wrong(m);
  };
  for (const Shape& shape : std::vector<Shape>{
           Constant{-1}, Constant{nan}, Constant{inf}, Constant{2e6}, Constant{0}, Ramp{1, 2, 0},
           Ramp{1, nan, 1}, Ramp{-1, 2, 1}, Sine{10, 11, 1}, Sine{10, 5, 0}, Sine{10, -5, 1}, Steps{{}, 1},
           Steps{{1, -1}, 1}, Steps{{1}, 0}, Bursts{10, 1, 2}, Bursts{10, 0, 0}, Bursts{nan, 2, 1}})
    EXPECT_NE(with([&](Mixture& m) { m.shapes = {shape}; }), "") << shape.index();
  EXPECT_NE(with([](Mixture& m) { m.shapes.clear(); }), "");
  EXPECT_NE(with([](Mixture& m) { m.shapes = {Constant{1e6}}, m.seconds = 1000; }), "");
  EXPECT_NE(with([](Mixture& m) { m.seconds = 0; }), "");
  EXPECT_NE(with([&](Mixture& m) { m.seconds = inf; }), "");
  EXPECT_NE(with([](Mixture& m) { m.classes.clear(); }), "");
  EXPECT_NE(with([](Mixture& m) { m.classes[0].weight = -1; }), "");
  EXPECT_NE(with([](Mixture& m) { m.classes[0].least_bytes = 300; }), "");
  EXPECT_NE(with([](Mixture& m) { m.tenants = {0, 0}; }), "");
  EXPECT_NE(with([](Mixture& m) { m.keys = 2000000; }), "");
  EXPECT_NE(with([&](Mixture& m) { m.zipf = nan; }), "");
}

}  // namespace
}  // namespace kestrelline::load

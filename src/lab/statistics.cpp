// SPDX-License-Identifier: Apache-2.0
#include "lab/statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace kestrelline::lab {
namespace {

constexpr std::size_t kMostExact = 14;  // blocks, of whose signs all are tried

struct Moments {
  double mean = 0, error = 0;  // of the mean
};

template <typename At>
Moments MomentsOf(std::size_t n, At at) {
  Moments m;
  for (std::size_t i = 0; i < n; ++i) m.mean += at(i);
  m.mean /= static_cast<double>(n);
  double squares = 0;
  for (std::size_t i = 0; i < n; ++i) squares += (at(i) - m.mean) * (at(i) - m.mean);
  if (n > 1) m.error = std::sqrt(squares / static_cast<double>(n - 1) / static_cast<double>(n));
  return m;
}

// Of sorted values, between the two that are next to it.
double QuantileOf(const std::vector<double>& sorted, double q) {
  const double at = q * static_cast<double>(sorted.size() - 1);
  const auto below = static_cast<std::size_t>(at);
  const std::size_t above = std::min(below + 1, sorted.size() - 1);
  return sorted[below] + (at - static_cast<double>(below)) * (sorted[above] - sorted[below]);
}

// The share of all flips of signs whose mean is at least as far from 0.
double FlipTest(std::span<const double> differences, std::uint64_t seed) {
  const std::size_t n = differences.size();
  const double seen = std::abs(std::accumulate(differences.begin(), differences.end(), 0.0));
  // What rounding alone tells apart is the same.
  double size = 0;
  for (const double d : differences) size += std::abs(d);
  const double as_far = seen - 1e-12 * size;
  const auto sum = [&](std::uint64_t signs) {
    double total = 0;
    for (std::size_t i = 0; i < n; ++i) total += (signs >> (i % 64)) & 1 ? differences[i] : -differences[i];
    return std::abs(total);
  };
  std::uint64_t far = 0;
  if (n <= kMostExact) {
    const std::uint64_t all = std::uint64_t{1} << n;
    for (std::uint64_t signs = 0; signs < all; ++signs) far += sum(signs) >= as_far;
    return static_cast<double>(far) / static_cast<double>(all);
  }
  std::mt19937_64 draw(seed);
  constexpr std::uint64_t kFlips = 10000;
  for (std::uint64_t flip = 0; flip < kFlips; ++flip) {
    double total = 0;
    std::uint64_t signs = 0;
    for (std::size_t i = 0; i < n; ++i) {
      if (i % 64 == 0) signs = draw();
      total += (signs >> (i % 64)) & 1 ? differences[i] : -differences[i];
    }
    far += std::abs(total) >= as_far;
  }
  return (static_cast<double>(far) + 1) / (kFlips + 1);  // what was seen is one of them
}

}  // namespace

Estimate MeanOf(std::span<const double> values, double confidence, std::uint64_t seed) {
  Estimate estimate;
  estimate.blocks = values.size();
  if (values.empty()) return estimate;
  const Moments seen = MomentsOf(values.size(), [&](std::size_t i) { return values[i]; });
  estimate.mean = estimate.low = estimate.high = seen.mean;
  if (seen.error <= 0) return estimate;  // one, or all alike
  std::mt19937_64 draw(seed);
  std::vector<std::size_t> picked(values.size());
  std::vector<double> ratios;
  ratios.reserve(kDraws);
  for (int d = 0; d < kDraws; ++d) {
    for (auto& pick : picked) pick = static_cast<std::size_t>(draw() % values.size());
    const Moments again = MomentsOf(values.size(), [&](std::size_t i) { return values[picked[i]]; });
    // All the same block: says nothing of the spread.
    if (again.error > 1e-9 * seen.error) ratios.push_back((again.mean - seen.mean) / again.error);
  }
  std::sort(ratios.begin(), ratios.end());
  const double tail = (1 - confidence) / 2;
  estimate.low = seen.mean - QuantileOf(ratios, 1 - tail) * seen.error;
  estimate.high = seen.mean - QuantileOf(ratios, tail) * seen.error;
  return estimate;
}

Difference PairedDifference(std::span<const double> a, std::span<const double> b, double confidence,
                            std::uint64_t seed) {
  std::vector<double> differences(std::min(a.size(), b.size()));
  for (std::size_t i = 0; i < differences.size(); ++i) differences[i] = b[i] - a[i];
  Difference difference;
  difference.of = MeanOf(differences, confidence, seed);
  if (differences.empty()) return difference;
  difference.p = FlipTest(differences, seed);
  difference.too_few = std::pow(2.0, 1 - static_cast<double>(differences.size())) > 1 - confidence;
  return difference;
}

void Judge(std::vector<Difference>* family, double confidence) {
  std::vector<std::size_t> order(family->size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t x, std::size_t y) { return (*family)[x].p < (*family)[y].p; });
  bool on = true;
  for (std::size_t k = 0; k < order.size(); ++k) {
    Difference& d = (*family)[order[k]];
    on = on && !d.too_few && d.p <= (1 - confidence) / static_cast<double>(order.size() - k);
    d.significant = on;
  }
}

}  // namespace kestrelline::lab

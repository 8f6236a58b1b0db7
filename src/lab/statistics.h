// SPDX-License-Identifier: Apache-2.0
//
// What may be said of runs that were played in pairs: of two variants on the same days. No I/O, no clock; the
// chance in it comes from a seed, so that a report is the same each time.
//
// Intervals are by the studentised bootstrap over blocks (Efron and Tibshirani, An Introduction to the
// Bootstrap, 12.5): with the six to twenty blocks of an experiment the plain percentiles are too narrow.
// Tests are by flipping the signs of the blocks' differences, which needs no assumption but their symmetry
// where nothing differs.
#ifndef KESTRELLINE_LAB_STATISTICS_H_
#define KESTRELLINE_LAB_STATISTICS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace kestrelline::lab {

struct Estimate {
  double mean = 0;
  double low = 0, high = 0;  // the interval of confidence
  std::size_t blocks = 0;    // none: nothing is known
};

struct Difference {
  Estimate of;   // b - a, block by block
  double p = 1;  // how often chance alone shows as much, either way
  // As few blocks as these could not show anything, however large: 2^(1-blocks) is above 1 - confidence.
  bool too_few = true;
  // Whether it differs, among all that are looked at beside it: see Judge.
  bool significant = false;
};

inline constexpr int kDraws = 2000;
inline constexpr double kLeastConfidence = 0.5, kMostConfidence = 0.999;

// `confidence` between the two above.
Estimate MeanOf(std::span<const double> values, double confidence, std::uint64_t seed);

// Of the same blocks, in the same order; sizes are equal.
Difference PairedDifference(std::span<const double> a, std::span<const double> b, double confidence,
                            std::uint64_t seed);

// Among many comparisons some stand out by chance alone: those that do not by Holm's steps keep the rate of
// any false alarm at all under 1 - confidence.
void Judge(std::vector<Difference>* family, double confidence);

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_STATISTICS_H_

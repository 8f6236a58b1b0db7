// SPDX-License-Identifier: Apache-2.0
//
// Successive halving: the best is found with a part of the runs, the base stays, and whoever breaks a rule is
// out.
#include "lab/halving.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace kestrelline::lab {
namespace {

constexpr Halving::Options kOptions{3, 12, 1.0 / 3};

// Plays it to its end; the number of runs.
template <typename Response>
std::size_t PlayAll(Halving* halving, Response response) {
  std::size_t runs = 0;
  while (!halving->over()) {
    const auto wanted = halving->Wanted();
    EXPECT_FALSE(wanted.empty());
    if (wanted.empty()) break;
    for (const Cell& cell : wanted) halving->Give(cell, response(cell)), ++runs;
  }
  return runs;
}

TEST(Halving, FindsTheBestWithAPartOfTheRuns) {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 draw(seed);
    std::normal_distribution<double> noise(0, 0.5);
    std::map<std::size_t, double> day;
    for (std::size_t block = 0; block < 12; ++block) day[block] = 10 * noise(draw);
    Halving halving(27, kOptions);
    const std::size_t runs = PlayAll(&halving, [&](Cell cell) -> std::optional<double> {
      return day[cell.block] + (cell.variant == 17 ? 2 : 0) + noise(draw);
    });
    EXPECT_LE(runs, Halving::MostRuns(27, kOptions));
    EXPECT_LT(runs, 27u * 12 / 2);
    found += halving.winner() == 17u;
  }
  EXPECT_GE(found, 45);
}

TEST(Halving, TheBaseIsPlayedToTheEndWhateverItReaches) {
  Halving halving(9, kOptions);
  std::set<std::size_t> base_blocks;
  PlayAll(&halving, [&](Cell cell) -> std::optional<double> {
    if (cell.variant == 0) base_blocks.insert(cell.block);
    return cell.variant == 0 ? -100 : static_cast<double>(cell.variant);
  });
  EXPECT_EQ(base_blocks.size(), 12u);
  EXPECT_EQ(halving.winner(), 8u);
  EXPECT_EQ(halving.left().size(), 2u);
}

TEST(Halving, TheBaseMayWin) {
  Halving halving(5, kOptions);
  PlayAll(&halving, [](Cell cell) -> std::optional<double> { return -static_cast<double>(cell.variant); });
  EXPECT_EQ(halving.winner(), 0u);
}

TEST(Halving, WhoeverBreaksARuleIsOutHoweverGood) {
  Halving halving(6, kOptions);
  PlayAll(&halving, [](Cell cell) -> std::optional<double> {
    if (cell.variant == 5 && cell.block == 2) return std::nullopt;
    return static_cast<double>(cell.variant);
  });
  EXPECT_EQ(halving.winner(), 4u);
  Halving none(3, kOptions);
  PlayAll(&none, [](Cell) -> std::optional<double> { return std::nullopt; });
  EXPECT_TRUE(none.over());
  EXPECT_FALSE(none.winner());
  Halving nan(2, kOptions);
  PlayAll(&nan, [](Cell cell) -> std::optional<double> { return cell.variant == 1 ? std::nan("") : 1; });
  EXPECT_EQ(nan.winner(), 0u);
}

TEST(Halving, WhatWasNotAskedForChangesNothing) {
  Halving halving(4, kOptions);
  halving.Give({99, 0}, 1e9);
  halving.Give({1, 500}, 1e9);
  const auto wanted = halving.Wanted();
  EXPECT_EQ(wanted.size(), 4u * 3);
  halving.Give(wanted[1], 5);
  halving.Give(wanted[1], -5);  // known already
  EXPECT_EQ(halving.Wanted().size(), 4u * 3 - 1);
  // No candidate is ahead of another by more than a block.
  for (std::size_t i = 1; i < wanted.size(); ++i) EXPECT_LE(wanted[i - 1].block, wanted[i].block);
}

TEST(Halving, OneVariantIsNoSearch) {
  EXPECT_TRUE(Halving(1, kOptions).over());
  EXPECT_TRUE(Halving(0, kOptions).over());
  EXPECT_EQ(Halving::MostRuns(1, kOptions), 0u);
}

}  // namespace
}  // namespace kestrelline::lab

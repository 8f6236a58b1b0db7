// SPDX-License-Identifier: Apache-2.0
//
// Checks when the last byte of a request is delayed, and for how long.
#include "handover/last_byte.h"

#include <gtest/gtest.h>

#include <random>

namespace kestrelline::handover {
namespace {

constexpr Duration kUseful{500};

TimePoint At(double ms) { return TimePoint(Duration(1e7 + ms)); }

// Records `n` attempts, one per millisecond, of which every `each`-th breaks `after` its first byte. Returns
// the time after the last one.
double Play(LastByte* last, double from, int n, int each, Duration after) {
  for (int i = 0; i < n; ++i) last->OnEnded(At(from + i), after, each > 0 && i % each == 0);
  return from + n;
}

TEST(LastByte, IsNotHeldWhereNothingBreaks) {
  LastByte last;
  EXPECT_EQ(last.WaitFor(At(0), Effect::kUnsafe, kUseful), Duration(0));
  const double now = Play(&last, 0, 5000, 0, Duration(20));
  EXPECT_EQ(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
}

TEST(LastByte, IsHeldForAsLongAsMostBreaksTake) {
  LastByte soon, later;
  double now = Play(&soon, 0, 2000, 20, Duration(0.1));
  EXPECT_EQ(soon.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0.25));
  now = Play(&later, 0, 2000, 20, Duration(0.8));
  EXPECT_EQ(later.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(1));
}

TEST(LastByte, BreaksInTheMiddleOfTheWorkAreNoReason) {
  LastByte last;
  const double now = Play(&last, 0, 2000, 5, Duration(15));
  EXPECT_EQ(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
}

TEST(LastByte, WhatMayBeRepeatedWaitsForMoreOfThem) {
  LastByte few, many;
  double now = Play(&few, 0, 2000, 200, Duration(0.9));  // one in 200
  EXPECT_GT(few.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
  EXPECT_EQ(few.WaitFor(At(now), Effect::kSafe, kUseful), Duration(0));
  now = Play(&many, 0, 2000, 10, Duration(0.9));
  EXPECT_GT(many.WaitFor(At(now), Effect::kSafe, kUseful), Duration(0));
  EXPECT_GT(many.WaitFor(At(now), Effect::kKeyed, kUseful), Duration(0));
  // A delay that takes a large part of the remaining time costs more than it saves.
  EXPECT_EQ(many.WaitFor(At(now), Effect::kSafe, Duration(5)), Duration(0));
  EXPECT_EQ(many.WaitFor(At(now), Effect::kUnsafe, Duration(0)), Duration(0));
}

TEST(LastByte, ALoneBreakIsNoReasonAndThoseOfThePastAreForgotten) {
  LastByte last;
  last.OnEnded(At(0), Duration(0.1), true);
  EXPECT_EQ(last.WaitFor(At(1), Effect::kUnsafe, kUseful), Duration(0));
  double now = Play(&last, 1, 500, 10, Duration(0.1));
  EXPECT_GT(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
  EXPECT_EQ(last.WaitFor(At(now + 60000), Effect::kUnsafe, kUseful), Duration(0));
  // The same if requests succeed in the meantime.
  now = Play(&last, now, 60000, 0, Duration(20));
  EXPECT_EQ(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
}

// While bytes are delayed, breaks within the delay are still observed, so that the decision does not
// oscillate.
TEST(LastByte, HoldsOnWhileItGoesOn) {
  LastByte last;
  double now = Play(&last, 0, 1000, 20, Duration(0.1));
  std::mt19937_64 draw(1);
  for (int i = 0; i < 20000; ++i) {
    const Duration wait = last.WaitFor(At(now), Effect::kUnsafe, kUseful);
    ASSERT_GT(wait, Duration(0)) << i;
    const bool breaks = draw() % 20 == 0;
    last.OnEnded(At(++now), breaks ? Duration(0.1) : Duration(30), breaks);
  }
}

TEST(LastByte, AClockThatStandsStillOrGoesBackDoesNoHarm) {
  LastByte last;
  for (int i = 0; i < 100; ++i) last.OnEnded(At(1000 - i), Duration(0.1), true);
  const Duration wait = last.WaitFor(At(0), Effect::kUnsafe, kUseful);
  EXPECT_GE(wait, Duration(0));
  EXPECT_LE(wait, LastByte::kDelays.back());
}

}  // namespace
}  // namespace kestrelline::handover

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

// Records `count` attempts, one per millisecond, of which every `break_every`-th (none if 0) breaks `after`
// its first byte. Returns the time after the last one.
double RecordAttempts(LastByte* last, double from, int count, int break_every, Duration after) {
  for (int i = 0; i < count; ++i) last->OnEnded(At(from + i), after, break_every > 0 && i % break_every == 0);
  return from + count;
}

TEST(LastByte, IsNotDelayedIfNoConnectionBreaks) {
  LastByte last;
  EXPECT_EQ(last.WaitFor(At(0), Effect::kUnsafe, kUseful), Duration(0));
  const double now = RecordAttempts(&last, 0, 5000, 0, Duration(20));
  EXPECT_EQ(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
}

TEST(LastByte, IsDelayedForAsLongAsMostBreaksTake) {
  LastByte early, late;
  double now = RecordAttempts(&early, 0, 2000, 20, Duration(0.1));
  EXPECT_EQ(early.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0.25));
  now = RecordAttempts(&late, 0, 2000, 20, Duration(0.8));
  EXPECT_EQ(late.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(1));
}

TEST(LastByte, LateBreaksCauseNoDelay) {
  LastByte last;
  const double now = RecordAttempts(&last, 0, 2000, 5, Duration(15));
  EXPECT_EQ(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
}

TEST(LastByte, RepeatableRequestsAreDelayedOnlyIfBreaksAreFrequent) {
  LastByte rare, frequent;
  double now = RecordAttempts(&rare, 0, 2000, 200, Duration(0.9));  // one in 200
  EXPECT_GT(rare.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
  EXPECT_EQ(rare.WaitFor(At(now), Effect::kSafe, kUseful), Duration(0));
  now = RecordAttempts(&frequent, 0, 2000, 10, Duration(0.9));
  EXPECT_GT(frequent.WaitFor(At(now), Effect::kSafe, kUseful), Duration(0));
  EXPECT_GT(frequent.WaitFor(At(now), Effect::kKeyed, kUseful), Duration(0));
  // A delay that takes a large part of the remaining time costs more than it saves.
  EXPECT_EQ(frequent.WaitFor(At(now), Effect::kSafe, Duration(5)), Duration(0));
  EXPECT_EQ(frequent.WaitFor(At(now), Effect::kUnsafe, Duration(0)), Duration(0));
}

TEST(LastByte, ASingleBreakCausesNoDelayAndOldBreaksDecay) {
  LastByte last;
  last.OnEnded(At(0), Duration(0.1), true);
  EXPECT_EQ(last.WaitFor(At(1), Effect::kUnsafe, kUseful), Duration(0));
  double now = RecordAttempts(&last, 1, 500, 10, Duration(0.1));
  EXPECT_GT(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
  EXPECT_EQ(last.WaitFor(At(now + 60000), Effect::kUnsafe, kUseful), Duration(0));
  // The same if requests succeed in the meantime.
  now = RecordAttempts(&last, now, 60000, 0, Duration(20));
  EXPECT_EQ(last.WaitFor(At(now), Effect::kUnsafe, kUseful), Duration(0));
}

// While bytes are delayed, breaks within the delay are still observed, so that the decision does not
// oscillate.
TEST(LastByte, DelayContinuesWhileBreaksContinue) {
  LastByte last;
  double now = RecordAttempts(&last, 0, 1000, 20, Duration(0.1));
  std::mt19937_64 random(1);
  for (int i = 0; i < 20000; ++i) {
    const Duration wait = last.WaitFor(At(now), Effect::kUnsafe, kUseful);
    ASSERT_GT(wait, Duration(0)) << i;
    const bool breaks = random() % 20 == 0;
    last.OnEnded(At(++now), breaks ? Duration(0.1) : Duration(30), breaks);
  }
}

TEST(LastByte, ToleratesAClockThatStopsOrGoesBack) {
  LastByte last;
  for (int i = 0; i < 100; ++i) last.OnEnded(At(1000 - i), Duration(0.1), true);
  const Duration wait = last.WaitFor(At(0), Effect::kUnsafe, kUseful);
  EXPECT_GE(wait, Duration(0));
  EXPECT_LE(wait, LastByte::kDelays.back());
}

}  // namespace
}  // namespace kestrelline::handover

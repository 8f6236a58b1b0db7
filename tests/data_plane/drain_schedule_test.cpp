// SPDX-License-Identifier: Apache-2.0
#include "data_plane/drain_schedule.h"

#include <gtest/gtest.h>

namespace kestrelline::data_plane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{8000};

DrainSchedule::Clock::time_point At(int ms) {
  return DrainSchedule::Clock::time_point(milliseconds(1000000 + ms));
}

DrainSchedule Begun(milliseconds grace = kGrace) {
  DrainSchedule schedule(grace);
  schedule.Begin(At(0));
  return schedule;
}

TEST(DrainSchedule, BeforeSigtermEverythingIsTaken) {
  const DrainSchedule schedule(kGrace);
  EXPECT_TRUE(schedule.AcceptsConnections(At(0)));
  EXPECT_TRUE(schedule.Admits(At(0), At(600000), ResponseMode::kStreamed));
  EXPECT_EQ(schedule.LimitDeadline(At(600000)), At(600000));
  EXPECT_FALSE(schedule.ShouldFinalize(At(0)));
  EXPECT_FALSE(schedule.ShouldExit(At(0)));
}

TEST(DrainSchedule, ServesOnUntilThePlatformHasSeenIt) {
  const DrainSchedule schedule = Begun();
  EXPECT_TRUE(schedule.AcceptsConnections(At(2599)));
  EXPECT_FALSE(schedule.AcceptsConnections(At(2600)));
  EXPECT_TRUE(schedule.Admits(At(2599), At(9000), ResponseMode::kBuffered));
}

// A stream that lasts past the exit is cut there, however early it came.
TEST(DrainSchedule, AStreamThatMayLastLongerThanIsLeftIsNotTakenFromSigtermOn) {
  const DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.Admits(At(2599), At(7351), ResponseMode::kStreamed));
  EXPECT_FALSE(schedule.Admits(At(0), At(7351), ResponseMode::kStreamed));
  EXPECT_TRUE(schedule.Admits(At(0), At(7350), ResponseMode::kStreamed));
  EXPECT_TRUE(schedule.Admits(At(2599), At(7350), ResponseMode::kStreamed));
}

TEST(DrainSchedule, AfterThatOnlyWhatEndsInTimeIsTaken) {
  const DrainSchedule schedule = Begun();
  for (const ResponseMode mode : {ResponseMode::kBuffered, ResponseMode::kStreamed}) {
    EXPECT_TRUE(schedule.Admits(At(2600), At(7350), mode));
    EXPECT_FALSE(schedule.Admits(At(2600), At(7351), mode));
    EXPECT_FALSE(schedule.Admits(At(7400), At(7401), mode));
  }
}

// What was admitted is bounded by the time at which open requests are concluded, which lies before the exit.
TEST(DrainSchedule, WhateverIsAdmittedEndsBeforeTheExit) {
  for (const int grace : {0, 100, 500, 700, 1000, 2000, 3000, 6000, 8000, 30000}) {
    const DrainSchedule schedule = Begun(milliseconds(grace));
    for (int now = 0; now <= grace; now += 50) {
      for (int latest_end = now; latest_end < now + 20000; latest_end += 500) {
        if (!schedule.Admits(At(now), At(latest_end), ResponseMode::kBuffered)) continue;
        const auto bound = schedule.LimitDeadline(At(latest_end));
        if (schedule.Admits(At(now), At(latest_end), ResponseMode::kStreamed)) {
          EXPECT_EQ(bound, At(latest_end));
        }
        EXPECT_TRUE(schedule.ShouldFinalize(bound) || bound == At(latest_end));
        EXPECT_LE(bound, At(grace - std::min(350, grace / 12)));
      }
    }
  }
}

TEST(DrainSchedule, ConcludesBeforeItExitsAndExitsBeforeItIsKilled) {
  DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.ShouldFinalize(At(7349)));
  EXPECT_TRUE(schedule.ShouldFinalize(At(7350)));
  schedule.RecordFinalization(At(7350));
  EXPECT_FALSE(schedule.ShouldExit(At(7649)));
  EXPECT_TRUE(schedule.ShouldExit(At(7650)));
}

// A process that gets no processor time from before the conclusion until after the exit.
TEST(DrainSchedule, AConclusionThatComesLateHasItsAnswersWritten) {
  DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.ShouldExit(At(7700)));
  schedule.RecordFinalization(At(7700));
  schedule.RecordFinalization(At(7750));  // told again at each tick; the first counts
  EXPECT_FALSE(schedule.ShouldExit(At(7799)));
  EXPECT_TRUE(schedule.ShouldExit(At(7800)));
}

TEST(DrainSchedule, ItExitsBeforeItIsKilledHoweverLateTheConclusion) {
  DrainSchedule schedule = Begun();
  schedule.RecordFinalization(At(7880));
  EXPECT_FALSE(schedule.ShouldExit(At(7899)));
  EXPECT_TRUE(schedule.ShouldExit(At(7900)));
}

// Work that is cut off by the end of the process is excused in the last sixth of the grace.
TEST(DrainSchedule, TheMarginsLieInTheLastSixthOfTheGrace) {
  for (const int grace : {600, 1000, 2000, 3000, 3900, 6000, 8000, 30000}) {
    const DrainSchedule schedule = Begun(milliseconds(grace));
    EXPECT_FALSE(schedule.ShouldFinalize(At(grace * 5 / 6 - 1))) << grace;
  }
}

TEST(DrainSchedule, ASecondSigtermChangesNothing) {
  DrainSchedule schedule = Begun();
  schedule.Begin(At(5000));
  EXPECT_EQ(schedule.sigterm_at(), At(0));
  EXPECT_FALSE(schedule.AcceptsConnections(At(5000)));
}

// A process that stood still until shortly before it is killed: what is open is answered by the next tick.
TEST(DrainSchedule, ItDoesNotExitInTheTickThatConcludes) {
  DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.ShouldExit(At(7934)));
  schedule.RecordFinalization(At(7934));
  EXPECT_FALSE(schedule.ShouldExit(At(7934)));
  EXPECT_TRUE(schedule.ShouldExit(At(7984)));
}

TEST(DrainSchedule, AShortGraceLeavesHalfOfItToFinish) {
  const DrainSchedule schedule = Begun(milliseconds(2400));  // concludes after 2.0 s
  EXPECT_TRUE(schedule.AcceptsConnections(At(999)));
  EXPECT_FALSE(schedule.AcceptsConnections(At(1001)));
}

}  // namespace
}  // namespace kestrelline::data_plane

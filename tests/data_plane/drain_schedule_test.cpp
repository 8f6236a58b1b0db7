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
  EXPECT_TRUE(schedule.ServesOn(At(0)));
  EXPECT_TRUE(schedule.Admits(At(0), At(600000), AnswerForm::kStream));
  EXPECT_EQ(schedule.Bound(At(600000)), At(600000));
  EXPECT_FALSE(schedule.Concludes(At(0)));
  EXPECT_FALSE(schedule.Exits(At(0)));
}

TEST(DrainSchedule, ServesOnUntilThePlatformHasSeenIt) {
  const DrainSchedule schedule = Begun();
  EXPECT_TRUE(schedule.ServesOn(At(2599)));
  EXPECT_FALSE(schedule.ServesOn(At(2600)));
  EXPECT_TRUE(schedule.Admits(At(2599), At(9000), AnswerForm::kWhole));
}

// A stream that lasts past the exit is cut there, however early it came.
TEST(DrainSchedule, AStreamThatMayLastLongerThanIsLeftIsNotTakenFromSigtermOn) {
  const DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.Admits(At(2599), At(7351), AnswerForm::kStream));
  EXPECT_FALSE(schedule.Admits(At(0), At(7351), AnswerForm::kStream));
  EXPECT_TRUE(schedule.Admits(At(0), At(7350), AnswerForm::kStream));
  EXPECT_TRUE(schedule.Admits(At(2599), At(7350), AnswerForm::kStream));
}

TEST(DrainSchedule, AfterThatOnlyWhatEndsInTimeIsTaken) {
  const DrainSchedule schedule = Begun();
  for (const AnswerForm form : {AnswerForm::kWhole, AnswerForm::kStream}) {
    EXPECT_TRUE(schedule.Admits(At(2600), At(7350), form));
    EXPECT_FALSE(schedule.Admits(At(2600), At(7351), form));
    EXPECT_FALSE(schedule.Admits(At(7400), At(7401), form));
  }
}

// What was admitted is bounded by the time at which open requests are concluded, which lies before the exit.
TEST(DrainSchedule, WhateverIsAdmittedEndsBeforeTheExit) {
  for (const int grace : {0, 100, 500, 700, 1000, 2000, 3000, 6000, 8000, 30000}) {
    const DrainSchedule schedule = Begun(milliseconds(grace));
    for (int now = 0; now <= grace; now += 50) {
      for (int latest_end = now; latest_end < now + 20000; latest_end += 500) {
        if (!schedule.Admits(At(now), At(latest_end), AnswerForm::kWhole)) continue;
        const auto bound = schedule.Bound(At(latest_end));
        if (schedule.Admits(At(now), At(latest_end), AnswerForm::kStream)) {
          EXPECT_EQ(bound, At(latest_end));
        }
        EXPECT_TRUE(schedule.Concludes(bound) || bound == At(latest_end));
        EXPECT_LE(bound, At(grace - std::min(350, grace / 12)));
      }
    }
  }
}

TEST(DrainSchedule, ConcludesBeforeItExitsAndExitsBeforeItIsKilled) {
  DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.Concludes(At(7349)));
  EXPECT_TRUE(schedule.Concludes(At(7350)));
  schedule.NoteConclusion(At(7350));
  EXPECT_FALSE(schedule.Exits(At(7649)));
  EXPECT_TRUE(schedule.Exits(At(7650)));
}

// A process that gets no processor time from before the conclusion until after the exit.
TEST(DrainSchedule, AConclusionThatComesLateHasItsAnswersWritten) {
  DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.Exits(At(7700)));
  schedule.NoteConclusion(At(7700));
  schedule.NoteConclusion(At(7750));  // told again at each tick; the first counts
  EXPECT_FALSE(schedule.Exits(At(7799)));
  EXPECT_TRUE(schedule.Exits(At(7800)));
}

TEST(DrainSchedule, ItExitsBeforeItIsKilledHoweverLateTheConclusion) {
  DrainSchedule schedule = Begun();
  schedule.NoteConclusion(At(7880));
  EXPECT_FALSE(schedule.Exits(At(7899)));
  EXPECT_TRUE(schedule.Exits(At(7900)));
}

// Work that is cut off by the end of the process is excused in the last sixth of the grace.
TEST(DrainSchedule, TheMarginsLieInTheLastSixthOfTheGrace) {
  for (const int grace : {600, 1000, 2000, 3000, 3900, 6000, 8000, 30000}) {
    const DrainSchedule schedule = Begun(milliseconds(grace));
    EXPECT_FALSE(schedule.Concludes(At(grace * 5 / 6 - 1))) << grace;
  }
}

TEST(DrainSchedule, ASecondSigtermChangesNothing) {
  DrainSchedule schedule = Begun();
  schedule.Begin(At(5000));
  EXPECT_EQ(schedule.began(), At(0));
  EXPECT_FALSE(schedule.ServesOn(At(5000)));
}

// A process that stood still until shortly before it is killed: what is open is answered by the next tick.
TEST(DrainSchedule, ItDoesNotExitInTheTickThatConcludes) {
  DrainSchedule schedule = Begun();
  EXPECT_FALSE(schedule.Exits(At(7934)));
  schedule.NoteConclusion(At(7934));
  EXPECT_FALSE(schedule.Exits(At(7934)));
  EXPECT_TRUE(schedule.Exits(At(7984)));
}

TEST(DrainSchedule, AShortGraceLeavesHalfOfItToFinish) {
  const DrainSchedule schedule = Begun(milliseconds(2400));  // concludes after 2.0 s
  EXPECT_TRUE(schedule.ServesOn(At(999)));
  EXPECT_FALSE(schedule.ServesOn(At(1001)));
}

}  // namespace
}  // namespace kestrelline::data_plane

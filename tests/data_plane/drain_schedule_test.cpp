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

DrainSchedule Draining(milliseconds grace = kGrace) {
  DrainSchedule schedule(grace);
  schedule.Begin(At(0));
  return schedule;
}

TEST(DrainSchedule, AdmitsEverythingBeforeSigterm) {
  const DrainSchedule schedule(kGrace);
  EXPECT_TRUE(schedule.AcceptsConnections(At(0)));
  EXPECT_TRUE(schedule.Admits(At(0), At(600000), ResponseMode::kStreamed));
  EXPECT_EQ(schedule.LimitDeadline(At(600000)), At(600000));
  EXPECT_FALSE(schedule.ShouldFinalize(At(0)));
  EXPECT_FALSE(schedule.ShouldExit(At(0)));
}

TEST(DrainSchedule, AcceptsConnectionsUntilThePlatformHasNoticed) {
  const DrainSchedule schedule = Draining();
  EXPECT_TRUE(schedule.AcceptsConnections(At(2599)));
  EXPECT_FALSE(schedule.AcceptsConnections(At(2600)));
  EXPECT_TRUE(schedule.Admits(At(2599), At(9000), ResponseMode::kBuffered));
}

// A stream that lasts beyond the exit is truncated there, even if it started early.
TEST(DrainSchedule, RejectsStreamsThatMayOutlastTheProcess) {
  const DrainSchedule schedule = Draining();
  EXPECT_FALSE(schedule.Admits(At(2599), At(7351), ResponseMode::kStreamed));
  EXPECT_FALSE(schedule.Admits(At(0), At(7351), ResponseMode::kStreamed));
  EXPECT_TRUE(schedule.Admits(At(0), At(7350), ResponseMode::kStreamed));
  EXPECT_TRUE(schedule.Admits(At(2599), At(7350), ResponseMode::kStreamed));
}

TEST(DrainSchedule, LaterAdmitsOnlyRequestsThatEndInTime) {
  const DrainSchedule schedule = Draining();
  for (const ResponseMode mode : {ResponseMode::kBuffered, ResponseMode::kStreamed}) {
    EXPECT_TRUE(schedule.Admits(At(2600), At(7350), mode));
    EXPECT_FALSE(schedule.Admits(At(2600), At(7351), mode));
    EXPECT_FALSE(schedule.Admits(At(7400), At(7401), mode));
  }
}

// The deadline of admitted requests is limited by the time of finalization, which is before the exit.
TEST(DrainSchedule, AdmittedRequestsEndBeforeTheExit) {
  for (const int grace : {0, 100, 500, 700, 1000, 2000, 3000, 6000, 8000, 30000}) {
    const DrainSchedule schedule = Draining(milliseconds(grace));
    for (int now = 0; now <= grace; now += 50) {
      for (int latest_end = now; latest_end < now + 20000; latest_end += 500) {
        if (!schedule.Admits(At(now), At(latest_end), ResponseMode::kBuffered)) continue;
        const auto deadline = schedule.LimitDeadline(At(latest_end));
        if (schedule.Admits(At(now), At(latest_end), ResponseMode::kStreamed)) {
          EXPECT_EQ(deadline, At(latest_end));
        }
        EXPECT_TRUE(schedule.ShouldFinalize(deadline) || deadline == At(latest_end));
        EXPECT_LE(deadline, At(grace - std::min(350, grace / 12)));
      }
    }
  }
}

TEST(DrainSchedule, FinalizesBeforeTheExitAndExitsBeforeSigkill) {
  DrainSchedule schedule = Draining();
  EXPECT_FALSE(schedule.ShouldFinalize(At(7349)));
  EXPECT_TRUE(schedule.ShouldFinalize(At(7350)));
  schedule.RecordFinalization(At(7350));
  EXPECT_FALSE(schedule.ShouldExit(At(7649)));
  EXPECT_TRUE(schedule.ShouldExit(At(7650)));
}

// The process gets no CPU time from before the finalization until after the exit time.
TEST(DrainSchedule, LateFinalizationHasTimeToWriteResponses) {
  DrainSchedule schedule = Draining();
  EXPECT_FALSE(schedule.ShouldExit(At(7700)));
  schedule.RecordFinalization(At(7700));
  schedule.RecordFinalization(At(7750));  // repeated at each tick; the first call counts
  EXPECT_FALSE(schedule.ShouldExit(At(7799)));
  EXPECT_TRUE(schedule.ShouldExit(At(7800)));
}

TEST(DrainSchedule, ExitsBeforeSigkillHoweverLateTheFinalization) {
  DrainSchedule schedule = Draining();
  schedule.RecordFinalization(At(7880));
  EXPECT_FALSE(schedule.ShouldExit(At(7899)));
  EXPECT_TRUE(schedule.ShouldExit(At(7900)));
}

// Work cut off by the end of the process is excused in the last sixth of the grace period.
TEST(DrainSchedule, MarginsLieInTheLastSixthOfTheGracePeriod) {
  for (const int grace : {600, 1000, 2000, 3000, 3900, 6000, 8000, 30000}) {
    const DrainSchedule schedule = Draining(milliseconds(grace));
    EXPECT_FALSE(schedule.ShouldFinalize(At(grace * 5 / 6 - 1))) << grace;
  }
}

TEST(DrainSchedule, ASecondSigtermChangesNothing) {
  DrainSchedule schedule = Draining();
  schedule.Begin(At(5000));
  EXPECT_EQ(schedule.sigterm_at(), At(0));
  EXPECT_FALSE(schedule.AcceptsConnections(At(5000)));
}

// After a stall until shortly before SIGKILL, open requests are answered in the following tick.
TEST(DrainSchedule, DoesNotExitInTheTickThatFinalizes) {
  DrainSchedule schedule = Draining();
  EXPECT_FALSE(schedule.ShouldExit(At(7934)));
  schedule.RecordFinalization(At(7934));
  EXPECT_FALSE(schedule.ShouldExit(At(7934)));
  EXPECT_TRUE(schedule.ShouldExit(At(7984)));
}

TEST(DrainSchedule, AShortGracePeriodKeepsHalfForFinishing) {
  const DrainSchedule schedule = Draining(milliseconds(2400));  // finalizes after 2.0 s
  EXPECT_TRUE(schedule.AcceptsConnections(At(999)));
  EXPECT_FALSE(schedule.AcceptsConnections(At(1001)));
}

}  // namespace
}  // namespace kestrelline::data_plane

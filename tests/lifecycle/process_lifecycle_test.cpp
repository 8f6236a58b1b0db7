// SPDX-License-Identifier: Apache-2.0
//
// Compares the lifecycle state machine with a naive model over every sequence of six events, and checks the
// delays that follow from its state.
#include "lifecycle/process_lifecycle.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace kestrelline::lifecycle {
namespace {

const Time kStart{std::chrono::hours(1)};
Time After(int ms) { return kStart + Ms(ms); }

// Reference model: derives the state from what has happened, without a state machine.
struct Naive {
  bool listed = false, copied = false, stopped = false;
  int drains = 0;  // 1 while one holds
  State state() const {
    return stopped            ? State::kStopping
           : drains           ? State::kDraining
           : listed && copied ? State::kReady
                              : State::kStarting;
  }
};

// Both with and without waiting for copies of the state of other proxies.
TEST(ProcessLifecycle, EverySequenceOfSixEventsEndsAsTheNaiveOneDoes) {
  int sequences = 0;
  for (int code = 0; code < 2 * 15625; ++code) {
    const bool waits = code % 2;
    ProcessLifecycle life(/*listener_is_shared=*/false, waits);
    Naive naive;
    naive.copied = !waits;
    for (int step = 0, rest = code / 2; step < 6; ++step, rest /= 5) {
      const CommandResult usual = naive.stopped ? CommandResult::kStopping : CommandResult::kDone;
      switch (rest % 5) {
        case 0:
          EXPECT_EQ(life.BackendListReceived(), !naive.listed && naive.copied);
          naive.listed = true;
          break;
        case 4:
          EXPECT_EQ(life.CopiesReceived(), !naive.copied && naive.listed);
          naive.copied = true;
          break;
        case 1:
          EXPECT_EQ(life.Drain(kStart), naive.stopped || !naive.drains ? usual : CommandResult::kNoChange);
          if (!naive.stopped) naive.drains = 1;
          break;
        case 2:
          EXPECT_EQ(life.Resume(), naive.stopped || naive.drains ? usual : CommandResult::kNoChange);
          if (!naive.stopped) naive.drains = 0;
          break;
        case 3:
          EXPECT_EQ(life.Stop(kStart), naive.stopped ? CommandResult::kNoChange : CommandResult::kDone);
          naive.stopped = true;
          break;
      }
      ASSERT_EQ(life.state(), naive.state()) << code;
      EXPECT_EQ(life.Ready(), naive.state() == State::kReady);
      EXPECT_EQ(life.ClosesAfterResponse(), naive.stopped || naive.drains > 0);
    }
    ++sequences;
  }
  EXPECT_EQ(sequences, 31250);
}

TEST(ProcessLifecycle, IdleConnectionsEndInASpreadWellBeforeFourSeconds) {
  for (const bool stop : {false, true}) {
    ProcessLifecycle life;
    life.BackendListReceived();
    EXPECT_FALSE(life.ClosesIdle(After(100000), kStart, 1));
    stop ? life.Stop(kStart) : life.Drain(kStart);
    const Time long_idle = kStart - Ms(1000);
    std::set<int> ends;
    for (std::uint64_t serial = 1; serial <= 200; ++serial) {
      int at = 0;
      while (!life.ClosesIdle(After(at), long_idle, serial)) ++at;
      ends.insert(at);
      EXPECT_GE(at, 300);  // the 0.2 s in which new connections still arrive, and a margin
      EXPECT_LE(at, stop ? 600 : 1500);
    }
    EXPECT_GT(ends.size(), 120u);  // spread over time
  }
}

TEST(ProcessLifecycle, WhoHasJustComeIsAboutToAskAndMayStayAMoment) {
  ProcessLifecycle life;
  life.BackendListReceived();
  life.Drain(kStart);
  const Time came = After(1600);
  EXPECT_FALSE(life.ClosesIdle(came + Ms(149), came, 7));
  EXPECT_TRUE(life.ClosesIdle(came + Ms(150), came, 7));
}

TEST(ProcessLifecycle, HalfARequestMayStayLongerAndEndsBeforeTheFourSecondsLookBack) {
  ProcessLifecycle life;
  life.BackendListReceived();
  EXPECT_FALSE(life.ClosesIncomplete(After(100000), kStart));
  life.Drain(kStart);
  EXPECT_FALSE(life.ClosesIncomplete(After(1899), kStart));
  EXPECT_TRUE(life.ClosesIncomplete(After(1900), kStart));
  life.Drain(After(1800));  // a repeated drain does not restart the delays
  EXPECT_TRUE(life.ClosesIncomplete(After(1900), kStart));
  life.Resume();
  EXPECT_FALSE(life.ClosesIncomplete(After(1900), kStart));
  life.Stop(After(5000));
  EXPECT_FALSE(life.ClosesIncomplete(After(6099), kStart));
  EXPECT_TRUE(life.ClosesIncomplete(After(6100), kStart));
}

TEST(ProcessLifecycle, WhatHasJustBegunToComeIsNotHalfARequestYet) {
  ProcessLifecycle life;
  life.BackendListReceived();
  life.Stop(kStart);
  EXPECT_FALSE(life.ClosesIncomplete(After(3149), After(3000)));
  EXPECT_TRUE(life.ClosesIncomplete(After(3150), After(3000)));
}

TEST(ProcessLifecycle, ALateRequestIsTakenOnlyIfItIsOverBeforeTheProcessMayBeKilled) {
  ProcessLifecycle life;
  life.BackendListReceived();
  EXPECT_TRUE(life.AcceptsRequest(After(100000), Time::max()));
  life.Drain(kStart);  // a drain does not stop the process
  EXPECT_TRUE(life.AcceptsRequest(After(100000), Time::max()));
  life.Stop(kStart);
  EXPECT_TRUE(
      life.AcceptsRequest(After(699), Time::max()));  // not counted as lost if SIGKILL finds it unanswered
  EXPECT_FALSE(life.AcceptsRequest(After(700), Time::max()));
  EXPECT_TRUE(life.AcceptsRequest(After(700), After(3500)));
  EXPECT_FALSE(life.AcceptsRequest(After(700), After(3501)));
  EXPECT_TRUE(life.AcceptsRequest(After(3400), After(3500)));
}

TEST(ProcessLifecycle, AListenerOfItsOwnTakesWhatComesUntilTheFrontHasNoticed) {
  ProcessLifecycle life;
  EXPECT_TRUE(life.AcceptsConnections(kStart));  // /ready must be answered before there is a backend list
  life.BackendListReceived();
  life.Drain(kStart);
  EXPECT_TRUE(life.AcceptsConnections(After(3600000)));  // a resume may follow
  life.Stop(kStart);
  EXPECT_TRUE(life.AcceptsConnections(After(599)));
  EXPECT_FALSE(life.AcceptsConnections(After(600)));
}

TEST(ProcessLifecycle, AQueueThatOthersHaveTooIsLeftToWhoCanServe) {
  ProcessLifecycle life(/*listener_is_shared=*/true);
  EXPECT_FALSE(life.AcceptsConnections(kStart));
  life.BackendListReceived();
  EXPECT_TRUE(life.AcceptsConnections(kStart));
  life.Drain(kStart);
  EXPECT_TRUE(life.AcceptsConnections(After(60000)));  // there may be no other process
  life.Stop(After(60000));
  EXPECT_FALSE(life.AcceptsConnections(After(60000)));
}

}  // namespace
}  // namespace kestrelline::lifecycle

// SPDX-License-Identifier: Apache-2.0
//
// Compares the lifecycle state machine with a reference model over every sequence of six events, and checks
// the delays that follow from its state.
#include "lifecycle/process_lifecycle.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace kestrelline::lifecycle {
namespace {

const Time kStart{std::chrono::hours(1)};
Time After(int ms) { return kStart + Ms(ms); }

// Reference model: derives the state from what has happened, without a state machine.
struct ReferenceModel {
  bool listed = false, copied = false, stopped = false;
  int drains = 0;  // 1 while drained
  State state() const {
    return stopped            ? State::kStopping
           : drains           ? State::kDraining
           : listed && copied ? State::kReady
                              : State::kStarting;
  }
};

// Both with and without waiting for copies of the state of other proxies.
TEST(ProcessLifecycle, EverySequenceOfSixEventsAgreesWithTheReferenceModel) {
  int sequences = 0;
  for (int sequence = 0; sequence < 2 * 15625; ++sequence) {
    const bool waits = sequence % 2;
    ProcessLifecycle lifecycle(/*listener_is_shared=*/false, waits);
    ReferenceModel model;
    model.copied = !waits;
    for (int step = 0, remaining = sequence / 2; step < 6; ++step, remaining /= 5) {
      const CommandResult if_applied = model.stopped ? CommandResult::kStopping : CommandResult::kDone;
      switch (remaining % 5) {
        case 0:
          EXPECT_EQ(lifecycle.BackendListReceived(), !model.listed && model.copied);
          model.listed = true;
          break;
        case 4:
          EXPECT_EQ(lifecycle.CopiesReceived(), !model.copied && model.listed);
          model.copied = true;
          break;
        case 1:
          EXPECT_EQ(lifecycle.Drain(kStart),
                    model.stopped || !model.drains ? if_applied : CommandResult::kNoChange);
          if (!model.stopped) model.drains = 1;
          break;
        case 2:
          EXPECT_EQ(lifecycle.Resume(),
                    model.stopped || model.drains ? if_applied : CommandResult::kNoChange);
          if (!model.stopped) model.drains = 0;
          break;
        case 3:
          EXPECT_EQ(lifecycle.Stop(kStart), model.stopped ? CommandResult::kNoChange : CommandResult::kDone);
          model.stopped = true;
          break;
      }
      ASSERT_EQ(lifecycle.state(), model.state()) << sequence;
      EXPECT_EQ(lifecycle.Ready(), model.state() == State::kReady);
      EXPECT_EQ(lifecycle.ClosesAfterResponse(), model.stopped || model.drains > 0);
    }
    ++sequences;
  }
  EXPECT_EQ(sequences, 31250);
}

TEST(ProcessLifecycle, IdleConnectionsAreClosedSpreadOverTime) {
  for (const bool stop : {false, true}) {
    ProcessLifecycle lifecycle;
    lifecycle.BackendListReceived();
    EXPECT_FALSE(lifecycle.ClosesIdle(After(100000), kStart, 1));
    stop ? lifecycle.Stop(kStart) : lifecycle.Drain(kStart);
    const Time long_idle = kStart - Ms(1000);
    std::set<int> close_times;
    for (std::uint64_t serial = 1; serial <= 200; ++serial) {
      int closed_at = 0;  // milliseconds
      while (!lifecycle.ClosesIdle(After(closed_at), long_idle, serial)) ++closed_at;
      close_times.insert(closed_at);
      EXPECT_GE(closed_at, 300);  // the 0.2 s in which new connections still arrive, and a margin
      EXPECT_LE(closed_at, stop ? 600 : 1500);
    }
    EXPECT_GT(close_times.size(), 120u);  // spread over time
  }
}

TEST(ProcessLifecycle, ANewConnectionIsNotClosedAsIdle) {
  ProcessLifecycle lifecycle;
  lifecycle.BackendListReceived();
  lifecycle.Drain(kStart);
  const Time connected_at = After(1600);
  EXPECT_FALSE(lifecycle.ClosesIdle(connected_at + Ms(149), connected_at, 7));
  EXPECT_TRUE(lifecycle.ClosesIdle(connected_at + Ms(150), connected_at, 7));
}

TEST(ProcessLifecycle, IncompleteRequestsAreClosedLaterThanIdleConnections) {
  ProcessLifecycle lifecycle;
  lifecycle.BackendListReceived();
  EXPECT_FALSE(lifecycle.ClosesIncomplete(After(100000), kStart));
  lifecycle.Drain(kStart);
  EXPECT_FALSE(lifecycle.ClosesIncomplete(After(1899), kStart));
  EXPECT_TRUE(lifecycle.ClosesIncomplete(After(1900), kStart));
  lifecycle.Drain(After(1800));  // a repeated drain does not restart the delays
  EXPECT_TRUE(lifecycle.ClosesIncomplete(After(1900), kStart));
  lifecycle.Resume();
  EXPECT_FALSE(lifecycle.ClosesIncomplete(After(1900), kStart));
  lifecycle.Stop(After(5000));
  EXPECT_FALSE(lifecycle.ClosesIncomplete(After(6099), kStart));
  EXPECT_TRUE(lifecycle.ClosesIncomplete(After(6100), kStart));
}

TEST(ProcessLifecycle, ARequestThatHasJustBegunIsNotClosedAsIncomplete) {
  ProcessLifecycle lifecycle;
  lifecycle.BackendListReceived();
  lifecycle.Stop(kStart);
  EXPECT_FALSE(lifecycle.ClosesIncomplete(After(3149), After(3000)));
  EXPECT_TRUE(lifecycle.ClosesIncomplete(After(3150), After(3000)));
}

TEST(ProcessLifecycle, ALateRequestIsAcceptedOnlyIfItEndsBeforeSigkill) {
  ProcessLifecycle lifecycle;
  lifecycle.BackendListReceived();
  EXPECT_TRUE(lifecycle.AcceptsRequest(After(100000), Time::max()));
  lifecycle.Drain(kStart);  // a drain does not stop the process
  EXPECT_TRUE(lifecycle.AcceptsRequest(After(100000), Time::max()));
  lifecycle.Stop(kStart);
  // Not counted as lost if SIGKILL finds it unanswered.
  EXPECT_TRUE(lifecycle.AcceptsRequest(After(699), Time::max()));
  EXPECT_FALSE(lifecycle.AcceptsRequest(After(700), Time::max()));
  EXPECT_TRUE(lifecycle.AcceptsRequest(After(700), After(3500)));
  EXPECT_FALSE(lifecycle.AcceptsRequest(After(700), After(3501)));
  EXPECT_TRUE(lifecycle.AcceptsRequest(After(3400), After(3500)));
}

TEST(ProcessLifecycle, AnUnsharedListenerAcceptsUntilClientsAreRoutedElsewhere) {
  ProcessLifecycle lifecycle;
  // /ready must be answered before there is a backend list.
  EXPECT_TRUE(lifecycle.AcceptsConnections(kStart));
  lifecycle.BackendListReceived();
  lifecycle.Drain(kStart);
  EXPECT_TRUE(lifecycle.AcceptsConnections(After(3600000)));  // a resume may follow
  lifecycle.Stop(kStart);
  EXPECT_TRUE(lifecycle.AcceptsConnections(After(599)));
  EXPECT_FALSE(lifecycle.AcceptsConnections(After(600)));
}

TEST(ProcessLifecycle, ASharedListenerIsLeftToProcessesThatCanServe) {
  ProcessLifecycle lifecycle(/*listener_is_shared=*/true);
  EXPECT_FALSE(lifecycle.AcceptsConnections(kStart));
  lifecycle.BackendListReceived();
  EXPECT_TRUE(lifecycle.AcceptsConnections(kStart));
  lifecycle.Drain(kStart);
  EXPECT_TRUE(lifecycle.AcceptsConnections(After(60000)));  // there may be no other process
  lifecycle.Stop(After(60000));
  EXPECT_FALSE(lifecycle.AcceptsConnections(After(60000)));
}

}  // namespace
}  // namespace kestrelline::lifecycle

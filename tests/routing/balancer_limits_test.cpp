// SPDX-License-Identifier: Apache-2.0
//
// Checks how the decision module applies the limits of a route, one limit at a time.
#include <gtest/gtest.h>

#include <memory>

#include "harness.h"

namespace kestrelline {
namespace {

using testing::At;
using testing::Rig;
using testing::Usual;

constexpr int kSafe = 0, kKeyed = 1, kUnsafe = 2;

std::shared_ptr<RouteLimits> Limits() { return std::make_shared<RouteLimits>(); }

class LimitedRig : public Rig {
 public:
  explicit LimitedRig(Settings settings = Usual()) : Rig(std::move(settings)) { Servers(6); }
  // Submits a request and returns the server that it is sent to immediately, if any.
  std::optional<ServerId> Submitted(RequestId id, std::shared_ptr<const RouteLimits> limits,
                                    int request_class = kSafe, double patience = 1000) {
    Submit submit;
    submit.request = id;
    submit.request_class = request_class;
    submit.has_hint = true;
    submit.work_ms = 10;
    submit.due = At(now + patience);
    submit.limits = std::move(limits);
    Do(submit);
    return SentTo(id);
  }
  const Dispatch* Sent() const {
    for (const Action& action : actions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) return dispatch;
    }
    return nullptr;
  }
};

TEST(RouteLimits, AttemptTimeoutAndPatienceBoundEveryAttempt) {
  LimitedRig rig;
  auto limits = Limits();
  limits->attempt_timeout = Duration(80);
  limits->patience = Duration(200);
  const auto server = rig.Submitted(1, limits);
  ASSERT_TRUE(server);
  EXPECT_EQ(rig.Sent()->timeout.count(), 80);
  rig.now += 150;
  rig.End(1, 0, *server, Outcome::kError);
  ASSERT_TRUE(rig.Sent());
  EXPECT_EQ(rig.Sent()->timeout.count(), 50);  // the rest of `patience`
  rig.now += 50;
  rig.End(1, 1, rig.Sent()->server, Outcome::kTimeout);
  EXPECT_EQ(rig.Count<Dispatch>(), 0);
  EXPECT_EQ(rig.Count<Refuse>(), 1);  // at once, not at the client's deadline
}

TEST(RouteLimits, MaxAttemptsLowerThePlatformLimitAndNeverRaiseIt) {
  for (const auto& [configured, expected] : {std::pair{1, 1}, {2, 2}, {3, 3}, {9, 4}, {0, 4}, {-5, 4}}) {
    LimitedRig rig;
    auto limits = Limits();
    limits->max_attempts = configured;
    rig.Submitted(1, limits);
    int attempts = 1;
    while (rig.Sent()) {
      const Dispatch sent = *rig.Sent();
      rig.now += 1;
      rig.End(1, attempts - 1, sent.server, Outcome::kFull);
      attempts += rig.Count<Dispatch>();
    }
    EXPECT_EQ(attempts, expected) << configured;
    EXPECT_EQ(rig.Count<Refuse>(), 1);
  }
}

TEST(RouteLimits, RetriesWaitForThePauseAndAreAnsweredAtOnceIfTheyCannot) {
  LimitedRig rig;
  auto limits = Limits();
  limits->pause = Duration(100);
  const auto server = rig.Submitted(1, limits);
  rig.now += 10;
  rig.End(1, 0, *server, Outcome::kFull);
  EXPECT_EQ(rig.Count<Dispatch>() + rig.Count<Refuse>() + rig.Count<Fail>(), 0);
  rig.Tick(74);
  EXPECT_EQ(rig.Count<Dispatch>(), 0);
  rig.Tick(27);
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
  const auto late = rig.Submitted(2, limits, kSafe, 90);
  rig.now += 20;
  rig.End(2, 0, *late, Outcome::kFull);
  EXPECT_EQ(rig.Count<Refuse>(), 1);
}

TEST(RouteLimits, AClientThatLeavesDuringAPauseFreesItsPlace) {
  LimitedRig rig;
  auto limits = Limits();
  limits->pause = Duration(100);
  limits->max_in_flight = 1;
  const auto server = rig.Submitted(1, limits);
  rig.End(1, 0, *server, Outcome::kFull);
  rig.Do(ClientGone{1});
  rig.Tick(150);
  EXPECT_EQ(rig.Count<Dispatch>(), 0);
  EXPECT_TRUE(rig.Submitted(2, limits)) << "the request no longer counts for the route";
}

TEST(RouteLimits, RetryOnLimitsTheOutcomesThatAreRetried) {
  for (const Outcome outcome : {Outcome::kFull, Outcome::kConnectFailed, Outcome::kError, Outcome::kReset}) {
    LimitedRig rig;
    auto limits = Limits();
    limits->retry_on = RouteLimits::RetryAfter(Outcome::kFull) | RouteLimits::RetryAfter(Outcome::kReset);
    const auto server = rig.Submitted(1, limits);
    rig.now += 5;
    rig.End(1, 0, *server, outcome);
    EXPECT_EQ(rig.Count<Dispatch>(), outcome == Outcome::kFull || outcome == Outcome::kReset)
        << static_cast<int>(outcome);
    EXPECT_EQ(rig.Count<Refuse>(), rig.Count<Dispatch>() == 0);
  }
}

TEST(RouteLimits, RetryOnDoesNotAllowRetriesOfUnsafeRequests) {
  LimitedRig rig;
  const auto server = rig.Submitted(1, Limits(), kUnsafe);  // all bits are set
  rig.End(1, 0, *server, Outcome::kReset);
  EXPECT_EQ(rig.Count<Dispatch>(), 0);
  EXPECT_EQ(rig.Count<Fail>(), 1);
}

TEST(RouteLimits, AKeyedRetryDoesNotWaitPastItsWindow) {
  LimitedRig rig;
  auto limits = Limits();
  limits->pause = Duration(600);  // the group drops repeats for 500 ms
  const auto server = rig.Submitted(1, limits, kKeyed, 5000);
  rig.now += 10;
  rig.End(1, 0, *server, Outcome::kReset);
  EXPECT_EQ(rig.Count<Fail>(), 1) << "answered at once, because no retry is possible";
}

// Budgets start empty: a proxy that has just started earns retries by first attempts, so that it cannot spend
// a full budget while servers are failing.
TEST(RouteLimits, ABudgetIsEarnedByFirstAttemptsWithinItsWindow) {
  LimitedRig rig;
  auto limits = Limits();
  limits->budgets = {{7, 0.2, Duration(1000), 0}};
  RequestId id = 0;
  const auto repeated = [&] {
    const auto server = rig.Submitted(++id, limits);
    if (!server) return -1;
    rig.End(id, 0, *server, Outcome::kError);
    const int again = rig.Count<Dispatch>();
    if (again) rig.End(id, 1, rig.Sent()->server, Outcome::kOk);
    return again;
  };
  int repeats = 0;
  for (int i = 0; i < 20; ++i) repeats += repeated();
  EXPECT_EQ(repeats, 4);  // a fifth of the first attempts
  rig.Tick(1200);
  EXPECT_EQ(repeated(), 0) << "first attempts before the window no longer count";
  limits->budgets[0].at_least = 1;
  EXPECT_EQ(repeated(), 1);
  EXPECT_EQ(repeated(), 0);
}

TEST(RouteLimits, ASecondBudgetIsUsedWhenTheFirstIsEmpty) {
  LimitedRig rig;
  auto limits = Limits();
  limits->budgets = {{1, 0, Duration(10000), 1}, {2, 0, Duration(10000), 2}};
  int repeats = 0;
  for (RequestId id = 1; id <= 6; ++id) {
    const auto server = rig.Submitted(id, limits);
    rig.End(id, 0, *server, Outcome::kError);
    repeats += rig.Count<Dispatch>();
    if (rig.Sent()) rig.End(id, 1, rig.Sent()->server, Outcome::kOk);
  }
  EXPECT_EQ(repeats, 3);
}

TEST(RouteLimits, MaxInFlightRefusesAtOnceAndCountsUntilTheLastAttemptEnds) {
  LimitedRig rig;
  auto limits = Limits();
  limits->max_in_flight = 2;
  auto other = Limits();
  other->route = 9;
  other->max_in_flight = 2;
  const auto first = rig.Submitted(1, limits);
  ASSERT_TRUE(first && rig.Submitted(2, limits));
  EXPECT_FALSE(rig.Submitted(3, limits));
  EXPECT_EQ(rig.Count<Refuse>(), 1);
  EXPECT_TRUE(rig.Submitted(4, other)) << "routes are counted separately";
  rig.Do(ClientGone{1});
  EXPECT_FALSE(rig.Submitted(5, limits)) << "its attempt is still in flight";
  rig.End(1, 0, *first, Outcome::kOk, 10, true);
  EXPECT_TRUE(rig.Submitted(6, limits));
}

TEST(RouteLimits, OneSecondCopyGoesToAnotherServerIfThePlatformAllowsIt) {
  Settings settings = Usual();
  settings.parallel_tries = true;
  LimitedRig rig(settings);
  auto limits = Limits();
  limits->second_copy_after = Duration(50);
  const auto server = rig.Submitted(1, limits);
  rig.Tick(49);
  EXPECT_EQ(rig.Count<Dispatch>(), 0);
  rig.Tick(1);
  ASSERT_TRUE(rig.Sent());
  const ServerId copy = rig.Sent()->server;
  EXPECT_NE(copy, *server);
  rig.Tick(60);
  EXPECT_EQ(rig.Count<Dispatch>(), 0) << "at most two copies at once";
  rig.End(1, 0, *server, Outcome::kError);
  EXPECT_EQ(rig.Count<Dispatch>() + rig.Count<Refuse>() + rig.Count<Fail>(), 0)
      << "the copy is still in flight";
  rig.End(1, 1, copy, Outcome::kOk);
  EXPECT_EQ(rig.Count<Dispatch>() + rig.Count<Refuse>() + rig.Count<Fail>(), 0);
}

TEST(RouteLimits, NoSecondCopyIfItIsForbidden) {
  for (const bool platform : {false, true}) {
    for (const int request_class : {kSafe, kKeyed, kUnsafe}) {
      if (platform && request_class == kSafe) continue;
      Settings settings = Usual();
      settings.parallel_tries = platform;
      LimitedRig rig(settings);
      auto limits = Limits();
      limits->second_copy_after = Duration(50);
      ASSERT_TRUE(rig.Submitted(1, limits, request_class));
      rig.Tick(60);
      EXPECT_EQ(rig.Count<Dispatch>(), 0) << platform << " " << request_class;
    }
  }
}

}  // namespace
}  // namespace kestrelline

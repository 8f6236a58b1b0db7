// SPDX-License-Identifier: Apache-2.0
//
// Unit tests of the Balancer's decisions at their boundaries, on explicit sequences of events.
#include "kestrelline/balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "harness.h"

namespace kestrelline {
namespace {

using testing::At;
using testing::Class;
using testing::Entry;
using testing::Rig;
using testing::Usual;

RequestId next_id = 1;

// Sends one request and ends it: with `outcome` if it went to one of `failing`, else with success.
void AnswerOne(Rig& rig, Outcome outcome, std::set<ServerId> failing, double took = 10) {
  const RequestId id = next_id++;
  const auto server = rig.Ask(id, 2, 10, 5000);  // unsafe: one attempt, so nothing is sent again
  ASSERT_TRUE(server.has_value());
  const bool fails = failing.count(*server) > 0;
  rig.End(id, 0, *server, fails ? outcome : Outcome::kOk, took);
}

std::optional<ServerId> AskAndEnd(Rig& rig) {
  const RequestId id = next_id++;
  const auto server = rig.Ask(id);
  if (server) rig.End(id, 0, *server, Outcome::kOk);
  return server;
}

// Whether one of three concurrent requests goes to `server`. They are cancelled, which changes no statistics.
bool InService(Rig& rig, ServerId server) {
  std::vector<std::pair<RequestId, ServerId>> open;
  bool seen = false;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    if (!s) break;
    open.emplace_back(id, *s);
    seen |= *s == server;
  }
  for (const auto& [id, s] : open) rig.End(id, 0, s, Outcome::kCancelled);
  return seen;
}

// Gives each of three servers `per_server` answers. The first `failures` answers of server 1 fail.
void Answers(Rig& rig, int per_server, int failures, Outcome outcome = Outcome::kError) {
  for (int i = 0; i < per_server; ++i) {
    std::map<ServerId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 5000);
      ASSERT_TRUE(s.has_value());
      open[*s] = id;
    }
    // Server 1 is last, so that the others have reached the request volume by then.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [s, id] = *it;
      rig.End(id, 0, s, s == 1 && i < failures ? outcome : Outcome::kOk);
    }
  }
}

// Sends enough traffic to reach the request volume at each server within an interval.
void Busy(Rig& rig) {
  for (int i = 0; i < 100; ++i) rig.Tick(5), AnswerOne(rig, Outcome::kOk, {});
}

TEST(OutlierDetection, EjectsAtTheVolumeFloorAndNotBelow) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 2, 2);
  EXPECT_TRUE(InService(rig, 1)) << "two attempts are under the volume floor";
  Answers(rig, 1, 1);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, TheVolumeFloorIsTheServersOwn) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3, Outcome::kCancelled);  // the others reach the volume; server 1 has no answer that counts
  Answers(rig, 2, 2);
  EXPECT_TRUE(InService(rig, 1));
  Answers(rig, 1, 1);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, NoMoreThanHalfAreOut) {
  Settings settings = Usual();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.Servers(6);
  std::set<ServerId> late_on;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    if (i >= 80) late_on.insert(*s);
    rig.End(id, 0, *s, *s <= 4 ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_EQ(late_on.size(), 3u) << "four of six always fail; three are out";
}

TEST(OutlierDetection, ThresholdIsStrict) {
  Rig equal;
  equal.Servers(3);
  // 2 failures of 5 are exactly 0.4; successes come first, so that no shorter prefix exceeds the threshold.
  for (int i = 0; i < 5; ++i) Answers(equal, 1, i >= 3 ? 1 : 0);
  EXPECT_TRUE(InService(equal, 1));
  Rig over;
  over.Servers(3);
  for (int i = 0; i < 4; ++i) Answers(over, 1, i >= 2 ? 1 : 0);
  EXPECT_FALSE(InService(over, 1));
}

TEST(OutlierDetection, MinimumHosts) {
  Rig rig;
  rig.Servers(1);
  for (int i = 0; i < 10; ++i) AnswerOne(rig, Outcome::kError, {1});
  EXPECT_TRUE(InService(rig, 1)) << "a single server cannot be compared with others";
}

TEST(OutlierDetection, CancelledAndMootAttemptsAreNotCounted) {
  for (Outcome outcome : {Outcome::kCancelled, Outcome::kMoot, Outcome::kUnknown}) {
    Settings settings = Usual();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.Servers(3);
    Answers(rig, 6, 6, outcome);
    EXPECT_TRUE(InService(rig, 1));
  }
}

TEST(OutlierDetection, EveryFailureCounts) {
  for (Outcome outcome :
       {Outcome::kError, Outcome::kFull, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    Settings s = Usual();
    s.max_attempts = 1;
    Rig rig(s);
    rig.Servers(3);
    Answers(rig, 3, 3, outcome);
    EXPECT_FALSE(InService(rig, 1)) << static_cast<int>(outcome);
  }
}

TEST(OutlierDetection, ReturnsByTimerAndBacksOffByMultiplier) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3);
  EXPECT_FALSE(InService(rig, 1));
  rig.Tick(1999);
  EXPECT_FALSE(InService(rig, 1));
  rig.Tick(1);
  EXPECT_TRUE(InService(rig, 1)) << "base ejection time x 1";
}

TEST(OutlierDetection, MultiplierFallsAtReturnAndPerInterval) {
  Rig rig;
  rig.Servers(3);
  Busy(rig);
  rig.Tick(1500);
  // The multiplier is 1 at ejection, 0 at return and 1 at the next ejection, which lasts as long again (A50,
  // step 6b).
  for (int round = 0; round < 3; ++round) {
    Answers(rig, 3, 3);
    EXPECT_FALSE(InService(rig, 1));
    rig.Tick(2000);
    EXPECT_TRUE(InService(rig, 1));
    rig.Tick(2000);
  }
}

TEST(OutlierDetection, TheMultiplierFallsAtReturnBeforeAnyInterval) {
  Rig rig;
  rig.Servers(3);
  Busy(rig);
  rig.Tick(1500);
  rig.Tick(1000);  // halfway through an interval
  Answers(rig, 3, 3);
  rig.Tick(1500);  // it ends while the server is out
  rig.Tick(500);
  EXPECT_TRUE(InService(rig, 1));
  Answers(rig, 3, 3);
  EXPECT_FALSE(InService(rig, 1));
  rig.Tick(2000);
  EXPECT_TRUE(InService(rig, 1)) << "twice as long had the multiplier not fallen";
}

// With many proxies, no server gets three attempts of one proxy within two seconds; no server was ever
// ejected.
TEST(OutlierDetection, ThinTrafficEjectsOnSignificantFailures) {
  for (const bool failing_elsewhere : {false, true}) {
    Rig rig;
    rig.Servers(8);
    int sent = 0, after_two = 0;
    for (int i = 0; i < 120; ++i) {
      rig.Tick(250);
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10);
      ASSERT_TRUE(s.has_value());
      const bool fails = *s == 1 || (failing_elsewhere && i % 3 == 0);
      rig.End(id, 0, *s, fails ? Outcome::kError : Outcome::kOk);
      if (*s == 1 && ++sent > 2) ++after_two;
    }
    if (!failing_elsewhere) {
      EXPECT_LE(sent, 7) << "one or two failures eject; an eighth of 120 would be 15";
    } else {
      EXPECT_GT(after_two, 2) << "a third fails everywhere: two failures are not significant";
    }
  }
}

TEST(OutlierDetection, MaxEjectionPercentKeepsHalfInService) {
  Rig rig;
  rig.Servers(4);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, Outcome::kError);
  }
  std::set<ServerId> in;
  for (ServerId s = 1; s <= 4; ++s) {
    if (InService(rig, s)) in.insert(s);
  }
  EXPECT_GE(in.size(), 2u) << "never more than half";
}

TEST(OutlierDetection, AFleetFailingThroughoutDoesNotEjectItself) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 40; ++i) AnswerOne(rig, Outcome::kError, {1, 2, 3});
  int in = 0;
  for (ServerId s = 1; s <= 3; ++s) in += InService(rig, s);
  EXPECT_EQ(in, 3);
}

// With a threshold of twice the failure share of the others, nothing was ejected once half the fleet failed.
TEST(OutlierDetection, AServerAlwaysFailingIsEjectedHoweverBadTheOthersAre) {
  Settings settings = Usual();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.Servers(4);
  for (int i = 0; i < 24; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, *s == 1 || i % 2 ? Outcome::kError : Outcome::kOk);
  }
  EXPECT_FALSE(InService(rig, 1));
}

TEST(OutlierDetection, StateIsKeptWhenListedAgain) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3);
  rig.List({Entry(1, 0, 0, ServerState::kGone)}, ListKind::kDelta);
  rig.List({Entry(1)}, ListKind::kDelta);
  EXPECT_FALSE(InService(rig, 1));
}

TEST(Pick, LeastHintedWorkInFlight) {
  Rig rig;
  rig.Servers(3);
  const auto a = rig.Ask(1001, 0, 50), b = rig.Ask(1002, 0, 20), c = rig.Ask(1003, 0, 40);
  EXPECT_EQ(std::set<ServerId>({*a, *b, *c}).size(), 3u);
  EXPECT_EQ(rig.Ask(1004, 0, 25), b) << "20 in flight is the least";
  EXPECT_EQ(rig.Ask(1005, 0, 5), c) << "now 40 is";
}

TEST(Pick, CountsWithoutHints) {
  Rig rig;
  rig.Servers(2);
  const auto a = rig.Ask(1011, 0, 0), b = rig.Ask(1012, 0, 0);
  EXPECT_NE(a, b);
  rig.End(1011, 0, *a, Outcome::kOk);
  EXPECT_EQ(rig.Ask(1013, 0, 0), a);
}

TEST(Pick, AmongIdleServersTheHomeZoneIsPreferredWhereCrossingHasAPrice) {
  Settings s = Usual();
  s.price_cross_zone = 0.02;
  Rig rig(s);
  rig.List({Entry(1, 1), Entry(2, 0), Entry(3, 1)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
  rig.Ask(next_id++);
  EXPECT_NE(rig.Ask(next_id++), ServerId{2}) << "a whole request in flight outweighs it";
}

TEST(Pick, TiesAtRandom) {
  std::set<ServerId> seen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Rig rig(Usual(), seed);
    rig.Servers(4);
    seen.insert(*rig.Ask(1));
  }
  EXPECT_EQ(seen.size(), 4u);
}

// A slow server that answers within the timeout is never ejected. While idle, it was picked like any other.
TEST(Pick, AServerThatAnswersSlowerCountsAsBusier) {
  Rig rig;
  rig.Servers(2);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = next_id++;
    const auto server = rig.Ask(id, 0, 10, 900);
    rig.End(id, 0, *server, Outcome::kOk, *server == 1 ? 60 : 20);
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
  // With the other server busy, the slow one is still used.
  const RequestId busy = next_id++;
  EXPECT_EQ(rig.Ask(busy, 0, 100, 900), ServerId{2});
  EXPECT_EQ(rig.Ask(next_id++, 0, 10, 900), ServerId{1});
}

// Without key affinity, one server after the other served a key cold, which wasted up to half of all work.
TEST(Pick, AKeyGoesWhereItIsWarmUnlessThatIsFarBusier) {
  Settings settings = Usual();
  settings.warm_keys = true;
  Rig rig(settings);
  rig.Servers(4);
  auto ask = [&](std::uint64_t key, double work = 10) { return *rig.Ask(next_id++, 0, work, 5000, key); };
  const ServerId home = ask(7);
  EXPECT_EQ(ask(7), home) << "10 in flight there, but the warm key saves the work";
  EXPECT_NE(ask(8), home) << "another key";
  EXPECT_NE(ask(0), home) << "no key";
  EXPECT_NE(ask(7, 1), home) << "20 in flight there outweigh the small saving";

  Rig forgets(settings);
  forgets.Servers(4);
  std::set<ServerId> later;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_id++;
    later.insert(*forgets.Ask(id, 0, 10, 5000, 9));
    forgets.End(id, 0, forgets.sent.back().server, Outcome::kOk);
    forgets.Tick(4001);
  }
  EXPECT_GT(later.size(), 1u) << "forgotten";

  settings.warm_keys = false;
  Rig none(settings);
  none.Servers(2);
  const auto first = none.Ask(next_id++, 0, 10, 5000, 7);
  EXPECT_NE(none.Ask(next_id++, 0, 10, 5000, 7), first);
}

TEST(Pick, EjectedServersServeWhenNoneElseCan) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3);
  rig.List({Entry(2, 0, 0, ServerState::kGone), Entry(3, 0, 0, ServerState::kGone)}, ListKind::kDelta);
  EXPECT_EQ(rig.Ask(next_id++), ServerId{1});
}

TEST(Drains, NoNewRequestsOnceItIsKnown) {
  for (ServerState state : {ServerState::kDraining, ServerState::kGone}) {
    Rig rig;
    rig.Servers(2);
    rig.List({Entry(1, 0, 0, state)}, ListKind::kDelta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
  }
  Rig rig;
  rig.Servers(2);
  rig.List({Entry(2)});  // absent from a full list: removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
}

TEST(Discovery, SubscribesAtStartAndAgainAfterAFailure) {
  Settings s = Usual();
  s.must_ask_for_list = true;
  s.must_ask_within = Duration(10000);
  Rig rig(s);
  rig.List({Entry(1)}, ListKind::kCached);
  EXPECT_EQ(rig.Count<Subscribe>(), 1);
  rig.Tick(100);
  EXPECT_EQ(rig.Count<Subscribe>(), 0) << "one call at a time";
  rig.List({}, ListKind::kFailed);
  double waited = 0;
  while (rig.Count<Subscribe>() == 0 && waited < 20000) rig.Tick(10), waited += 10;
  EXPECT_GE(waited, 200);
  EXPECT_LE(waited, 2500);
  EXPECT_EQ(rig.Ask(next_id++), ServerId{1}) << "the old list stays in use";
  rig.List({Entry(1)});
  for (int i = 0; i < 1000; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<Subscribe>(), 0);
  }
}

TEST(Discovery, PushNeedsNoSubscription) {
  Rig rig;
  rig.List({Entry(1)}, ListKind::kCached);
  for (int i = 0; i < 200; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<Subscribe>(), 0);
  }
}

// Expected result of an attempt of a class with an outcome: whether it is retried, and whether the request
// may be refused rather than failed.
struct Verdict {
  int cls;
  Outcome outcome;
  bool retried, refusable;
};

TEST(Attempts, OnlyWhatIsPermittedIsRetriedOrRefused) {
  const Verdict verdicts[] = {
      {0, Outcome::kError, true, true},         {0, Outcome::kTimeout, true, true},
      {0, Outcome::kReset, true, true},         {0, Outcome::kFull, true, true},
      {0, Outcome::kConnectFailed, true, true}, {1, Outcome::kError, true, false},
      {1, Outcome::kTimeout, true, false},      {1, Outcome::kFull, true, true},
      {1, Outcome::kConnectFailed, true, true}, {1, Outcome::kReset, true, false},
      {2, Outcome::kError, false, false},       {2, Outcome::kTimeout, false, false},
      {2, Outcome::kReset, false, false},       {2, Outcome::kUnknown, false, false},
      {2, Outcome::kFull, true, true},          {2, Outcome::kConnectFailed, true, true},
      {2, Outcome::kCancelled, false, false},
  };
  for (const Verdict& v : verdicts) {
    SCOPED_TRACE(::testing::Message() << "class " << v.cls << " outcome " << static_cast<int>(v.outcome));
    Rig rig;
    rig.Servers(3);
    const auto first = rig.Ask(1, v.cls);
    ASSERT_TRUE(first.has_value());
    rig.End(1, 0, *first, v.outcome);
    EXPECT_EQ(rig.SentTo(1).has_value(), v.retried);
    if (v.retried) {
      EXPECT_NE(rig.SentTo(1), first) << "at another server";
    } else {
      EXPECT_EQ(rig.Count<Fail>(), 1);
    }
    // With no attempt left, it is refused only where that is permitted.
    Settings s = Usual();
    s.max_attempts = 1;
    Rig last(s);
    last.Servers(3);
    const auto only = last.Ask(1, v.cls);
    last.End(1, 0, *only, v.outcome);
    EXPECT_EQ(last.Count<Refuse>(), v.refusable ? 1 : 0);
    EXPECT_EQ(last.Count<Fail>(), v.refusable ? 0 : 1);
  }
}

TEST(Attempts, KeyedRetriesStayInTheGroupAndTheWindow) {
  for (int gone : {0, 1}) {
    Rig rig;
    rig.List({Entry(1, 0, 1), Entry(2, 0, 1), Entry(3, 0, 2), Entry(4, 1, 1)});
    ServerId first = *rig.Ask(next_id, 1);
    while (first > 2) {  // start in the cell of servers 1 and 2
      rig.End(next_id, 0, first, Outcome::kOk);
      first = *rig.Ask(++next_id, 1);
    }
    if (gone) rig.List({Entry(3 - first, 0, 1, ServerState::kGone)}, ListKind::kDelta);
    rig.now += 100;
    rig.End(next_id, 0, first, Outcome::kError);
    EXPECT_EQ(rig.SentTo(next_id), gone ? first : 3 - first);
    rig.now += 401;  // past the 500 ms window
    rig.End(next_id, 1, gone ? first : 3 - first, Outcome::kError);
    EXPECT_FALSE(rig.SentTo(next_id).has_value());
    EXPECT_EQ(rig.Count<Fail>(), 1);
    ++next_id;
  }
}

// Hedging without a route that asks for it cost other requests more than it gained.
TEST(Attempts, OneAtATime) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 30; ++i) AnswerOne(rig, Outcome::kOk, {});
  for (int i = 0; i < 30; ++i) {
    const RequestId id = next_id++;
    rig.End(id, 0, *rig.Ask(id, 0), Outcome::kOk);
  }
  const RequestId id = next_id++;
  rig.Ask(id, 0);
  rig.sent.clear();
  for (int i = 0; i < 100; ++i) rig.Tick(9);
  EXPECT_TRUE(rig.sent.empty());
}

// Timing out attempts that were merely late doubled their work. A silent server must still be detected before
// the client gives up.
TEST(Attempts, OnlyASilentServerGetsATimeout) {
  Rig rig;
  rig.Servers(1);
  for (int i = 0; i < 40; ++i) AskAndEnd(rig);
  rig.Ask(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "nothing is outstanding yet";
  rig.Tick(5);
  rig.Ask(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "the outstanding answer is not overdue";
}

TEST(Attempts, ASilentServerGetsATimeoutWhereARetryIsPermitted) {
  for (int cls : {0, 1, 2}) {
    Rig rig;
    rig.Servers(1);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_id++;
      rig.End(id, 0, *rig.Ask(id, cls), Outcome::kOk);
    }
    rig.Ask(next_id++, cls, 10, 2000);
    rig.Tick(300);
    const RequestId id = next_id++;
    ASSERT_TRUE(rig.Ask(id, cls, 10, 2000).has_value());
    EXPECT_EQ(rig.sent.back().timeout.count() > 0, cls != 2);
  }
}

TEST(Attempts, MaxAttempts) {
  Settings s = Usual();
  s.max_attempts = 2;
  Rig rig(s);
  rig.Servers(5);
  const auto first = rig.Ask(1, 0);
  rig.End(1, 0, *first, Outcome::kConnectFailed);
  const auto second = rig.SentTo(1);
  ASSERT_TRUE(second.has_value());
  rig.End(1, 1, *second, Outcome::kConnectFailed);
  EXPECT_FALSE(rig.SentTo(1).has_value());
  EXPECT_EQ(rig.Count<Refuse>(), 1);
}

TEST(Attempts, AFailingFleetGetsNoRetryStorm) {
  Rig rig;
  rig.Servers(5);
  for (int i = 0; i < 300; ++i) {
    const RequestId id = next_id++;
    auto s = rig.Ask(id, 0);
    for (int attempt = 0; s; ++attempt) {
      rig.End(id, attempt, *s, Outcome::kError);
      s = rig.SentTo(id);
    }
  }
  EXPECT_LE(rig.sent.size(), 300u + 20u + 61u) << "a burst of 20, and a fifth of the first attempts";
  EXPECT_GE(rig.sent.size(), 300u + 20u);
}

// One zone's servers were full and the others idle, but all proxies of that zone kept using their own.
TEST(Pick, AFullHomeZoneIsLeftAndAGoodOneKept) {
  for (const bool full : {true, false}) {
    Settings settings = Usual();
    settings.price_cross_zone = 0.06;
    Rig rig(settings);
    std::vector<ServerEntry> list;
    for (ServerId id = 1; id <= 40; ++id) list.push_back(Entry(id, id > 20));
    rig.List(list);
    int away = 0;
    for (int i = 0; i < 120; ++i) {
      rig.Tick(200);
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10);
      if (!s) continue;  // refused as too slow
      if (i >= 40) away += *s > 20;
      const bool late = full && *s <= 20;  // answered, but long after the target time: no failure for A50
      if (late) rig.now += 400;
      rig.End(id, 0, *s, Outcome::kOk, late ? 400 : 20);
    }
    if (full) {
      EXPECT_GT(away, 30) << "of 80";
    } else {
      EXPECT_EQ(away, 0) << "crossing has a price, and nothing is gained";
    }
  }
}

// Guards the expiry of warm keys, with the same key recorded twice at one server and then no traffic.
TEST(Pick, WarmKeysExpireAndAreRecordedAgain) {
  Settings settings = Usual();
  settings.warm_keys = true;
  Rig rig(settings);
  rig.Servers(2);
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 6; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 1, 10, 1000, 1 + i % 3);
      ASSERT_TRUE(s.has_value());
      rig.End(id, 0, *s, Outcome::kOk);
      rig.Tick(10);
    }
    rig.Tick(5000);
  }
}

// Hundreds of proxies each connected to every server, which exceeded the servers' connection limits.
TEST(Subset, ThinTrafficUsesFewServersAndAllProxiesTogetherUseThemEvenly) {
  constexpr int kProxies = 400, kServers = 80;
  std::map<ServerId, int> proxies_at;
  for (int me = 0; me < kProxies; ++me) {
    Settings settings = Usual();
    settings.balancers = kProxies;
    settings.me = me;
    Rig rig(settings, me + 1);
    rig.Servers(kServers);
    std::set<ServerId> used;
    for (int i = 0; i < 100; ++i) {
      rig.Tick(250);
      const RequestId id = next_id++;
      if (const auto s = rig.Ask(id, 2, 10)) used.insert(*s), rig.End(id, 0, *s, Outcome::kOk);
    }
    EXPECT_LE(used.size(), 16u);
    EXPECT_GE(used.size(), 4u);
    for (const ServerId s : used) ++proxies_at[s];
  }
  EXPECT_EQ(proxies_at.size(), static_cast<std::size_t>(kServers));
  const double mean = 1.0 * kProxies * 8 / kServers;
  for (const auto& [s, proxies] : proxies_at) EXPECT_NEAR(proxies, mean, mean / 4) << s;
}

// When the fleet shrank, a subset of fixed size led to 133 proxies per server, and old connections stayed
// open.
TEST(Subset, FewServersAreSharedByNoMoreProxiesThanTheyCanHold) {
  Settings settings = Usual();
  settings.balancers = 640;
  Rig rig(settings);
  rig.Servers(80);
  std::vector<ServerEntry> gone;
  for (ServerId id = 31; id <= 80; ++id) gone.push_back(Entry(id, 0, 0, ServerState::kGone));
  rig.List(gone, ListKind::kDelta);
  rig.sent.clear();
  std::set<ServerId> used;
  for (int i = 0; i < 60; ++i) {
    rig.Tick(250);
    const RequestId id = next_id++;
    if (const auto s = rig.Ask(id, 2, 10)) used.insert(*s), rig.End(id, 0, *s, Outcome::kOk);
  }
  EXPECT_LE(used.size(), 4u) << "640 x 3 / 30 is 64";
}

TEST(Subset, IdleConnectionsToAnEjectedServerAreClosed) {
  Rig rig;
  rig.Servers(8);
  int closed = 0;
  for (int i = 0; i < 60; ++i) {
    rig.Tick(250);
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, *s == 1 ? Outcome::kConnectFailed : Outcome::kOk);
    for (const Action& a : rig.actions) {
      const auto* close = std::get_if<CloseIdle>(&a);
      if (!close) continue;
      ++closed;
      EXPECT_EQ(close->server, 1u);
    }
  }
  EXPECT_GE(closed, 1);
}

TEST(Admission, ACrowdedFleetIsThrottledWhereTrafficIsThin) {
  int sent[2] = {0, 0};
  for (const bool crowded : {false, true}) {
    Settings settings = Usual();
    settings.balancers = 400;
    Rig rig(settings);
    rig.Servers(80);
    for (int i = 0; i < 120; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 5000);
      if (s && i >= 60) ++sent[crowded];
      if (s) rig.End(id, 0, *s, Outcome::kOk, crowded && i >= 40 ? 90 : 10);
      rig.Tick(200);
    }
  }
  EXPECT_EQ(sent[false], 60);
  EXPECT_LT(sent[true], 45);
}

// A proxy that restarted while the fleet was overloaded took slow answers as normal and admitted everything.
TEST(Admission, AProxyStartedDuringOverloadThrottlesByTheTargetTime) {
  Settings settings = Usual();
  settings.balancers = 400;
  settings.classes[2].late_worth = 0.5;
  Rig rig(settings);
  rig.Servers(80);
  int sent = 0;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    if (s && i >= 60) ++sent;
    if (s) rig.End(id, 0, *s, Outcome::kOk, 240);  // the target time is 200
    rig.Tick(200);
  }
  EXPECT_LT(sent, 50);
}

TEST(Subset, ABusyProxyUsesAllServers) {
  Settings settings = Usual();
  settings.balancers = 400;
  Rig rig(settings);
  rig.Servers(40);
  std::set<ServerId> used;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    if (const auto s = rig.Ask(id, 2, 10)) used.insert(*s), rig.End(id, 0, *s, Outcome::kOk);
  }
  EXPECT_EQ(used.size(), 40u);
}

TEST(ColdStart, BudgetOverEveryWindow) {
  Rig rig;
  std::vector<ServerEntry> list = {Entry(1), Entry(2), Entry(3)};
  rig.List(list);
  // 30 ms of work every 10 ms, answered at once, for 20 s: each warm server gets about 1 ms of work per ms.
  auto run = [&](double ms) {
    std::vector<std::pair<double, double>> sent;
    for (double t = 0; t < ms; t += 10) {
      rig.Tick(10);
      std::vector<std::pair<RequestId, ServerId>> open;
      for (int k = 0; k < 3; ++k) {
        const RequestId id = next_id++;
        const auto s = rig.Ask(id, 2, 10, 900);
        if (!s) continue;
        open.emplace_back(id, *s);
        if (*s == 3) sent.emplace_back(rig.now, 10);
      }
      for (const auto& [id, s] : open) rig.End(id, 0, s, Outcome::kOk, 5);
    }
    return sent;
  };
  run(20000);
  rig.List({Entry(3, 0, 0, ServerState::kReady, rig.now)}, ListKind::kDelta);  // the same id, restarted
  const double start = rig.now;
  const auto sent = run(10000);
  double max_ratio = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    double window = 0;
    for (std::size_t k = i; k < sent.size() && sent[k].first - sent[i].first < 1000; ++k)
      window += sent[k].second;
    const double share = 0.25 + 0.75 * std::min(1.0, (sent[i].first - start + 1000) / 10000);
    max_ratio = std::max(max_ratio, window / (share * 1000));
  }
  EXPECT_LE(max_ratio, 2.5) << "times the warm share of what a warm server was sent; it falls over at 3";
  EXPECT_GT(sent.size(), 100u) << "it must be used again";
}

// An overloaded fleet is sent far more than it serves; the budget of a cold server must follow what is
// served.
TEST(ColdStart, TheBudgetFollowsWhatWarmServersServe) {
  Settings s = Usual();
  s.max_attempts = 1;
  Rig rig(s);
  rig.List({Entry(1), Entry(2), Entry(3, 0, 0, ServerState::kReady, rig.now)});
  int sent = 0;
  for (int i = 0; i < 800; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    const auto server = rig.Ask(id, 2, 10, 900);
    if (!server) continue;
    sent += *server == 3;
    rig.End(id, 0, *server, i % 20 ? Outcome::kFull : Outcome::kOk, 5);
  }
  EXPECT_LE(sent, 6) << "in 4 s, with a fleet that served 0.05 of 2 ms of work per ms";
}

// When a rolling deploy left no warm server, a budget based on the currently served work starved itself.
TEST(ColdStart, ABudgetDoesNotStarveItselfWhenNoServerIsWarm) {
  Settings settings = Usual();
  settings.warm_up = Duration(20000);
  settings.cold_from = 0.1;
  Rig rig(settings);
  rig.Servers(6);
  bool served = true;
  auto run = [&](int n) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      rig.Tick(20);
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 400);
      if (s) ++sent, rig.End(id, 0, *s, served ? Outcome::kOk : Outcome::kCancelled, 12);
    }
    return sent;
  };
  run(1000);
  std::vector<ServerEntry> cold;
  for (ServerId id = 1; id <= 6; ++id) cold.push_back(Entry(id, 0, 0, ServerState::kReady, rig.now));
  rig.List(cold);
  served = false;
  run(250);
  served = true;
  EXPECT_GT(run(100), 70) << "after five seconds without an answer";
}

TEST(ColdStart, RejectedWorkCountsToo) {
  Rig rig;
  rig.List({Entry(1, 0, 0, ServerState::kReady, 99999)});
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 2000);
    if (s) ++sent, rig.End(id, 0, *s, Outcome::kFull);
  }
  EXPECT_LE(sent, 2) << "the rate of warm servers is unknown: one mean request per window";
}

TEST(ColdStart, AProxyWithoutStatisticsStillServes) {
  Rig rig;
  rig.List({Entry(1, 0, 0, ServerState::kReady, 99999), Entry(2, 0, 0, ServerState::kReady, 99999)});
  const RequestId id = next_id++;
  bool sent = rig.Ask(id, 0).has_value();
  for (int i = 0; i < 20 && !sent; ++i) rig.Tick(5), sent = rig.SentTo(id).has_value();
  EXPECT_TRUE(sent) << "within half of the target time";
}

// Hundreds of proxies that each sent one first request at once to a starting server made it fall over, at 4.1
// times its capacity.
TEST(ColdStart, ManyProxiesTakeTurnsAtAStartingServer) {
  Settings settings = Usual();
  settings.balancers = 400;
  settings.cold_from = 0.1;
  int at_once = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Rig rig(settings, seed);
    rig.List({Entry(1), Entry(2), Entry(3)});
    for (int i = 0; i < 100; ++i) {  // a request every 200 ms
      rig.Tick(200);
      if (const auto s = rig.Ask(next_id++, 2, 10)) rig.End(next_id - 1, 0, *s, Outcome::kOk);
    }
    rig.List({Entry(3, 0, 0, ServerState::kReady, rig.now)}, ListKind::kDelta);
    for (int k = 0; k < 5; ++k) {
      rig.Tick(200);
      if (const auto s = rig.Ask(next_id++, 2, 10))
        at_once += *s == 3, rig.End(next_id - 1, 0, *s, Outcome::kOk);
    }
  }
  // Each warm server serves 400 x 10 ms of work in 600 ms: 6.7 per ms. A cold one can serve 0.1 to 0.19 of
  // that in its first second, and falls over at 3 times as much.
  EXPECT_LE(at_once * 10, 3 * 0.145 * 6.7 * 1000);
  EXPECT_GT(at_once, 50) << "it must be used";
}

TEST(Admission, HoldsBeyondTheLimitAndRefusesInTime) {
  Rig rig;
  rig.Servers(1);
  rig.Tick(10000), rig.Tick(10000);  // the initial crowding estimate decays
  for (int i = 0; i < 4; ++i) ASSERT_TRUE(rig.Ask(next_id++, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.Ask(next_id++, 2, 10, 5000).has_value());
  double waited = 0;
  while (rig.Count<Refuse>() == 0 && waited < 2000) rig.Tick(5), waited += 5;
  EXPECT_EQ(rig.Count<Refuse>(), 1);
  EXPECT_LE(waited, 205) << "within the target time, not at the deadline";
}

// With a fixed minimum of the concurrency limit, hundreds of proxies together overloaded the servers.
TEST(Admission, TheMinimumLimitFollowsHowCrowdedServersAre) {
  std::size_t in_flight[2];
  for (const bool crowded : {false, true}) {
    Settings settings = Usual();
    settings.balancers = 400;
    Rig rig(settings);
    rig.Servers(80);
    for (int i = 0; i < 60; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 5000);
      if (s) rig.End(id, 0, *s, Outcome::kOk, crowded && i >= 45 ? 120 : 10);
      rig.Tick(200);
    }
    const std::size_t before = rig.sent.size();
    for (int i = 0; i < 20; ++i) rig.Ask(next_id++, 2, 10, 5000);
    in_flight[crowded] = rig.sent.size() - before;
  }
  EXPECT_EQ(in_flight[false], 4u);
  EXPECT_LE(in_flight[true], 2u);
}

// Proxies refused requests with nothing in flight because the first answer had been slow.
TEST(Admission, OneSlowFirstAnswerDoesNotCauseRefusals) {
  Rig rig;
  rig.Servers(3);
  const RequestId first = next_id++;
  const auto s = rig.Ask(first, 2, 10, 5000);
  ASSERT_TRUE(s.has_value());
  rig.End(first, 0, *s, Outcome::kOk, 190);
  EXPECT_TRUE(rig.Ask(next_id++, 2, 20, 350).has_value())
      << "380 ms at that speed, more than the target time and the client's timeout";
}

// At low traffic, idle proxies refused the heaviest requests, which are worth a lot.
TEST(Admission, ATooLargeRequestIsTriedAtLowPressureAndRefusedUnderLoad) {
  for (const bool crowded : {false, true}) {
    Settings settings = Usual();
    settings.balancers = 400;
    Rig rig(settings);
    rig.Servers(80);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 900);
      if (s) rig.End(id, 0, *s, Outcome::kOk, crowded && i >= 30 ? 180 : 20);
      rig.Tick(200);
    }
    EXPECT_EQ(rig.Ask(next_id++, 0, 600, 900).has_value(), !crowded) << "1.2 s at this speed";
  }
}

TEST(Admission, TheMostValuableRequestGoesFirst) {
  Settings s = Usual();
  s.classes[2].worth = 1;
  s.classes[0].worth = 9;
  s.balancers = 2;
  Rig rig(s);
  rig.Servers(1);
  const RequestId first = next_id++;
  ASSERT_TRUE(rig.Ask(first, 2, 10, 5000).has_value());
  ASSERT_TRUE(rig.Ask(next_id++, 2, 10, 5000).has_value());
  const RequestId poor = next_id++, rich = next_id++;
  EXPECT_FALSE(rig.Ask(poor, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.Ask(rich, 0, 10, 5000).has_value());
  rig.End(first, 0, 1, Outcome::kOk, 10);
  std::vector<RequestId> order;
  for (const Dispatch& d : rig.sent) order.push_back(d.request);
  const auto rich_at = std::find(order.begin(), order.end(), rich);
  ASSERT_NE(rich_at, order.end());
  EXPECT_EQ(std::find(order.begin(), rich_at, poor), rich_at);
}

TEST(Admission, BeyondItsQuotaATenantComesLast) {
  Settings s = Usual();
  s.tenants = {{1}, {1}};
  s.over_share_worth = 0.2;
  s.balancers = 2;
  Rig rig(s);
  rig.Servers(1);
  auto ask = [&](RequestId id, int tenant) {
    Submit submit;
    submit.request = id;
    submit.tenant = tenant;
    submit.due = At(rig.now + 900);
    rig.Do(submit);
    return rig.SentTo(id).has_value();
  };
  EXPECT_TRUE(ask(9001, 0));  // uses the quota of one request per second
  EXPECT_TRUE(ask(9002, 0));
  EXPECT_FALSE(ask(9003, 1));
  rig.now += 1;
  EXPECT_FALSE(ask(9004, 0)) << "newer, but beyond its quota";
  rig.End(9001, 0, 1, Outcome::kOk);
  EXPECT_TRUE(rig.SentTo(9003).has_value());
  EXPECT_FALSE(rig.SentTo(9004).has_value());
}

// 65 servers that had just started tripled the minimum of the concurrency limit, which overloaded the fleet.
TEST(Admission, ColdServersRaiseTheMinimumLimitByTheirWarmShareOnly) {
  Settings s = Usual();
  s.balancers = 4;
  Rig rig(s);
  std::vector<ServerEntry> list = {Entry(1), Entry(2)};
  for (ServerId id = 3; id <= 10; ++id) list.push_back(Entry(id, 0, 0, ServerState::kReady, rig.now));
  rig.List(list);
  for (int i = 0; i < 50; ++i) rig.Ask(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.size(), 3u) << "2 + 8 x 0.25 servers, 3 requests each, divided by 4 proxies";
}

// With the oldest first, an overloaded proxy would send only requests with hardly any of their target time
// left.
TEST(Admission, OfEqualWorthTheNewestGoesFirst) {
  Settings s = Usual();
  s.balancers = 2;
  Rig rig(s);
  rig.Servers(1);
  for (int i = 0; i < 2; ++i) ASSERT_TRUE(rig.Ask(500 + static_cast<RequestId>(i), 0, 10, 900).has_value());
  for (RequestId id : {601u, 602u}) {
    rig.Tick(10);
    EXPECT_FALSE(rig.Ask(id, 0, 10, 900).has_value());
  }
  rig.End(500, 0, 1, Outcome::kOk, 20);
  EXPECT_TRUE(rig.SentTo(602).has_value());
  EXPECT_FALSE(rig.SentTo(601).has_value());
}

// A new proxy that floods the fleet before it has any estimate of the rate leaves queues that last far longer
// than its startup.
TEST(Admission, ANewProxyStartsWithALowLimit) {
  Settings s = Usual();
  s.balancers = 4;
  Rig rig(s);
  rig.Servers(4);
  for (int i = 0; i < 50; ++i) rig.Ask(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.size(), 3u) << "4 servers, 3 requests each, divided by 4 proxies";
}

// With heavy-tailed work, a few requests that could never be answered in time displaced all others.
TEST(Admission, ARequestTooLargeToBeInTimeIsRefusedAtOnce) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    AnswerOne(rig, Outcome::kOk, {}, 15);
    rig.Tick(50);
  }
  rig.Ask(next_id++, 0, 1000, 900);
  EXPECT_EQ(rig.Count<Refuse>(), 1) << "about 1500 ms, with a timeout of 900 ms";
  rig.Ask(next_id++, 0, 100, 900);
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
}

// A concurrency limit in units of work refused one large request after another at low traffic.
TEST(Admission, AHugeRequestIsNotLockedOutByTheConcurrencyLimit) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(50);
  }
  EXPECT_TRUE(rig.Ask(next_id++, 2, 150, 5000).has_value());
}

// A client's last try has what is left of its deadline as timeout. Served in arrival order it was certainly
// late and delayed others: 17 proxies answered a fifth of all requests after their target time.
TEST(Admission, TimeSpentOnTheDeadlineIsSubtractedFromTheTargetTime) {
  Settings settings = Usual();
  settings.max_retry_after = Duration(300);
  Rig rig(settings);
  rig.Servers(3);
  auto served = [&](double left, bool repeat = false) {
    Submit s;
    s.request = next_id++;
    s.request_class = 2;
    s.has_hint = true;
    s.work_ms = 10;
    s.due = At(rig.now + left);
    s.client_retry = repeat;
    rig.Do(s);
    const auto server = rig.SentTo(s.request);
    if (server) rig.End(s.request, 0, *server, Outcome::kOk);
    return server.has_value();
  };
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(served(i % 2 ? 600 : 500)) << "no usual timeout yet";
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(served(600));
  EXPECT_TRUE(served(900)) << "100 of the 1000 ms have passed, with a target time of 200";
  EXPECT_FALSE(served(780)) << "220 ms have passed";
  EXPECT_FALSE(served(600, true)) << "about 200 ms: half of what may have passed before a marked retry";
  const auto* refused = std::get_if<Refuse>(&rig.actions.front());
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(refused->retry_after.count(), 300) << "another try would be even later";
  EXPECT_TRUE(served(600));
}

// Clients' retries kept an overloaded fleet overloaded: all answers were late, and none was refused.
TEST(Admission, ASlowFleetGetsNoMoreThanItAnswersInTime) {
  Settings s = Usual();
  s.balancers = 2;
  Rig rig(s);
  rig.Servers(3);
  std::deque<std::tuple<double, RequestId, ServerId>> out;
  std::size_t max_in_flight = 0;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    if (const auto to = rig.Ask(id, 2, 10, 900)) out.emplace_back(rig.now, id, *to);
    // The fleet answers one request every 20 ms, the oldest first.
    if (i % 4 == 0 && !out.empty()) {
      const auto [at, oldest, server] = out.front();
      out.pop_front();
      rig.End(oldest, 0, server, Outcome::kOk, rig.now - at);
      for (const Dispatch& d : rig.sent) {
        if (std::none_of(out.begin(), out.end(),
                         [&](const auto& o) { return std::get<1>(o) == d.request; }) &&
            rig.SentTo(d.request))
          out.emplace_back(rig.now, d.request, d.server);
      }
    }
    if (i > 1000) max_in_flight = std::max(max_in_flight, out.size());
  }
  EXPECT_LE(max_in_flight, 8u)
      << "0.05 per ms x a third of the target time of 200 ms, plus a deviation, is 5";
}

// Random arrivals are not overload: with few requests in flight, a limit at their mean refused a tenth of
// them for no reason.
TEST(Admission, TheLimitAllowsForRandomArrivals) {
  Settings settings = Usual();
  settings.classes[2].aim = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 4000; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(2);
  }
  for (int i = 0; i < 40; ++i) rig.Ask(next_id++, 2, 10, 5000);
  EXPECT_EQ(rig.sent.size() - 4000, 19u) << "0.5 per ms x 3 x 10 ms is 15, with a deviation of 3.9";
}

// With long target times, queues grew until they overloaded the servers; the fleet then served a fifth of its
// capacity.
TEST(Admission, LongTargetTimesDoNotCrowdServers) {
  Settings settings = Usual();
  settings.classes[2].aim = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  settings.balancers = 2;
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 200; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(20);
  }
  for (int i = 0; i < 40; ++i) rig.Ask(next_id++, 2, 10, 5000);
  const auto out = rig.sent.size() - 200;
  EXPECT_EQ(out, 5u) << "0.05 per ms x 3 x 10 ms is less than 3 per server, divided by 2 proxies; a third of "
                        "the target time "
                        "would give 16";
}

TEST(Logs, RateLimitedLinesNameServerAndReason) {
  Rig rig;
  std::vector<std::string> lines;
  auto note = [&] {
    for (const Action& a : rig.actions)
      if (const auto* log = std::get_if<Log>(&a)) lines.push_back(log->text);
  };
  for (int i = 0; i < 5; ++i) {
    rig.Ask(next_id++, 0, 10, -50);  // due in the past
    note();
  }
  ASSERT_EQ(lines.size(), 1u) << "others within ten seconds are not logged";
  EXPECT_NE(lines[0].find("refusing: not in time"), std::string::npos) << lines[0];
  rig.Tick(20000);
  rig.Tick(20000);
  rig.List({Entry(1, 0, 0, ServerState::kReady, rig.now)});
  for (int i = 0; i < 30; ++i) {
    rig.Ask(next_id++);
    note();
  }
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_NE(lines[1].find("server 1 held back: cold, at 25%"), std::string::npos) << lines[1];
}

TEST(BadInput, IsIgnoredOrRefused) {
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  Rig rig;
  EXPECT_FALSE(rig.Ask(1, 0).has_value()) << "no list yet: queued";
  rig.List({});
  rig.End(77, 0, 1, Outcome::kOk);
  rig.Do(ClientGone{77});
  rig.Do(StreamStarted{77, 0});
  rig.Servers(1);
  EXPECT_EQ(rig.SentTo(1), ServerId{1}) << "queued requests are sent once a server is listed";
  rig.End(1, 9, 1, Outcome::kOk);
  rig.End(1, -1, 1, Outcome::kOk);
  rig.Ask(1, 0);
  EXPECT_FALSE(rig.SentTo(1).has_value()) << "a duplicate id";
  rig.Ask(2, 99);
  EXPECT_EQ(rig.Count<Refuse>(), 1) << "an unknown class";
  rig.Ask(3, 0, 10, -50);
  EXPECT_EQ(rig.Count<Refuse>(), 1) << "due in the past";
  for (double work : {0.0, -5.0, inf, nan, 1e300}) {
    const RequestId id = 100 + next_id++;
    Submit s;
    s.request = id;
    s.due = At(rig.now + 500);
    s.has_hint = true;
    s.work_ms = work;
    s.tenant = 4000;
    rig.Do(s);
    ASSERT_TRUE(rig.SentTo(id).has_value()) << work;
    AttemptEnded e;
    e.request = id;
    e.server = 1;
    e.outcome = Outcome::kOk;
    e.settled = true;
    e.took = Duration(nan);
    rig.Do(e);
  }
  EXPECT_TRUE(rig.Ask(next_id + 1000, 0).has_value());
}

TEST(EdgeCases, AnEmptyListQueuesRequestsAndRefusesThemInTime) {
  Rig rig;
  rig.List({});
  EXPECT_FALSE(rig.Ask(next_id++, 0, 10, 1000).has_value());
  EXPECT_EQ(rig.Count<Refuse>() + rig.Count<Fail>(), 0);
  double waited = 0;
  while (rig.Count<Refuse>() == 0 && waited < 2000) rig.Tick(5), waited += 5;
  EXPECT_EQ(rig.Count<Refuse>(), 1);
  EXPECT_LE(waited, 1000);
}

TEST(EdgeCases, AQueuedRequestGoesToTheFirstServerThatIsListed) {
  Rig rig;
  rig.List({});
  const RequestId id = next_id++;
  EXPECT_FALSE(rig.Ask(id, 2, 10, 1000).has_value());
  rig.now += 20;
  rig.List({Entry(9)}, ListKind::kDelta);
  EXPECT_EQ(rig.SentTo(id), std::optional<ServerId>(9));
}

TEST(EdgeCases, AThousandServersAndNoHints) {
  Settings settings = Usual();
  settings.balancers = 3000;
  settings.me = 2999;
  Rig rig(settings);
  rig.Servers(1000);
  for (int i = 0; i < 100; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, i % 3, 0, 900);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, Outcome::kOk);
    rig.Tick(200);
  }
}

TEST(Determinism, SameEventsSameActions) {
  Rig a(Usual(), 7), b(Usual(), 7);
  for (Rig* rig : {&a, &b}) {
    rig->Servers(5);
    for (RequestId id = 1; id <= 200; ++id) {
      const auto s = rig->Ask(id, static_cast<int>(id % 3));
      rig->Tick(3);
      if (s && id % 4) rig->End(id, 0, *s, id % 5 ? Outcome::kOk : Outcome::kError);
    }
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].server, b.sent[i].server);
}

}  // namespace
}  // namespace kestrelline

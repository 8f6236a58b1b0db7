// SPDX-License-Identifier: Apache-2.0
//
// Memory budget, minimum rate and retries of streamed bodies, and the balancer's decisions on them.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

#include "bodies/budget.h"
#include "bodies/minimum_rate.h"
#include "bodies/upload_progress.h"
#include "harness.h"

namespace kestrelline::bodies {
namespace {

TEST(Budget, StreamsNeverExceedTheTotalAndEachCanAlwaysContinue) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    const std::size_t total = Budget::kMinPiece * (1 + random() % 100);
    Budget budget(total);
    std::vector<std::unique_ptr<Budget::Share>> shares;
    std::map<Budget::Share*, std::size_t> held;
    for (int step = 0; step < 300; ++step) {
      if (random() % 3 == 0) {
        if (auto share = budget.Join()) {
          held[share.get()] = 0;
          shares.push_back(std::move(share));
        } else {
          EXPECT_GT((shares.size() + 1) * Budget::kMinPiece,
                    total / 4);  // never because of pieces above the minimum
        }
      } else if (!shares.empty()) {
        const std::size_t i = random() % shares.size();
        if (random() % 4 == 0) {
          held.erase(shares[i].get());
          shares.erase(shares.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
          const std::size_t piece = shares[i]->ReservePiece();
          EXPECT_GE(piece, Budget::kMinPiece);
          EXPECT_LE(piece, Budget::kMaxPiece);
          held[shares[i].get()] = piece;
        }
      }
      std::size_t all = 0;
      for (const auto& [share, piece] : held) all += piece;
      ASSERT_LE(all, total) << "seed " << seed;
      ASSERT_LE(budget.used(), total);
      ASSERT_EQ(budget.streams(), shares.size());
    }
  }
}

TEST(Budget, IsDividedFairlyAndReturnedWhenStreamsEnd) {
  Budget budget(16 * Budget::kMinPiece);
  auto first = budget.Join();
  EXPECT_EQ(first->ReservePiece(), 12 * Budget::kMinPiece);  // a quarter is reserved for new streams
  std::vector<std::unique_ptr<Budget::Share>> others;
  for (int i = 0; i < 4; ++i) others.push_back(budget.Join());
  EXPECT_EQ(budget.Join(), nullptr);  // the first one uses the rest until its piece is sent
  first->Release();
  for (int i = 0; i < 11; ++i) others.push_back(budget.Join());
  EXPECT_EQ(first->ReservePiece(), Budget::kMinPiece);
  EXPECT_EQ(budget.Join(), nullptr);
  others.resize(3);
  EXPECT_EQ(first->ReservePiece(), 4 * Budget::kMinPiece);
}

TEST(Budget, AReducedTotalAppliesToTheNextPieceAndSharesOutliveTheBudget) {
  auto budget = std::make_unique<Budget>(1 << 20);
  auto share = budget->Join();
  EXPECT_EQ(share->ReservePiece(), Budget::kMaxPiece);
  budget->SetTotal(4 * Budget::kMinPiece);
  EXPECT_EQ(share->ReservePiece(), 3 * Budget::kMinPiece);
  budget.reset();
  EXPECT_GE(share->ReservePiece(), Budget::kMinPiece);
}

using std::chrono::milliseconds;

TEST(MinimumRate, AnUploadAtThePlatformsSlowestRateNeverTimesOut) {
  MinimumRate pace(milliseconds(2500), 40000);
  for (int i = 0; i < 5000; ++i) {  // 32 MB at 64 kB/s, one piece every 0.1 s
    ASSERT_GT(pace.Remaining(), milliseconds(100)) << i;
    pace.OnRead(milliseconds(100), 6400);
  }
}

TEST(MinimumRate, ASlowUploadTimesOutAndAFastStartEarnsNoLongPause) {
  MinimumRate crawl(milliseconds(2500), 40000);
  int seconds = 0;
  for (; crawl.Remaining().count() > 0 && seconds < 100; ++seconds) crawl.OnRead(std::chrono::seconds(1), 10);
  EXPECT_LE(seconds, 4);
  MinimumRate fast(milliseconds(2500), 40000);
  fast.OnRead(milliseconds(1), 1 << 30);
  EXPECT_LE(fast.Remaining(), std::chrono::seconds(10));
}

TEST(UploadProgress, TheFirstUnbufferedPieceRulesOutARetry) {
  using Step = UploadProgress::Step;
  UploadProgress p(100);
  for (int attempt = 0; attempt < 4; ++attempt) {  // as often as the balancer permits
    ASSERT_TRUE(p.Begin());
    EXPECT_EQ(p.Next(), Step::kSendBuffered);
    EXPECT_EQ(p.TakeBuffered(), 0u);
    EXPECT_EQ(p.Next(), Step::kAwaitClient);
  }
  EXPECT_TRUE(p.PassOn(false));
  EXPECT_TRUE(p.dropped());
  EXPECT_FALSE(p.PassOn(true));
  EXPECT_EQ(p.Next(), Step::kEnd);
  EXPECT_FALSE(p.Begin());
}

TEST(UploadProgress, ABrokenBodyIsNeverCompleteAndACompleteBodyCannotBreak) {
  UploadProgress p(100);
  p.Begin();
  EXPECT_EQ(p.TakeBuffered(), 0u);
  p.Break();
  EXPECT_EQ(p.Next(), UploadProgress::Step::kBroken);
  EXPECT_FALSE(p.Begin());
  UploadProgress whole(100, true);
  whole.Break();
  EXPECT_TRUE(whole.Begin());
  EXPECT_EQ(whole.Next(), UploadProgress::Step::kSendBuffered);
  whole.TakeBuffered();
  EXPECT_EQ(whole.Next(), UploadProgress::Step::kEnd);
}

TEST(UploadProgress, APieceThatNoAttemptAwaitsIsBufferedForTheNextOne) {
  UploadProgress p(100);
  p.Begin();
  p.TakeBuffered();
  EXPECT_EQ(p.Next(), UploadProgress::Step::kAwaitClient);  // then that attempt fails
  p.AppendBuffered(50, false);
  EXPECT_FALSE(p.dropped());
  EXPECT_TRUE(p.Begin());
  EXPECT_EQ(p.Next(), UploadProgress::Step::kSendBuffered);
  EXPECT_EQ(p.TakeBuffered(), 0u);
  p.AppendBuffered(25, true);  // read before this attempt asked
  EXPECT_EQ(p.Next(), UploadProgress::Step::kSendBuffered);
  EXPECT_EQ(p.TakeBuffered(), 150u);
  EXPECT_EQ(p.Next(), UploadProgress::Step::kEnd);
}

// ---- decisions of the balancer ------------------------------------------------------------------------
using namespace kestrelline::testing;

Submit StreamedSubmit(RequestId id, int cls) {
  Submit s;
  s.request = id;
  s.request_class = cls;
  s.due = At(100000 + 600000);
  s.body_follows = true;
  return s;
}
BodyProgress Progress(RequestId id, bool bound, bool whole, double due = 0) {
  return {id, bound, whole, At(due)};
}

TEST(BodyProgress, WithADroppedBodyARequestOfAnyClassIsNotRetried) {
  for (const int cls : {0, 1, 2}) {
    Rig rig;
    rig.Servers(3);
    rig.Do(StreamedSubmit(1, cls));
    const auto server = rig.SentTo(1);
    ASSERT_TRUE(server);
    rig.Do(Progress(1, true, false));
    rig.End(1, 0, *server, Outcome::kConnectFailed);
    EXPECT_EQ(rig.Count<Dispatch>(), 0) << cls;
    EXPECT_EQ(rig.Count<Refuse>(), 1) << cls;
  }
}

TEST(BodyProgress, WithABufferedBodyARequestIsRetried) {
  Rig rig;
  rig.Servers(3);
  rig.Do(StreamedSubmit(1, 2));
  const auto server = rig.SentTo(1);
  rig.End(1, 0, *server, Outcome::kConnectFailed);
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
}

TEST(BodyProgress, WithADroppedBodyARequestThatMayHaveRunFails) {
  Rig rig;
  rig.Servers(3);
  rig.Do(StreamedSubmit(1, 2));
  const auto server = rig.SentTo(1);
  rig.Do(Progress(1, true, true, rig.now + 1000));
  rig.End(1, 0, *server, Outcome::kReset);
  EXPECT_EQ(rig.Count<Dispatch>(), 0);
  EXPECT_EQ(rig.Count<Fail>(), 1);
}

TEST(BodyProgress, UploadsDoNotCountAsInFlightUntilTheirLastByte) {
  Rig one, two;
  for (Rig* rig : {&one, &two}) rig->Servers(1);
  for (RequestId id = 1; id <= 200; ++id) one.Do(StreamedSubmit(id, 0));
  for (RequestId id = 1; id <= 200; ++id) two.Ask(id);
  EXPECT_TRUE(one.Ask(1000)) << "uploads shut others out";
  EXPECT_FALSE(two.Ask(1000));  // as many running requests do
  for (RequestId id = 1; id <= 200; ++id) one.Do(Progress(id, true, true, one.now + 1000));
  EXPECT_FALSE(one.Ask(1001));
  for (RequestId id = 1; id <= 200; ++id) one.End(id, 0, 1, Outcome::kOk);
  EXPECT_TRUE(one.Ask(1002));
}

TEST(BodyProgress, ALongUploadDoesNotCountAgainstItsBackend) {
  Rig rig;
  rig.Servers(2);
  for (RequestId id = 1; id <= 100; ++id) {  // responses take 10 ms
    const auto server = rig.Ask(id);
    rig.now += 10;
    rig.End(id, 0, *server, Outcome::kOk);
  }
  rig.Do(StreamedSubmit(500, 0));
  const auto server = rig.SentTo(500);
  for (int i = 0; i < 600; ++i) rig.Tick(100);
  rig.Do(Progress(500, true, true, rig.now + 1000));
  rig.now += 10;
  rig.End(500, 0, *server, Outcome::kOk);
  int chosen_again = 0;
  for (RequestId id = 501; id <= 600; ++id) {
    const auto to = rig.Ask(id);
    chosen_again += to == server;
    rig.now += 10;
    rig.End(id, 0, *to, Outcome::kOk);
  }
  EXPECT_GT(chosen_again, 20);  // chosen as often as the other one
}

TEST(BodyProgress, IsIgnoredForAnUnknownRequest) {
  Rig rig;
  rig.Servers(1);
  rig.Do(Progress(7, true, true, rig.now));
  EXPECT_TRUE(rig.actions.empty());
}

}  // namespace
}  // namespace kestrelline::bodies

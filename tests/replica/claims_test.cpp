// SPDX-License-Identifier: Apache-2.0
//
// Which attempts of a keyed request are sent, and when, depending on the claims of its key.
#include "replica/claims.h"

#include <gtest/gtest.h>

#include <memory>

namespace kestrelline::replica {
namespace {

using Decision = Claims::Decision;

// A registry whose verdicts arrive when the test calls Conclude.
struct FakeRegistry : ClaimRegistry {
  struct PendingCall {
    std::uint64_t group = 0;
    int k = 0;
    std::function<void(bool)> done;
  };
  std::vector<ActiveClaim> ClaimsOn(std::uint64_t) const override { return held; }
  void Claim(std::uint64_t, std::uint64_t group, Span, int k, Span, std::function<void(bool)> done) override {
    if (std::none_of(held.begin(), held.end(), [&](const ActiveClaim& h) { return h.group == group; }))
      held.push_back({group, Time::max()});
    ++writes;
    if (k > 0) pending_calls.push_back({group, k, std::move(done)});
  }
  void Release(std::uint64_t, std::uint64_t group) override {
    ++released;
    std::erase_if(held, [&](const ActiveClaim& h) { return h.group == group; });
  }
  void Conclude(bool confirmed) {
    const auto all = std::exchange(pending_calls, {});
    for (const PendingCall& call : all) call.done(confirmed);
  }
  std::vector<ActiveClaim> held;
  std::vector<PendingCall> pending_calls;
  int writes = 0, released = 0;
};

struct Fixture {
  Claims::Key KeyWith(int mode) const { return {77, mode, &request_class}; }
  // Starts an attempt. The result holds the decision; nothing while the attempt waits.
  std::shared_ptr<std::optional<Decision>> Try(int mode, std::uint64_t group = 1) {
    auto result = std::make_shared<std::optional<Decision>>();
    claims.BeforeAttempt(KeyWith(mode), group, [result](Decision decision) { *result = decision; });
    return result;
  }
  kestrelline::ClassSettings request_class;
  FakeRegistry registry;
  Claims claims{registry, Settings(), {"a", "b"}};
};

// The first attempt only announces its claim; one in a mode that waits must still wait for confirmation.
TEST(Claims, AWaitingAttemptIsNotSentOnAClaimThatIsOnlyAnnounced) {
  Fixture fixture;
  EXPECT_EQ(*fixture.Try(0), Decision::kSend);
  const auto waiting = fixture.Try(1);
  EXPECT_FALSE(*waiting);  // the claim of another cell may be in flight
  EXPECT_EQ(*fixture.Try(0), Decision::kSend);
  fixture.registry.Conclude(true);
  EXPECT_EQ(*waiting, Decision::kSend);
  // Already confirmed for k = 1, but not for k = 2.
  EXPECT_EQ(*fixture.Try(1), Decision::kSend);
  EXPECT_FALSE(*fixture.Try(2));
}

// An unconfirmed attempt must not release the claim while other attempts rely on it.
TEST(Claims, AnUnconfirmedAttemptDoesNotReleaseASharedClaim) {
  Fixture fixture;
  EXPECT_EQ(*fixture.Try(0), Decision::kSend);
  const auto waiting = fixture.Try(1);
  fixture.registry.Conclude(false);
  EXPECT_EQ(*waiting, Decision::kUnconfirmed);
  EXPECT_EQ(fixture.registry.released, 0);
  fixture.claims.AfterAttempt(fixture.KeyWith(0), 1, /*may_have_run=*/false);
  EXPECT_EQ(fixture.registry.released, 1);  // the last attempt, and none ran
  EXPECT_EQ(*fixture.Try(0, 2), Decision::kSend);
  fixture.claims.AfterAttempt(fixture.KeyWith(0), 2, /*may_have_run=*/true);
  EXPECT_EQ(fixture.registry.released, 1);
}

TEST(Claims, NothingIsSentIfAnotherGroupClaimsTheKeyMeanwhile) {
  Fixture fixture;
  const auto first = fixture.Try(1), second = fixture.Try(1);
  fixture.registry.held.push_back({2, Time::max()});
  fixture.registry.Conclude(true);
  EXPECT_EQ(*first, Decision::kOtherGroup);
  EXPECT_EQ(*second, Decision::kOtherGroup);
  EXPECT_EQ(fixture.registry.released, 1);
  EXPECT_EQ(*fixture.Try(1), Decision::kOtherGroup);  // at once
}

// Each attempt may arrive later than the one before it, and the claim has to outlast it.
TEST(Claims, EachAttemptRenewsTheClaim) {
  Fixture fixture;
  fixture.Try(0);
  fixture.Try(0);
  EXPECT_EQ(fixture.registry.writes, 2);
  EXPECT_EQ(fixture.claims.counts().claimed, 1u);
}

}  // namespace
}  // namespace kestrelline::replica

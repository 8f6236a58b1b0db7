// SPDX-License-Identifier: Apache-2.0
//
// Which attempts of a key leave, and when, by what others know of it.
#include "replica/claims.h"

#include <gtest/gtest.h>

#include <memory>

namespace kestrelline::replica {
namespace {

using Decision = Claims::Decision;

// Verdicts come when the test says so.
struct Book : ClaimBook {
  struct Asked {
    std::uint64_t group = 0;
    int k = 0;
    std::function<void(bool)> then;
  };
  std::vector<Held> HeldOf(std::uint64_t) const override { return held; }
  void Claim(std::uint64_t, std::uint64_t group, Span, int k, Span, std::function<void(bool)> then) override {
    if (std::none_of(held.begin(), held.end(), [&](const Held& h) { return h.group == group; }))
      held.push_back({group, Time::max()});
    ++writes;
    if (k > 0) asked.push_back({group, k, std::move(then)});
  }
  void Release(std::uint64_t, std::uint64_t group) override {
    ++released;
    std::erase_if(held, [&](const Held& h) { return h.group == group; });
  }
  void Say(bool met) {
    const auto all = std::exchange(asked, {});
    for (const Asked& one : all) one.then(met);
  }
  std::vector<Held> held;
  std::vector<Asked> asked;
  int writes = 0, released = 0;
};

struct Keys {
  Claims::Key Of(int mode) const { return {77, mode, &of}; }
  // What has become of an attempt; nothing while it waits.
  std::shared_ptr<std::optional<Decision>> Try(int mode, std::uint64_t group = 1) {
    auto gone = std::make_shared<std::optional<Decision>>();
    claims.BeforeAttempt(Of(mode), group, [gone](Decision go) { *gone = go; });
    return gone;
  }
  kestrelline::ClassSettings of;
  Book book;
  Claims claims{book, Settings(), {"a", "b"}};
};

TEST(Claims, WhatWaitsDoesNotLeaveBesideOneThatIsOnlyTold) {
  Keys k;
  EXPECT_EQ(*k.Try(0), Decision::kSend);
  const auto waits = k.Try(1);
  EXPECT_FALSE(*waits);  // another cell's claim may be on its way
  EXPECT_EQ(*k.Try(0), Decision::kSend);
  k.book.Say(true);
  EXPECT_EQ(*waits, Decision::kSend);
  // Known so widely already; and not widely enough for one that asks for more.
  EXPECT_EQ(*k.Try(1), Decision::kSend);
  EXPECT_FALSE(*k.Try(2));
}

TEST(Claims, OneThatWaitedInVainTakesBackNothingThatOthersStandBehind) {
  Keys k;
  EXPECT_EQ(*k.Try(0), Decision::kSend);
  const auto waits = k.Try(1);
  k.book.Say(false);
  EXPECT_EQ(*waits, Decision::kUnconfirmed);
  EXPECT_EQ(k.book.released, 0);
  k.claims.AfterAttempt(k.Of(0), 1, /*may_have_run=*/false);
  EXPECT_EQ(k.book.released, 1);  // the last of them, and nothing ran
  EXPECT_EQ(*k.Try(0, 2), Decision::kSend);
  k.claims.AfterAttempt(k.Of(0), 2, /*may_have_run=*/true);
  EXPECT_EQ(k.book.released, 1);
}

TEST(Claims, WhereAnotherGroupIsClaimedMeanwhileNothingLeaves) {
  Keys k;
  const auto first = k.Try(1), second = k.Try(1);
  k.book.held.push_back({2, Time::max()});
  k.book.Say(true);
  EXPECT_EQ(*first, Decision::kOtherGroup);
  EXPECT_EQ(*second, Decision::kOtherGroup);
  EXPECT_EQ(k.book.released, 1);
  EXPECT_EQ(*k.Try(1), Decision::kOtherGroup);  // at once
}

// Each may arrive later than the one before it, and the claim has to outlast it.
TEST(Claims, EachAttemptClaimsAnew) {
  Keys k;
  k.Try(0);
  k.Try(0);
  EXPECT_EQ(k.book.writes, 2);
  EXPECT_EQ(k.claims.counts().claimed, 1u);
}

}  // namespace
}  // namespace kestrelline::replica

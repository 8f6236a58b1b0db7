// SPDX-License-Identifier: Apache-2.0
//
// The ledger finds each breach of the four rules, with its history, and none in what keeps them.
#include "load/ledger.h"

#include <gtest/gtest.h>

namespace kestrelline::load {
namespace {

constexpr std::size_t kPreview = 0, kConvert = 1, kCertify = 2;

Microseconds Ms(double ms) { return Microseconds(static_cast<std::int64_t>(ms * 1000)); }

RuleFigures Figures() {
  RuleFigures f;
  f.classes = {{"preview", Effect::kSafe, false, Ms(0)},
               {"convert", Effect::kKeyed, false, Ms(10000)},
               {"certify", Effect::kUnsafe, false, Ms(0)}};
  return f;
}

// Warm converters a and b in one cell, c in another.
struct Audit : Ledger {
  explicit Audit(RuleFigures figures = Figures()) : Ledger(std::move(figures)) {
    Started("a", 1, 2, 0.2, Ms(10000), Ms(-60000));
    Started("b", 1, 2, 0.2, Ms(10000), Ms(-60000));
    Started("c", 2, 2, 0.2, Ms(10000), Ms(-60000));
  }
  void Send(const std::string& id, std::size_t cls, double at = 0) { Sent(id, cls, "n0", Ms(1000), Ms(at)); }
  void Try(const std::string& id, const std::string& server, double at) {
    Began(id, "n0", server, 0.02, Ms(at), Ms(at));
  }
  void Over(const std::string& id, const std::string& server, bool ran, double at) {
    Finished(id, server, ran, Ms(at));
  }

  // The one breach: its rule and text.
  void ExpectOne(Rule rule, const std::string& text, double until = 100000) {
    const auto verdict = Finish(Ms(until));
    ASSERT_EQ(verdict.violations.size(), 1u);
    EXPECT_EQ(verdict.violations[0].rule, rule);
    EXPECT_NE(verdict.violations[0].text.find(text), std::string::npos) << verdict.violations[0].text;
    EXPECT_EQ(verdict.broken[static_cast<int>(rule)], 1u);
    EXPECT_FALSE(verdict.clean());
  }
  void ExpectNone(double until = 100000) {
    const auto verdict = Finish(Ms(until));
    for (const auto& v : verdict.violations) ADD_FAILURE() << v.subject << ": " << v.text;
    EXPECT_TRUE(verdict.clean());
  }
};

// ---- keys that proxies share ---------------------------------------------------------------------------
RuleFigures Shared() {
  RuleFigures figures = Figures();
  figures.keys_shared = true;
  return figures;
}
void OneAfterTheOther(Audit* audit, const std::string& second, bool first_ran, double at) {
  audit->Send("x", kConvert);
  audit->Keyed("x", "k");
  audit->Try("x", "a", 1), audit->Over("x", "a", first_ran, 50);
  audit->Answered("x", first_ran ? Answer::kFailed : Answer::kRefused, "", Ms(51));
  audit->Send("y", kConvert, at);
  audit->Keyed("y", "k");
  audit->Try("y", second, at + 1), audit->Over("y", second, true, at + 20);
  audit->Answered("y", Answer::kServed, "y", Ms(at + 21));
}

TEST(Ledger, AKeyThatAnotherRequestCarriedRunsInOneCell) {
  Audit twice(Shared());
  OneAfterTheOther(&twice, "c", true, 6000);  // the first one has been forgotten by then
  twice.ExpectOne(Rule::kNoEffectTwice, "its key may have run at a in another cell for request x");
  Audit same_cell(Shared()), never_ran(Shared()), forgotten(Shared()), not_shared;
  OneAfterTheOther(&same_cell, "b", true, 6000);
  OneAfterTheOther(&never_ran, "c", false, 6000);
  OneAfterTheOther(&forgotten, "c", true, 10100);
  OneAfterTheOther(&not_shared, "c", true, 6000);
  for (Audit* audit : {&same_cell, &never_ran, &forgotten, &not_shared}) audit->ExpectNone();
}

// ---- what keeps the rules -----------------------------------------------------------------------------
TEST(Ledger, FindsNothingInWhatKeepsTheRules) {
  Audit audit;
  audit.Send("p", kPreview);
  audit.Try("p", "a", 1), audit.Over("p", "a", true, 50);  // reset: it may have run
  audit.Try("p", "c", 51), audit.Over("p", "c", true, 90);
  audit.Answered("p", Answer::kServed, "p", Ms(91));
  audit.Send("k", kConvert);
  audit.Try("k", "a", 1), audit.Over("k", "a", true, 50);
  audit.Try("k", "b", 51), audit.Over("k", "b", true, 90);
  audit.Answered("k", Answer::kFailed, "", Ms(91));
  audit.Send("u", kCertify);
  audit.Try("u", "a", 1), audit.Over("u", "a", false, 2);  // declined
  audit.Try("u", "b", 3), audit.Over("u", "b", false, 4);
  audit.Answered("u", Answer::kRefused, "", Ms(5));
  audit.Send("g", kCertify);
  audit.Try("g", "a", 1);
  audit.GaveUp("g", Ms(500)), audit.Over("g", "a", true, 800);
  audit.Send("h", kCertify);
  audit.Killed("n0", Ms(10)), audit.Ended("h", Ms(11));
  const auto verdict = audit.Finish(Ms(5000));
  EXPECT_TRUE(verdict.clean());
  EXPECT_EQ(verdict.requests, 5u);
  EXPECT_EQ(verdict.served, 1u);
  EXPECT_EQ(verdict.refused, 1u);
  EXPECT_EQ(verdict.failed, 1u);
  EXPECT_EQ(verdict.gave_up, 1u);
  EXPECT_EQ(verdict.excused, 1u);
  EXPECT_EQ(verdict.attempts, 7u);
}

// ---- no request is lost -------------------------------------------------------------------------------
TEST(Ledger, ARequestWithoutAnAnswerIsLost) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Try("r", "a", 1);
  const auto verdict = audit.Finish(Ms(1100));
  ASSERT_EQ(verdict.violations.size(), 1u);
  EXPECT_EQ(verdict.violations[0].text, "no final answer");
  EXPECT_EQ(verdict.violations[0].subject, "r");
  ASSERT_EQ(verdict.violations[0].history.size(), 2u) << "the whole history is there";
  EXPECT_NE(verdict.violations[0].history[1].find("attempt 0 begins at a"), std::string::npos);
}
TEST(Ledger, ARunThatEndsBeforeTheTimeIsUpHasLostNothing) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.ExpectNone(900);
}
TEST(Ledger, TwoAnswers) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Answered("r", Answer::kRefused, "", Ms(5));
  audit.Answered("r", Answer::kFailed, "", Ms(6));
  audit.ExpectOne(Rule::kNoneLost, "second final answer");
}
TEST(Ledger, AnAnswerToNobody) {
  Audit audit;
  audit.Answered("never sent", Answer::kFailed, "", Ms(6));
  audit.ExpectOne(Rule::kNoneLost, "nobody waits for");
}
TEST(Ledger, AnAnswerAfterTheTimeIsUp) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Answered("r", Answer::kFailed, "", Ms(1051));
  audit.ExpectOne(Rule::kNoneLost, "time was up");
}
TEST(Ledger, AConnectionThatEndsWithoutAnAnswer) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Ended("r", Ms(10));
  audit.ExpectOne(Rule::kNoneLost, "without a whole answer");
}
TEST(Ledger, AKilledProxyExcusesWhatItHeldAndNothingElse) {
  Audit audit;
  audit.Killed("n0", Ms(5));
  audit.Send("after", kPreview, 10);
  audit.Ended("after", Ms(20));
  audit.ExpectOne(Rule::kNoneLost, "without a whole answer");
}
TEST(Ledger, ServedWithTheAnswerOfAnother) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Try("r", "a", 1), audit.Over("r", "a", true, 2);
  audit.Answered("r", Answer::kServed, "other", Ms(3));
  audit.ExpectOne(Rule::kNoneLost, "no converter made");
}
TEST(Ledger, ServedThoughNothingRan) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Answered("r", Answer::kServed, "r", Ms(3));
  audit.ExpectOne(Rule::kNoneLost, "no converter made");
}

// ---- no effect twice ----------------------------------------------------------------------------------
TEST(Ledger, UnsafeWorkSentAgain) {
  Audit audit;
  audit.Send("r", kCertify);
  audit.Try("r", "a", 1), audit.Over("r", "a", true, 2);
  audit.Try("r", "b", 3), audit.Over("r", "b", true, 4);
  audit.Answered("r", Answer::kServed, "r", Ms(5));
  audit.ExpectOne(Rule::kNoEffectTwice, "must not run twice");
}
TEST(Ledger, KeyedWorkSentToAnotherCell) {
  Audit audit;
  audit.Send("r", kConvert);
  audit.Try("r", "a", 1), audit.Over("r", "a", true, 2);
  audit.Try("r", "c", 3), audit.Over("r", "c", true, 4);
  audit.Answered("r", Answer::kServed, "r", Ms(5));
  audit.ExpectOne(Rule::kNoEffectTwice, "outside the cell");
}
TEST(Ledger, KeyedWorkSentAfterItsWindow) {
  Audit audit;
  audit.Sent("r", kConvert, "n0", Ms(60000), Ms(0));
  audit.Try("r", "a", 1), audit.Over("r", "a", true, 2);
  audit.Try("r", "b", 10052), audit.Over("r", "b", true, 10060);
  audit.Answered("r", Answer::kServed, "r", Ms(10061));
  audit.ExpectOne(Rule::kNoEffectTwice, "has forgotten it");
}
TEST(Ledger, TwoAttemptsAtOnce) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Try("r", "a", 1), audit.Try("r", "b", 2);
  audit.Over("r", "a", true, 3), audit.Over("r", "b", true, 4);
  audit.Answered("r", Answer::kServed, "r", Ms(5));
  audit.ExpectOne(Rule::kNoEffectTwice, "at once");
}
TEST(Ledger, TwoAttemptsAtOnceWhereThePlatformAllowsThemForSafeClasses) {
  RuleFigures figures = Figures();
  figures.parallel_tries = true;
  Audit audit(figures);
  audit.Send("r", kPreview);
  audit.Try("r", "a", 1), audit.Try("r", "b", 2);
  audit.Over("r", "a", true, 3), audit.Over("r", "b", true, 4);
  audit.Answered("r", Answer::kServed, "r", Ms(5));
  audit.ExpectNone();
}
TEST(Ledger, FiveAttempts) {
  Audit audit;
  audit.Send("r", kCertify);
  for (int i = 0; i < 5; ++i) audit.Try("r", "a", 10 * i), audit.Over("r", "a", false, 10 * i + 1);
  audit.Answered("r", Answer::kRefused, "", Ms(60));
  audit.ExpectOne(Rule::kNoEffectTwice, "more attempts");
}
TEST(Ledger, AnAttemptAfterTheAnswer) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Answered("r", Answer::kRefused, "", Ms(5));
  audit.Try("r", "a", 6);
  audit.ExpectOne(Rule::kNoEffectTwice, "after the final answer");
}
TEST(Ledger, RefusedThoughItMayHaveRun) {
  for (const std::size_t cls : {kConvert, kCertify}) {
    Audit audit;
    audit.Send("r", cls);
    audit.Try("r", "a", 1), audit.Over("r", "a", true, 2);
    audit.Answered("r", Answer::kRefused, "", Ms(3));
    audit.ExpectOne(Rule::kNoEffectTwice, "refused though");
  }
}

// ---- drains -------------------------------------------------------------------------------------------
TEST(Ledger, SentAfterTheGraceOfADrain) {
  for (const Listed state : {Listed::kDraining, Listed::kGone}) {
    for (const auto& [at, broken] : {std::pair{1549.0, false}, {1551.0, true}}) {
      Audit audit;
      audit.Told("n0", "a", state, Ms(1000));
      audit.Send("r", kPreview, at);
      audit.Try("r", "a", at), audit.Over("r", "a", true, at + 1);
      audit.Answered("r", Answer::kServed, "r", Ms(at + 2));
      if (broken) {
        audit.ExpectOne(Rule::kDrainsKept, "n0 sent request r");
      } else {
        audit.ExpectNone();
      }
    }
  }
}
TEST(Ledger, TheGraceDoesNotBeginAnewAndEndsWithTheDrain) {
  Audit audit;
  audit.Told("n0", "a", Listed::kDraining, Ms(1000));
  audit.Told("n0", "a", Listed::kGone, Ms(1500));
  audit.Told("n1", "b", Listed::kGone, Ms(0));  // another proxy was told
  audit.Send("r", kPreview, 1600);
  audit.Try("r", "b", 1600), audit.Over("r", "b", false, 1601);
  audit.Try("r", "a", 1602), audit.Over("r", "a", true, 1603);
  audit.Answered("r", Answer::kServed, "r", Ms(1604));
  audit.Told("n0", "a", Listed::kReady, Ms(3000));
  audit.Send("s", kPreview, 9000);
  audit.Try("s", "a", 9000), audit.Over("s", "a", true, 9001);
  audit.Answered("s", Answer::kServed, "s", Ms(9002));
  audit.ExpectOne(Rule::kDrainsKept, "is gone");
}

// ---- cold converters ----------------------------------------------------------------------------------
// 2 s of work a second when warm, a fifth of that at its start: 2.5 x 0.2 x 2 x 3 s = 3 s of work in 3 s.
TEST(Ledger, AColdConverterPushedOver) {
  const auto play = [](Audit& audit, int requests) {
    audit.Started("new", 1, 2, 0.2, Ms(1e6), Ms(0));
    for (int i = 0; i < requests; ++i) {
      const std::string id = std::to_string(i);
      const double at = 10.0 * i;
      audit.Send(id, kPreview, at);
      audit.Try(id, "new", at), audit.Over(id, "new", true, at + 1);  // 20 ms of work each
      audit.Answered(id, Answer::kServed, id, Ms(at + 2));
    }
  };
  Audit kept, broken;
  play(kept, 150);
  kept.ExpectNone();
  play(broken, 200);
  broken.ExpectOne(Rule::kNoneColdPushedOver, "of its capacity");
}
TEST(Ledger, AWarmConverterIsNotColdAndTheWindowRolls) {
  Audit audit;
  audit.Started("new", 1, 2, 0.2, Ms(1e6), Ms(0));
  for (int i = 0; i < 1000; ++i) {
    const std::string id = std::to_string(i);
    const double at = 25.0 * i;  // 0.8 s of work a second: under the multiple
    audit.Send(id, kPreview, at);
    audit.Try(id, i % 2 ? "new" : "a", at), audit.Over(id, i % 2 ? "new" : "a", true, at + 1);
    audit.Answered(id, Answer::kServed, id, Ms(at + 2));
  }
  audit.ExpectNone();
}

// ---- clients that leave, proxies that stop ------------------------------------------------------------
TEST(Ledger, AClientThatLeavesWhenItsTimeIsUpHadNoAnswerInTime) {
  Audit audit;
  audit.Send("early", kPreview);
  audit.GaveUp("early", Ms(999));
  audit.Send("late", kPreview);
  audit.GaveUp("late", Ms(1000));
  audit.ExpectOne(Rule::kNoneLost, "no final answer by the client's time");
}
TEST(Ledger, AKeptConnectionThatWasClosedLosesARequestOnlyIfAConverterHasSeenIt) {
  Audit audit;
  audit.Send("unread", kCertify);
  audit.Crossed("unread", Ms(1));
  audit.Send("read", kCertify);
  audit.Try("read", "a", 1), audit.Over("read", "a", true, 2);
  audit.Crossed("read", Ms(3));
  audit.ExpectOne(Rule::kNoneLost, "ended without a whole answer");
}
TEST(Ledger, AStoppedProxyExcusesWhatWasInItsHandsAndNothingElse) {
  Audit audit;
  audit.Send("before", kPreview, 0);
  audit.GaveUp("before", Ms(1050));
  audit.Paused("n0", Ms(2000));
  audit.Send("in it", kPreview, 1500);
  audit.Send("meanwhile", kPreview, 2500);
  audit.GaveUp("in it", Ms(2550));
  audit.Resumed("n0", Ms(3000));
  audit.Answered("meanwhile", Answer::kRefused, "", Ms(3900));
  audit.Send("after", kPreview, 3100);
  audit.GaveUp("after", Ms(4150));
  const auto verdict = audit.Finish(Ms(9000));
  ASSERT_EQ(verdict.violations.size(), 2u);
  EXPECT_EQ(verdict.violations[0].subject, "before");
  EXPECT_EQ(verdict.violations[1].subject, "after");
  EXPECT_EQ(verdict.excused, 1u);
}
TEST(Ledger, WhatAStoppedProxyWasToldCountsFromWhenItRunsAgain) {
  Audit audit;
  audit.Paused("n0", Ms(0));
  audit.Told("n0", "a", Listed::kDraining, Ms(10));
  audit.Resumed("n0", Ms(2000));
  audit.Send("r", kPreview, 2100);
  audit.Try("r", "a", 2400), audit.Over("r", "a", true, 2410);
  audit.Answered("r", Answer::kServed, "r", Ms(2420));
  audit.Send("s", kPreview, 2500);
  audit.Try("s", "a", 2700), audit.Over("s", "a", true, 2710);
  audit.Answered("s", Answer::kServed, "s", Ms(2720));
  audit.ExpectOne(Rule::kDrainsKept, "sent request s");
}

// ---- bounds -------------------------------------------------------------------------------------------
TEST(Ledger, ViolationsPastTheBoundAreCountedAndTheVerdictSaysThatItIsNotComplete) {
  Audit audit;
  for (int i = 0; i < 1000; ++i) audit.Answered("x" + std::to_string(i), Answer::kFailed, "", Ms(1));
  const auto verdict = audit.Finish(Ms(2));
  EXPECT_EQ(verdict.violations.size(), Ledger::kMostViolations);
  EXPECT_EQ(verdict.broken[static_cast<int>(Rule::kNoneLost)], 1000u);
  EXPECT_FALSE(verdict.complete);
}
TEST(Ledger, AnAnswerLongAfterItsRequestIsStillABreach) {
  Audit audit;
  audit.Send("r", kPreview);
  audit.Answered("r", Answer::kRefused, "", Ms(5));
  audit.Send("s", kPreview, 60000);  // r is forgotten here
  audit.Answered("s", Answer::kRefused, "", Ms(60001));
  audit.Answered("r", Answer::kFailed, "", Ms(60002));
  audit.ExpectOne(Rule::kNoneLost, "nobody waits for", 60003);
}

}  // namespace
}  // namespace kestrelline::load

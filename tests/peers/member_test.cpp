// SPDX-License-Identifier: Apache-2.0
//
// Precedence of statements for every pair of them, and convergence of views in whatever order they merge
// statements.
#include "peers/member.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "peers/name_conflict.h"
#include "peers/view.h"

namespace kestrelline::peers {
namespace {

Member StatementOf(std::uint64_t incarnation, std::uint64_t boot, State state,
                   const std::string& name = "n1") {
  return {name, boot, incarnation, state, {0x7f000001, 7001}, "z", "1", 2};
}
std::vector<State> AllStates() {
  std::vector<State> all;
  for (std::size_t i = 0; i < kStates; ++i) all.push_back(static_cast<State>(i));
  return all;
}

// The table of docs/design/peers.md: '>' if the row's statement takes precedence, '<' the column's, '='
// neither.
TEST(Precedence, MatchesTheTableRowByRow) {
  // By state, within one incarnation of one boot: alive, suspect, faulty, leaving, left.
  const char* const by_state[kStates] = {"=<<<<", ">=<<<", ">>=<<", ">>>=<", ">>>>="};
  int rows = 0;
  for (int incarnation = -1; incarnation <= 1; ++incarnation) {
    for (int boot = -1; boot <= 1; ++boot) {
      for (const State a : AllStates()) {
        for (const State b : AllStates()) {
          const Member row = StatementOf(static_cast<std::uint64_t>(5 + incarnation),
                                         static_cast<std::uint64_t>(9 + boot), a);
          const Member column = StatementOf(5, 9, b);
          char expected = by_state[static_cast<std::size_t>(a)][static_cast<std::size_t>(b)];
          if (boot != 0) expected = boot > 0 ? '>' : '<';
          if (incarnation != 0) expected = incarnation > 0 ? '>' : '<';
          const char actual = Supersedes(row, column) ? '>' : Supersedes(column, row) ? '<' : '=';
          EXPECT_EQ(actual, expected) << incarnation << ' ' << boot << ' ' << NameOf(a) << ' ' << NameOf(b);
          ++rows;
        }
      }
    }
  }
  EXPECT_EQ(rows, 225);
}

View ViewOf(const std::vector<Member>& statements) {
  View view(StatementOf(0, 1, State::kAlive, "me"), Time(), std::chrono::seconds(1));
  for (const Member& m : statements) view.Merge(m, Source::kLocal, Time(), /*learning=*/true);
  return view;
}
std::vector<std::uint64_t> HashesOf(const View& view) {
  std::vector<std::uint64_t> all{view.hash(), view.present(), view.faulty()};
  for (const auto& [name, entry] : view.entries()) all.push_back(StatementHash(entry.member));
  for (const std::uint32_t bucket : view.digest()) all.push_back(bucket);
  return all;
}

TEST(Merge, IsIndependentOfOrderGroupingAndRepeats) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 draw(seed);
    std::vector<Member> statements;
    for (int i = 0; i < 24; ++i)
      statements.push_back(StatementOf(draw() % 3, 1 + draw() % 3, AllStates()[draw() % kStates],
                                       "n" + std::to_string(draw() % 4)));
    const auto in_order = HashesOf(ViewOf(statements));
    auto shuffled = statements;
    std::shuffle(shuffled.begin(), shuffled.end(), draw);
    EXPECT_EQ(in_order, HashesOf(ViewOf(shuffled))) << "seed " << seed;
    // Two views that have merged one half each; one then merges the entries of the other, twice.
    const std::vector<Member> first(statements.begin(), statements.begin() + 12),
        second(statements.begin() + 12, statements.end());
    View a = ViewOf(first);
    const View b = ViewOf(second);
    for (int twice = 0; twice < 2; ++twice)
      for (const auto& [name, entry] : b.entries()) a.Merge(entry.member, Source::kLocal, Time(), true);
    EXPECT_EQ(in_order, HashesOf(a)) << "seed " << seed;
  }
}

TEST(Merge, FailureOfAReachableMemberIsStoredAsSuspicion) {
  const Time now(std::chrono::hours(1));
  View view(StatementOf(0, 1, State::kAlive, "me"), now, std::chrono::seconds(1));
  view.Merge(StatementOf(0, 1, State::kAlive), Source::kDirect, now);
  view.Find("n1")->last_heard = now;
  EXPECT_EQ(view.Merge(StatementOf(0, 1, State::kFaulty), Source::kGossip, now),
            View::MergeResult::kStoredAsSuspect);
  EXPECT_EQ(view.Find("n1")->member.state, State::kSuspect);
  // Once the member has been silent for longer than `fresh`, gossip of its failure is accepted; a copy still
  // is not.
  const Time later = now + std::chrono::seconds(2);
  EXPECT_EQ(view.Merge(StatementOf(0, 1, State::kFaulty), Source::kExchange, later),
            View::MergeResult::kUnchanged);
  EXPECT_EQ(view.Merge(StatementOf(0, 1, State::kFaulty), Source::kGossip, later),
            View::MergeResult::kStored);
  EXPECT_EQ(view.faulty(), 1u);
}

TEST(Merge, DropsUnknownGoneMembersAndEvictsTheOldest) {
  View view(StatementOf(0, 1, State::kAlive, "me"), Time(), std::chrono::seconds(1));
  EXPECT_EQ(view.Merge(StatementOf(3, 1, State::kFaulty, "gone"), Source::kGossip, Time()),
            View::MergeResult::kUnknown);
  for (std::size_t i = 1; i < kMaxMembers; ++i)
    ASSERT_EQ(view.Merge(StatementOf(0, 1, State::kAlive, "n" + std::to_string(i)), Source::kGossip, Time()),
              View::MergeResult::kStored);
  EXPECT_EQ(view.Merge(StatementOf(0, 1, State::kAlive, "late"), Source::kGossip, Time()),
            View::MergeResult::kFull);
  EXPECT_EQ(view.rejected(), 1u);
  // A member that has left is evicted before one that has failed, even if it left later.
  view.Merge(StatementOf(0, 1, State::kFaulty, "n7"), Source::kLocal, Time());
  view.Merge(StatementOf(0, 1, State::kLeft, "n8"), Source::kLocal, Time() + std::chrono::seconds(9));
  EXPECT_EQ(view.Merge(StatementOf(0, 1, State::kAlive, "late"), Source::kGossip, Time()),
            View::MergeResult::kStored);
  EXPECT_EQ(view.Find("n8"), nullptr);
  EXPECT_NE(view.Find("n7"), nullptr);
  EXPECT_EQ(view.entries().size(), kMaxMembers);
  EXPECT_EQ(view.Forget(Time() + std::chrono::hours(2), std::chrono::minutes(1), std::chrono::hours(1)), 1u);
}

// Two live processes with one name: in whatever order they hear of each other, only the later one yields.
TEST(NameConflict, LaterOfTwoLiveProcessesYields) {
  const Member early = StatementOf(4, 100, State::kAlive, "x");
  Member late = StatementOf(0, 200, State::kAlive, "x");
  late.address.port = 7002;
  using Verdict = NameConflict::Verdict;
  EXPECT_EQ(NameConflict().Judge(late, early, true), Verdict::kYield);
  EXPECT_EQ(NameConflict().Judge(early, late, true), Verdict::kIgnore);
  late.incarnation = 9;
  EXPECT_EQ(NameConflict().Judge(early, late, true), Verdict::kRaise);
  late.incarnation = 0;
  NameConflict indirect;  // a rival that keeps raising is live, though it never sends anything here
  std::vector<Verdict> verdicts;
  for (int i = 0; i < 4; ++i) {
    Member again = early;
    again.incarnation = late.incarnation + 1;
    verdicts.push_back(indirect.Judge(late, again, false));
    late.incarnation = again.incarnation + 1;
  }
  EXPECT_EQ(verdicts, (std::vector{Verdict::kRaise, Verdict::kRaise, Verdict::kRaise, Verdict::kYield}));
  // Neither a failed process nor a predecessor at this address is a rival.
  Member dead = early;
  dead.state = State::kFaulty;
  EXPECT_EQ(NameConflict().Judge(StatementOf(0, 200, State::kAlive, "x"), dead, false), Verdict::kRaise);
  EXPECT_EQ(NameConflict().Judge(StatementOf(0, 200, State::kAlive, "x"), early, true), Verdict::kRaise);
}

}  // namespace
}  // namespace kestrelline::peers

// SPDX-License-Identifier: Apache-2.0
//
// Which of two statements holds, for every pair; and that views come to the same in whatever order they hear.
#include "peers/member.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "peers/contest.h"
#include "peers/view.h"

namespace kestrelline::peers {
namespace {

Member Said(std::uint64_t incarnation, std::uint64_t boot, State state, const std::string& name = "n1") {
  return {name, boot, incarnation, state, {0x7f000001, 7001}, "z", "1", 2};
}
std::vector<State> States() {
  std::vector<State> all;
  for (std::size_t i = 0; i < kStates; ++i) all.push_back(static_cast<State>(i));
  return all;
}

// The table of docs/design/peers.md: '>' the row's statement holds, '<' the column's, '=' they are the same.
TEST(Winning, TheTableRowByRow) {
  // By state, within one incarnation of one boot: alive, suspect, faulty, leaving, left.
  const char* const by_state[kStates] = {"=<<<<", ">=<<<", ">>=<<", ">>>=<", ">>>>="};
  int rows = 0;
  for (int incarnation = -1; incarnation <= 1; ++incarnation) {
    for (int boot = -1; boot <= 1; ++boot) {
      for (const State a : States()) {
        for (const State b : States()) {
          const Member left =
              Said(static_cast<std::uint64_t>(5 + incarnation), static_cast<std::uint64_t>(9 + boot), a);
          const Member right = Said(5, 9, b);
          char expected = by_state[static_cast<std::size_t>(a)][static_cast<std::size_t>(b)];
          if (boot != 0) expected = boot > 0 ? '>' : '<';
          if (incarnation != 0) expected = incarnation > 0 ? '>' : '<';
          const char is = Supersedes(left, right) ? '>' : Supersedes(right, left) ? '<' : '=';
          EXPECT_EQ(is, expected) << incarnation << ' ' << boot << ' ' << NameOf(a) << ' ' << NameOf(b);
          ++rows;
        }
      }
    }
  }
  EXPECT_EQ(rows, 225);
}

View Heard(const std::vector<Member>& said) {
  View view(Said(0, 1, State::kAlive, "me"), Time(), std::chrono::seconds(1));
  for (const Member& m : said) view.Merge(m, Source::kLocal, Time(), /*learning=*/true);
  return view;
}
std::vector<std::uint64_t> Held(const View& view) {
  std::vector<std::uint64_t> all{view.hash(), view.present(), view.faulty()};
  for (const auto& [name, entry] : view.entries()) all.push_back(StatementHash(entry.member));
  for (const std::uint32_t bucket : view.digest()) all.push_back(bucket);
  return all;
}

TEST(Merge, OrderGroupingAndRepeatsMakeNoDifference) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 draw(seed);
    std::vector<Member> said;
    for (int i = 0; i < 24; ++i)
      said.push_back(
          Said(draw() % 3, 1 + draw() % 3, States()[draw() % kStates], "n" + std::to_string(draw() % 4)));
    const auto in_order = Held(Heard(said));
    auto shuffled = said;
    std::shuffle(shuffled.begin(), shuffled.end(), draw);
    EXPECT_EQ(in_order, Held(Heard(shuffled))) << "seed " << seed;
    // What two halves have come to, told to each other.
    const std::vector<Member> first(said.begin(), said.begin() + 12), second(said.begin() + 12, said.end());
    View a = Heard(first);
    const View b = Heard(second);
    for (int twice = 0; twice < 2; ++twice)
      for (const auto& [name, entry] : b.entries()) a.Merge(entry.member, Source::kLocal, Time(), true);
    EXPECT_EQ(in_order, Held(a)) << "seed " << seed;
  }
}

TEST(Merge, TheDeathOfOneThatAnswersIsASuspicion) {
  const Time now(std::chrono::hours(1));
  View view(Said(0, 1, State::kAlive, "me"), now, std::chrono::seconds(1));
  view.Merge(Said(0, 1, State::kAlive), Source::kDirect, now);
  view.Find("n1")->last_heard = now;
  EXPECT_EQ(view.Merge(Said(0, 1, State::kFaulty), Source::kGossip, now), View::MergeResult::kStoredAsSuspect);
  EXPECT_EQ(view.Find("n1")->member.state, State::kSuspect);
  // Heard no more, the same news counts; a copy still does not; what was found out here does.
  const Time later = now + std::chrono::seconds(2);
  EXPECT_EQ(view.Merge(Said(0, 1, State::kFaulty), Source::kExchange, later), View::MergeResult::kUnchanged);
  EXPECT_EQ(view.Merge(Said(0, 1, State::kFaulty), Source::kGossip, later), View::MergeResult::kStored);
  EXPECT_EQ(view.faulty(), 1u);
}

TEST(Merge, EndsOfStrangersAndWhatHasNoRoomAreNotKept) {
  View view(Said(0, 1, State::kAlive, "me"), Time(), std::chrono::seconds(1));
  EXPECT_EQ(view.Merge(Said(3, 1, State::kFaulty, "gone"), Source::kGossip, Time()), View::MergeResult::kUnknown);
  for (std::size_t i = 1; i < kMaxMembers; ++i)
    ASSERT_EQ(view.Merge(Said(0, 1, State::kAlive, "n" + std::to_string(i)), Source::kGossip, Time()),
              View::MergeResult::kStored);
  EXPECT_EQ(view.Merge(Said(0, 1, State::kAlive, "late"), Source::kGossip, Time()), View::MergeResult::kFull);
  EXPECT_EQ(view.refused(), 1u);
  // One that has left makes way before one that has failed, however long ago.
  view.Merge(Said(0, 1, State::kFaulty, "n7"), Source::kLocal, Time());
  view.Merge(Said(0, 1, State::kLeft, "n8"), Source::kLocal, Time() + std::chrono::seconds(9));
  EXPECT_EQ(view.Merge(Said(0, 1, State::kAlive, "late"), Source::kGossip, Time()), View::MergeResult::kStored);
  EXPECT_EQ(view.Find("n8"), nullptr);
  EXPECT_NE(view.Find("n7"), nullptr);
  EXPECT_EQ(view.entries().size(), kMaxMembers);
  EXPECT_EQ(view.Forget(Time() + std::chrono::hours(2), std::chrono::minutes(1), std::chrono::hours(1)), 1u);
}

// Two live processes of one name: whoever hears what in which order, one yields and it is the later one.
TEST(NameConflict, OfTwoThatLiveTheLaterYields) {
  const Member early = Said(4, 100, State::kAlive, "x");
  Member late = Said(0, 200, State::kAlive, "x");
  late.address.port = 7002;
  using Verdict = NameConflict::Verdict;
  EXPECT_EQ(NameConflict().Judge(late, early, true), Verdict::kYield);
  EXPECT_EQ(NameConflict().Judge(early, late, true), Verdict::kIgnore);
  late.incarnation = 9;
  EXPECT_EQ(NameConflict().Judge(early, late, true), Verdict::kRaise);
  late.incarnation = 0;
  NameConflict hearsay;  // one that keeps raising lives, though it never writes here
  std::vector<Verdict> said;
  for (int i = 0; i < 4; ++i) {
    Member again = early;
    again.incarnation = late.incarnation + 1;
    said.push_back(hearsay.Judge(late, again, false));
    late.incarnation = again.incarnation + 1;
  }
  EXPECT_EQ(said, (std::vector{Verdict::kRaise, Verdict::kRaise, Verdict::kRaise, Verdict::kYield}));
  // A dead one, or a predecessor at this address, is no rival.
  Member dead = early;
  dead.state = State::kFaulty;
  EXPECT_EQ(NameConflict().Judge(Said(0, 200, State::kAlive, "x"), dead, false), Verdict::kRaise);
  EXPECT_EQ(NameConflict().Judge(Said(0, 200, State::kAlive, "x"), early, true), Verdict::kRaise);
}

}  // namespace
}  // namespace kestrelline::peers

// SPDX-License-Identifier: Apache-2.0
//
// Room for large answers: bounded in all, given back whatever becomes of the answer.
#include "handover/answer_room.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <vector>

namespace kestrelline::handover {
namespace {

using Verdict = AnswerRoom::Verdict;

TEST(AnswerRoom, TheProtocolsOwnNeedNone) {
  AnswerRoom room(0);
  const auto taken = room.Take(AnswerRoom::kAlways);
  EXPECT_EQ(taken.verdict, Verdict::kFits);
  EXPECT_EQ(taken.lease, nullptr);
  EXPECT_EQ(room.Take(AnswerRoom::kAlways + 1).verdict, Verdict::kNoRoom);
}

TEST(AnswerRoom, AllTogetherStayUnderTheTotal) {
  constexpr std::size_t kTotal = 4 * 1024 * 1024;
  AnswerRoom room(kTotal);
  std::mt19937_64 draw(1);
  std::vector<std::shared_ptr<const AnswerRoom::Lease>> held;
  int without = 0;
  for (int i = 0; i < 10000; ++i) {
    if (!held.empty() && draw() % 2 == 0) {
      held.erase(held.begin() + static_cast<std::ptrdiff_t>(draw() % held.size()));
      continue;
    }
    const auto taken =
        room.Take(AnswerRoom::kAlways + 1 + draw() % (AnswerRoom::kMostOne - AnswerRoom::kAlways));
    without += taken.verdict == Verdict::kNoRoom;
    if (taken.lease) held.push_back(taken.lease);
    ASSERT_LE(room.used(), kTotal);
  }
  EXPECT_GT(without, 100);
  held.clear();
  EXPECT_EQ(room.used(), 0u);
}

TEST(AnswerRoom, ALengthThatNobodyCouldMeanIsRefusedAtOnce) {
  AnswerRoom room = AnswerRoom::OfMemory(2048);
  EXPECT_EQ(room.Take(AnswerRoom::kMostOne).verdict, Verdict::kFits);
  EXPECT_EQ(room.Take(AnswerRoom::kMostOne + 1).verdict, Verdict::kTooLarge);
  EXPECT_EQ(room.Take(~std::uint64_t{0}).verdict, Verdict::kTooLarge);
  EXPECT_EQ(room.used(), 0u);
}

TEST(AnswerRoom, ALeaseOutlivesTheRoom) {
  std::optional<AnswerRoom> room(std::in_place, std::size_t{1024 * 1024});
  const auto taken = room->Take(200 * 1024);
  room.reset();
  EXPECT_NE(taken.lease, nullptr);  // and gives back what nobody counts any more
}

}  // namespace
}  // namespace kestrelline::handover

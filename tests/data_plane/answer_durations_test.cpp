// SPDX-License-Identifier: Apache-2.0
#include "data_plane/answer_durations.h"

#include <gtest/gtest.h>

namespace kestrelline::data_plane {
namespace {

constexpr double kMargin = AnswerDurations::kMargin;

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

ObservedAnswer Stream(double first_ms, int events, double streaming_ms) {
  return {Duration(first_ms), Duration(streaming_ms), events};
}

void NoteTimes(AnswerDurations& durations, int times, const AnswerKind& kind, const ObservedAnswer& answer,
               TimePoint now) {
  for (int i = 0; i < times; ++i) durations.Note(kind, answer, now);
}

const AnswerKind kLong{"llm", 1120};
const AnswerKind kShort{"llm", 90};

TEST(AnswerDurations, NothingIsKnownOfAFewAnswers) {
  AnswerDurations durations;
  EXPECT_FALSE(durations.Longest(kLong, At(0)));
  NoteTimes(durations, AnswerDurations::kLeastAnswers - 1, kLong, Stream(200, 40, 2000), At(0));
  EXPECT_FALSE(durations.Longest(kLong, At(0)));
  durations.Note(kLong, Stream(200, 40, 2000), At(0));
  EXPECT_TRUE(durations.Longest(kLong, At(0)));
}

// The most events, the slowest pace and the longest wait are of three streams; a fourth may have all of them.
TEST(AnswerDurations, TheLongestIsPutTogetherFromTheExtremes) {
  AnswerDurations durations;
  NoteTimes(durations, AnswerDurations::kLeastAnswers, kLong, Stream(200, 21, 400), At(0));
  durations.Note(kLong, Stream(100, 101, 3000), At(0));
  durations.Note(kLong, Stream(50, 11, 600), At(0));
  durations.Note(kLong, Stream(900, 5, 10), At(0));
  EXPECT_DOUBLE_EQ(durations.Longest(kLong, At(0))->count(), (900 + 101 * 60) * kMargin);
}

TEST(AnswerDurations, StreamsThatAnnounceFewTokensAreAnotherKind) {
  AnswerDurations durations;
  NoteTimes(durations, AnswerDurations::kLeastAnswers, kLong, Stream(200, 101, 6000), At(0));
  NoteTimes(durations, AnswerDurations::kLeastAnswers, kShort, Stream(100, 3, 40), At(0));
  EXPECT_DOUBLE_EQ(durations.Longest(kShort, At(0))->count(), (100 + 3 * 20) * kMargin);
  EXPECT_FALSE(durations.Longest({"other", 90}, At(0)));
}

TEST(AnswerDurations, OfWholeAnswersTheTimeIsTheLongest) {
  AnswerDurations durations;
  const AnswerKind whole{"app", 0};
  NoteTimes(durations, AnswerDurations::kLeastAnswers, whole, Stream(60, 0, 0), At(0));
  durations.Note(whole, Stream(300, 0, 0), At(0));
  EXPECT_DOUBLE_EQ(durations.Longest(whole, At(0))->count(), 300 * kMargin);
}

TEST(AnswerDurations, ExtremesAreForgottenAfterAMinute) {
  AnswerDurations durations;
  durations.Note(kLong, Stream(200, 101, 9000), At(0));
  NoteTimes(durations, AnswerDurations::kLeastAnswers, kLong, Stream(200, 11, 100), At(31000));
  EXPECT_DOUBLE_EQ(durations.Longest(kLong, At(31000))->count(), (200 + 101 * 90) * kMargin);
  NoteTimes(durations, AnswerDurations::kLeastAnswers, kLong, Stream(200, 11, 100), At(62000));
  EXPECT_DOUBLE_EQ(durations.Longest(kLong, At(62000))->count(), (200 + 11 * 10) * kMargin);
  EXPECT_FALSE(durations.Longest(kLong, At(200000)));
}

}  // namespace
}  // namespace kestrelline::data_plane

// SPDX-License-Identifier: Apache-2.0
//
// Latencies: their error is bounded, they add up, and a stall shows whole.
#include "load/latency.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "load/results.h"

namespace kestrelline::load {
namespace {

using std::chrono::seconds;

TEST(Latencies, QuantilesAreOffByNoMoreThanSaid) {
  std::mt19937_64 random(5);
  std::vector<std::int64_t> exact;
  Latencies latencies;
  for (int i = 0; i < 100000; ++i) {
    const double unit = static_cast<double>(random() >> 11) * 0x1.0p-53;
    exact.push_back(static_cast<std::int64_t>(std::exp(2 + 18 * unit)));  // 7 us to 8 minutes
    latencies.Add(Microseconds(exact.back()));
  }
  std::sort(exact.begin(), exact.end());
  for (const double q : {0.001, 0.01, 0.5, 0.9, 0.99, 0.999, 0.9999}) {
    const auto rank = static_cast<std::size_t>(std::ceil(q * 100000)) - 1;
    const double truth = static_cast<double>(exact[rank]);
    // A whole microsecond on top, as they are told in these.
    EXPECT_NEAR(static_cast<double>(latencies.Quantile(q).count()), truth,
                Latencies::kRelativeError * truth + 1)
        << q;
  }
  EXPECT_EQ(latencies.most().count(), exact.back());
  EXPECT_EQ(latencies.Quantile(1).count(), exact.back());
  EXPECT_EQ(latencies.least().count(), exact.front());
}

TEST(Latencies, OfTwoPartsAddedAreThoseOfTheWhole) {
  Latencies one, two, whole;
  for (int i = 1; i <= 1000; ++i) {
    (i % 3 ? one : two).Add(Microseconds(i * i));
    whole.Add(Microseconds(i * i));
  }
  one += two;
  EXPECT_EQ(one.count(), whole.count());
  EXPECT_EQ(one.most(), whole.most());
  EXPECT_EQ(one.least(), whole.least());
  EXPECT_DOUBLE_EQ(one.mean_us(), whole.mean_us());
  for (const double q : {0.1, 0.5, 0.99}) EXPECT_EQ(one.Quantile(q), whole.Quantile(q));
}

TEST(Latencies, TheEndsHoldWhatIsOutside) {
  Latencies latencies;
  EXPECT_EQ(latencies.Quantile(0.5).count(), 0);
  latencies.Add(Microseconds(-5));
  latencies.Add(Microseconds(0));
  latencies.Add(std::chrono::hours(48));
  EXPECT_EQ(latencies.count(), 3u);
  EXPECT_EQ(latencies.most(), std::chrono::hours(48));
  EXPECT_EQ(latencies.Over(seconds(1)), 1u);
  EXPECT_EQ(latencies.Over(std::chrono::hours(48)), 0u);
}

// 100 requests a second at a server that answers in 1 ms and stands still from 2 s to 3 s: one that is meant
// for then has its answer at 3 s. A client that waits for each answer sends one request into the stall and
// none of the others.
TEST(Results, AStallIsSeenByAllThatItHeldBackAndACountFromTheSendHidesIt) {
  const auto served_at = [](Microseconds sent) {
    const Microseconds starts = sent >= seconds(2) && sent < seconds(3) ? Microseconds(seconds(3)) : sent;
    return starts + Microseconds(1000);
  };
  Results open({"look"}), waiting({"look"});
  Microseconds free{0};
  for (int i = 0; i < 1000; ++i) {
    const Microseconds intended(i * 10000);
    open.Add(0, Outcome::kServed, {intended, intended, served_at(intended)});
    const Microseconds sent = std::max(intended, free);
    free = served_at(sent);
    waiting.Add(0, Outcome::kServed, {intended, sent, free});
  }
  EXPECT_GE(open.Served(true).most(), seconds(1));
  EXPECT_EQ(open.Served(true).Over(Microseconds(5000)), 100u);  // all that arrived in that second
  // The same for the one that waits, counted from the intended time; counted from the send it is one in a
  // thousand.
  EXPECT_GE(waiting.Served(true).most(), seconds(1));
  EXPECT_GE(waiting.Served(true).Over(Microseconds(5000)), 100u);
  EXPECT_EQ(waiting.Served(false).Over(Microseconds(5000)), 1u);
  EXPECT_LE(waiting.Served(false).Quantile(0.99).count(), 1010);
  EXPECT_GE(waiting.Served(true).Quantile(0.99).count(), 900000);
  // And it says that it was late itself.
  EXPECT_EQ(open.lateness().most(), Microseconds(0));
  EXPECT_GE(waiting.lateness().Quantile(0.99).count(), 900000);
}

}  // namespace
}  // namespace kestrelline::load

// SPDX-License-Identifier: Apache-2.0
//
// Several processes of the program that divide a quota among those that live, faults between them, and what
// of it all of them together let in.
#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <random>

#include "support/peer_fleet.h"

namespace kestrelline::testing {
namespace {

class DividingFleet {
 public:
  explicit DividingFleet(int proxies) : peers(proxies, {"a", "b"}, std::nullopt, 2, "") {}
  double Share(int i) { return FiguresOf(peers.Door(i))["proxy_concert_share"]; }
  double Figure(int i, const std::string& name) { return FiguresOf(peers.Door(i))["proxy_concert" + name]; }
  ::testing::AssertionResult AwaitShares(const Group& group, double part) {
    return peers.Await([&] {
      return std::all_of(group.begin(), group.end(), [&](int i) { return std::abs(Share(i) - part) < 0.01; });
    });
  }
  PeerFleet peers;
};

TEST(ConcertProcesses, WhatTheDeadHadIsUsedByThoseThatLiveAndASmallerPartKeepsToItsReserve) {
  DividingFleet fleet(5);
  ASSERT_TRUE(fleet.AwaitShares(fleet.peers.All(), 0.2));
  fleet.peers.Apply("kill n0 10m");
  fleet.peers.Apply("kill n3 10m");
  ASSERT_TRUE(fleet.AwaitShares({1, 2, 4}, 0.3));
  fleet.peers.MendAll();
  fleet.peers.Apply("restart_proxy n1 10ms");  // with two away nobody has more than half of five
  ASSERT_TRUE(fleet.AwaitShares({2, 4}, 0.05));
  ASSERT_TRUE(fleet.AwaitShares({1, 2, 4}, 0.3));
  fleet.peers.Apply("cut n4 10m");
  ASSERT_TRUE(fleet.AwaitShares({1, 2, 4}, 0.05));  // none of the three sees three
  fleet.peers.MendAll();
  ASSERT_TRUE(fleet.AwaitShares({1, 2, 4}, 0.3));
}

// Kills, pauses and cuts as a seed draws them: whenever all are asked, what they say they may use sums up to
// no more than the whole, and there is never more than one that hands out.
class DividedUnderFaults : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(DividedUnderFaults, NeverMoreThanTheWhole) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  DividingFleet fleet(5);
  ASSERT_TRUE(fleet.AwaitShares(fleet.peers.All(), 0.2));
  std::mt19937_64 draw(GetParam());
  for (int step = 0; step < 24; ++step) {
    const std::string n = "n" + std::to_string(draw() % 5), m = "n" + std::to_string(draw() % 5);
    const std::string lasts = " " + std::to_string(200 + draw() % 3000) + "ms";
    const std::string commands[] = {"kill " + n + lasts, "cut zone:a" + lasts, "cut " + n + lasts,
                                    "net_loss all" + lasts + " 0.4", "restart_proxy " + n + lasts};
    fleet.peers.Apply(commands[draw() % 5]);
    if (n != m) fleet.peers.Apply("cut " + n + ">" + m + lasts);
    // All are asked twice, one after the other: what each says both times it has at the moment between.
    std::array<double, 5> shares{}, leads{};
    for (int i = 0; i < 5; ++i) shares[i] = fleet.Share(i), leads[i] = fleet.Figure(i, "_leads");
    double sum = 0, leaders = 0;
    for (int i = 0; i < 5; ++i) {
      if (fleet.Share(i) == shares[i]) sum += shares[i];
      if (fleet.Figure(i, "_leads") == leads[i]) leaders += leads[i];
    }
    EXPECT_LE(sum, 1.0001) << "step " << step;
    EXPECT_LE(leaders, 1) << "step " << step;
  }
  fleet.peers.MendAll();
  ASSERT_TRUE(fleet.AwaitShares(fleet.peers.All(), 0.2));
}
INSTANTIATE_TEST_SUITE_P(Seeds, DividedUnderFaults, ::testing::Values(1));

}  // namespace
}  // namespace kestrelline::testing

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
  double Share(int i) { return FetchMetrics(peers.Door(i))["proxy_concert_share"]; }
  double Figure(int i, const std::string& name) {
    return FetchMetrics(peers.Door(i))["proxy_concert" + name];
  }
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

// What a class may do follows the view: both sides of a cut are parts of the fleet, and one of them at most
// has more than half. What the smaller one lets through is counted at the servers.
TEST(PartitionProcesses, EachClassDoesWhatItMayOnBothSidesOfACutAndAlone) {
  constexpr int kRate = 50;  // of looks, a second, that all five may take together
  PeerFleet fleet(5, {"a", "b"}, std::nullopt, 2, std::nullopt,
                  "[[partition]]\nclass = \"book\"\nminority = \"refuse\"\n"
                  "[[partition]]\nclass = \"look\"\nminority = \"within\"\nalone = \"refuse\"\nrate = " +
                      std::to_string(kRate) + "\n");
  const auto addresses = fleet.fleet().Ask([](standin::Fleet& f) { return f.proxy_addresses(); });
  const auto ask = [&](int i, const std::string& method, const std::string& path) {
    return Client(RunningFleet::EndpointOf(addresses[static_cast<std::size_t>(i)]))
        .Ask(method + " /" + path + " HTTP/1.1\r\nHost: x\r\nReq-Id: " + path + std::to_string(i) +
             "\r\nReq-Kind: " + path + (path == "change" ? "\r\nIdempotency-Key: k" : "") +
             "\r\nContent-Length: 0\r\n\r\n");
  };
  const auto await = [&](const Group& group, int situation) {
    return fleet.Await([&] {
      return std::all_of(group.begin(), group.end(), [&](int i) {
        return FetchMetrics(fleet.Door(i))["proxy_partition_situation"] == situation;
      });
    });
  };
  const auto refused = [&](int i, const std::string& method, const std::string& path) {
    const auto answer = ask(i, method, path);
    return answer.result_int() == 503 && answer.count("Retry-After") == 1;
  };
  ASSERT_TRUE(fleet.AwaitAgreement({fleet.All()}));
  EXPECT_EQ(ask(1, "POST", "book").result_int(), 200u);
  fleet.Apply("cut zone:b 10m");
  ASSERT_TRUE(await({1, 3}, 2));
  ASSERT_TRUE(await({0, 2, 4}, 1));
  EXPECT_TRUE(refused(1, "POST", "book"));
  EXPECT_TRUE(refused(3, "POST", "book"));
  EXPECT_EQ(ask(0, "POST", "book").result_int(), 200u);
  EXPECT_EQ(ask(1, "POST", "change").result_int(), 200u);
  EXPECT_EQ(FetchMetrics(fleet.Door(1))["proxy_partition_limit{class=\"look\"}"], kRate);
  const auto looks = [&] {
    const auto events = fleet.fleet().events.Get();
    return std::count_if(events.begin(), events.end(), [](const load::Event& e) {
      return e.kind == load::Event::Kind::kBegan && e.request.starts_with("look");
    });
  };
  // Each may take a fifth of the rate: it holds if all others still live.
  const auto before = looks();
  const auto begun = std::chrono::steady_clock::now();
  int served = 0, turned_away = 0;
  for (int n = 0; n < 400; ++n) {
    const auto status = ask(n % 2 ? 1 : 3, "GET", "look").result_int();
    served += status == 200, turned_away += status == 503;
  }
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  EXPECT_EQ(served, looks() - before);
  EXPECT_EQ(served + turned_away, 400);
  EXPECT_GT(turned_away, 0);
  EXPECT_LE(served, 2 * (kRate / 5.0 * (seconds + 0.2) + kRate / 5.0 + 1));  // a second's in store
  fleet.MendAll();
  ASSERT_TRUE(await(fleet.All(), 0));
  EXPECT_EQ(ask(3, "POST", "book").result_int(), 200u);
  EXPECT_EQ(ask(3, "GET", "look").result_int(), 200u);
  fleet.Apply("cut n3 10m");
  ASSERT_TRUE(await({3}, 3));
  EXPECT_TRUE(refused(3, "GET", "look"));
  EXPECT_TRUE(refused(3, "POST", "book"));  // as in a minority, where nothing else is said
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

// SPDX-License-Identifier: Apache-2.0
//
// Quota division among many simulated proxies: under loss, partitions, kills, pauses and restarts the shares
// in use never exceed the whole, and without faults all of it is in use but the reserves of failed proxies.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "sim/peers_world.h"
#include "support/sanitized.h"

namespace kestrelline::sim {
namespace {

constexpr Microseconds Ms(std::int64_t ms) { return Microseconds(ms * 1000); }

class QuotaWorld {
 public:
  QuotaWorld(int members, std::uint64_t seed, int configured = 0, double reserve = 0.25)
      : world(OptionsOf(members, seed, configured ? configured : members, reserve)),
        members_(members),
        random(seed) {
    world.on_divided = [this](int member, const quota::Event& event) { ++events[{member, event.kind}]; };
    world.StartAll();
  }
  static PeersWorld::Options OptionsOf(int members, std::uint64_t seed, int configured, double reserve) {
    PeersWorld::Options o;
    o.members = members, o.zones = 3, o.seed = seed;
    o.concert.emplace();
    o.concert->configured_members = static_cast<std::uint32_t>(configured);
    o.concert->reserve = reserve;
    return o;
  }
  // Sum of the shares of running proxies. A paused one uses nothing; its share counts again when it resumes.
  double Used() {
    double used = 0;
    for (int i = 0; i < members_; ++i)
      if (world.runs(i) && !world.paused(i)) used += world.concert(i)->Share(world.Now());
    return used;
  }
  int CountAllocators() {
    int allocators = 0;
    for (int i = 0; i < members_; ++i)
      allocators += world.runs(i) && !world.paused(i) && world.concert(i)->IsAllocator(world.Now());
    return allocators;
  }
  // Runs for `ms`, checking the invariants every 7 ms.
  void Run(std::int64_t ms) {
    for (std::int64_t t = 0; t < ms; t += 7) {
      world.Run(Ms(7));
      const double used = Used();
      max_used = std::max(max_used, used);
      ASSERT_LE(used, 1 + 1e-9) << "at " << world.kernel().now().count() / 1000 << " ms";
      ASSERT_LE(CountAllocators(), 1) << "at " << world.kernel().now().count() / 1000 << " ms";
    }
  }
  bool RunUntil(const std::function<bool()>& test, std::int64_t ms = 60000) {
    for (std::int64_t t = 0; t < ms && !::testing::Test::HasFatalFailure(); t += 7) {
      if (test()) return true;
      Run(7);
    }
    return test();
  }
  bool AwaitUsed(double part) {
    return RunUntil([this, part] { return Used() > part - 0.01; });
  }
  bool AwaitShares(const std::vector<int>& members, double expected) {
    return RunUntil([&] {
      return std::all_of(members.begin(), members.end(),
                         [&](int i) { return std::abs(Share(i) - expected) < 0.005; });
    });
  }
  void SetRate(int member, double rate) { world.concert(member)->SetRate(rate); }
  double Share(int member) { return world.runs(member) ? world.concert(member)->Share(world.Now()) : 0; }
  int RandomMember() { return static_cast<int>(random() % static_cast<std::uint64_t>(members_)); }

  PeersWorld world;
  std::map<std::pair<int, quota::Event::Kind>, int> events;
  double max_used = 0;

 private:
  int members_;

 public:
  std::mt19937_64 random;
};

TEST(QuotaSimulation, NoScheduleUsesMoreThanTheWholeAndAllIsUsedWithoutFaults) {
  constexpr std::uint64_t kSeeds = testing::OrFewer(30, 3);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const int members = 3 + static_cast<int>(seed % 6);
    QuotaWorld w(members, seed);
    for (int step = 0; step < 60; ++step) {
      const int member = w.RandomMember(), other = w.RandomMember();
      switch (w.random() % 9) {
        case 0:
        case 1:
          w.world.runs(member) ? w.world.Kill(member) : w.world.Start(member);
          break;
        case 2:
          if (w.world.runs(member)) w.world.Pause(member);
          break;
        case 3:
        case 4:
          w.world.Resume(member);
          break;
        case 5:
          w.world.net().Part({member, other}, members, true);
          break;
        case 6:
          w.world.net().MendAll();
          break;
        case 7:
          if (w.world.runs(member)) w.SetRate(member, static_cast<double>(w.random() % 1000));
          break;
        case 8:
          if (w.world.runs(member)) w.world.Leave(member);
          break;
      }
      w.Run(static_cast<std::int64_t>(w.random() % 1500));
      if (HasFatalFailure()) return;
    }
    w.world.net().MendAll();
    for (int i = 0; i < members; ++i) {
      w.world.Resume(i);
      if (!w.world.runs(i)) w.world.Start(i);
    }
    EXPECT_TRUE(w.AwaitUsed(1)) << w.Used();
  }
}

// Nobody can tell a crash from a partition: the shares of failed proxies are free once their grants have
// expired.
TEST(QuotaSimulation, LiveProxiesTakeTheSharesOfFailedOnesAndReturnThem) {
  QuotaWorld w(5, 1);
  ASSERT_TRUE(w.AwaitShares({0, 1, 2, 3, 4}, 0.2));
  w.world.Kill(0), w.world.Kill(3);  // the allocator among them
  ASSERT_TRUE(w.AwaitShares({1, 2, 4}, 0.3)) << w.Used();
  w.world.Start(0), w.world.Start(3);
  ASSERT_TRUE(w.AwaitShares({0, 1, 2, 3, 4}, 0.2));
  EXPECT_LE(w.max_used, 1 + 1e-9);
}

TEST(QuotaSimulation, AMinorityKeepsToItsReserveAndTheMajorityTakesTheRest) {
  QuotaWorld w(5, 2);
  ASSERT_TRUE(w.AwaitUsed(1));
  w.world.net().Part({0, 1}, 5, true);
  ASSERT_TRUE(w.RunUntil([&] { return w.Share(0) < 0.06 && w.Share(1) < 0.06 && w.Share(2) > 0.29; }));
  EXPECT_NEAR(w.Used(), 1, 0.01);  // both sides use their reserves
  EXPECT_EQ(w.events.at({0, quota::Event::Kind::kGrantExpired}), 1);
  w.Run(20000);
  EXPECT_NEAR(w.Share(0), 0.05, 1e-9);
  w.world.net().MendAll();
  ASSERT_TRUE(w.RunUntil([&] { return w.Share(0) > 0.19 && w.Share(2) < 0.21; }));
}

// The allocator is cut off together with one holder, and keeps granting until its support expires.
TEST(QuotaSimulation, AHolderCutOffWithItsAllocatorHasNoGrantOnceOthersGrant) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    QuotaWorld w(5, seed);
    ASSERT_TRUE(w.AwaitUsed(1));
    int allocator = 0;
    while (!w.world.concert(allocator)->IsAllocator(w.world.Now())) ++allocator;
    w.world.net().Part({allocator, (allocator + 1) % 5}, 5, true);
    ASSERT_TRUE(w.RunUntil([&] { return w.Share((allocator + 2) % 5) > 0.29; }));
    w.Run(4000);
  }
}

TEST(QuotaSimulation, WithoutAMajorityAllKeepToTheirReserves) {
  QuotaWorld w(5, 3);
  ASSERT_TRUE(w.AwaitUsed(1));
  for (const int i : {0, 1, 2}) w.world.Kill(i);
  w.Run(20000);
  EXPECT_NEAR(w.Used(), 0.1, 1e-9);
  w.world.Start(0);
  ASSERT_TRUE(w.AwaitUsed(0.9));
}

// Half of the pool is divided by request rates: proxies with little traffic leave their part to the others.
TEST(QuotaSimulation, SharesFollowRecentTraffic) {
  QuotaWorld w(5, 4);
  ASSERT_TRUE(w.AwaitUsed(1));
  for (const int busy : {0, 4}) {
    for (int i = 0; i < 5; ++i) w.SetRate(i, i == busy ? 1000 : 1);
    ASSERT_TRUE(w.RunUntil([&] { return w.Share(busy) > 0.48; }, 6000)) << w.Share(busy);
    EXPECT_GT(w.Share(1), 0.12);
  }
  ASSERT_TRUE(w.AwaitUsed(1));
}

TEST(QuotaSimulation, AProxyPausedPastTheEndOfItsGrantResumesWithItsReserve) {
  QuotaWorld w(5, 5);
  ASSERT_TRUE(w.AwaitUsed(1));
  w.world.Pause(4);
  w.Run(1500);  // not yet taken for failed
  w.Run(3000);
  EXPECT_NEAR(w.Share(4), 0.05, 1e-9);  // before it has run anything
  w.world.Resume(4);
  w.Run(5000);
  ASSERT_TRUE(w.AwaitUsed(1));
}

// Proxies beyond the configured number have no reserve and no vote, but get a part of the pool.
TEST(QuotaSimulation, ProxiesBeyondTheConfiguredNumberGetAPartOfThePool) {
  QuotaWorld w(8, 6, 5);
  ASSERT_TRUE(w.AwaitShares({0, 4}, 0.05 + 0.75 / 8) && w.AwaitShares({5, 7}, 0.75 / 8));
  for (int i = 0; i < 5; ++i) w.world.Kill(i);
  w.Run(10000);
  EXPECT_NEAR(w.Used(), 0, 1e-9);  // none of the remaining ones has a vote
}

TEST(QuotaSimulation, UnderLossSharesAreRarelyUnused) {
  QuotaWorld w(8, 7);
  w.world.net().SetAll({.loss = 0.2, .delay = Microseconds(200), .jitter = Ms(2)});
  ASSERT_TRUE(w.AwaitUsed(1));
  int times_unused = 0;
  for (int i = 0; i < 1000; ++i) {
    w.Run(28);
    times_unused += w.Used() < 0.95;
  }
  EXPECT_LT(times_unused, 50);
}

}  // namespace
}  // namespace kestrelline::sim

// SPDX-License-Identifier: Apache-2.0
//
// Updates of backend loads stay within their budget, send the largest changes first, and converge to the
// actual loads.
#include "distribution/load_feed.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "control_plane/load_sharing.h"
#include "distribution/load_board.h"
#include "distribution/load_mirror.h"
#include "hashing/fnv.h"
#include "wire/codec.h"

namespace kestrelline::distribution {
namespace {

using std::chrono::milliseconds;
using Loads = std::vector<wire::BackendLoad>;

constexpr milliseconds kTick{50};

// Backends with randomly changing loads, in ascending order of keys.
class Backends {
 public:
  explicit Backends(std::size_t count) : random_(count) {
    for (std::size_t i = 0; i < count; ++i) loads_.push_back({1000 + 7 * i, 0, 0});
  }
  // Changes each load with this probability.
  void ChangeRandomly(double chance) {
    std::bernoulli_distribution changes(chance), idle(0.2);
    std::uniform_int_distribution<std::uint32_t> reading(0, 3000), running(0, 24);
    for (wire::BackendLoad& load : loads_) {
      if (!changes(random_)) continue;
      load = idle(random_) ? wire::BackendLoad{load.backend, 0, 0}
                           : wire::BackendLoad{load.backend, reading(random_), running(random_)};
    }
  }
  // The loads as LoadBoard sums them up, without idle backends.
  Loads busy() const {
    Loads busy;
    for (const wire::BackendLoad& load : loads_)
      if (load.prefill_ms != 0 || load.running != 0) busy.push_back(load);
    return busy;
  }

 private:
  std::mt19937_64 random_;
  Loads loads_;
};

std::size_t BytesOf(Loads loads) {
  return wire::EncodeFrame({"10.200.100.100", wire::LoadSummary{std::move(loads), false}}).size();
}

void ExpectClose(const Loads& received, const Loads& actual) {
  ASSERT_EQ(received.size(), actual.size());
  for (std::size_t i = 0; i < received.size(); ++i) {
    EXPECT_EQ(received[i].backend, actual[i].backend);
    EXPECT_NEAR(received[i].prefill_ms, actual[i].prefill_ms, 3);
    EXPECT_EQ(received[i].running, actual[i].running);
  }
}

TEST(LoadFeed, BytesStayWithinTheBudgetForAnyNumberOfBackends) {
  for (const std::size_t count : {20u, 300u, 3000u}) {
    SCOPED_TRACE(count);
    LoadFeed feed({6000, 3000, milliseconds(0)});
    Backends backends(count);
    std::size_t bytes = 0;
    constexpr int kSeconds = 20;
    for (milliseconds now{0}; now < std::chrono::seconds(kSeconds); now += kTick) {
      backends.ChangeRandomly(0.5);
      Loads sent = feed.Next(now, backends.busy());
      if (!sent.empty()) bytes += BytesOf(std::move(sent));
    }
    EXPECT_LE(bytes, 6000u * kSeconds + 3000u);
    if (count >= 300) {
      EXPECT_GE(bytes, 3000u * kSeconds);  // and the budget is used
    }
  }
}

TEST(LoadFeed, ReceiversConvergeOnceLoadsStopChanging) {
  for (const std::size_t count : {20u, 300u}) {
    SCOPED_TRACE(count);
    LoadFeed feed({6000, 3000, milliseconds(0)});
    LoadMirror receiver;
    Backends backends(count);
    milliseconds now{0};
    for (; now < std::chrono::seconds(5); now += kTick) {
      backends.ChangeRandomly(0.3);
      receiver.Apply({feed.Next(now, backends.busy()), false});
    }
    for (const milliseconds end = now + std::chrono::seconds(2); now < end; now += kTick)
      receiver.Apply({feed.Next(now, backends.busy()), false});
    ExpectClose(receiver.FullSummary().loads, backends.busy());
  }
}

// Many loads change at once: the largest changes are sent first, those of nearby backends before the others.
TEST(LoadFeed, LargestChangesAndNearbyBackendsAreSentFirst) {
  LoadFeed feed({6000, 3000, milliseconds(0)});
  Loads loads;
  BackendSet nearby;
  for (std::uint64_t i = 0; i < 400; ++i) {
    loads.push_back({i + 1, i % 2 == 0 ? 1000u : 100u, 1});
    if (i % 10 == 0) nearby.insert(i + 1);
  }
  const Loads first = feed.Next(milliseconds(0), loads, nearby);
  ASSERT_GE(first.size(), 100u);
  ASSERT_LT(first.size(), 200u);
  for (std::size_t i = 0; i < 30; ++i) EXPECT_TRUE(nearby.contains(first[i].backend)) << i;
  for (const wire::BackendLoad& load : first) EXPECT_EQ(load.prefill_ms, 1000u);
  std::set<std::uint64_t> sent;
  for (milliseconds now{0}; now < std::chrono::seconds(2); now += kTick)
    for (const wire::BackendLoad& load : feed.Next(now, loads, nearby)) sent.insert(load.backend);
  EXPECT_EQ(sent.size(), loads.size() - first.size());
}

TEST(LoadFeed, SmallChangesAreNotSentUnlessABackendBecomesIdle) {
  LoadFeed feed({6000, 3000, milliseconds(0)});
  EXPECT_EQ(feed.Next(milliseconds(0), {{1, 800, 20}}).size(), 1u);
  EXPECT_TRUE(feed.Next(milliseconds(50), {{1, 803, 20}}).empty());
  EXPECT_EQ(feed.Next(milliseconds(60), {{1, 803, 21}}).size(), 1u);
  EXPECT_EQ(feed.Next(milliseconds(100), {{1, 5, 0}}).size(), 1u);
  EXPECT_EQ(feed.Next(milliseconds(150), {}), (Loads{{1, 0, 0}}));
  EXPECT_TRUE(feed.FullSummary().loads.empty());
  EXPECT_EQ(feed.Next(milliseconds(200), {{1, 3, 0}}).size(), 1u);  // no longer idle
}

TEST(LoadFeed, ANewReceiverGetsTheStateOfTheOthers) {
  LoadFeed feed({6000, 3000, milliseconds(0)});
  LoadMirror first, second;
  Backends backends(300);
  for (milliseconds now{0}; now < std::chrono::seconds(8); now += kTick) {
    backends.ChangeRandomly(0.1);
    const wire::LoadSummary summary{feed.Next(now, backends.busy()), false};
    first.Apply(summary);
    if (now == std::chrono::seconds(4)) {
      second.Apply({{{5, 5, 5}}, false});  // left over from an earlier subscription
      second.Apply(feed.FullSummary());
    } else if (now > std::chrono::seconds(4)) {
      second.Apply(summary);
    }
  }
  EXPECT_EQ(first.FullSummary().loads, second.FullSummary().loads);
}

// Messages between members may be lost, duplicated or delayed; repeats must correct the sums.
TEST(LoadBoard, RepeatsCorrectLostOrDuplicatedChanges) {
  LoadFeed feed({12000, 6000, milliseconds(2000)});
  LoadBoard board;
  Backends backends(200);
  milliseconds now{0};
  int count = 0;
  wire::LoadChanges delayed;
  const auto send_changes = [&] {
    const wire::LoadChanges changes{feed.Next(now, backends.busy()), {}, 7};
    if (++count % 3 == 0) return;  // lost
    board.ChangesFromMember(now, "m", changes);
    if (count % 5 == 0) board.ChangesFromMember(now, "m", changes);
    if (count % 7 == 0) board.ChangesFromMember(now, "m", delayed);
    delayed = changes;
  };
  for (; now < std::chrono::seconds(5); now += kTick) backends.ChangeRandomly(0.2), send_changes();
  for (const milliseconds end = now + std::chrono::seconds(15); now < end; now += kTick) send_changes();
  EXPECT_EQ(board.TotalReport().loads, backends.busy());
  EXPECT_EQ(board.TotalReport().proxies, 7u);
}

TEST(LoadBoard, DropsLoadsOfMembersThatRestartOrFallSilent) {
  LoadBoard board;
  board.ChangesFromMember(milliseconds(0), "m", {{{1, 5, 1}, {2, 6, 1}}, {{"s", 3, 4}}, 2});
  board.ChangesFromMember(milliseconds(100), "m", {{{1, 0, 0}}, {}, 3});
  EXPECT_EQ(board.TotalReport().loads, (Loads{{2, 6, 1}}));
  EXPECT_EQ(board.TotalReport().demands.size(), 1u);
  board.ReportFromMember(milliseconds(200), "m", {});
  EXPECT_TRUE(board.TotalReport().loads.empty());
  board.ChangesFromMember(milliseconds(300), "m", {{{3, 5, 1}}, {}, 2});
  EXPECT_EQ(board.TotalReport().loads, (Loads{{3, 5, 1}}));
  board.DropTimedOut(milliseconds(1900));
  EXPECT_TRUE(board.TotalReport().loads.empty());
  board.ChangesFromMember(milliseconds(2000), "m", {{{4, 5, 1}}, {}, 2});
  EXPECT_EQ(board.TotalReport().loads, (Loads{{4, 5, 1}}));
}

// The message that ended a load was lost, and the member goes on without repeating that load.
TEST(LoadBoard, ALoadThatIsNotRepeatedTimesOut) {
  LoadBoard board;
  board.ChangesFromMember(milliseconds(0), "m", {{{1, 5, 1}}, {}, 1});
  for (milliseconds now{500}; now <= std::chrono::seconds(11); now += milliseconds(500))
    board.ChangesFromMember(now, "m", {{{2, 6, 1}}, {}, 1});
  EXPECT_EQ(board.TotalReport().loads, (Loads{{2, 6, 1}}));
}

wire::InstanceList ListOf(int backends, int zones) {
  wire::InstanceList list;
  for (int i = 0; i < backends; ++i) {
    wire::Instance instance;
    instance.id = "i-" + std::to_string(i);
    instance.zone = "z" + std::to_string(i % zones);
    list.instances.push_back(instance);
  }
  return list;
}

// Limits on what one member sends, with 3,000 backends and proxies in all fifteen zones.
TEST(LoadSharing, BytesSentAreBoundedAtFullSize) {
  constexpr int kBackends = 3000, kZones = 15, kProxies = 25, kSeconds = 10;
  control_plane::LoadSharing sharing;
  const wire::InstanceList list = ListOf(kBackends, kZones);
  sharing.SetInstances(list);
  std::set<std::string> zones;
  for (int z = 0; z < kZones; ++z) zones.insert("z" + std::to_string(z));
  std::mt19937_64 random(1);
  std::map<std::string, std::size_t> bytes;
  for (milliseconds now{0}; now < std::chrono::seconds(kSeconds); now += kTick) {
    for (int p = 0; p < kProxies; ++p) {
      wire::LoadReport report{{}, {{"llm", 1000, 9000}}, 1};
      std::map<std::uint64_t, wire::BackendLoad> loads;
      for (int i = 0; i < 40; ++i) {
        const std::uint64_t key = hashing::Fnv1a(list.instances[random() % kBackends].id);
        loads[key] = {key, static_cast<std::uint32_t>(random() % 900), 1};
      }
      for (const auto& [key, load] : loads) report.loads.push_back(load);
      sharing.board().ReportFromProxy(now, "p" + std::to_string(p), report);
    }
    const auto sent = sharing.Tick(now, zones);
    if (sent.to_members) bytes["members"] += wire::EncodeFrame({"10.0.0.1", *sent.to_members}).size();
    for (const auto& [zone, summary] : sent.to_zones)
      bytes[zone] += wire::EncodeFrame({"10.0.0.1", summary}).size();
  }
  for (const auto& [to, sum] : bytes) {
    SCOPED_TRACE(to);
    EXPECT_LE(sum, (to == "members" ? 12600u : 9500u) * kSeconds);
  }
  EXPECT_EQ(bytes.size(), zones.size() + 1);
}

TEST(LoadSharing, SendsHeartbeatsEvenIfNothingChanges) {
  control_plane::LoadSharing sharing;
  int to_zone = 0, to_members = 0;
  for (milliseconds now{1000}; now < milliseconds(11000); now += kTick) {
    const auto sent = sharing.Tick(now, {"a"});
    to_zone += static_cast<int>(sent.to_zones.count("a"));
    to_members += sent.to_members.has_value();
  }
  EXPECT_GE(to_zone, 20);  // a proxy must receive one at least every 900 ms
  EXPECT_LE(to_zone, 30);
  EXPECT_GE(to_members, 20);
}

}  // namespace
}  // namespace kestrelline::distribution

// SPDX-License-Identifier: Apache-2.0
//
// Compares the roster with a map that applies each list at once: lists read in slices take effect atomically,
// and numbers, rings and groups are consistent.
#include "fleet/roster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include "harness.h"
#include "measures.h"

namespace kestrelline::fleet {
namespace {

using kestrelline::testing::At;
using kestrelline::testing::Entry;

const Roster::InUse kNoneInUse = [](Member) { return false; };

// Reads all waiting lists, `slice` entries at a time. Returns the number of slices.
int ReadAll(Roster* roster, double now, std::size_t slice) {
  int slices = 0;
  while (roster->Waiting()) {
    std::size_t left = slice;
    roster->Read(At(now), kNoneInUse, &left);
    ++slices;
  }
  return slices;
}

using Listed = std::map<ServerId, ServerEntry>;

void CheckConsistency(const Roster& roster, const Listed& listed, int zone) {
  std::map<ServerId, Member> ready;
  for (Member m = 0; m < roster.size(); ++m) {
    if (roster.Ready(m)) {
      ASSERT_TRUE(ready.emplace(roster[m].server, m).second) << "two numbers for one server";
    }
  }
  std::size_t expected = 0, home = 0;
  for (const auto& [id, entry] : listed) {
    if (entry.state != ServerState::kReady) continue;
    ++expected, home += entry.zone == zone;
    ASSERT_TRUE(ready.contains(id)) << "server " << id;
    const Member m = ready.at(id);
    ASSERT_EQ(roster[m].zone, entry.zone);
    ASSERT_EQ(roster[m].cell, entry.cell);
    ASSERT_EQ(roster[m].up_since, entry.up_since);
    const auto& cell = roster.InCell({entry.zone, entry.cell});
    ASSERT_EQ(std::count(cell.begin(), cell.end(), m), 1);
    const auto& group = roster.InZone(entry.zone);
    ASSERT_EQ(std::count(group.begin(), group.end(), m), 1);
    for (const Member other : cell) {
      ASSERT_EQ(std::pair(roster[other].zone, roster[other].cell), std::pair(entry.zone, entry.cell));
    }
  }
  ASSERT_EQ(ready.size(), expected);
  ASSERT_EQ(roster.all().size(), expected);
  ASSERT_EQ(roster.home().size(), home);
  ASSERT_EQ(roster.away().size(), expected - home);
  for (const Ring* ring : {&roster.all(), &roster.home(), &roster.away()}) {
    for (std::size_t k = 0; k < ring->size(); ++k) {
      ASSERT_TRUE(roster.Ready((*ring)[k]));
      ASSERT_EQ(ring->PlaceOf(k), kestrelline::MixBits(roster[(*ring)[k]].server));
      ASSERT_TRUE(k == 0 || ring->PlaceOf(k - 1) < ring->PlaceOf(k));
    }
  }
}

TEST(Roster, AnyListsInAnySlicesGiveTheListedState) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 draw(seed);
    const auto below = [&](unsigned n) { return draw() % n; };
    Roster roster({1, true, Duration(600000)});
    Listed listed;
    double now = 1000;
    ServerId next = 1;
    for (int step = 0; step < 60; ++step) {
      now += below(8) ? 50 : 700000;
      ListUpdate list{below(4) ? ListKind::kDelta : ListKind::kFull, {}};
      if (list.kind == ListKind::kFull) std::erase_if(listed, [&](const auto&) { return below(3) == 0; });
      for (unsigned n = below(step % 10 ? 12 : 150); n > 0; --n) {
        const ServerId id = below(2) ? next++ : 1 + below(next);
        list.entries.push_back(Entry(id, static_cast<int>(below(3)), static_cast<int>(below(4)),
                                     static_cast<ServerState>(below(3)),
                                     static_cast<double>(below(2)) * now));
      }
      if (list.kind == ListKind::kFull) {
        for (const auto& [id, entry] : listed) list.entries.push_back(entry);
        listed.clear();
      }
      for (const ServerEntry& entry : list.entries)
        listed[entry.server] = entry;  // of duplicates, the last counts
      roster.Take(list);
      ReadAll(&roster, now, 1 + below(40));
      ASSERT_NO_FATAL_FAILURE(CheckConsistency(roster, listed, 1));
    }
  }
}

ListUpdate Range(ServerId from, ServerId to, ListKind kind = ListKind::kFull) {
  ListUpdate list{kind, {}};
  for (ServerId id = from; id < to; ++id) list.entries.push_back(Entry(id));
  return list;
}

TEST(Roster, AListTakesEffectAtomically) {
  Roster roster({});
  roster.Take(Range(1, 101));
  EXPECT_EQ(ReadAll(&roster, 1000, 1000), 1);
  roster.Take(Range(51, 10051));
  for (int slice = 0; slice < 19; ++slice) {
    std::size_t left = 512;
    ASSERT_FALSE(roster.Read(At(1000), kNoneInUse, &left));
    ASSERT_EQ(left, 0u);
    ASSERT_EQ(roster.all().size(), 100u);
    for (Member m = 0; m < 100; ++m) ASSERT_TRUE(roster.Ready(m));
  }
  std::size_t left = 512;
  EXPECT_TRUE(roster.Read(At(1000), kNoneInUse, &left));
  EXPECT_EQ(roster.all().size(), 10000u);
  EXPECT_EQ(roster.changes().size(), 10050u);
}

TEST(Roster, AFullListSupersedesUnreadListsAndTheOneBeingReadIsFinished) {
  Roster roster({});
  roster.Take(Range(1, 1001));
  std::size_t left = 10;
  EXPECT_FALSE(roster.Read(At(1000), kNoneInUse, &left));
  for (ServerId n = 0; n < 100; ++n) roster.Take(Range(n, n + 2000));  // must not starve the first list
  int took_effect = 0;
  std::vector<std::size_t> sizes;
  while (roster.Waiting()) {
    left = 512;
    if (roster.Read(At(1000), kNoneInUse, &left)) ++took_effect, sizes.push_back(roster.all().size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{1000, 2000}));
}

TEST(Roster, TooManyWaitingListsAreReadWithoutSlicing) {
  Roster roster({});
  roster.Take(Range(1, 1001));
  for (ServerId n = 0; n < 100; ++n) roster.Take(Range(2000 + n, 2001 + n, ListKind::kDelta));
  std::size_t left = 1;
  EXPECT_TRUE(roster.Read(At(1000), kNoneInUse, &left));
  EXPECT_EQ(roster.all().size(), 1000u);
  EXPECT_LT(ReadAll(&roster, 1000, 1), 101);
  EXPECT_EQ(roster.all().size(), 1100u);
}

// A server that was gone for long comes back in a list that also has new servers, which must not get its
// number.
TEST(Roster, ANumberIsNotReusedIfItsServerReturnsInTheSameList) {
  Roster roster({});
  roster.Take(Range(1, 21));
  ReadAll(&roster, 1000, 100);
  roster.Take(ListUpdate{ListKind::kFull, {}});
  ReadAll(&roster, 2000, 100);
  ListUpdate back = Range(1, 2);
  for (ServerId id = 100; id < 140; ++id) back.entries.push_back(Entry(id));
  roster.Take(back);
  ReadAll(&roster, 700000, 7);
  Listed listed;
  for (const ServerEntry& entry : back.entries) listed[entry.server] = entry;
  std::set<ServerId> ready;
  for (Member m = 0; m < roster.size(); ++m) {
    if (roster.Ready(m)) ready.insert(roster[m].server);
  }
  EXPECT_EQ(ready.size(), 41u);
  EXPECT_EQ(roster.size(), 41u);  // 19 of the 20 numbers are reused
}

// A hundred new ids per second for an hour: the number of records of servers that are gone stays bounded.
TEST(Roster, RecordsStayBoundedDuringAnHourOfNewServers) {
  Roster roster({});
  constexpr ServerId kServers = 2000;
  roster.Take(Range(1, kServers + 1));
  ReadAll(&roster, 0, 10000);
  ServerId next = kServers + 1, oldest = 1;
  double now = 0;
#ifdef __SANITIZE_ADDRESS__
  constexpr int kChanges = 18000;  // unoptimized code is 100 times slower here
#else
  constexpr int kChanges = 360000;
#endif
  for (int change = 0; change < kChanges; ++change) {
    now += 3600000.0 / kChanges;
    ListUpdate delta{ListKind::kDelta, {Entry(next++), Entry(oldest++, 0, 0, ServerState::kGone)}};
    roster.Take(delta);
    std::size_t left = 512;
    ASSERT_TRUE(roster.Read(At(now), kNoneInUse, &left));
  }
  EXPECT_EQ(roster.all().size(), static_cast<std::size_t>(kServers));
  EXPECT_LT(roster.size(), kServers + 8192u + 6100u);
  EXPECT_LT(roster.size(), static_cast<std::size_t>(kServers) + kChanges);
}

TEST(Roster, ANumberInUseIsNotReused) {
  Roster roster({});
  roster.Take(Range(1, 4));
  ReadAll(&roster, 1000, 100);
  roster.Take(ListUpdate{ListKind::kFull, {}});
  ReadAll(&roster, 2000, 100);
  roster.Take(Range(10, 13));
  std::size_t left = 100;
  EXPECT_TRUE(roster.Read(
      At(1e7), [](Member m) { return m == 1; }, &left));
  EXPECT_EQ(roster[1].server, 2u);
  EXPECT_EQ(roster.size(), 4u);
}

}  // namespace
}  // namespace kestrelline::fleet

// SPDX-License-Identifier: Apache-2.0
//
// Server lists, full and incremental. Whatever the sequence of lists, a proxy must use the same servers as a
// fresh proxy that gets the final state in one list.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include "harness.h"

namespace kestrelline {
namespace {

using testing::Entry;
using testing::Rig;

// The servers that eight concurrent requests go to. With thin traffic these are the servers of the subset,
// each once.
std::set<ServerId> UsedServers(Rig& rig) {
  static RequestId id = 1000000;
  std::set<ServerId> used;
  std::vector<std::pair<RequestId, ServerId>> in_flight;
  for (int i = 0; i < 100 && in_flight.size() < 8; ++i) {  // some are refused at random
    const auto server = rig.Ask(++id, 0, 10, 100000);
    if (!server) continue;
    used.insert(*server);
    in_flight.emplace_back(id, *server);
  }
  for (const auto& [request, server] : in_flight) rig.End(request, 0, server, Outcome::kCancelled, 10, true);
  return used;
}

using Listed = std::map<ServerId, ServerEntry>;

std::vector<ServerEntry> AllEntries(const Listed& listed) {
  std::vector<ServerEntry> all;
  for (const auto& [id, entry] : listed) all.push_back(entry);
  return all;
}

TEST(Membership, AnySequenceOfListsLeadsToTheSameServers) {
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 draw(seed);
    const auto chance = [&](unsigned n) { return draw() % n == 0; };
    Rig rig;
    Listed listed;
    ServerId next = 1;
    for (; next <= 30; ++next) listed[next] = Entry(next);
    rig.List(AllEntries(listed));
    for (int steps = static_cast<int>(draw() % 40); steps > 0; --steps) {
      rig.now += chance(10) ? 700000 : 50;  // 700 s: long enough for servers that are gone to be forgotten
      std::vector<ServerEntry> delta;
      for (unsigned n = 1 + draw() % 8; n > 0; --n) {
        if (chance(4)) {
          listed[next] = Entry(next), ++next;
        } else {
          auto it = std::next(listed.begin(), static_cast<long>(draw() % listed.size()));
          it->second.state = static_cast<ServerState>(draw() % 3);
          if (chance(3))
            delta.push_back(it->second), it->second.state = ServerState::kReady;  // twice in one list
          delta.push_back(it->second);
          continue;
        }
        delta.push_back(std::prev(listed.end())->second);
      }
      if (chance(5)) {
        std::erase_if(listed, [&](const auto& l) { return listed.size() > 20 && chance(4) && l.first % 2; });
        rig.List(AllEntries(listed));
      } else {
        rig.List(delta, ListKind::kDelta);
      }
    }
    // Compared only at the end, as traffic would change the size of the subset.
    Rig fresh;
    fresh.now = rig.now;
    fresh.List(AllEntries(listed));
    const auto expected = UsedServers(fresh);
    ASSERT_EQ(UsedServers(rig), expected);
    const auto ready = std::count_if(listed.begin(), listed.end(),
                                     [](const auto& l) { return l.second.state == ServerState::kReady; });
    ASSERT_EQ(expected.size(), std::min<std::size_t>(8, static_cast<std::size_t>(ready)));
  }
}

// Each list names a new id, as in a fleet with continuous deployment. Numbers of servers long gone are
// reused, but not while an attempt at the server is in flight.
TEST(Membership, NumbersOfServersLongGoneAreReusedButNotDuringAnAttempt) {
  Rig rig;
  rig.List({Entry(1)});
  ASSERT_EQ(rig.Ask(1, 0, 10, 5000000), 1u);
  for (ServerId id = 2; id < 200; ++id) {
    rig.now += 601000;
    rig.List({Entry(id)});
    if (id % 50 == 0) {
      ASSERT_EQ(rig.Ask(id, 0, 10, 5000), id);
      rig.End(id, 0, id, Outcome::kOk);
    }
  }
  rig.End(1, 0, 1, Outcome::kCancelled);  // must not be subtracted from the work of another server
  rig.List({Entry(199), Entry(200)});
  std::vector<ServerId> sent;
  for (RequestId id = 500; id < 600 && sent.size() < 2; ++id) {  // some are refused at random
    if (const auto server = rig.Ask(id, 0, 6, 5000)) sent.push_back(*server);
  }
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_NE(sent[0], sent[1]);  // both servers have no work in flight
}

}  // namespace
}  // namespace kestrelline

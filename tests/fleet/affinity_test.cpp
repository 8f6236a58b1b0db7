// SPDX-License-Identifier: Apache-2.0
//
// Key affinity: ownership of keys, the keys that move when the fleet changes, and the load bound, which must
// hold for any sequence of keys.
#include "fleet/affinity.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "harness.h"
#include "measures.h"

namespace kestrelline::fleet {
namespace {

using kestrelline::testing::At;
using kestrelline::testing::Entry;
using kestrelline::testing::Rig;
using kestrelline::testing::Usual;

Ring RingOf(Member members, Member without = 0) {
  std::vector<RingPoint> points, none;
  for (Member m = 1; m <= members; ++m) {
    if (m != without) points.push_back({kestrelline::MixBits(m), m});
  }
  std::sort(points.begin(), points.end());
  Ring ring;
  ring.Change(&none, points, [](Member) { return true; });
  return ring;
}

Member OwnerOf(const Ring& ring, std::uint64_t key) {
  Member owner = kNoMember;
  KeyOwners(ring, key).ForEachCandidate([&](Member m) { return owner = m, true; });
  return owner;
}

TEST(KeyOwners, KeysAreSpreadEvenly) {
  for (const Member members : {15u, 1000u}) {
    const Ring ring = RingOf(members);
    std::vector<int> owned(members + 1);
    const int each = 200;
    for (std::uint64_t key = 0; key < members * std::uint64_t{each}; ++key) ++owned[OwnerOf(ring, key)];
    // No member owns much more than its share; a few, which follow another closely on the ring, own much
    // less.
    Member few = 0;
    for (Member m = 1; m <= members; ++m) {
      EXPECT_LT(owned[m], each * 14 / 10) << m;
      few += owned[m] < each / 2;
    }
    EXPECT_LE(few, members / 10);
  }
}

TEST(KeyOwners, AMemberThatLeavesMovesOnlyItsOwnKeys) {
  const Ring before = RingOf(500), after = RingOf(500, 77);
  int moved = 0;
  std::set<Member> heirs;
  for (std::uint64_t key = 0; key < 100000; ++key) {
    const Member owner = OwnerOf(before, key), heir = OwnerOf(after, key);
    if (owner == 77) {
      ++moved, heirs.insert(heir);
    } else {
      ASSERT_EQ(owner, heir) << "key " << key;
    }
  }
  EXPECT_GT(moved, 100);
  EXPECT_GT(heirs.size(), 50u);  // spread over many members, not moved to one neighbour
}

TEST(KeyOwners, EveryMemberIsVisited) {
  const Ring ring = RingOf(100);
  std::set<Member> tried;
  KeyOwners(ring, 5).ForEachCandidate([&](Member m) { return tried.insert(m), false; });
  EXPECT_EQ(tried.size(), 100u);
  KeyOwners(Ring(), 5).ForEachCandidate([](Member) { return ADD_FAILURE() << "of an empty ring", false; });
}

// ---- affinity in the Balancer ---------------------------------------------------------------------------

class Keyed {
 public:
  explicit Keyed(double bound, std::uint64_t seed = 1, int me = 0) : rig_(SettingsOf(me), seed) {
    auto limits = std::make_shared<RouteLimits>();
    limits->affinity_bound = bound;
    limits_ = std::move(limits);
  }
  Rig& rig() { return rig_; }
  std::optional<ServerId> Ask(RequestId id, std::uint64_t key, double work = 10, int cls = 0) {
    Submit s;
    s.request = id;
    s.request_class = cls;
    s.has_hint = true;
    s.work_ms = work;
    s.key = key;
    s.due = At(rig_.now + 100000);
    s.limits = limits_;
    rig_.Do(s);
    return rig_.SentTo(id);
  }

 private:
  static kestrelline::Settings SettingsOf(int me) {
    auto settings = Usual();
    settings.balancers = 10, settings.me = me;
    return settings;
  }
  Rig rig_;
  std::shared_ptr<const RouteLimits> limits_;
};

TEST(Affinity, AKeyGoesToOneServerAtEveryProxy) {
  for (const int servers : {10, 300}) {
    Keyed one(1.25, 1, 0), other(1.25, 99, 7);
    one.rig().Servers(servers), other.rig().Servers(servers);
    std::set<ServerId> used;
    RequestId id = 0;
    for (std::uint64_t key = 1; key <= 200; ++key) {
      const auto server = one.Ask(++id, key);
      ASSERT_TRUE(server);
      one.rig().End(id, 0, *server, Outcome::kOk);
      ASSERT_EQ(other.Ask(id, key), server);
      other.rig().End(id, 0, *server, Outcome::kOk);
      used.insert(*server);
      ++one.rig().now, ++other.rig().now;
    }
    EXPECT_GT(used.size(), static_cast<std::size_t>(std::min(9, servers / 4)));
  }
}

TEST(Affinity, AKeyReturnsToItsOwnerWhenTheOwnerComesBack) {
  Keyed keyed(1.25);
  keyed.rig().Servers(100);
  const auto owner = keyed.Ask(1, 42);
  ASSERT_TRUE(owner);
  keyed.rig().End(1, 0, *owner, Outcome::kOk);
  keyed.rig().List({Entry(*owner, 0, 0, ServerState::kDraining)}, kestrelline::ListKind::kDelta);
  const auto heir = keyed.Ask(2, 42);
  ASSERT_TRUE(heir);
  EXPECT_NE(heir, owner);
  keyed.rig().End(2, 0, *heir, Outcome::kOk);
  keyed.rig().List({Entry(*owner)}, kestrelline::ListKind::kDelta);
  EXPECT_EQ(keyed.Ask(3, 42), owner);
}

// A retry must not go to the owner again, although it still owns the key.
TEST(Affinity, ARetryGoesToAnotherServer) {
  Keyed keyed(10);
  keyed.rig().Servers(20);
  const auto owner = keyed.Ask(1, 42, 10, 2);
  ASSERT_TRUE(owner);
  keyed.rig().End(1, 0, *owner, Outcome::kConnectFailed);
  const auto next = keyed.rig().SentTo(1);
  ASSERT_TRUE(next);
  EXPECT_NE(next, owner);
}

TEST(Affinity, NoSequenceOfKeysExceedsTheBound) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 draw(seed);
    const double bound = seed % 3 ? 1.1 + static_cast<double>(draw() % 20) / 10 : 1.1;
    const int servers = seed % 2 ? 12 : 150;
    Keyed keyed(bound, seed);
    keyed.rig().Servers(servers);
    std::map<ServerId, int> at;
    std::vector<std::pair<RequestId, ServerId>> out;
    RequestId id = 0;
    const auto note = [&] {
      for (const Action& a : keyed.rig().actions) {
        const auto* d = std::get_if<Dispatch>(&a);
        if (!d) continue;
        out.emplace_back(d->request, d->server);
        ASSERT_LE(++at[d->server], std::ceil(bound * static_cast<double>(out.size()) / servers))
            << "request " << id;
      }
    };
    for (int k = 0; k < 4000; ++k) {
      keyed.rig().now += 0.5;
      // One of a million keys gets half of the traffic, or all of it.
      const std::uint64_t key = draw() % 2 || seed % 5 == 0 ? 1 : 2 + draw() % 1000000;
      keyed.Ask(++id, key, 1 + static_cast<double>(draw() % 100));
      note();  // its own dispatch, and those of queued requests
      if (out.size() > 10 + draw() % 60) {
        const std::size_t i = draw() % out.size();
        const auto [ended, from] = out[i];
        out[i] = out.back(), out.pop_back();
        --at[from];
        keyed.rig().End(ended, 0, from, Outcome::kOk, 10, true);
        note();  // a queued request may be sent now
      }
    }
    EXPECT_GT(id, 3000u);
  }
}

}  // namespace
}  // namespace kestrelline::fleet

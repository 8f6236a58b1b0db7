// SPDX-License-Identifier: Apache-2.0
//
// Property tests of the rules: random but valid event sequences with fixed seeds, checked by the oracle of
// support/rules_world.h.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "harness.h"
#include "support/rules_world.h"

namespace kestrelline {
namespace {

using testing::At;
using testing::Entry;
using testing::Usual;
using testing::World;

// The work that many proxies together send a cold server within the rule's window must stay below
// fall_multiple times its capacity at that time. The fleet has a load of 0.7; servers restart at random and
// warm up as slowly as the settings allow.
TEST(Rules, ManyProxiesTogetherDoNotOverloadColdServers) {
  constexpr int kProxies = 60, kServers = 12;
  constexpr double kWork = 10, kEveryMs = 200, kWindow = 1000;
  const double capacity = kProxies * kWork / kEveryMs / kServers / 0.7;  // work per ms of a warm server
  std::size_t to_cold = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 rng(seed);
    std::vector<Balancer> proxies;
    Settings settings = Usual();
    settings.balancers = kProxies;
    settings.overload_for = Duration(kWindow);
    for (int me = 0; me < kProxies; ++me) {
      settings.me = me;
      proxies.emplace_back(settings, rng());
    }
    std::vector<ServerEntry> list;
    for (ServerId id = 1; id <= kServers; ++id) list.push_back(Entry(id));
    std::vector<Action> actions;
    for (Balancer& b : proxies) b.Handle(At(1000), ListUpdate{ListKind::kCached, list}, &actions);
    std::map<ServerId, std::deque<double>> sent;
    RequestId id = 0;
    double next_restart = 15000;
    for (double now = 1001; now < 45000; now += kEveryMs / kProxies) {
      if (now >= next_restart) {
        next_restart += 2500;
        ServerEntry& e = list[rng() % kServers];
        e.up_since = At(now);
        sent[e.server].clear();
        for (Balancer& b : proxies) b.Handle(At(now), ListUpdate{ListKind::kDelta, {e}}, &actions);
      }
      Balancer& proxy = proxies[rng() % kProxies];
      Submit s;
      s.request = ++id;
      s.due = At(now + 900);
      s.has_hint = true;
      s.work_ms = kWork;
      actions.clear();
      proxy.Handle(At(now), s, &actions);
      const std::vector<Action> first = actions;
      for (const Action& a : first) {
        const auto* d = std::get_if<Dispatch>(&a);
        if (!d) continue;
        const ServerEntry& e = list[d->server - 1];
        const double age = now - e.up_since.time_since_epoch().count();
        auto& recent = sent[d->server];
        recent.push_back(now);
        while (now - recent.front() > kWindow) recent.pop_front();
        if (e.up_since != TimePoint{} && age < settings.warm_up.count()) {
          ++to_cold;
          const double share = settings.cold_from + (1 - settings.cold_from) * age / settings.warm_up.count();
          EXPECT_LE(static_cast<double>(recent.size()) * kWork,
                    settings.fall_multiple * share * capacity * kWindow)
              << "server " << d->server << " " << age << " ms after its start";
        }
        AttemptEnded end;
        end.request = d->request;
        end.server = d->server;
        end.settled = true;
        end.outcome = Outcome::kOk;
        end.took = Duration(15);
        proxy.Handle(At(now), end, &actions);
      }
    }
  }
  EXPECT_GT(to_cold, 1000u) << "cold servers must be used at all";
}

TEST(Rules, HoldInRandomRounds) {
  std::size_t attempts = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    Settings s = Usual();
    s.max_attempts = 1 + static_cast<int>(seed % 5);
    s.tenants = {{10}, {10}};
    s.over_share_worth = 0.2;
    World world(s, seed);
    world.Play();
    attempts += world.attempts;
  }
  EXPECT_GT(attempts, 2000u) << "the rounds must exercise something";
}

// Claims on a key, known at submission or learned while the request is queued or in flight, only narrow what
// may be sent and refused.
TEST(Rules, ClaimsOfOtherTriesRestrictAKey) {
  std::size_t attempts = 0, bound = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    Settings s = Usual();
    s.classes[1].group = seed % 2 ? Group::kCell : Group::kZone;
    World world(s, seed, nullptr, [](Submit* submit, std::mt19937_64& random) {
      std::vector<KeyClaim> claims;  // an empty list is equivalent to none
      for (auto n = submit->request_class == 1 ? random() % 3 : 0; n > 0; --n)
        claims.push_back({static_cast<int>(random() % 2), static_cast<int>(random() % 3),
                          submit->due - Duration(static_cast<double>(random() % 700))});
      submit->claims = std::make_shared<const std::vector<KeyClaim>>(std::move(claims));
    });
    world.claims_come = true;
    world.Play();
    attempts += world.attempts;
    bound += world.bound;
  }
  EXPECT_GT(attempts, 5000u);
  EXPECT_GT(bound, 500u);
}

}  // namespace
}  // namespace kestrelline

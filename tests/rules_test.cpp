// SPDX-License-Identifier: Apache-2.0
//
// Random but legal rounds of events, fixed seeds, checked by a small oracle of the four rules that shares no
// code with the module.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "harness.h"

namespace brackenspoke {
namespace {

using testing::At;
using testing::Entry;
using testing::Usual;

struct Try {
  ServerId server;
  double sent_at;
  double ends_at;
  Outcome outcome;
  bool out = true;
};
struct Open {
  int cls;
  double due;
  std::vector<Try> tries;
  int finals = 0;
};

class World {
 public:
  World(Settings settings, std::uint64_t seed) : settings_(settings), rng_(seed), balancer_(settings, seed) {
    for (ServerId id = 1; id <= 8; ++id) servers_[id] = Entry(id, id % 2, id % 3);
  }

  void Play() {
    Push(ListKind::kCached, All());
    for (now_ = 1000; now_ < 9000; now_ += 1 + Roll(8)) {
      if (now_ > 7000) {
        Step(false);
      } else {
        Step(true);
      }
    }
    now_ += 5000;
    Step(false);
    for (const auto& [id, r] : open_) EXPECT_EQ(r.finals, 1) << "request " << id;
  }
  std::size_t attempts = 0;

 private:
  int Roll(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }

  std::vector<ServerEntry> All() const {
    std::vector<ServerEntry> all;
    for (const auto& [id, e] : servers_) all.push_back(e);
    return all;
  }

  void Push(ListKind kind, std::vector<ServerEntry> entries) { Do(ListUpdate{kind, std::move(entries)}); }

  void Step(bool load) {
    // Timers, attempts that end and arrivals of one batch, in a random order.
    std::vector<int> order = {0, 1, 2, 3};
    std::shuffle(order.begin(), order.end(), rng_);
    for (int what : order) {
      while (what == 0 && !timers_.empty() && *timers_.begin() <= now_) {
        timers_.erase(timers_.begin());
        Do(TimerFired{});
      }
      if (what == 1) EndTries();
      if (what == 2 && load) {
        for (int k = Roll(4); k > 0; --k) Arrive();
      }
      if (what == 3 && Roll(20) == 0) ChangeList();
    }
    for (auto& [id, r] : open_) {
      if (r.finals == 0 && r.due + 20 < now_)
        ADD_FAILURE() << "request " << id << " due " << r.due << " has no answer at " << now_;
    }
  }

  void Arrive() {
    Submit s;
    s.request = ++last_id_;
    s.request_class = Roll(3);
    s.due = At(now_ + 30 + Roll(700));
    s.has_hint = Roll(3) > 0;
    s.work_ms = 1 + Roll(60);
    open_[s.request] = Open{s.request_class, s.due.time_since_epoch().count(), {}};
    Do(s);
  }

  void ChangeList() {
    const ServerId id = 1 + static_cast<ServerId>(Roll(8));
    ServerEntry& e = servers_[id];
    e.state = static_cast<ServerState>(Roll(3));
    if (e.state == ServerState::kReady && Roll(2)) e.up_since = At(now_);
    Push(Roll(5) ? ListKind::kDelta : ListKind::kFull, Roll(5) ? std::vector<ServerEntry>{e} : All());
  }

  void EndTries() {
    std::vector<std::pair<RequestId, int>> ended;
    for (auto& [id, r] : open_) {
      for (std::size_t i = 0; i < r.tries.size(); ++i) {
        if (r.tries[i].out && r.tries[i].ends_at <= now_) ended.emplace_back(id, static_cast<int>(i));
      }
    }
    std::shuffle(ended.begin(), ended.end(), rng_);
    for (const auto& [id, i] : ended) {
      Open& r = open_[id];
      Try& t = r.tries[static_cast<std::size_t>(i)];
      t.out = false;
      if (t.outcome == Outcome::kOk && r.finals == 0) r.finals = 1;
      AttemptEnded e;
      e.request = id;
      e.attempt = i;
      e.server = t.server;
      e.outcome = t.outcome;
      e.settled = r.finals > 0;
      e.took = Duration(now_ - t.sent_at);
      Do(e);
    }
  }

  void Do(const Event& event) {
    // The lists that the instance was told decide about drains.
    if (const auto* list = std::get_if<ListUpdate>(&event)) {
      if (list->kind != ListKind::kDelta) told_.clear();
      for (const ServerEntry& e : list->entries) told_[e.server] = e;
    }
    std::vector<Action> actions;
    balancer_.Handle(At(now_), event, &actions);
    for (const Action& a : actions) Judge(a);
  }

  static bool NeverRan(const Try& t) {
    return !t.out && (t.outcome == Outcome::kFull || t.outcome == Outcome::kConnectFailed ||
                      t.outcome == Outcome::kMoot);
  }

  void Judge(const Action& action) {
    if (const auto* d = std::get_if<Dispatch>(&action)) {
      ++attempts;
      Open& r = open_.at(d->request);
      EXPECT_EQ(r.finals, 0) << "sent after its final answer";
      EXPECT_LT(static_cast<int>(r.tries.size()), settings_.max_attempts);
      EXPECT_TRUE(told_.count(d->server) && told_[d->server].state == ServerState::kReady) << "drain";
      const Effect effect = settings_.classes[static_cast<std::size_t>(r.cls)].effect;
      for (const Try& t : r.tries) {
        EXPECT_TRUE(!t.out) << "two at once";
        if (NeverRan(t)) continue;
        EXPECT_NE(effect, Effect::kUnsafe) << "an effect twice";
        if (effect == Effect::kKeyed) {
          EXPECT_EQ(servers_[t.server].cell, servers_[d->server].cell);
          EXPECT_LE(now_ - t.sent_at, settings_.classes[static_cast<std::size_t>(r.cls)].window.count());
        }
      }
      Try t{d->server, now_, now_ + Roll(400), static_cast<Outcome>(Roll(9))};
      const double timeout = d->timeout.count() > 0 ? std::min(now_ + d->timeout.count(), r.due) : r.due;
      if (t.ends_at > timeout) t.ends_at = timeout, t.outcome = Outcome::kTimeout;
      r.tries.push_back(t);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      Open& r = open_.at(refuse->request);
      EXPECT_EQ(++r.finals, 1);
      for (const Try& t : r.tries) {
        EXPECT_TRUE(NeverRan(t) || settings_.classes[static_cast<std::size_t>(r.cls)].effect == Effect::kSafe)
            << "refused though it may have run";
      }
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      EXPECT_EQ(++open_.at(fail->request).finals, 1);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.insert(std::max(now_ + 1, timer->at.time_since_epoch().count()));
    }
  }

  Settings settings_;
  std::mt19937_64 rng_;
  Balancer balancer_;
  double now_ = 500;
  std::multiset<double> timers_;
  RequestId last_id_ = 0;
  std::map<ServerId, ServerEntry> servers_, told_;
  std::map<RequestId, Open> open_;
};

// Rule four over many proxies: what all together send a cold server within the rule's window stays under the
// multiple of what it can do then. The fleet has a load of 0.7; servers restart at random and are as slow to
// warm as the settings allow.
TEST(Rules, ColdServersAreNotPushedOverByManyProxies) {
  constexpr int kProxies = 60, kServers = 12;
  constexpr double kWork = 10, kEveryMs = 200, kWindow = 1000;
  const double capacity = kProxies * kWork / kEveryMs / kServers / 0.7;  // work a ms of a warm server
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

TEST(Rules, RandomRoundsKeepThem) {
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

}  // namespace
}  // namespace brackenspoke

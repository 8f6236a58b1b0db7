// SPDX-License-Identifier: Apache-2.0
//
// Test harness: a Balancer with a simulated clock, and short helpers to feed it events.
#ifndef KESTRELLINE_TESTS_HARNESS_H_
#define KESTRELLINE_TESTS_HARNESS_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "kestrelline/balancer.h"

namespace kestrelline::testing {

inline TimePoint At(double ms) { return TimePoint(Duration(ms)); }

inline ClassSettings Class(Effect effect, double aim = 200, double deadline = 1000) {
  ClassSettings c;
  c.effect = effect;
  c.aim = Duration(aim);
  c.deadline = Duration(deadline);
  c.window = Duration(500);
  return c;
}

// Default settings for tests. Three classes: 0 safe, 1 keyed with groups by cell, 2 unsafe.
inline Settings Usual() {
  Settings s;
  s.classes = {Class(Effect::kSafe), Class(Effect::kKeyed), Class(Effect::kUnsafe)};
  s.classes[1].group = Group::kCell;
  s.max_attempts = 4;
  s.balancers = 1;
  s.cold_from = 0.25;
  s.warm_up = Duration(10000);
  s.fall_multiple = 3;
  s.overload_for = Duration(1000);
  s.tick = Duration(5);
  return s;
}

inline ServerEntry Entry(ServerId id, int zone = 0, int cell = 0, ServerState state = ServerState::kReady,
                         double up_since = 0) {
  ServerEntry e;
  e.server = id;
  e.zone = zone;
  e.cell = cell;
  e.state = state;
  e.up_since = At(up_since);
  return e;
}

class Rig {
 public:
  explicit Rig(Settings settings = Usual(), std::uint64_t seed = 1) : balancer_(std::move(settings), seed) {}

  double now = 100000;
  std::vector<Action> actions;  // actions of the last event

  const std::vector<Action>& Do(const Event& event) {
    actions.clear();
    balancer_.Handle(At(now), event, &actions);
    for (const Action& a : actions) {
      if (const auto* d = std::get_if<Dispatch>(&a)) ++attempts_[d->request], sent.push_back(*d);
    }
    return actions;
  }
  void List(std::vector<ServerEntry> entries, ListKind kind = ListKind::kFull) {
    Do(ListUpdate{kind, std::move(entries)});
  }
  void Servers(int n) {
    std::vector<ServerEntry> entries;
    for (int i = 1; i <= n; ++i) entries.push_back(Entry(static_cast<ServerId>(i)));
    List(entries);
  }
  // Submits a request and returns the server it was sent to at once, if any.
  std::optional<ServerId> Ask(RequestId id, int cls = 0, double work = 10, double patience = 1000,
                              std::uint64_t key = 0) {
    Submit s;
    s.request = id;
    s.request_class = cls;
    s.has_hint = work > 0;
    s.work_ms = work;
    s.key = key;
    s.due = At(now + patience);
    Do(s);
    return SentTo(id);
  }
  void End(RequestId id, int attempt, ServerId server, Outcome outcome, double took = 10,
           bool settled = false) {
    AttemptEnded e;
    e.request = id;
    e.attempt = attempt;
    e.server = server;
    e.outcome = outcome;
    e.settled = settled || outcome == Outcome::kOk;
    e.took = Duration(took);
    Do(e);
  }
  void Tick(double ms) {
    now += ms;
    Do(TimerFired{});
  }
  std::optional<ServerId> SentTo(RequestId id) const {
    for (const Action& a : actions) {
      const auto* d = std::get_if<Dispatch>(&a);
      if (d && d->request == id) return d->server;
    }
    return std::nullopt;
  }
  template <typename T>
  int Count() const {
    int n = 0;
    for (const Action& a : actions) n += std::holds_alternative<T>(a);
    return n;
  }

  std::vector<Dispatch> sent;  // by all events

 private:
  Balancer balancer_;
  std::map<RequestId, int> attempts_;
};

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_HARNESS_H_

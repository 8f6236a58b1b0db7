// SPDX-License-Identifier: Apache-2.0
//
// Cost of the decision module by fleet size: time per request, longest event, time to apply lists. One core,
// the module alone, half as many requests in flight as there are servers. Results: docs/design/scale.md.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "kestrelline/balancer.h"

namespace {

using namespace kestrelline;
using WallClock = std::chrono::steady_clock;

Settings SettingsOf() {
  Settings settings;
  ClassSettings c;
  c.effect = Effect::kSafe;
  c.aim = Duration(500), c.deadline = Duration(2000);
  settings.classes = {c};
  settings.max_attempts = 4;
  settings.cold_from = 0.2, settings.warm_up = Duration(1000);
  settings.fall_multiple = 3, settings.overload_for = Duration(1000);
  return settings;
}

class Model {
 public:
  explicit Model(unsigned servers) : balancer_(SettingsOf(), 1), servers_(servers) {}

  // Handles an event and schedules the ends of its attempts. Returns the time taken in microseconds.
  double Handle(const Event& event) {
    actions_.clear();
    const auto begun = WallClock::now();
    balancer_.Handle(now_, event, &actions_);
    const double us = std::chrono::duration<double, std::micro>(WallClock::now() - begun).count();
    for (const Action& action : actions_) {
      if (const auto* d = std::get_if<Dispatch>(&action)) {
        // Longer with large fleets: their subset grows with time, not with the number of requests.
        std::exponential_distribution<> work(1.0 / std::clamp(servers_ / 50.0, 20.0, 200.0));
        // Servers differ in speed: the slowest takes three times as long as the fastest.
        const Duration took((1 + work(draw_)) * (0.5 + (d->server % 101) / 100.0));
        ends_.push({now_ + took, d->request, d->server, took});
      }
      over_ += !std::holds_alternative<SetTimer>(action) && !std::holds_alternative<Dispatch>(action) &&
               !std::holds_alternative<Log>(action);
    }
    return us;
  }

  ServerEntry Entry(unsigned i, ServerState state = ServerState::kReady) const {
    ServerEntry entry;
    entry.server = i + 1, entry.state = state, entry.cell = static_cast<int>(i % 7);
    return entry;
  }
  ListUpdate FullList(unsigned from = 0) const {
    ListUpdate list{ListKind::kFull, {}};
    for (unsigned i = from; i < servers_; ++i) list.entries.push_back(Entry(i));
    return list;
  }

  // Applies a list; a large one is read in slices, one per event. Returns the total time in microseconds.
  double ApplyList(const ListUpdate& list) {
    const auto timer_now = [this] {
      return std::any_of(actions_.begin(), actions_.end(), [this](const Action& action) {
        const auto* timer = std::get_if<SetTimer>(&action);
        return timer && timer->at <= now_;
      });
    };
    longest_slice_ = Handle(list);
    double all = longest_slice_;
    while (timer_now()) {
      const double us = Handle(TimerFired{});
      longest_slice_ = std::max(longest_slice_, us), all += us;
    }
    return all;
  }
  double longest_slice() const { return longest_slice_; }

  double SubmitOne() {
    Submit submit;
    submit.request = ++last_;
    submit.due = now_ + Duration(2000);
    submit.has_hint = true, submit.work_ms = 10 + static_cast<double>(draw_() % 20);
    return Handle(submit);
  }
  // Ends the next attempt and submits another request. Returns the time of both.
  double EndAndSubmit(double* longest) {
    if (ends_.empty()) return SubmitOne();
    const auto [at, request, server, took] = ends_.top();
    ends_.pop();
    now_ = std::max(now_, at);
    AttemptEnded end;
    end.request = request, end.server = server, end.outcome = Outcome::kOk, end.settled = true;
    end.took = took;
    const double ended = Handle(end), sent = SubmitOne();
    *longest = std::max({*longest, ended, sent});
    return ended + sent;
  }
  std::size_t in_flight() const { return ends_.size(); }

 private:
  using End = std::tuple<TimePoint, RequestId, ServerId, Duration>;
  Balancer balancer_;
  unsigned servers_;
  std::mt19937 draw_{1};
  TimePoint now_{Duration(1000)};
  RequestId last_ = 0;
  std::vector<Action> actions_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  std::uint64_t over_ = 0;
  double longest_slice_ = 0;
};

// Bytes allocated by the program.
double Allocated() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void Measure(unsigned servers, unsigned most_turns) {
  Model model(servers);
  const ListUpdate whole = model.FullList();
  const double empty = Allocated();
  const double first = model.ApplyList(whole);
  const double known = (Allocated() - empty) / servers;
  double slice = model.longest_slice();
  double ignored = 0;
  for (unsigned i = 0; model.in_flight() < servers / 2 && i < 20 * servers; ++i)
    i % 4 == 0 ? model.EndAndSubmit(&ignored) : model.SubmitOne();
  const unsigned turns = most_turns ? most_turns : std::clamp(20 * servers, 20000u, 50000u);
  for (unsigned i = 0; i < 2 * turns; ++i) model.EndAndSubmit(&ignored);
  double longest = 0, all = 0;
  for (unsigned i = 0; i < turns; ++i) all += model.EndAndSubmit(&longest);
  const double used = (Allocated() - empty) / servers;
  const double again = model.ApplyList(model.FullList());
  slice = std::max(slice, model.longest_slice());
  std::vector<double> deltas;
  for (int round = 0; round < 51; ++round) {
    for (const ServerState state : {ServerState::kDraining, ServerState::kReady}) {
      ListUpdate delta{ListKind::kDelta, {}};
      for (unsigned i = 0; i < std::min(10u, servers / 2); ++i)
        delta.entries.push_back(model.Entry((i * 37 + static_cast<unsigned>(round)) % servers, state));
      deltas.push_back(model.Handle(delta));
    }
  }
  std::sort(deltas.begin(), deltas.end());
  const double half = model.ApplyList(model.FullList(servers / 2));
  slice = std::max(slice, model.longest_slice());
  const double back = model.ApplyList(model.FullList());
  slice = std::max(slice, model.longest_slice());
  std::printf("%8u %10.2f %10.0f %10.0f %10.0f %10.1f %10.0f %10.0f %10.0f %10zu %10.0f %10.0f\n", servers,
              all / turns, longest, first, again, deltas[deltas.size() / 2], half, back, slice,
              model.in_flight(), known, used);
  std::fflush(stdout);
}

}  // namespace

// Arguments: [--turns N] SERVERS ...; measures N requests at each of these fleet sizes. To count instructions
// per request, run it under callgrind with two values of N and compare the totals of Balancer::Handle.
int main(int argc, char** argv) {
  std::printf("%8s %10s %10s %10s %10s %10s %10s %10s %10s %10s %10s %10s\n", "servers", "us/request",
              "longest", "first list", "same list", "delta 10", "half lost", "half back", "slice",
              "in flight", "B known", "B used");
  std::vector<unsigned> sizes = {15, 100, 1000, 10000};
  unsigned turns = 0;
  int first = 1;
  if (argc > 2 && std::string(argv[1]) == "--turns")
    turns = static_cast<unsigned>(std::atoi(argv[2])), first = 3;
  if (argc > first) sizes.clear();
  for (int k = first; k < argc; ++k) sizes.push_back(static_cast<unsigned>(std::atoi(argv[k])));
  for (const unsigned servers : sizes) Measure(servers, turns);
  return 0;
}

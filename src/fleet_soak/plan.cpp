// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/plan.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>
#include <random>

namespace kestrelline::fleet_soak {
namespace {

constexpr Time kQuietStart{1000};
constexpr int kLargeOneIn = 6;         // runs with many processes
constexpr int kPlannedAloneOneIn = 3;  // runs of planned work alone
constexpr int kKillAllOneIn = 25;      // of the unplanned series
constexpr std::uint64_t kGarbageSeed = 0x9E3779B97F4A7C15;

constexpr std::array<const char*, 19> kNames = {
    "term-proxy",    "hangup-proxy",    "term-core",       "change",       "race",
    "invalid",       "repeat",          "kill-proxy",      "pause-proxy",  "cut-clients",
    "kill-core",     "pause-core",      "cut-operator",    "lose-answers", "backend-breaks",
    "backend-hangs", "backend-refuses", "backend-garbles", "kill-all"};

// Draws one plan. Three lanes of series run beside each other: planned work on processes, changes of the
// configuration, and what nobody plans; so two or three series overlap at any time.
class Drawer {
 public:
  Drawer(std::uint64_t seed, const Wanted& wanted) : random_(seed) {
    plan_.seed = seed;
    plan_.length = wanted.length;
    DrawSizes(wanted);
    plan_.planned_work_alone = OneIn(kPlannedAloneOneIn);
    if (wanted.planned_work_alone) plan_.planned_work_alone = *wanted.planned_work_alone;
  }

  Plan Draw() {
    DrawLane([this](Time at) { return PlannedSeries(at); });
    DrawLane([this](Time at) { return ChangeSeries(at); });
    if (!plan_.planned_work_alone) DrawLane([this](Time at) { return UnplannedSeries(at); });
    if (!plan_.planned_work_alone) DrawGarbage();
    std::erase_if(plan_.actions, [this](const Action& action) { return action.at >= plan_.length; });
    std::stable_sort(plan_.actions.begin(), plan_.actions.end(),
                     [](const Action& one, const Action& other) { return one.at < other.at; });
    return std::move(plan_);
  }

 private:
  int Between(int min, int max) {
    return min + static_cast<int>(random_() % static_cast<std::uint64_t>(max - min + 1));
  }
  Time Within(int min_ms, int max_ms) { return Time(Between(min_ms, max_ms)); }
  bool OneIn(int count) { return Between(1, count) == 1; }
  int Proxy() { return Between(0, plan_.sizes.edges - 1); }
  int Core() { return Between(0, plan_.sizes.cores - 1); }
  int Backend() { return Between(0, plan_.sizes.backends() - 1); }
  void Add(Time at, Trouble trouble, int target = 0, Time length = {}, int count = 1) {
    plan_.actions.push_back({at, trouble, target, length, count});
  }

  void DrawSizes(const Wanted& wanted) {
    const bool large = OneIn(kLargeOneIn);
    Sizes sizes;
    sizes.cores = large ? 5 : 3;
    sizes.edges = large ? Between(20, 60) : Between(3, 8);
    sizes.prefill = Between(1, 2);
    sizes.decode = large ? Between(6, 12) : Between(3, 5);
    sizes.plain = large ? Between(6, 12) : Between(3, 5);
    sizes.cores = wanted.cores.value_or(sizes.cores);
    sizes.edges = wanted.edges.value_or(sizes.edges);
    sizes.prefill = wanted.prefill.value_or(sizes.prefill);
    sizes.decode = wanted.decode.value_or(sizes.decode);
    sizes.plain = wanted.plain.value_or(sizes.plain);
    sizes.gateways = std::min(sizes.edges, wanted.gateways.value_or(DrawGateways()));
    plan_.sizes = sizes;
  }

  // By a generator of its own: the rest of a seed's plan does not depend on it.
  int DrawGateways() const {
    constexpr std::uint64_t kMaxGateways = 3;
    std::mt19937_64 random(~plan_.seed);
    return static_cast<int>(random() % (kMaxGateways + 1));
  }

  // Spoiled answers all through the run, by a generator of their own, as gateways.
  void DrawGarbage() {
    constexpr int kMaxVariant = 1'000'000;
    Drawer garbage(kGarbageSeed ^ plan_.seed, {});
    for (Time at = kQuietStart; at < plan_.length; at += garbage.Within(50, 800)) {
      const int target = garbage.Between(0, plan_.sizes.backends() - 1);
      const int count = garbage.Between(1, 3);
      plan_.actions.push_back(
          {at, Trouble::kBackendGarbles, target, {}, count, garbage.Between(0, kMaxVariant)});
    }
  }

  // Series after series, each of which returns when it is over.
  template <typename Series>
  void DrawLane(const Series& series) {
    for (Time at = kQuietStart + Within(0, 1500); at < plan_.length;) at = series(at) + Within(100, 2500);
  }

  Time PlannedSeries(Time at) {
    switch (Between(0, 5)) {
      case 0:
        return Hangups(at);
      case 1:
        return RollCores(at);
      case 2:
        Hangups(at);
        return RollProxies(at);
      default:
        return RollProxies(at);
    }
  }
  // One after the other or two or three at a time, some of the proxies or all.
  Time RollProxies(Time at) {
    std::vector<int> order(static_cast<std::size_t>(plan_.sizes.edges));
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    if (!OneIn(3)) order.resize(static_cast<std::size_t>(Between(1, plan_.sizes.edges)));
    const int at_a_time = Between(1, 3);
    const Time pause = Within(300, 3500);
    for (std::size_t i = 0; i < order.size(); ++i) {
      if (i > 0 && i % static_cast<std::size_t>(at_a_time) == 0) at += pause;
      Add(at + Within(0, 60), Trouble::kTermProxy, order[i], Within(50, 1500));
    }
    return at;
  }
  Time Hangups(Time at) {
    const Time pause = Within(10, 300);
    for (int left = Between(5, 40); left > 0; --left, at += pause) Add(at, Trouble::kHangupProxy, Proxy());
    return at;
  }
  Time RollCores(Time at) {
    for (int i = 0; i < plan_.sizes.cores; ++i, at += Within(1500, 4000)) {
      Add(at, Trouble::kTermCore, i, Within(50, 1000));
    }
    return at;
  }

  Time ChangeSeries(Time at) {
    const Time pause = Within(20, 400);
    for (int left = Between(5, 60); left > 0; --left, at += pause) {
      if (OneIn(8)) Add(at, Trouble::kLoseAnswers, Core(), {}, Between(1, 2));
      if (OneIn(12)) {
        Add(at, Trouble::kInvalid);
      } else if (OneIn(8)) {
        Add(at, Trouble::kRace);
      } else if (OneIn(10)) {
        Add(at, Trouble::kRepeat);
      } else {
        Add(at, Trouble::kChange);
      }
    }
    return at;
  }

  Time UnplannedSeries(Time at) {
    if (OneIn(kKillAllOneIn)) {
      Add(at, Trouble::kKillAll, 0, Within(50, 1500));
      return at + Time(3000);
    }
    const int series = Between(0, 5);
    for (int left = Between(1, 4); left > 0; --left, at += Within(200, 2500)) AddUnplanned(series, at);
    return at;
  }
  void AddUnplanned(int series, Time at) {
    switch (series) {
      case 0:
        return Add(at, Trouble::kKillProxy, Proxy(), Within(50, 1500));
      case 1:
        return Add(at, Trouble::kPauseProxy, Proxy(), Within(100, 3000));
      case 2:
        return Add(at, Trouble::kCutClients, Proxy(), Within(300, 2500));
      case 3: {
        const bool kill = OneIn(2);
        return Add(at, kill ? Trouble::kKillCore : Trouble::kPauseCore, Core(), Within(50, 2500));
      }
      case 4:
        return Add(at, Trouble::kCutOperator, Core(), Within(300, 2500));
      default:
        break;
    }
    constexpr std::array kFaults = {Trouble::kBackendBreaks, Trouble::kBackendHangs,
                                    Trouble::kBackendRefuses};
    Add(at, kFaults[static_cast<std::size_t>(Between(0, 2))], Backend(), {}, Between(1, 10));
  }

  std::mt19937_64 random_;
  Plan plan_;
};

}  // namespace

const char* NameOf(Trouble trouble) { return kNames[static_cast<std::size_t>(trouble)]; }

Plan DrawPlan(std::uint64_t seed, const Wanted& wanted) { return Drawer(seed, wanted).Draw(); }

std::string Describe(const Plan& plan) {
  const Sizes& sizes = plan.sizes;
  std::string text = "seed " + std::to_string(plan.seed) + ": " + std::to_string(sizes.cores) + " members, " +
                     std::to_string(sizes.edges) + " proxies, " + std::to_string(sizes.gateways) +
                     " gateways, " + std::to_string(sizes.backends()) + " backends, " +
                     std::to_string(plan.actions.size()) + " actions\n";
  for (const Action& action : plan.actions) {
    std::array<char, 96> line{};
    std::snprintf(line.data(), line.size(), "%9.3f s %-15s %d, %lld ms, count %d, variant %d\n",
                  static_cast<double>(action.at.count()) / 1000, NameOf(action.trouble), action.target,
                  static_cast<long long>(action.length.count()), action.count, action.variant);
    text += line.data();
  }
  return text;
}

}  // namespace kestrelline::fleet_soak

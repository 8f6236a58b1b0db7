// SPDX-License-Identifier: Apache-2.0
//
// The view of the fleet in virtual time: how soon all know, what it costs, and other ways of finding failures
// on the same network and seeds.
//
//   peers_bench times [MEMBERS LOSS]   crash, join, cut and heal until all views are equal; all sizes and
//   losses peers_bench compare                plain SWIM, heartbeats of all to all, phi-accrual on those
//   peers_bench calm HOURS             false deaths a member-hour
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "sim/peers_world.h"

namespace {

using namespace kestrelline;
using sim::Microseconds;
using sim::PeersWorld;

constexpr Microseconds kGiveUp{60000000};
constexpr Microseconds kSecond{1000000};

struct Series {
  std::vector<double> ms;
  void Add(std::optional<Microseconds> took) {
    ms.push_back(took ? static_cast<double>(took->count()) / 1000 : INFINITY);
  }
  double At(double share) {
    std::sort(ms.begin(), ms.end());
    return ms[static_cast<std::size_t>(std::ceil(share * static_cast<double>(ms.size()))) - 1];
  }
  std::string Text() {
    char text[64];
    std::snprintf(text, sizeof text, "%5.0f %5.0f %5.0f", At(0.5), At(0.99), At(1));
    return text;
  }
};

peers::Times PlainSwim() {
  peers::Times times;
  times.max_suspicion_factor = 1;
  times.health_step = 0;
  times.digest_interval = times.digest_retry_interval = std::chrono::hours(100);  // who joins still asks a seed
  return times;
}

std::vector<std::vector<int>> Halves(int members) {
  std::vector<std::vector<int>> halves(2);
  for (int i = 0; i < members; ++i) halves[static_cast<std::size_t>(2 * i / members)].push_back(i);
  return halves;
}

struct Figures {
  Series crash, join, cut, heal;
  double bytes = 0, datagrams = 0;  // a second and member, when nothing happens
  std::uint64_t false_deaths = 0;
  double hours = 0;
};

Figures Play(int members, double loss, int runs, const peers::Times& times, bool parts) {
  Figures all;
  for (int run = 0; run < runs; ++run) {
    PeersWorld::Options options;
    options.members = members, options.zones = 3, options.seed = static_cast<std::uint64_t>(run + 1);
    options.times = times;
    PeersWorld world(options);
    const auto agree = [&] { return world.Agree(); };
    world.StartAll();
    world.Run(kSecond);
    world.RunUntil(agree, kGiveUp);
    world.Run(3 * kSecond);
    world.net().SetAll({.loss = loss, .delay = options.delay, .jitter = options.jitter});
    world.Run(4 * kSecond + members * kSecond / 12);  // until the news of the start have been told
    const auto before = world.totals();
    world.Run(10 * kSecond);
    const auto after = world.totals();
    all.bytes += static_cast<double>(after.bytes - before.bytes) / 10 / members / runs;
    all.datagrams += static_cast<double>(after.datagrams - before.datagrams) / 10 / members / runs;
    world.Kill(members - 1);
    all.crash.Add(world.RunUntil(agree, kGiveUp));
    world.Run(2 * kSecond);
    world.Start(members - 1);
    all.join.Add(world.RunUntil(agree, kGiveUp));
    world.Run(2 * kSecond);
    all.false_deaths += world.totals().false_failures;
    all.hours += world.totals().unpaused_member_hours;
    if (!parts) continue;
    const auto halves = Halves(members);
    const std::set<int> side(halves[0].begin(), halves[0].end());
    world.net().Part(side, members, true);
    all.cut.Add(world.RunUntil([&] { return world.Agree(halves); }, kGiveUp));
    world.Run(2 * kSecond);
    world.net().MendAll();
    all.heal.Add(world.RunUntil(agree, kGiveUp));
  }
  return all;
}

void Times(const std::vector<int>& sizes, const std::vector<double>& losses) {
  std::printf("members  loss  |  crash p50 p99 max  |  join  |  cut  |  heal, ms  |  bytes/s  datagrams/s\n");
  for (const int members : sizes) {
    for (const double loss : losses) {
      const int runs = members <= 32 ? 100 : members <= 100 ? 10 : 1;
      Figures f = Play(members, loss, runs, {}, true);
      std::printf("%5d  %3.0f %%  |  %s  |  %s  |  %s  |  %s  |  %5.0f  %4.1f\n", members, loss * 100,
                  f.crash.Text().c_str(), f.join.Text().c_str(),
                  f.cut.ms.empty() ? "-" : f.cut.Text().c_str(),
                  f.heal.ms.empty() ? "-" : f.heal.Text().c_str(), f.bytes, f.datagrams);
      std::fflush(stdout);
    }
  }
}

// Heartbeats of all to all every 200 ms; a member is dead to another after a fixed silence, or where phi, the
// minus logarithm of the chance that its next one is still to come, passes 8 (Hayashibara et al. 2004, a
// normal distribution over the last 100 intervals).
class Heartbeats {
 public:
  Heartbeats(int members, double loss, std::uint64_t seed, bool phi)
      : n_(members),
        phi_(phi),
        kernel_(seed),
        net_(seed, {.loss = loss, .delay = Microseconds(200), .jitter = Microseconds(300)}),
        alive_(static_cast<std::size_t>(n_), true),
        heard_(static_cast<std::size_t>(n_ * n_)) {
    for (int i = 0; i < n_; ++i) kernel_.At(Microseconds(i * 200000 / n_), [this, i] { Beat(i); });
    kernel_.At(Microseconds(0), [this] { Look(); });
  }
  void Run(Microseconds lasts) {
    const auto until = kernel_.now() + lasts;
    while (kernel_.Step(until)) {
    }
  }
  std::optional<Microseconds> UntilKnown(int dead) {
    alive_[static_cast<std::size_t>(dead)] = false;
    const auto from = kernel_.now();
    while (kernel_.now() - from < kGiveUp) {
      bool all = true;
      for (int i = 0; i < n_; ++i) all &= i == dead || At(i, dead).dead;
      if (all) return kernel_.now() - from;
      Run(Microseconds(10000));
    }
    return std::nullopt;
  }
  double datagrams = 0;
  std::uint64_t false_deaths = 0;

 private:
  struct Heard {
    Microseconds last{0};
    double mean = 200000, variance = 4e8;
    bool dead = false;
  };
  Heard& At(int observer, int of) { return heard_[static_cast<std::size_t>(observer * n_ + of)]; }

  void Beat(int i) {
    if (!alive_[static_cast<std::size_t>(i)]) return;
    for (int j = 0; j < n_; ++j) {
      if (j == i) continue;
      ++datagrams;
      for (const auto late : net_.Judge(kernel_.now(), i, j, 60).copies)
        kernel_.After(late, [this, i, j] {
          Heard& h = At(j, i);
          const double took = static_cast<double>((kernel_.now() - h.last).count());
          if (h.last.count() > 0) {
            h.variance += 0.01 * ((took - h.mean) * (took - h.mean) - h.variance);
            h.mean += 0.01 * (took - h.mean);
          }
          h.last = kernel_.now();
          h.dead = false;
        });
    }
    kernel_.After(Microseconds(200000), [this, i] { Beat(i); });
  }
  void Look() {
    for (int i = 0; i < n_; ++i) {
      for (int j = 0; j < n_; ++j) {
        Heard& h = At(i, j);
        if (i == j || h.dead || h.last.count() == 0) continue;
        const double silent = static_cast<double>((kernel_.now() - h.last).count());
        const double later = 0.5 * std::erfc((silent - h.mean) / std::sqrt(2 * std::max(h.variance, 1e8)));
        h.dead = phi_ ? later < 1e-8 : silent > 1500000;
        if (h.dead && alive_[static_cast<std::size_t>(j)]) ++false_deaths;
      }
    }
    kernel_.After(Microseconds(50000), [this] { Look(); });
  }

  int n_;
  bool phi_;
  sim::Kernel kernel_;
  standin::NetFaults net_;
  std::vector<bool> alive_;
  std::vector<Heard> heard_;
};

void Compare() {
  std::printf(
      "members  loss  way          |  crash p50 p99 max, ms  |  bytes/s a member  |  false deaths a "
      "member-hour\n");
  for (const int members : {16, 100}) {
    for (const double loss : {0.0, 0.2}) {
      const int runs = members == 16 ? 50 : 5;
      const auto row = [&](const char* way, Series crash, double bytes, double deaths) {
        std::printf("%5d  %3.0f %%  %-12s |  %s  |  %6.0f  |  %.2f\n", members, loss * 100, way,
                    crash.Text().c_str(), bytes, deaths);
        std::fflush(stdout);
      };
      Figures ours = Play(members, loss, runs, {}, false);
      row("kestrelline", ours.crash, ours.bytes, static_cast<double>(ours.false_deaths) / ours.hours);
      Figures swim = Play(members, loss, runs, PlainSwim(), false);
      row("plain SWIM", swim.crash, swim.bytes, static_cast<double>(swim.false_deaths) / swim.hours);
      for (const bool phi : {false, true}) {
        Series crash;
        double bytes = 0, deaths = 0, hours = 0;
        for (int run = 0; run < runs; ++run) {
          Heartbeats world(members, loss, static_cast<std::uint64_t>(run + 1), phi);
          world.Run(22 * kSecond);
          bytes += world.datagrams * 60 / 22 / members / runs;  // a name, a boot, a number and the seal
          deaths += static_cast<double>(world.false_deaths);
          hours += 22.0 / 3600 * members;
          crash.Add(world.UntilKnown(members - 1));
        }
        row(phi ? "phi-accrual" : "heartbeats", crash, bytes, deaths / hours);
      }
    }
  }
}

void Calm(double hours) {
  for (const double loss : {0.0, 0.05, 0.2}) {
    PeersWorld::Options options;
    options.members = 16, options.zones = 3;
    PeersWorld world(options);
    world.StartAll();
    world.Run(5 * kSecond);
    world.net().SetAll({.loss = loss, .delay = options.delay, .jitter = options.jitter});
    const double from = world.totals().unpaused_member_hours;
    while (world.totals().unpaused_member_hours - from < hours) world.Run(60 * kSecond);
    std::printf("16 members, %2.0f %% lost: %llu false deaths in %.1f member-hours\n", loss * 100,
                static_cast<unsigned long long>(world.totals().false_failures),
                world.totals().unpaused_member_hours - from);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "times" && argc == 4) return Times({std::atoi(argv[2])}, {std::atof(argv[3])}), 0;
  if (what == "times") return Times({5, 16, 32, 100, 1000}, {0, 0.05, 0.2}), 0;
  if (what == "compare") return Compare(), 0;
  if (what == "calm") return Calm(argc > 2 ? std::atof(argv[2]) : 4), 0;
  std::fprintf(stderr, "peers_bench times [MEMBERS LOSS] | compare | calm [HOURS]\n");
  return 2;
}

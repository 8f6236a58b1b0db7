// SPDX-License-Identifier: Apache-2.0
//
// The membership view in virtual time: how fast all members learn of changes, what that costs, and other
// failure detectors on the same network and seeds.
//
//   peers_bench times [MEMBERS LOSS]
//       Time from a crash, join, cut and heal until all views are equal; without arguments for all sizes and
//       losses.
//   peers_bench compare
//       Against plain SWIM, all-to-all heartbeats, and phi-accrual on these heartbeats.
//   peers_bench calm HOURS
//       False failures per member-hour.
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

constexpr Microseconds kTimeLimit{60000000};
constexpr Microseconds kSecond{1000000};

struct Series {
  std::vector<double> ms;
  void Add(std::optional<Microseconds> interval) {
    ms.push_back(interval ? static_cast<double>(interval->count()) / 1000 : INFINITY);
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
  // A joining member still gets the view from a seed.
  times.digest_interval = times.digest_retry_interval = std::chrono::hours(100);
  return times;
}

std::vector<std::vector<int>> Halves(int members) {
  std::vector<std::vector<int>> halves(2);
  for (int i = 0; i < members; ++i) halves[static_cast<std::size_t>(2 * i / members)].push_back(i);
  return halves;
}

struct Figures {
  Series crash, join, cut, heal;
  double bytes = 0, datagrams = 0;  // per second and member, without changes
  std::uint64_t false_failures = 0;
  double hours = 0;
};

Figures Measure(int members, double loss, int runs, const peers::Times& times, bool with_partition) {
  Figures all;
  for (int run = 0; run < runs; ++run) {
    PeersWorld::Options options;
    options.members = members, options.zones = 3, options.seed = static_cast<std::uint64_t>(run + 1);
    options.times = times;
    PeersWorld world(options);
    const auto agree = [&] { return world.Agree(); };
    world.StartAll();
    world.Run(kSecond);
    world.RunUntil(agree, kTimeLimit);
    world.Run(3 * kSecond);
    world.net().SetAll({.loss = loss, .delay = options.delay, .jitter = options.jitter});
    world.Run(4 * kSecond + members * kSecond / 12);  // until the updates about the start are sent
    const auto before = world.totals();
    world.Run(10 * kSecond);
    const auto after = world.totals();
    all.bytes += static_cast<double>(after.bytes - before.bytes) / 10 / members / runs;
    all.datagrams += static_cast<double>(after.datagrams - before.datagrams) / 10 / members / runs;
    world.Kill(members - 1);
    all.crash.Add(world.RunUntil(agree, kTimeLimit));
    world.Run(2 * kSecond);
    world.Start(members - 1);
    all.join.Add(world.RunUntil(agree, kTimeLimit));
    world.Run(2 * kSecond);
    all.false_failures += world.totals().false_failures;
    all.hours += world.totals().unpaused_member_hours;
    if (!with_partition) continue;
    const auto halves = Halves(members);
    const std::set<int> side(halves[0].begin(), halves[0].end());
    world.net().Part(side, members, true);
    all.cut.Add(world.RunUntil([&] { return world.Agree(halves); }, kTimeLimit));
    world.Run(2 * kSecond);
    world.net().MendAll();
    all.heal.Add(world.RunUntil(agree, kTimeLimit));
  }
  return all;
}

void Times(const std::vector<int>& sizes, const std::vector<double>& losses) {
  std::printf("members  loss  |  crash p50 p99 max  |  join  |  cut  |  heal, ms  |  bytes/s  datagrams/s\n");
  for (const int members : sizes) {
    for (const double loss : losses) {
      const int runs = members <= 32 ? 100 : members <= 100 ? 10 : 1;
      Figures figures = Measure(members, loss, runs, {}, true);
      std::printf("%5d  %3.0f %%  |  %s  |  %s  |  %s  |  %s  |  %5.0f  %4.1f\n", members, loss * 100,
                  figures.crash.Text().c_str(), figures.join.Text().c_str(),
                  figures.cut.ms.empty() ? "-" : figures.cut.Text().c_str(),
                  figures.heal.ms.empty() ? "-" : figures.heal.Text().c_str(), figures.bytes,
                  figures.datagrams);
      std::fflush(stdout);
    }
  }
}

// All-to-all heartbeats every 200 ms. A member is declared failed after a fixed silence, or when phi exceeds
// 8: the negative logarithm of the probability that its next heartbeat is still to come (Hayashibara et al.
// 2004, with a normal distribution over the last 100 intervals).
class Heartbeats {
 public:
  Heartbeats(int members, double loss, std::uint64_t seed, bool phi)
      : members_(members),
        phi_(phi),
        kernel_(seed),
        net_(seed, {.loss = loss, .delay = Microseconds(200), .jitter = Microseconds(300)}),
        alive_(static_cast<std::size_t>(members_), true),
        records_(static_cast<std::size_t>(members_ * members_)) {
    for (int i = 0; i < members_; ++i)
      kernel_.At(Microseconds(i * 200000 / members_), [this, i] { SendHeartbeats(i); });
    kernel_.At(Microseconds(0), [this] { CheckSilence(); });
  }
  void Run(Microseconds duration) {
    const auto until = kernel_.now() + duration;
    while (kernel_.Step(until)) {
    }
  }
  std::optional<Microseconds> TimeUntilDetected(int faulty) {
    alive_[static_cast<std::size_t>(faulty)] = false;
    const auto from = kernel_.now();
    while (kernel_.now() - from < kTimeLimit) {
      bool all = true;
      for (int i = 0; i < members_; ++i) all &= i == faulty || At(i, faulty).faulty;
      if (all) return kernel_.now() - from;
      Run(Microseconds(10000));
    }
    return std::nullopt;
  }
  double datagrams = 0;
  std::uint64_t false_failures = 0;

 private:
  struct Record {
    Microseconds last{0};
    double mean = 200000, variance = 4e8;
    bool faulty = false;
  };
  Record& At(int observer, int subject) {
    return records_[static_cast<std::size_t>(observer * members_ + subject)];
  }

  void SendHeartbeats(int i) {
    if (!alive_[static_cast<std::size_t>(i)]) return;
    for (int j = 0; j < members_; ++j) {
      if (j == i) continue;
      ++datagrams;
      for (const auto delay : net_.Judge(kernel_.now(), i, j, 60).copies)
        kernel_.After(delay, [this, i, j] {
          Record& record = At(j, i);
          const double interval = static_cast<double>((kernel_.now() - record.last).count());
          if (record.last.count() > 0) {
            record.variance += 0.01 * ((interval - record.mean) * (interval - record.mean) - record.variance);
            record.mean += 0.01 * (interval - record.mean);
          }
          record.last = kernel_.now();
          record.faulty = false;
        });
    }
    kernel_.After(Microseconds(200000), [this, i] { SendHeartbeats(i); });
  }
  void CheckSilence() {
    for (int i = 0; i < members_; ++i) {
      for (int j = 0; j < members_; ++j) {
        Record& record = At(i, j);
        if (i == j || record.faulty || record.last.count() == 0) continue;
        const double silent = static_cast<double>((kernel_.now() - record.last).count());
        const double chance =
            0.5 * std::erfc((silent - record.mean) / std::sqrt(2 * std::max(record.variance, 1e8)));
        record.faulty = phi_ ? chance < 1e-8 : silent > 1500000;
        if (record.faulty && alive_[static_cast<std::size_t>(j)]) ++false_failures;
      }
    }
    kernel_.After(Microseconds(50000), [this] { CheckSilence(); });
  }

  int members_;
  bool phi_;
  sim::Kernel kernel_;
  standin::NetFaults net_;
  std::vector<bool> alive_;
  std::vector<Record> records_;
};

void Compare() {
  std::printf(
      "members  loss  way          |  crash p50 p99 max, ms  |  bytes/s a member  |  false deaths a "
      "member-hour\n");
  for (const int members : {16, 100}) {
    for (const double loss : {0.0, 0.2}) {
      const int runs = members == 16 ? 50 : 5;
      const auto row = [&](const char* method, Series crash, double bytes, double failures) {
        std::printf("%5d  %3.0f %%  %-12s |  %s  |  %6.0f  |  %.2f\n", members, loss * 100, method,
                    crash.Text().c_str(), bytes, failures);
        std::fflush(stdout);
      };
      Figures ours = Measure(members, loss, runs, {}, false);
      row("kestrelline", ours.crash, ours.bytes, static_cast<double>(ours.false_failures) / ours.hours);
      Figures swim = Measure(members, loss, runs, PlainSwim(), false);
      row("plain SWIM", swim.crash, swim.bytes, static_cast<double>(swim.false_failures) / swim.hours);
      for (const bool phi : {false, true}) {
        Series crash;
        double bytes = 0, failures = 0, hours = 0;
        for (int run = 0; run < runs; ++run) {
          Heartbeats world(members, loss, static_cast<std::uint64_t>(run + 1), phi);
          world.Run(22 * kSecond);
          bytes += world.datagrams * 60 / 22 / members / runs;  // name, boot, number and seal
          failures += static_cast<double>(world.false_failures);
          hours += 22.0 / 3600 * members;
          crash.Add(world.TimeUntilDetected(members - 1));
        }
        row(phi ? "phi-accrual" : "heartbeats", crash, bytes, failures / hours);
      }
    }
  }
}

void FalseFailures(double hours) {
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
  if (what == "calm") return FalseFailures(argc > 2 ? std::atof(argv[2]) : 4), 0;
  std::fprintf(stderr, "peers_bench times [MEMBERS LOSS] | compare | calm [HOURS]\n");
  return 2;
}

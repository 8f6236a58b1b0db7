// SPDX-License-Identifier: Apache-2.0
//
// Measures replication in virtual time. Usage: replica_bench staleness | catchup | ways | wiped SITE PLAN
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "load/plan.h"
#include "peers/wire.h"
#include "sim/peers_world.h"
#include "sim/simulation.h"
#include "standin/site.h"

namespace {

using namespace kestrelline;
using replica::Subject;
using replica::Table;
using sim::Microseconds;
using sim::PeersWorld;

constexpr Microseconds Ms(std::int64_t ms) { return Microseconds(ms * 1000); }

PeersWorld::Options OptionsOf(int members, std::uint64_t seed) {
  PeersWorld::Options o;
  o.members = members, o.zones = 3, o.seed = seed;
  o.replica.emplace();
  return o;
}

bool AwaitReady(PeersWorld& w, int members) {
  w.Run(PeersWorld::kStartsWithin);
  return w
      .RunUntil(
          [&] {
            for (int i = 0; i < members; ++i)
              if (!w.replica(i)->current()) return false;
            return w.Agree();
          },
          Ms(120000))
      .has_value();
}

// Time from a write until the last member has it, and the bytes per second and member, without those of the
// membership.
void Staleness() {
  std::printf("members  loss  writes/s  p50 ms   p99 ms   max ms   bytes/s of a member\n");
  const struct {
    int members;
    double loss;
    int rate, writes;
  } rows[] = {{5, 0, 100, 400},     {5, 0.05, 100, 400},  {5, 0.2, 100, 400},  {16, 0, 100, 400},
              {16, 0, 1000, 400},   {16, 0.05, 100, 400}, {16, 0.2, 100, 400}, {32, 0, 100, 400},
              {32, 0.05, 100, 400}, {1000, 0, 20, 20}};
  for (const auto& row : rows) {
    PeersWorld w(OptionsOf(row.members, 5));
    w.StartAll();
    if (!AwaitReady(w, row.members)) {
      std::printf("%7d  never ready\n", row.members);
      continue;
    }
    w.Run(Ms(5000));
    w.net().SetAll({.loss = row.loss, .delay = Microseconds(200), .jitter = Microseconds(300)});
    struct Write {
      std::uint64_t id;
      Microseconds at;
    };
    std::vector<Write> pending;
    std::vector<double> elapsed;
    const auto before = w.totals().shared_bytes;
    const Microseconds start = w.kernel().now(), interval(1000000 / row.rate);
    for (std::uint64_t n = 0; elapsed.size() < static_cast<std::size_t>(row.writes);) {
      if (n < static_cast<std::uint64_t>(row.writes)) {
        const int writer = static_cast<int>(n * 7 % static_cast<std::uint64_t>(row.members));
        w.replica(writer)->Write(w.Now(), {Table::kClaims, ++n, 1}, std::chrono::minutes(10), 0);
        w.Flush(writer);
        pending.push_back({n, w.kernel().now()});
      }
      w.Run(interval);
      std::erase_if(pending, [&](const Write& write) {
        for (int i = 0; i < row.members; ++i)
          if (w.replica(i)->store().Find(w.Now(), Table::kClaims, write.id).empty()) return false;
        elapsed.push_back(static_cast<double>((w.kernel().now() - write.at).count()) / 1000);
        return true;
      });
    }
    const double seconds = static_cast<double>((w.kernel().now() - start).count()) / 1e6;
    std::sort(elapsed.begin(), elapsed.end());
    std::printf("%7d  %4.2f  %8d  %6.1f  %7.1f  %7.1f  %9.0f\n", row.members, row.loss, row.rate,
                elapsed[elapsed.size() / 2], elapsed[elapsed.size() * 99 / 100], elapsed.back(),
                static_cast<double>(w.totals().shared_bytes - before) / seconds / row.members);
    std::fflush(stdout);
  }
}

// Time for a restarted member to catch up with a fleet that holds so many entries.
void CatchUp() {
  std::printf("members  entries  loss  virtual s  real s of all\n");
  for (const double loss : {0.0, 0.05}) {
    for (const std::size_t entries : {1000u, 10000u, 100000u}) {
      PeersWorld w(OptionsOf(3, 5));
      w.StartAll();
      if (!AwaitReady(w, 3)) return;
      for (std::size_t i = 0; i < entries; ++i)
        w.replica(static_cast<int>(i % 2))
            ->Write(w.Now(), {Table::kClaims, hashing::Mixed(i), i % 12}, std::chrono::minutes(30), 0);
      w.RunUntil([&] { return w.replica(2)->store().size() == entries; }, Ms(60000));
      w.net().SetAll({.loss = loss, .delay = Microseconds(200), .jitter = Microseconds(300)});
      w.Start(2);
      const auto real = std::chrono::steady_clock::now();
      const auto elapsed = w.RunUntil(
          [&] { return w.replica(2)->current() && w.replica(2)->store().size() == entries; }, Ms(60000));
      std::printf("%7d  %7zu  %4.2f  %9.2f  %6.2f\n", 3, entries, loss,
                  elapsed ? static_cast<double>(elapsed->count()) / 1e6 : -1,
                  std::chrono::duration<double>(std::chrono::steady_clock::now() - real).count());
      std::fflush(stdout);
    }
  }
}

// Bytes to repair two copies of 20,000 entries that differ in so many of them without gaps in the sequence
// numbers, in comparison with sending a whole copy.
void RepairCosts() {
  std::printf("differences  ranges, bytes  whole copy, bytes  datagrams\n");
  for (const std::size_t differences : {1u, 100u, 10000u}) {
    PeersWorld w(OptionsOf(2, 5));
    w.StartAll();
    if (!AwaitReady(w, 2)) return;
    constexpr std::uint64_t kEntries = 20000;
    for (std::uint64_t i = 0; i < kEntries; ++i)
      w.replica(0)->Write(w.Now(), {Table::kClaims, hashing::Mixed(i), i % 12}, std::chrono::minutes(30), 0);
    w.RunUntil([&] { return w.replica(1)->store().size() == kEntries; }, Ms(60000));
    w.Run(Ms(5000));
    const auto idle = w.totals();
    w.Run(Ms(10000));
    const double idle_bytes = static_cast<double>(w.totals().shared_bytes - idle.shared_bytes) / 10;
    const auto& store = w.replica(1)->store();
    auto& stream = const_cast<replica::Stream&>(*store.StreamOf(w.replica(0)->store().own()));
    for (std::size_t i = 0; i < differences; ++i) stream.Remove(1 + i * (kEntries / differences));
    const auto before = w.totals();
    const auto elapsed = w.RunUntil([&] { return stream.size() == kEntries; }, Ms(120000));
    replica::Message header;
    replica::wire::Packer packer(header);
    packer.Add(w.replica(0)->store().EntriesAfter(w.Now(), w.replica(0)->store().own(), 0, kEntries));
    std::size_t whole = 0;
    for (const auto& m : packer.Take())
      whole += replica::wire::Encode(m).size() + peers::wire::kSealOverheadBytes;
    std::printf("%11zu  %13.0f  %17zu  %9llu   %s\n", differences,
                static_cast<double>(w.totals().shared_bytes - before.shared_bytes) -
                    idle_bytes * (elapsed ? static_cast<double>(elapsed->count()) / 1e6 : 0),
                whole, static_cast<unsigned long long>(w.totals().shared_datagrams - before.shared_datagrams),
                elapsed ? "" : "not equal after 120 s");
  }
}

std::string Read(const char* path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// Cost of losing what a proxy has learned: each proxy is killed every few seconds, and starts with all of its
// predecessor's memory or with none of it. Claims aren't included, because they don't affect the speed.
void MemoryLoss(const char* site_file, const char* plan_file) {
  operator_file::Diagnostics diagnostics("files");
  auto site = standin::ReadSite(Read(site_file), &diagnostics, {100000, 10000});
  auto plan = load::ReadPlan(Read(plan_file), &diagnostics);
  if (!site || !plan) {
    for (const auto& line : diagnostics.Lines()) std::printf("%s\n", line.c_str());
    return;
  }
  std::printf("kills every  memory  served      failed   refused  late or none  worth earned\n");
  for (const int every_s : {0, 10, 4}) {
    for (const bool survives : {true, false}) {
      double earned = 0;
      std::uint64_t served = 0, failed = 0, refused = 0, other = 0;
      constexpr std::uint64_t kSeeds = 12;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        sim::Scenario scenario;
        scenario.site = *site, scenario.plan = *plan, scenario.seed = seed;
        scenario.memory_survives = survives;
        const int seconds = static_cast<int>(plan->mixture.seconds);
        for (int s = 3, n = 0; every_s > 0 && s < seconds; s += every_s, ++n)
          for (int p = n % 2; p < site->proxies; p += 2)
            scenario.site.faults.push_back({Microseconds(std::int64_t{s} * 1000000 + p * 100000),
                                            standin::Fault::Kind::kKill, "n" + std::to_string(p),
                                            Microseconds(1000000), 0});
        const auto report = sim::Simulation(scenario, {}).Run();
        earned += report.service() / kSeeds;
        served += report.results.Count(load::Outcome::kServed);
        failed += report.results.Count(load::Outcome::kFailed);
        refused += report.results.Count(load::Outcome::kRefused);
        other += report.results.Count(load::Outcome::kGaveUp) + report.results.Count(load::Outcome::kUnsent);
      }
      std::printf("%9d s  %6s  %9llu  %8llu  %8llu  %12llu  %.4f\n", every_s, survives ? "kept" : "wiped",
                  static_cast<unsigned long long>(served), static_cast<unsigned long long>(failed),
                  static_cast<unsigned long long>(refused), static_cast<unsigned long long>(other), earned);
      std::fflush(stdout);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "staleness") return Staleness(), 0;
  if (what == "catchup") return CatchUp(), 0;
  if (what == "ways") return RepairCosts(), 0;
  if (what == "wiped" && argc == 4) return MemoryLoss(argv[2], argv[3]), 0;
  std::fprintf(stderr, "usage: %s staleness | catchup | ways | wiped SITE PLAN\n", argv[0]);
  return 2;
}

// SPDX-License-Identifier: Apache-2.0
//
// What the site in virtual time costs: requests a second on one core, how many times as fast as it would be,
// and memory, by the size of the site; how runs share cores; and how often an experiment of nothing finds
// something.
//
//   sim_bench DEPLOY_FOLDER [--null N]
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "lab/experiment.h"
#include "lab/record.h"
#include "lab/statistics.h"
#include "sim/simulation.h"

namespace {

using namespace kestrelline;

std::string Read(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

sim::Scenario Rehearsal(const std::string& folder) {
  operator_file::Diagnostics diagnostics("rehearsal");
  auto site = standin::ReadSite(Read(folder + "/rehearsal.site.toml"), &diagnostics, {100000, 10000});
  auto plan = load::ReadPlan(Read(folder + "/rehearsal.load.toml"), &diagnostics);
  if (!site || !plan) {
    for (const auto& line : diagnostics.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
    std::exit(1);
  }
  sim::Scenario scenario;
  scenario.site = std::move(*site);
  scenario.plan = std::move(*plan);
  return scenario;
}

// The rehearsal `times` as large: servers, proxies and load.
sim::Scenario Scaled(const sim::Scenario& base, std::size_t servers, double seconds) {
  sim::Scenario scenario = base;
  const double times = static_cast<double>(servers) / static_cast<double>(base.site.converters.size());
  scenario.site.converters.clear();
  for (std::size_t i = 0; i < servers; ++i) {
    auto spec = base.site.converters[i % base.site.converters.size()];
    spec.id = "s-" + std::to_string(i);
    spec.cell = static_cast<int>(i / 5);
    scenario.site.converters.push_back(spec);
  }
  scenario.site.proxies = static_cast<int>(base.site.proxies * std::min(times, 40.0));
  scenario.site.faults.clear();
  scenario.plan.mixture.shapes = {load::Constant{450 * times}};
  scenario.plan.mixture.seconds = seconds;
  return scenario;
}

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void One(const sim::Scenario& scenario, const char* name, bool audit) {
  // A process of its own: its peak of memory is this run's.
  std::fflush(stdout);
  const pid_t child = fork();
  if (child == 0) {
    sim::Simulation::Options options;
    options.audit = audit;
    const double begun = Now();
    const sim::Report report = sim::Simulation(scenario, options).Run();
    const double took = Now() - begun;
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    const auto requests = static_cast<double>(report.results.total());
    std::printf(
        "%-34s %9.0f requests %11llu events %8.2f s: %8.0f requests/s, %7.2f times as fast, %6ld MB\n", name,
        requests, static_cast<unsigned long long>(report.events), took, requests / took,
        static_cast<double>(report.took.count()) / 1e6 / took, usage.ru_maxrss / 1024);
    std::fflush(stdout);
    _exit(0);
  }
  int status = 0;
  waitpid(child, &status, 0);
}

void Cores(const sim::Scenario& scenario) {
  const unsigned all = std::max(1u, std::thread::hardware_concurrency());
  double alone = 0;
  for (unsigned threads = 1; threads <= all; threads *= 2) {
    std::atomic<int> left = 48;
    std::vector<std::jthread> workers;
    const double begun = Now();
    for (unsigned t = 0; t < threads; ++t)
      workers.emplace_back([&] {
        while (left-- > 0) sim::Simulation(scenario, {}).Run();
      });
    workers.clear();
    const double rate = 48 / (Now() - begun);
    if (threads == 1) alone = rate;
    std::printf("%u threads of %u: %.2f runs a second, %.2f times one\n", threads, all, rate, rate / alone);
  }
}

// Two sides that differ in their days alone: what is found is chance.
void Null(const sim::Scenario& base, int experiments) {
  constexpr std::size_t kDays = 8;
  const std::size_t runs = 2 * kDays * static_cast<std::size_t>(experiments);
  std::vector<double> service(runs), p99(runs);
  std::atomic<std::size_t> next = 0;
  {
    std::vector<std::jthread> workers;
    for (unsigned t = 0; t < std::max(1u, std::thread::hardware_concurrency()); ++t)
      workers.emplace_back([&] {
        for (std::size_t i = next++; i < runs; i = next++) {
          sim::Scenario scenario = base;
          lab::SetDay(&scenario, i + 1);
          const auto record = lab::RecordOf(0, i + 1, sim::Simulation(scenario, {}).Run(), 0);
          service[i] = record.measures[static_cast<std::size_t>(lab::Measure::kService)];
          p99[i] = record.measures[static_cast<std::size_t>(lab::Measure::kP99)];
        }
      });
  }
  for (const auto& [name, values] : {std::pair{"service", &service}, std::pair{"p99", &p99}}) {
    int found = 0, outside = 0;
    for (int e = 0; e < experiments; ++e) {
      const double* at = values->data() + static_cast<std::size_t>(e) * 2 * kDays;
      std::vector<lab::Difference> alone{
          lab::PairedDifference({at, kDays}, {at + kDays, kDays}, 0.95, static_cast<std::uint64_t>(e))};
      lab::Judge(&alone, 0.95);
      found += alone[0].significant;
      outside += alone[0].of.low > 0 || alone[0].of.high < 0;
    }
    std::printf(
        "null, %s: %d of %d experiments of %zu days found a difference (%.1f %%); 0 outside the interval in "
        "%d\n",
        name, found, experiments, kDays, 100.0 * found / experiments, outside);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: sim_bench DEPLOY_FOLDER [--null N]\n");
    return 2;
  }
  const sim::Scenario base = Rehearsal(argv[1]);
  if (argc > 3 && std::strcmp(argv[2], "--null") == 0) {
    sim::Scenario small = base;
    small.plan.mixture.seconds = 10;
    Null(small, std::atoi(argv[3]));
    return 0;
  }
  One(base, "the rehearsal, audited", true);
  One(base, "the rehearsal", false);
  One(Scaled(base, 15, 60), "15 servers, 5 proxies, 60 s", true);
  One(Scaled(base, 1000, 10), "1,000 servers, 200 proxies, 10 s", true);
  One(Scaled(base, 10000, 3), "10,000 servers, 200 proxies, 3 s", true);
  Cores(Scaled(base, 15, 60));
}

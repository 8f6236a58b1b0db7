// SPDX-License-Identifier: Apache-2.0
//
// What deciding together is worth in service, by plan of failures: the same days with a part of it on and
// off, in virtual time, the four rules audited.
//
//   fleet_worth_bench [PROXIES [DAYS [PART [PLAN]]]]
//
// PROXIES: 10, 60 or 300 (10 converters for 15 proxies at 300, or else two for three); DAYS: seeds, 8; PART:
// a key of kParts. "lost" is the share of requests that earned nothing; "of within" that of the tenant that
// stays within its share while another asks for twice its own.
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "lab/statistics.h"
#include "load/plan.h"
#include "operator/diagnostics.h"
#include "sim/simulation.h"

namespace {

using namespace kestrelline;

constexpr int kSeconds = 30;

struct Plan {
  const char* name;
  double load;                         // of what the converters can do
  std::function<std::string(int)> of;  // faults, for so many proxies
};

std::string Fault(double at, const char* kind, const std::string& who, double lasts, double amount = -1) {
  char line[200];
  std::snprintf(line, sizeof line, "[[fault]]\nat = \"%dms\"\nkind = \"%s\"\nwho = \"%s\"\nfor = \"%dms\"\n",
                static_cast<int>(at * 1000), kind, who.c_str(), static_cast<int>(lasts * 1000));
  std::string text = line;
  if (amount >= 0) text += "amount = " + std::to_string(amount) + "\n";
  return text;
}
std::string Name(int proxy) { return "n" + std::to_string(proxy); }

// A fault of each of some proxies.
std::string Each(int first, int beyond, int step, const std::function<std::string(const std::string&)>& of) {
  std::string text;
  for (int i = first; i < beyond; i += step) text += of(Name(i));
  return text;
}

const std::array<Plan, 7> kPlans{{
    {"a zone is lost", 0.75,
     [](int n) {
       return Fault(8, "restart", "zone:moka", 5) +
              Each(2, n, 3, [](const std::string& who) { return Fault(8, "kill", who, 5); });
     }},
    {"a zone is cut off", 0.75, [](int) { return Fault(8, "cut", "zone:moka", 6); }},
    {"all restarted, a tenth at a time", 0.85,
     [](int n) {
       std::string text;
       const int tenth = std::max(1, n / 10);
       for (int k = 0; k * tenth < n; ++k)
         text += Each(k * tenth, std::min(n, (k + 1) * tenth), 1,
                      [k](const std::string& who) { return Fault(4 + 2.2 * k, "restart_proxy", who, 1); });
       return text;
     }},
    {"seven in ten are killed", 1.15, [](int) { return Fault(8, "kill", "70%", 8); }},
    {"a sick converter", 0.75, [](int) { return Fault(6, "lose", "s-03", 18, 0.7); }},
    {"a proxy with a bad path", 0.75,
     [](int) { return Fault(8, "cut", "n1", 2) + Fault(14, "cut", "n1", 2); }},
    // As many again as half of those that the settings name.
    {"a half again joins", 1.15,
     [](int n) {
       return Each(n * 2 / 3, n, 1, [](const std::string& who) { return Fault(0, "kill", who, 12); });
     }},
}};

struct Part {
  const char* name;
  std::function<void(standin::SiteSpec*)> on;
};
const std::array<Part, 2> kParts{{
    {"shares", [](standin::SiteSpec* site) { site->concert = "reserve = \"25%\""; }},
    // What there was: the check of the bench itself.
    {"nothing", [](standin::SiteSpec*) {}},
}};

struct Day {
  double lost = 0, within = 0, beyond = 0;  // shares
  bool kept = true;
};

sim::Scenario ScenarioOf(const Plan& plan, int proxies, std::uint64_t seed) {
  const int converters = proxies >= 300 ? proxies * 2 / 3 : proxies * 3 / 2;
  const double work = 0.48 * 0.012 + 0.29 * 0.030 + 0.23 * 0.018, can = 2 * converters / work;
  std::string site =
      "version = 1\n[site]\nseed = " + std::to_string(seed) + "\nproxies = " + std::to_string(proxies) +
      "\nzones = [\"port-louis\", \"ebene\", \"moka\"]\nwarm_up = \"12s\"\npeers = \"on\"\n"
      "[[class]]\nname = \"preview\"\neffect = \"safe\"\nwork = \"12ms\"\ndeadline = \"2s\"\n"
      "[[class]]\nname = \"convert\"\neffect = \"keyed\"\nwork = \"30ms\"\ndeadline = \"2s\"\n"
      "[[class]]\nname = \"certify\"\neffect = \"unsafe\"\nwork = \"18ms\"\ndeadline = \"1s\"\n"
      "[[converters]]\ncount = " +
      std::to_string(converters) + "\ncells = 3\ncores = 2\nqueue = 40\nconnections = 1000\n" +
      plan.of(proxies);
  std::string load =
      "version = 1\n[run]\ntime = \"" + std::to_string(kSeconds) + "s\"\nseed = " + std::to_string(seed) +
      "\nretries = 2\nretry_pause = \"100ms\"\n[[shape]]\nkind = \"constant\"\nrate = " +
      std::to_string(plan.load * can) +
      "\n[[class]]\nname = \"preview\"\neffect = \"safe\"\nweight = 48\ndeadline = \"2s\"\n"
      "[[class]]\nname = \"convert\"\neffect = \"keyed\"\nweight = 29\ndeadline = \"2s\"\n"
      "[[class]]\nname = \"certify\"\neffect = \"unsafe\"\nweight = 23\ndeadline = \"1s\"\n"
      "[[tenant]]\nname = \"within\"\nweight = 55\n[[tenant]]\nname = \"beyond\"\nweight = 45\n"
      "[objects]\ncount = 1500\n";
  operator_file::Diagnostics wrong("fleet_worth_bench");
  sim::Scenario scenario;
  const auto read = standin::ReadSite(site, &wrong, {100000, 10000});
  const auto planned = load::ReadPlan(load, &wrong);
  if (!read || !planned) {
    for (const std::string& line : wrong.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
    std::exit(1);
  }
  scenario.site = *read, scenario.plan = *planned, scenario.seed = seed;
  // One asks for nine tenths of its share, the other for twice its own.
  const std::string quota =
      "[{\"name\": \"within\", \"quotaPerS\": " + std::to_string(0.61 * plan.load * can) +
      "}, {\"name\": \"beyond\", \"quotaPerS\": " + std::to_string(0.22 * plan.load * can) + "}]";
  scenario.config = {{"tenants", quota}};
  const bool joins = std::string(plan.name) == "a half again joins";
  if (joins) scenario.config.emplace_back("balancers", std::to_string(proxies * 2 / 3));
  scenario.adjust = [](kestrelline::Settings* s) { s->over_share_worth = 0.3; };
  return scenario;
}

Day Play(const sim::Scenario& scenario) {
  sim::Simulation::Options options;
  options.stop_at_breach = false;
  const sim::Report report = sim::Simulation(scenario, options).Run();
  Day day;
  const auto lost = [&](std::size_t tenant) {
    const auto& t = report.tenants[tenant];
    return t.asked > 0 ? 1 - static_cast<double>(t.served) / static_cast<double>(t.asked) : 0;
  };
  day.lost = 1 - report.service();
  day.within = lost(0), day.beyond = lost(1);
  day.kept = report.verdict.clean();
  for (const auto& violation : report.verdict.violations) {
    std::fprintf(stderr, "seed %llu, %s, %.3f s, %s: %s\n", static_cast<unsigned long long>(scenario.seed),
                 scenario.site.concert ? "on" : "off", static_cast<double>(violation.at.count()) / 1e6,
                 violation.subject.c_str(), violation.text.c_str());
    for (const auto& line : violation.history) std::fprintf(stderr, "    %s\n", line.c_str());
    break;
  }
  return day;
}

void Compare(const Plan& plan, int proxies, int days, const Part& part) {
  std::vector<Day> off(static_cast<std::size_t>(days)), on = off;
  std::atomic<int> next{0};
  const auto work = [&] {
    for (int k; (k = next++) < 2 * days;) {
      sim::Scenario scenario = ScenarioOf(plan, proxies, 1000 + static_cast<std::uint64_t>(k / 2));
      if (k % 2) part.on(&scenario.site);
      (k % 2 ? on : off)[static_cast<std::size_t>(k / 2)] = Play(scenario);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned t = 0; t < std::max(1u, std::thread::hardware_concurrency()); ++t) threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
  bool kept = true;
  const auto row = [&](const char* what, double Day::*figure) {
    std::vector<double> a, b;
    for (std::size_t d = 0; d < off.size(); ++d) {
      a.push_back(100 * (off[d].*figure)), b.push_back(100 * (on[d].*figure));
      kept = kept && off[d].kept && on[d].kept;
    }
    const auto mean = lab::MeanOf(a, 0.95, 1);
    const auto difference = lab::PairedDifference(a, b, 0.95, 1);
    std::printf("  %-10s off %6.2f %%  on - off %+6.2f (%+.2f to %+.2f)%s\n", what, mean.mean,
                difference.of.mean, difference.of.low, difference.of.high,
                difference.too_few || difference.p > 0.05 ? "" : " *");
  };
  std::printf("%s; %d proxies, load %.2f, %s\n", plan.name, proxies, plan.load, part.name);
  row("lost", &Day::lost);
  row("of within", &Day::within);
  row("of beyond", &Day::beyond);
  std::printf("  rules %s\n", kept ? "kept" : "BROKEN");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const int proxies = argc > 1 ? std::atoi(argv[1]) : 10, days = argc > 2 ? std::atoi(argv[2]) : 8;
  const std::string wanted = argc > 3 ? argv[3] : "shares";
  for (const Part& part : kParts) {
    if (wanted != part.name) continue;
    for (const Plan& plan : kPlans)
      if (argc < 5 || std::string(plan.name).find(argv[4]) != std::string::npos)
        Compare(plan, proxies, days, part);
    return 0;
  }
  std::fprintf(stderr, "fleet_worth_bench [PROXIES [DAYS [PART [PLAN]]]]\n");
  return 2;
}

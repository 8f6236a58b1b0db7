// SPDX-License-Identifier: Apache-2.0
//
// A site and a plan of load in virtual time.
//
//   kestrelsim run SITE PLAN [--seed N] [--runs N] [--json FILE] [--events FILE] [--hints] [--no-audit]
//                  [--trace FILE]     (of kestrelload, in place of the plan's arrivals; with all commands)
//   kestrelsim explain SITE PLAN --request ID [--seed N]
//   kestrelsim replay SITE PLAN --until S [--from S] [--seed N]
//   kestrelsim shrink SITE PLAN [--seed N]
//   kestrelsim peers SITE [--seed N] [--runs N] [--watch PROXY] [--record-network FILE] [--replay-network
//   FILE]
//
// SITE and PLAN are those of kestrelfleet and kestrelload; a plan's targets are the site's proxies. A breach
// of a rule ends a run with its seed, its time and the history of the request.
//
// Exit codes: 0; 1 if a file is refused or something cannot be written; 2 for wrong arguments; 4 if a rule
// was broken, or views did not come to agree.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "load/events.h"
#include "load/plan.h"
#include "load/trace.h"
#include "operator/read_file.h"
#include "sim/peers_play.h"
#include "sim/shrink.h"
#include "sim/simulation.h"
#include "sim/words.h"
#include "standin/net_trace.h"
#include "standin/site.h"

namespace {

using namespace kestrelline;

constexpr int kBad = 1, kBroken = 4;
constexpr standin::SiteBounds kBounds{100000, 10000};

struct Arguments {
  std::string site, plan, json, events, request, trace, watch, record, replay;
  double from = -1, until = 0;
  std::uint64_t seed = 1;
  int runs = 1;
  bool hints = false, no_audit = false;
};

template <typename Read>
auto Load(const std::string& path, Read read) -> decltype(read("", nullptr)) {
  operator_file::Diagnostics diagnostics(path);
  const auto text = operator_file::ReadFileSnapshot(path, operator_file::kMaxFileBytes, &diagnostics);
  auto loaded = text ? read(*text, &diagnostics) : std::nullopt;
  for (const auto& line : diagnostics.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
  return loaded;
}

constexpr std::size_t kMostOfTrace = 20000000;  // requests; 24 bytes each

// Null, and a message, if it is none or names a class that the plan has not.
std::shared_ptr<const std::vector<load::Arrival>> ReadTrace(const Arguments& arguments,
                                                            const load::Plan& plan) {
  const auto refuse = [&](const std::string& why) {
    std::fprintf(stderr, "%s: %s\n", arguments.trace.c_str(), why.c_str());
    return nullptr;
  };
  std::ifstream file(arguments.trace, std::ios::binary);
  if (!file) return refuse("cannot be read");
  try {
    load::TraceReader reader(file);
    std::string missing;
    const auto classes = load::IndicesOf(reader.head().classes, plan.classes, &missing);
    if (!classes) return refuse("its class '" + missing + "' is none of the plan");
    auto trace = std::make_shared<std::vector<load::Arrival>>();
    while (auto record = reader.Next()) {
      if (trace->size() == kMostOfTrace) return refuse("more than 20 million requests");
      record->arrival.request_class = (*classes)[record->arrival.request_class];
      trace->push_back(record->arrival);
    }
    return trace;
  } catch (const std::exception& error) {
    return refuse(error.what());
  }
}

std::optional<sim::Scenario> ScenarioOf(const Arguments& arguments) {
  auto site = Load(arguments.site, [](std::string_view text, operator_file::Diagnostics* d) {
    return standin::ReadSite(text, d, kBounds);
  });
  auto plan = Load(arguments.plan, [](std::string_view text, operator_file::Diagnostics* d) {
    return load::ReadPlan(text, d);
  });
  if (!site || !plan) return std::nullopt;
  std::string missing;
  if (!load::IndicesOf(load::ClassNames(*plan), site->classes, &missing)) {
    std::fprintf(stderr, "%s: class '%s' is none of %s\n", arguments.plan.c_str(), missing.c_str(),
                 arguments.site.c_str());
    return std::nullopt;
  }
  sim::Scenario scenario;
  scenario.site = std::move(*site);
  scenario.plan = std::move(*plan);
  scenario.seed = arguments.seed;
  scenario.hints = arguments.hints;
  if (!arguments.trace.empty()) {
    scenario.trace = ReadTrace(arguments, scenario.plan);
    if (!scenario.trace) return std::nullopt;
  }
  return scenario;
}

double Seconds(sim::Microseconds at) { return static_cast<double>(at.count()) / 1e6; }

bool Run(const sim::Scenario& scenario, const Arguments& arguments, std::optional<load::Results>* all) {
  std::ofstream file;
  std::unique_ptr<load::EventWriter> writer;
  const load::RuleFigures figures = scenario.site.Rules();
  sim::Simulation::Options options;
  options.audit = !arguments.no_audit;
  if (!arguments.events.empty()) {
    file.open(arguments.events);
    writer = std::make_unique<load::EventWriter>(file, &figures);
    options.on_event = [&](const load::Event& event) { writer->Add(event); };
  }
  const bool terminal = isatty(STDERR_FILENO);
  if (terminal) {
    options.on_progress = [](sim::Microseconds at) { std::fprintf(stderr, "\r%.0f s ", Seconds(at)); };
  }
  const auto begun = std::chrono::steady_clock::now();
  sim::Report report = sim::Simulation(scenario, options).Run();
  const double wall = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  if (terminal) std::fprintf(stderr, "\r");
  const double simulated = Seconds(report.took), requests = static_cast<double>(report.results.total());
  std::printf(
      "seed %llu: %.0f requests, %llu attempts, %llu events in %.1f s of virtual time; %.2f s, %.0f times as "
      "fast, %.0f requests a second; service %.4f; history %016llx\n",
      static_cast<unsigned long long>(scenario.seed), requests,
      static_cast<unsigned long long>(report.attempts), static_cast<unsigned long long>(report.events),
      simulated, wall, simulated / wall, requests / wall, report.service(),
      static_cast<unsigned long long>(report.history));
  std::fflush(stdout);
  const bool broken = !report.verdict.violations.empty();
  if (broken) {
    std::printf("%s", load::Shown(report.verdict).c_str());
    std::printf(
        "kestrelsim replay %s %s --seed %llu --until %.6f brings back the state and the decisions before "
        "it\n",
        arguments.site.c_str(), arguments.plan.c_str(), static_cast<unsigned long long>(scenario.seed),
        simulated);
  }
  if (*all) {
    **all += report.results;
  } else {
    all->emplace(std::move(report.results));
  }
  return !broken;
}

int Explain(const sim::Scenario& scenario, const std::string& request) {
  sim::Simulation::Options options;
  options.stop_at_breach = false;
  bool found = false;
  options.on_log = [](sim::Microseconds at, const std::string& what) {
    std::printf("%12.6f  fault     %s\n", Seconds(at), what.c_str());
  };
  std::uint32_t node = ~0u;
  options.on_event = [&](const load::Event& event) {
    if (event.request != request) return;
    found = true;
    if (event.kind == load::Event::Kind::kSent)
      node = static_cast<std::uint32_t>(std::atoi(event.proxy.c_str() + 1));
    std::printf("%12.6f  %c %-8s %s %d\n", Seconds(event.at), static_cast<char>(event.kind),
                event.proxy.c_str(), event.subject.c_str(), event.number);
  };
  // What its proxy decided while it was there, in the module's own words.
  options.on_decision = [&](std::uint32_t at, sim::Microseconds now, const kestrelline::Event&,
                            const std::vector<kestrelline::Action>& actions) {
    if (at != node) return;
    for (const auto& action : actions) {
      if (const auto* log = std::get_if<kestrelline::Log>(&action))
        std::printf("%12.6f  n%-8u %s\n", Seconds(now), at, log->text.c_str());
    }
  };
  sim::Simulation(scenario, options).Run();
  if (!found)
    std::fprintf(stderr, "kestrelsim: seed %llu has no request %s\n",
                 static_cast<unsigned long long>(scenario.seed), request.c_str());
  return found ? 0 : kBad;
}

// The same state again, and what led to it.
int Replay(const sim::Scenario& scenario, const Arguments& arguments) {
  const auto moment = [](double s) { return sim::Microseconds(std::llround(s * 1e6)); };
  sim::Simulation::Options options;
  options.until = moment(arguments.until);
  const sim::Microseconds from =
      arguments.from < 0 ? options.until - sim::Microseconds(100000) : moment(arguments.from);
  options.on_log = [&](sim::Microseconds at, const std::string& what) {
    if (at >= from) std::printf("%12.6f  fault  %s\n", Seconds(at), what.c_str());
  };
  options.on_decision = [&](std::uint32_t node, sim::Microseconds at, const kestrelline::Event& event,
                            const std::vector<kestrelline::Action>& actions) {
    if (at < from) return;
    std::string line = sim::InWords(event);
    for (const auto& action : actions) line += "; " + sim::InWords(action);
    std::printf("%12.6f  n%-4u  %s\n", Seconds(at), node, line.c_str());
  };
  sim::Simulation simulation(scenario, options);
  const sim::Report report = simulation.Run();
  const auto state = simulation.Look();
  std::printf("at %.6f s, history %016llx\n", Seconds(report.took),
              static_cast<unsigned long long>(state.history));
  for (std::size_t n = 0; n < state.proxies.size(); ++n) {
    const auto& proxy = state.proxies[n];
    std::printf("  n%zu: %s%s, list %llu, holds %zu\n", n, proxy.up ? "up" : "down",
                proxy.paused ? ", paused" : "", static_cast<unsigned long long>(proxy.revision), proxy.held);
  }
  for (const auto& server : state.servers)
    std::printf("  %s: %s, %zu attempts, %d running, %d waiting\n", server.id.c_str(),
                server.up ? "up" : "down", server.attempts, server.running, server.queued);
  if (!report.verdict.violations.empty() && report.stopped)
    std::printf("%s", load::Shown(report.verdict).c_str());
  return report.stopped ? kBroken : 0;
}

int Shrink(const sim::Scenario& scenario) {
  const auto fails = [](const sim::Scenario& candidate) {
    return !sim::Simulation(candidate, {}).Run().verdict.violations.empty();
  };
  if (!fails(scenario)) {
    std::printf("seed %llu breaks no rule: there is nothing to shrink\n",
                static_cast<unsigned long long>(scenario.seed));
    return 0;
  }
  const sim::Shrunk shrunk = sim::Shrink(scenario, fails);
  const auto& site = shrunk.scenario.site;
  std::printf("%d runs: %zu converters, %d proxies, %.1f s of load, %zu faults\n", shrunk.runs,
              site.converters.size(), site.proxies, shrunk.scenario.plan.mixture.seconds, site.faults.size());
  for (const auto& fault : site.faults) {
    std::printf("  at %.3f s %s %s for %.3f s, amount %g\n", Seconds(fault.at),
                std::string(standin::KindOf(fault.kind).name).c_str(), fault.who.c_str(),
                Seconds(fault.lasts), fault.amount);
  }
  const auto verdict = sim::Simulation(shrunk.scenario, {}).Run().verdict;
  std::printf("%s", load::Shown(verdict).c_str());
  return kBroken;
}

// What the proxies know of each other while the faults of the site's plan come and go.
int Peers(const Arguments& arguments) {
  const auto site = Load(arguments.site, [](std::string_view text, operator_file::Diagnostics* d) {
    return standin::ReadSite(text, d, {kBounds.converters, static_cast<int>(peers::kMaxMembers)});
  });
  if (!site) return kBad;
  bool agreed = true;
  for (int run = 0; run < arguments.runs; ++run) {
    const std::uint64_t seed = arguments.seed + static_cast<std::uint64_t>(run);
    sim::PeersPlay play(*site, seed);
    if (!arguments.replay.empty() && !standin::LoadTrace(arguments.replay, &play.net())) return kBad;
    std::ofstream trace;  // of the last run
    if (!arguments.record.empty()) {
      trace.open(arguments.record, std::ios::trunc);
      standin::WriteTrace(&play.net(), trace);
    }
    if (!arguments.watch.empty()) {
      play.on_event = [&](sim::Microseconds at, int member, const peers::Event& event) {
        if (sim::PeersWorld::Name(member) == arguments.watch)
          std::printf("%12.6f  %s: %s %s\n", Seconds(at), arguments.watch.c_str(), peers::NameOf(event.kind),
                      event.member.name.c_str());
      };
    }
    const sim::PeersPlayed played = play.Play();
    for (const sim::PeersChange& change : played.changes) {
      std::printf("%12.6f  %s; %zu part%s; ", Seconds(change.at), change.what.c_str(), change.parts,
                  change.parts == 1 ? "" : "s");
      if (change.equal) {
        std::printf("all views equal after %.2f s", Seconds(*change.equal));
        if (change.differed.count() > 0) std::printf(", then apart for %.2f s", Seconds(change.differed));
        std::printf("\n");
      } else {
        std::printf("views differ until the next change\n");
      }
    }
    const double member_seconds = played.totals.unpaused_member_hours * 3600;
    std::printf(
        "seed %llu: %d proxies, %.1f s; %.1f datagrams and %.0f bytes a second and proxy; %llu false "
        "deaths; views %s\n",
        static_cast<unsigned long long>(seed), site->proxies, played.seconds,
        static_cast<double>(played.totals.datagrams) / member_seconds,
        static_cast<double>(played.totals.bytes) / member_seconds,
        static_cast<unsigned long long>(played.false_deaths), played.agreed ? "agree" : "do not agree");
    agreed &= played.agreed;
    if (trace.is_open() && !trace.flush()) {
      std::fprintf(stderr, "kestrelsim: %s cannot be written\n", arguments.record.c_str());
      return kBad;
    }
  }
  return agreed ? 0 : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"A site and a plan of load in virtual time"};
  app.require_subcommand(1);
  Arguments arguments;
  const auto command = [&](const char* name, const char* what) {
    CLI::App* sub = app.add_subcommand(name, what);
    sub->add_option("SITE", arguments.site, "the site, as kestrelfleet takes it")->required();
    sub->add_option("PLAN", arguments.plan, "the load, as kestrelload takes it")->required();
    sub->add_option("--seed", arguments.seed, "of the order of events, delays, and chance in the proxies");
    sub->add_option("--trace", arguments.trace, "arrivals of kestrelload --record, in place of the plan's");
    sub->add_flag("--hints", arguments.hints, "clients say what their requests cost");
    return sub;
  };
  CLI::App* run = command("run", "plays the plan, audits the four rules");
  run->add_option("--runs", arguments.runs, "so many, with the seeds that follow")
      ->check(CLI::Range(1, 1000000));
  run->add_option("--json", arguments.json, "results, as kestrelload report takes them");
  run->add_option("--events", arguments.events, "all that the audit saw; of the last run");
  run->add_flag("--no-audit", arguments.no_audit, "faster, and nobody judges the rules");
  CLI::App* explain = command("explain", "all that became of one request, and what its proxy said meanwhile");
  explain->add_option("--request", arguments.request, "its Req-Id")->required();
  CLI::App* replay = command("replay", "the state at a moment, and the decisions that led to it");
  replay->add_option("--until", arguments.until, "the moment, in seconds of virtual time")->required();
  replay->add_option("--from", arguments.from, "decisions from here on; 0.1 s before it without");
  command("shrink", "the smallest site, load and faults that still break a rule");
  CLI::App* peers =
      app.add_subcommand("peers", "the proxies' view of each other under the faults of the site");
  peers->add_option("SITE", arguments.site, "the site, as kestrelfleet takes it")->required();
  peers->add_option("--seed", arguments.seed, "of the order of events, delays and losses");
  peers->add_option("--runs", arguments.runs, "so many, with the seeds that follow")
      ->check(CLI::Range(1, 1000000));
  peers->add_option("--watch", arguments.watch, "a proxy whose events are shown, such as n3");
  peers->add_option("--record-network", arguments.record, "what became of each datagram; of the last run");
  peers->add_option("--replay-network", arguments.replay,
                    "does to each datagram what was recorded, as does kestrelfleet");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (app.got_subcommand("peers")) return Peers(arguments);
  auto scenario = ScenarioOf(arguments);
  if (!scenario) return kBad;
  if (app.got_subcommand("explain")) return Explain(*scenario, arguments.request);
  if (app.got_subcommand("replay")) return Replay(*scenario, arguments);
  if (app.got_subcommand("shrink")) return Shrink(*scenario);
  bool kept = true;
  std::optional<load::Results> all;
  for (int n = 0; n < arguments.runs; ++n, ++scenario->seed) kept &= Run(*scenario, arguments, &all);
  std::printf("%s", all->Table().c_str());
  if (!arguments.json.empty()) {
    std::ofstream out(arguments.json);
    out << all->ToJson().dump() << '\n';
    if (!out.flush()) {
      std::fprintf(stderr, "kestrelsim: %s cannot be written\n", arguments.json.c_str());
      return kBad;
    }
  }
  if (kept && !arguments.no_audit)
    std::printf("the four rules were kept in %d run%s\n", arguments.runs, arguments.runs == 1 ? "" : "s");
  return kept ? 0 : kBroken;
}

// SPDX-License-Identifier: Apache-2.0
//
// The load generator:
//
//   kestrelload run PLAN.toml [--target ADDRESS:PORT,...] [--json FILE] [--html FILE] [--record TRACE]
//                             [--events FILE]
//   kestrelload replay TRACE --plan PLAN.toml [--speed X] [--from S] [--until S] [the same]
//   kestrelload report FILE... [--html FILE] [--json FILE]     files of --json, added up
//                      [--events FILE ...]       and the four rules, judged by what clients and fleet saw
//                      [--faults SITE.toml]      marks the faults of the site in the charts
//   kestrelload compare A B
//   kestrelload show TRACE                       a trace as CSV
//   kestrelload convert csv|access-log FILE TRACE
//
// Exit codes: 0; 1 if something could not be read or written, or a plan is refused; 2 for wrong arguments; 3
// if the generator was outrun or requests were not sent, so that the run was not the one that was planned; 4
// if a rule was broken, or not all could be audited.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "charts/gnuplot.h"
#include "load/convert.h"
#include "load/engine.h"
#include "load/events.h"
#include "load/plan.h"
#include "load/results.h"
#include "load/trace.h"
#include "operator/diagnostics.h"
#include "operator/read_file.h"
#include "standin/site.h"

namespace {

using namespace kestrelline::load;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int kBad = 1, kOutrun = 3, kBroken = 4;

struct Arguments {
  std::string plan, trace, json, html, record, format, input, faults;
  std::vector<std::string> files, targets, events;
  double speed = 1, from = 0, until = 0;
};

class Unusable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Plan LoadPlan(const Arguments& arguments) {
  const std::string& path = arguments.plan;
  kestrelline::operator_file::Diagnostics diagnostics(path);
  const auto text = kestrelline::operator_file::ReadFileSnapshot(
      path, kestrelline::operator_file::kMaxFileBytes, &diagnostics);
  auto plan = text ? ReadPlan(*text, &diagnostics) : std::nullopt;
  if (plan) {
    if (!arguments.targets.empty()) plan->targets = arguments.targets;
    if (plan->targets.empty()) throw Unusable(path + ": names no target, and there is no --target");
    return std::move(*plan);
  }
  std::string all;
  for (const auto& line : diagnostics.Lines()) all += (all.empty() ? "" : "\n") + line;
  throw Unusable(all);
}

std::vector<Tcp::endpoint> TargetsOf(const Plan& plan) {
  std::vector<Tcp::endpoint> targets;
  for (const std::string& target : plan.targets) {
    const auto colon = target.rfind(':');
    std::string host = target.substr(0, colon);
    if (host.starts_with('[')) host = host.substr(1, host.size() - 2);
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(host, failed);
    const long port = std::strtol(target.c_str() + colon + 1, nullptr, 10);
    if (failed || !address.is_loopback() || port < 1 || port > 65535)
      throw Unusable("'" + target + "' is no ADDRESS:PORT on loopback");
    targets.emplace_back(address, static_cast<unsigned short>(port));
  }
  return targets;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  if (!out) throw Unusable(path + ": cannot be written");
}

// With charts by gnuplot; where there is none, the page says why.
void WritePage(const Arguments& arguments, const std::string& title, const Results& results,
               const std::string& rules) {
  std::vector<kestrelline::charts::Span> spans;
  if (!arguments.faults.empty()) {
    kestrelline::operator_file::Diagnostics diagnostics(arguments.faults);
    const auto text = kestrelline::operator_file::ReadFileSnapshot(
        arguments.faults, kestrelline::operator_file::kMaxFileBytes, &diagnostics);
    const auto site = text ? kestrelline::standin::ReadSite(*text, &diagnostics) : std::nullopt;
    if (!site) throw Unusable(diagnostics.Lines().front());
    for (const auto& fault : site->faults) spans.push_back(kestrelline::standin::SpanOf(fault));
  }
  std::vector<std::string> drawn;
  for (const auto& chart : results.Charts(spans)) {
    std::string why;
    const auto svg = kestrelline::charts::Svg(chart, &why);
    if (!svg) std::cerr << "kestrelload: " << chart.title << " is not drawn: " << why << '\n';
    drawn.push_back(svg.value_or("<p>" + chart.title + " is not drawn.</p>"));
  }
  WriteFile(arguments.html, results.Html(title, drawn, rules));
}

TraceOutcome InTrace(Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return TraceOutcome::kServed;
    case Outcome::kRefused:
      return TraceOutcome::kRefused;
    case Outcome::kFailed:
      return TraceOutcome::kFailed;
    case Outcome::kGaveUp:
    case Outcome::kUnsent:
      return TraceOutcome::kGaveUp;
  }
  return TraceOutcome::kNone;
}

// One line on a terminal, rewritten; nothing in a pipe.
class Progress {
 public:
  Progress(asio::io_context& io, const Results& results, const Engine& engine)
      : timer_(io), results_(results), engine_(engine), on_(isatty(STDERR_FILENO) != 0) {
    if (on_) Again();
  }
  void Stop() {
    timer_.cancel();
    if (on_) std::fprintf(stderr, "\r\033[K");
  }

 private:
  void Again() {
    timer_.expires_after(std::chrono::milliseconds(500));
    timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (cancelled) return;
      std::fprintf(stderr, "\r\033[K%llu ended, %llu served, %zu open",
                   static_cast<unsigned long long>(results_.total()),
                   static_cast<unsigned long long>(results_.Count(Outcome::kServed)),
                   engine_.open_requests());
      Again();
    });
  }
  asio::steady_timer timer_;
  const Results& results_;
  const Engine& engine_;
  bool on_;
};

// Requests end in another order than they were meant in, and a trace is in the order of these: what has ended
// waits for what has not.
class Recorder {
 public:
  Recorder(const std::string& path, const Plan& plan)
      : path_(path), file_(path, std::ios::binary | std::ios::trunc) {
    if (!file_) throw Unusable(path + ": cannot be written");
    TraceHead head;
    head.classes = ClassNames(plan);
    head.tenants = plan.tenants;
    writer_ = std::make_unique<TraceWriter>(file_, head);
  }
  void Began(const Arrival& arrival) {
    open_.emplace(arrival.at, Entry{{arrival, TraceOutcome::kNone, {}}, false});
  }
  void Ended(const Arrival& arrival, Outcome outcome, const Timing& timing) {
    auto [entry, end] = open_.equal_range(arrival.at);
    while (entry != end && (entry->second.over || !(entry->second.record.arrival == arrival))) ++entry;
    if (entry == end) return;
    entry->second.over = true;
    entry->second.record.outcome = InTrace(outcome);
    entry->second.record.latency = timing.answered - timing.intended;
    while (!open_.empty() && open_.begin()->second.over) {
      writer_->Add(open_.begin()->second.record);
      open_.erase(open_.begin());
    }
  }
  void Close() {
    for (const auto& [at, entry] : open_) writer_->Add(entry.record);
    writer_->Close();
  }

 private:
  struct Entry {
    TraceRecord record;
    bool over = false;
  };
  std::string path_;
  std::ofstream file_;
  std::unique_ptr<TraceWriter> writer_;
  std::multimap<Microseconds, Entry> open_;
};

int Play(const Plan& plan, Engine::Source source, const Arguments& arguments) {
  asio::io_context io(1);
  Results results(ClassNames(plan));
  std::unique_ptr<Recorder> recorder;
  if (!arguments.record.empty()) {
    recorder = std::make_unique<Recorder>(arguments.record, plan);
    source = [&recorder, from = std::move(source)] {
      const auto next = from();
      if (next) recorder->Began(*next);
      return next;
    };
  }
  Engine engine(io, plan, TargetsOf(plan), std::move(source),
                [&](const Arrival& arrival, Outcome outcome, const Timing& timing) {
                  results.Add(arrival.request_class, outcome, timing);
                  if (recorder) recorder->Ended(arrival, outcome, timing);
                });
  std::ofstream events_file;
  std::unique_ptr<EventWriter> events;
  if (!arguments.events.empty()) {
    events_file.open(arguments.events.front(), std::ios::trunc);
    events = std::make_unique<EventWriter>(events_file);
    engine.Watch([&](const Event& event) { events->Add(event); });
  }
  // Ctrl-C ends the arrivals; what is open ends as it would, and the report is of what was.
  asio::signal_set stop(io, SIGINT, SIGTERM);
  stop.async_wait([&](const boost::system::error_code& failed, int) {
    if (!failed) engine.Stop();
  });
  Progress progress(io, results, engine);
  engine.Start([&] { io.stop(); });
  io.run();
  progress.Stop();
  if (recorder) recorder->Close();
  if (events) {
    events->Close();
    events_file.close();
    if (!events_file) throw Unusable(arguments.events.front() + ": cannot be written");
  }
  if (!arguments.json.empty()) WriteFile(arguments.json, results.ToJson().dump() + "\n");
  if (!arguments.html.empty()) WritePage(arguments, "kestrelload " + arguments.plan, results, "");
  std::cout << results.Table();
  if (engine.descriptors_ran_out_at() > 0)
    std::cout << "descriptors ran out at " << engine.descriptors_ran_out_at()
              << " connections; the plan wants " << plan.connections << "\n";
  return results.outrun() || results.Count(Outcome::kUnsent) > 0 ? kOutrun : 0;
}

int Run(const Arguments& arguments) {
  const Plan plan = LoadPlan(arguments);
  Arrivals arrivals(plan.mixture, plan.seed);
  return Play(
      plan, [&] { return arrivals.Next(); }, arguments);
}

int ReplayTrace(const Arguments& arguments) {
  Plan plan = LoadPlan(arguments);
  std::ifstream file(arguments.trace, std::ios::binary);
  if (!file) throw Unusable(arguments.trace + ": cannot be read");
  TraceReader reader(file);
  // The trace numbers classes in its own order: what it names, the plan must know.
  std::string missing;
  const auto classes = IndicesOf(reader.head().classes, plan.classes, &missing);
  if (!classes) throw Unusable(arguments.plan + ": has no class '" + missing + "' of the trace");
  plan.tenants = reader.head().tenants;
  if (!(arguments.speed > 0)) throw Unusable("--speed must be over 0");
  Replay replay;
  replay.speed = arguments.speed;
  replay.from = Microseconds(static_cast<std::int64_t>(arguments.from * 1e6));
  if (arguments.until > 0) replay.until = Microseconds(static_cast<std::int64_t>(arguments.until * 1e6));
  return Play(
      plan,
      [&]() -> std::optional<Arrival> {
        while (auto record = reader.Next()) {
          const auto due = replay.DueAt(record->arrival.at);
          if (!due) continue;
          record->arrival.at = *due;
          record->arrival.request_class = (*classes)[record->arrival.request_class];
          return record->arrival;
        }
        return std::nullopt;
      },
      arguments);
}

constexpr const char* kNotAudited =
    "the four rules were not audited: --events names no files of clients and fleet\n";

Results LoadResults(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Unusable(path + ": cannot be read");
  try {
    return Results::FromJson(nlohmann::json::parse(file));
  } catch (const std::exception& error) {
    throw Unusable(path + ": " + error.what());
  }
}

int Report(const Arguments& arguments) {
  Results all = LoadResults(arguments.files.front());
  for (std::size_t i = 1; i < arguments.files.size(); ++i) all += LoadResults(arguments.files[i]);
  std::string rules;
  bool clean = true;
  nlohmann::json json = all.ToJson();
  if (!arguments.events.empty()) {
    std::vector<std::ifstream> files;
    std::vector<std::unique_ptr<EventReader>> readers;
    std::vector<EventReader*> all_readers;
    files.reserve(arguments.events.size());
    for (const std::string& path : arguments.events) {
      files.emplace_back(path, std::ios::binary);
      if (!files.back()) throw Unusable(path + ": cannot be read");
      readers.push_back(std::make_unique<EventReader>(files.back(), path));
      all_readers.push_back(readers.back().get());
    }
    const auto verdict = Judge(all_readers);
    rules = Shown(verdict);
    clean = verdict.clean();
    json["rules"] = ToJson(verdict);
  }
  if (!arguments.json.empty()) WriteFile(arguments.json, json.dump() + "\n");
  if (!arguments.html.empty()) WritePage(arguments, "kestrelload", all, rules);
  std::cout << all.Table() << '\n' << (rules.empty() ? kNotAudited : rules);
  return clean ? 0 : kBroken;
}

int Show(const Arguments& arguments) {
  std::ifstream file(arguments.trace, std::ios::binary);
  if (!file) throw Unusable(arguments.trace + ": cannot be read");
  TraceReader reader(file);
  constexpr const char* kNames[] = {"-", "served", "refused", "failed", "gave_up"};
  std::printf("at_us,class,tenant,key,bytes,outcome,latency_us\n");
  while (const auto r = reader.Next()) {
    const auto& tenants = reader.head().tenants;
    std::printf("%lld,%s,%s,%u,%u,%s,%lld\n", static_cast<long long>(r->arrival.at.count()),
                reader.head().classes[r->arrival.request_class].c_str(),
                tenants.empty() ? "" : tenants[r->arrival.tenant].c_str(), r->arrival.key, r->arrival.bytes,
                kNames[static_cast<std::size_t>(r->outcome)], static_cast<long long>(r->latency.count()));
  }
  return 0;
}

int Convert(const Arguments& arguments) {
  const std::string& from = arguments.input;
  std::ifstream in(from, std::ios::binary);
  if (!in) throw Unusable(from + ": cannot be read");
  const auto all = arguments.format == "csv" ? FromCsv(in, from) : FromAccessLog(in, from);
  std::ofstream out(arguments.trace, std::ios::binary | std::ios::trunc);
  TraceWriter writer(out, all.head);
  for (const auto& record : all.records) writer.Add(record);
  writer.Close();
  out.close();
  if (!out) throw Unusable(arguments.trace + ": cannot be written");
  std::printf("%zu requests, %zu classes, %zu tenants\n", all.records.size(), all.head.classes.size(),
              all.head.tenants.size());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  CLI::App app{"An open-loop load generator: latencies count from when a request was meant to be sent."};
  app.require_subcommand(1);
  auto* run = app.add_subcommand("run", "Plays a plan");
  run->add_option("PLAN", arguments.plan)->required();
  auto* replay = app.add_subcommand("replay", "Plays a trace");
  replay->add_option("TRACE", arguments.trace)->required();
  replay->add_option("--plan", arguments.plan, "Targets, clients and classes")->required();
  replay->add_option("--speed", arguments.speed, "2: twice as fast");
  replay->add_option("--from", arguments.from, "Seconds of the trace");
  replay->add_option("--until", arguments.until, "Seconds of the trace");
  for (auto* sub : {run, replay}) {
    sub->add_option("--target", arguments.targets, "In place of the plan's: ADDRESS:PORT, ...")
        ->delimiter(',')
        ->envname("KESTRELLOAD_TARGET");
    sub->add_option("--json", arguments.json, "Results for report and compare");
    sub->add_option("--events", arguments.events, "What clients saw, for report --events")->expected(1);
    sub->add_option("--record", arguments.record, "A trace of the run");
  }
  auto* report = app.add_subcommand("report", "Adds up results and shows them");
  report->add_option("FILE", arguments.files)->required();
  for (auto* sub : {run, replay, report})
    sub->add_option("--html", arguments.html, "A page that needs nothing else");
  report->add_option("--faults", arguments.faults, "A site's file, whose faults are marked in the charts");
  report->add_option("--json", arguments.json, "The sum, and the verdict, as JSON");
  report->add_option("--events", arguments.events, "Of clients and fleet: the four rules are judged by them");
  auto* compare = app.add_subcommand("compare", "Ratios of two results");
  compare->add_option("FILE", arguments.files)->required()->expected(2);
  auto* show = app.add_subcommand("show", "A trace as CSV");
  show->add_option("TRACE", arguments.trace)->required();
  auto* convert = app.add_subcommand("convert", "A trace from CSV or an access log");
  convert->add_option("FORMAT", arguments.format)->required()->check(CLI::IsMember({"csv", "access-log"}));
  convert->add_option("FILE", arguments.input)->required();
  convert->add_option("TRACE", arguments.trace)->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    if (run->parsed()) return Run(arguments);
    if (replay->parsed()) return ReplayTrace(arguments);
    if (report->parsed()) return Report(arguments);
    if (show->parsed()) return Show(arguments);
    if (convert->parsed()) return Convert(arguments);
    std::cout << Compare(LoadResults(arguments.files[0]), LoadResults(arguments.files[1]));
    return 0;
  } catch (const BadTrace& error) {
    std::fprintf(stderr, "%s: %s\n", arguments.trace.c_str(), error.what());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  return kBad;
}

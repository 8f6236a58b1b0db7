// SPDX-License-Identifier: Apache-2.0
//
// Experiments on a site in virtual time.
//
//   kestrellab check FILE                               what would be played
//   kestrellab run FILE --folder DIR [--jobs N]         plays it, or what is left of it
//   kestrellab show DIR                                 its tables
//   kestrellab report DIR                               report.html, charts as SVG and PNG
//
// Exit codes: 0; 1 if a file or a folder is refused, or something cannot be written; 2 for wrong arguments;
// 3 if it was stopped before the end; 4 if a run broke a rule.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

#include "charts/gnuplot.h"
#include "lab/analysis.h"
#include "lab/experiment.h"
#include "lab/report.h"
#include "lab/runner.h"
#include "lab/store.h"
#include "operator/read_file.h"

namespace {

using namespace kestrelline;

constexpr int kBad = 1, kStopped = 3, kBroken = 4;

std::atomic<bool> stop = false;
void OnSignal(int) { stop = true; }

struct Arguments {
  std::string file, folder;
  unsigned jobs = std::max(1u, std::thread::hardware_concurrency());
};

void Say(const operator_file::Diagnostics& diagnostics) {
  for (const auto& line : diagnostics.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
}

std::optional<std::string> Whole(const std::string& path) {
  operator_file::Diagnostics diagnostics(path);
  auto text = operator_file::ReadFileSnapshot(path, operator_file::kMaxFileBytes, &diagnostics);
  Say(diagnostics);
  return text;
}

struct Loaded {
  lab::Experiment experiment;
  std::vector<std::string> texts;  // the experiment, its site, its plan
  std::vector<sim::Scenario> scenarios;
};

// `name`: of the experiment, in messages.
std::unique_ptr<Loaded> FromTexts(const std::string& name, std::vector<std::string> texts) {
  operator_file::Diagnostics diagnostics(name);
  auto experiment = lab::ReadExperiment(texts[0], &diagnostics);
  auto loaded = std::make_unique<Loaded>();
  if (experiment && texts.size() == 3) {
    loaded->experiment = std::move(*experiment);
    loaded->scenarios = lab::Scenarios(loaded->experiment, texts[1], texts[2]).All(&diagnostics);
    loaded->texts = std::move(texts);
  }
  Say(diagnostics);
  return diagnostics.ok() ? std::move(loaded) : nullptr;
}

std::unique_ptr<Loaded> FromFile(const std::string& path) {
  const auto text = Whole(path);
  if (!text) return nullptr;
  operator_file::Diagnostics diagnostics(path);
  const auto experiment = lab::ReadExperiment(*text, &diagnostics);
  if (!experiment) return Say(diagnostics), nullptr;
  const auto beside = std::filesystem::path(path).parent_path();
  const auto site = Whole((beside / experiment->site_file).string());
  const auto plan = Whole((beside / experiment->plan_file).string());
  if (!site || !plan) return nullptr;
  return FromTexts(path, {*text, *site, *plan});
}

int Check(const Arguments& arguments) {
  const auto loaded = FromFile(arguments.file);
  if (!loaded) return kBad;
  std::printf("%s: %zu variants, at most %zu runs\n", loaded->experiment.name.c_str(),
              loaded->scenarios.size(), loaded->experiment.MostRunsOf());
  for (const auto& variant : loaded->experiment.Variants())
    std::printf("  %s\n", loaded->experiment.NameOf(variant).c_str());
  return 0;
}

int AnyBroken(const std::vector<lab::Record>& records) {
  return std::any_of(records.begin(), records.end(), [](const auto& r) { return !r.broken.empty(); })
             ? kBroken
             : 0;
}

int Run(const Arguments& arguments) {
  const auto loaded = FromFile(arguments.file);
  if (!loaded) return kBad;
  lab::Store store(arguments.folder, loaded->texts);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGTERM, OnSignal);
  const bool terminal = isatty(STDERR_FILENO);
  const auto variants = loaded->experiment.Variants();
  const bool whole = lab::Play(
      loaded->experiment, loaded->scenarios, &store, arguments.jobs, stop,
      [&](const lab::Progress& progress) {
        if (terminal) std::fprintf(stderr, "\r%zu of %zu ", progress.played, progress.most);
        if (!progress.last->broken.empty())
          std::fprintf(stderr, "%s on day %llu broke a rule: %s\n",
                       loaded->experiment.NameOf(variants[progress.last->variant]).c_str(),
                       static_cast<unsigned long long>(progress.last->day), progress.last->broken.c_str());
      });
  if (terminal) std::fprintf(stderr, "\r");
  store.WriteCsv(loaded->experiment);
  const auto records = store.Records();
  std::printf("%s", lab::Table(loaded->experiment, lab::Analyse(loaded->experiment, records)).c_str());
  if (!whole) std::printf("stopped; the same command goes on\n");
  return !whole ? kStopped : AnyBroken(records);
}

int Report(const Arguments& arguments, bool page) {
  const lab::Store store(arguments.folder);
  const auto texts = store.Texts();
  const auto loaded = texts.size() == 3 ? FromTexts(arguments.folder, texts) : nullptr;
  if (!loaded) return kBad;
  const auto records = store.Records();
  const auto analysis = lab::Analyse(loaded->experiment, records);
  std::printf("%s", lab::Table(loaded->experiment, analysis).c_str());
  if (!page) return AnyBroken(records);
  std::vector<std::pair<std::string, std::string>> drawn;
  bool all = true;
  for (const auto& [name, chart] :
       lab::Charts(loaded->experiment, records, analysis, loaded->scenarios[0].site.faults)) {
    std::string why;
    const auto svg = charts::Draw(chart, arguments.folder, name, &why);
    if (!svg) std::fprintf(stderr, "kestrellab: %s: %s\n", name.c_str(), why.c_str());
    all &= svg.has_value();
    drawn.emplace_back(name, svg.value_or("<p>not drawn</p>"));
  }
  const std::string path = arguments.folder + "/report.html";
  std::ofstream out(path);
  out << lab::Page(loaded->experiment, analysis, texts[0], drawn);
  if (!out.flush()) {
    std::fprintf(stderr, "kestrellab: %s cannot be written\n", path.c_str());
    return kBad;
  }
  std::printf("\n%s\n", path.c_str());
  return all ? AnyBroken(records) : kBad;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Experiments on a site in virtual time"};
  app.require_subcommand(1);
  Arguments arguments;
  CLI::App* check = app.add_subcommand("check", "what would be played");
  CLI::App* run = app.add_subcommand("run", "plays it, or what is left of it");
  CLI::App* show = app.add_subcommand("show", "its tables");
  CLI::App* report = app.add_subcommand("report", "report.html, with charts as SVG and PNG beside it");
  for (CLI::App* sub : {check, run}) sub->add_option("FILE", arguments.file, "the experiment")->required();
  run->add_option("--folder", arguments.folder, "where its results are kept")->required();
  run->add_option("--jobs", arguments.jobs, "runs at once; as many as there are cores without it")
      ->check(CLI::Range(1, 1024));
  for (CLI::App* sub : {show, report})
    sub->add_option("DIR", arguments.folder, "the folder of its results")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    if (check->parsed()) return Check(arguments);
    if (run->parsed()) return Run(arguments);
    return Report(arguments, report->parsed());
  } catch (const std::exception& error) {  // BadStore, or the machine's own
    std::fprintf(stderr, "kestrellab: %s\n", error.what());
    return kBad;
  }
}

// SPDX-License-Identifier: Apache-2.0
//
// Soak runs of the router fleet (src/fleet_soak): real processes on loopback, troubles drawn from a seed.
#include <boost/program_options.hpp>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>

#include "fleet_soak/runner.h"
#include "tools/command_line.h"

namespace {

namespace options = boost::program_options;
namespace fleet_soak = kestrelline::fleet_soak;
using kestrelline::tools::kUsage;

constexpr int kBroken = 1;
constexpr int kMillisecondsPerSecond = 1000;

struct Arguments {
  std::string program;
  std::string keep_logs;
  std::uint64_t seed = 1;
  std::string seeds;
  int seconds = 60;
  fleet_soak::Wanted wanted;
  bool plan_alone = false;
  bool planned_work_alone = false;
};

options::options_description Described(Arguments& arguments) {
  options::options_description described("kestrelsoak --program PATH [OPTION...]");
  const auto size = [&described](const char* name, std::optional<int>& value, const char* what) {
    described.add_options()(name, options::value<int>()->notifier([&value](int given) { value = given; }),
                            what);
  };
  described.add_options()("help,h", "this text")("program", options::value(&arguments.program),
                                                 "kestrelline-fleet")(
      "seed", options::value(&arguments.seed)->default_value(arguments.seed),
      "what the troubles are drawn from")("seeds", options::value(&arguments.seeds),
                                          "FROM-TO: these seeds, one after another")(
      "seconds", options::value(&arguments.seconds)->default_value(arguments.seconds),
      "how long the troubles last")("keep-logs", options::value(&arguments.keep_logs),
                                    "keep settings, data and logs in this directory")(
      "planned-work-alone", options::bool_switch(&arguments.planned_work_alone),
      "no trouble that nobody plans")("plan", options::bool_switch(&arguments.plan_alone),
                                      "print the plan, run nothing");
  size("edges", arguments.wanted.edges, "proxies; without it drawn from the seed, as the next ones");
  size("cores", arguments.wanted.cores, "members of the control plane");
  size("prefill", arguments.wanted.prefill, "backends that read prompts");
  size("decode", arguments.wanted.decode, "backends that generate");
  size("gateways", arguments.wanted.gateways, "control processes without a disk, beside the first proxies");
  size("plain", arguments.wanted.plain, "backends without engines");
  return described;
}

// FROM-TO.
bool ParseRange(const std::string& text, std::uint64_t& from, std::uint64_t& to) {
  const char* const end = text.data() + text.size();
  const auto [dash, error] = std::from_chars(text.data(), end, from);
  if (error != std::errc() || dash == end || *dash != '-') return false;
  const auto [stopped, other_error] = std::from_chars(dash + 1, end, to);
  return other_error == std::errc() && stopped == end && from <= to;
}

// Of one run; it goes away unless it is to be kept.
class Folder {
 public:
  Folder(const std::string& keep, std::uint64_t seed) : kept_(!keep.empty()) {
    if (kept_) {
      path_ = std::filesystem::absolute(keep) / ("seed-" + std::to_string(seed));
      std::filesystem::remove_all(path_);
      std::filesystem::create_directories(path_);
      return;
    }
    std::string name = (std::filesystem::temp_directory_path() / "kestrelsoak-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    if (!kept_) std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string path() const { return path_.string(); }

 private:
  bool kept_;
  std::filesystem::path path_;
};

bool Soak(const Arguments& arguments, std::uint64_t seed) {
  fleet_soak::RunOptions run;
  run.plan = fleet_soak::DrawPlan(seed, arguments.wanted);
  std::cout << fleet_soak::Describe(run.plan) << std::flush;
  if (arguments.plan_alone) return true;
  const Folder folder(arguments.keep_logs, seed);
  run.program = arguments.program;
  run.folder = folder.path();
  const fleet_soak::RunResult result = fleet_soak::RunSoak(run);
  fleet_soak::Print(run, result, std::cout);
  return result.judgement.violations.empty();
}

int SoakAll(Arguments arguments) {
  std::uint64_t from = arguments.seed;
  std::uint64_t to = arguments.seed;
  const bool runs = arguments.plan_alone || !arguments.program.empty();
  if (!runs || (!arguments.seeds.empty() && !ParseRange(arguments.seeds, from, to))) {
    std::cerr << "kestrelsoak --program PATH --seed N, or --seeds FROM-TO\n";
    return kUsage;
  }
  arguments.wanted.length = fleet_soak::Time(arguments.seconds * kMillisecondsPerSecond);
  if (arguments.planned_work_alone) arguments.wanted.planned_work_alone = true;
  bool whole = true;
  for (std::uint64_t seed = from; seed <= to; ++seed) whole = Soak(arguments, seed) && whole;
  return whole ? 0 : kBroken;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  std::signal(SIGPIPE, SIG_IGN);
  Arguments arguments;
  const options::options_description described = Described(arguments);
  if (const auto status = kestrelline::tools::TakeOptions(argument_count, argument_values, described))
    return *status;
  try {
    return SoakAll(arguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kBroken;
  }
}

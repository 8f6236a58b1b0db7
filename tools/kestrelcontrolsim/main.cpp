// SPDX-License-Identifier: Apache-2.0
//
// Plays days of a simulated control plane (src/control_sim): many seeds, one again, cut down to what breaks
// it, or with one safeguard switched off.
#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdint>
#include <iostream>
#include <string>

#include "control_sim/schedule.h"
#include "safeguards/safeguards.h"
#include "tools/command_line.h"

namespace {

namespace options = boost::program_options;
namespace control_sim = kestrelline::control_sim;
using kestrelline::Safeguard;

constexpr int kBroken = 1;
using kestrelline::tools::kUsage;

struct Arguments {
  std::uint64_t first = 1;
  std::uint64_t seeds = 100;
  int members = 3;
  int rounds = 8;
  std::string without;
  bool shrink = false;
  bool trace = false;
};

options::options_description Described(Arguments& arguments) {
  options::options_description described("kestrelcontrolsim [OPTION...]");
  described.add_options()("help,h", "this text")(
      "first", options::value(&arguments.first)->default_value(arguments.first), "the first seed")(
      "seeds", options::value(&arguments.seeds)->default_value(arguments.seeds), "how many seeds")(
      "members", options::value(&arguments.members)->default_value(arguments.members),
      "3, of which one may be lost, or 5, of which two may")(
      "rounds", options::value(&arguments.rounds)->default_value(arguments.rounds), "troubles a day")(
      "without", options::value(&arguments.without), "switch off this safeguard, or 'list' them")(
      "shrink", options::bool_switch(&arguments.shrink), "cut down the first day that breaks a promise")(
      "trace", options::bool_switch(&arguments.trace),
      "show the members' states as that day is played again");
  return described;
}

bool SwitchOff(const std::string& name) {
  const auto& all = kestrelline::kSafeguards;
  const auto found =
      std::find_if(all.begin(), all.end(), [&name](const auto& one) { return one.name == name; });
  if (found == all.end()) return false;
  kestrelline::switched_off = found->safeguard;
  return true;
}

int PlayAll(const Arguments& arguments) {
  std::int64_t longest = 0;
  std::int64_t longest_repair = 0;
  std::int64_t orders = 0;
  for (std::uint64_t seed = arguments.first; seed < arguments.first + arguments.seeds; ++seed) {
    const control_sim::Day day = control_sim::DrawDay(seed, arguments.members, arguments.rounds);
    const control_sim::DayResult result = control_sim::Play(day);
    longest = std::max<std::int64_t>(longest, result.longest_without_leader.count());
    longest_repair = std::max<std::int64_t>(longest_repair, result.longest_repair.count());
    orders += result.orders;
    if (result.broken.empty()) continue;
    const control_sim::Day shown = arguments.shrink ? control_sim::Shrink(day) : day;
    control_sim::Day traced = shown;
    if (arguments.trace) traced.options.trace = &std::cout;
    std::cout << "broken: " << control_sim::Play(traced).broken << "\n"
              << control_sim::Describe(shown) << "\n"
              << seed - arguments.first + 1 << " seeds\n";
    return kBroken;
  }
  std::cout << arguments.seeds << " seeds of " << arguments.members << " members, " << orders
            << " orders: every promise kept; a leader at most " << longest
            << " ms after a trouble, a new machine "
            << "seated within " << longest_repair << " ms\n";
  return 0;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  Arguments arguments;
  const options::options_description described = Described(arguments);
  if (const auto status = kestrelline::tools::TakeOptions(argument_count, argument_values, described))
    return *status;
  if (arguments.without == "list") {
    for (const auto& one : kestrelline::kSafeguards) std::cout << one.name << '\n';
    return 0;
  }
  if (!arguments.without.empty() && !SwitchOff(arguments.without)) {
    std::cerr << "no such safeguard: " << arguments.without << '\n';
    return kUsage;
  }
  return PlayAll(arguments);
}

// SPDX-License-Identifier: Apache-2.0
#include "standin/faults.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>
#include <sstream>

#include "operator/diagnostics.h"
#include "operator/values.h"

namespace kestrelline::standin {

const std::vector<FaultKind>& FaultKinds() {
  using enum Fault::Kind;
  static const std::vector<FaultKind> kinds{
      {kSlow, "slow", Target::kConverters, "how many times slower", 1, 1000},
      {kStall, "stall", Target::kConverters, "", 0, 0},
      {kStallBody, "stall_body", Target::kConverters, "how long an answer pauses, in ms", 1, 60000},
      {kReset, "reset", Target::kConverters, "the share of answers, 0 to 1", 0, 1},
      {kLose, "lose", Target::kConverters, "the share of requests, 0 to 1", 0, 1},
      {kMute, "mute", Target::kConverters, "the share of unsafe requests, 0 to 1", 0, 1},
      {kRefuse, "refuse", Target::kConverters, "", 0, 0},
      {kVanish, "vanish", Target::kConverters, "", 0, 0},
      {kDrain, "drain", Target::kConverters, "", 0, 0},
      {kRestart, "restart", Target::kConverters, "", 0, 0},
      {kReplace, "replace", Target::kConverters, "", 0, 0},
      {kLateList, "late_list", Target::kDiscovery, "", 0, 0},
      {kDown, "discovery_down", Target::kDiscovery, "", 0, 0},
      {kGarble, "garble_list", Target::kDiscovery, "", 0, 0},
      {kPause, "pause", Target::kProxies, "", 0, 0},
      {kKill, "kill", Target::kProxies, "", 0, 0},
      {kRestartProxy, "restart_proxy", Target::kProxies, "", 0, 0},
      {kCut, "cut", Target::kNetwork, "", 0, 0},
      {kNetLoss, "net_loss", Target::kNetwork, "the share of datagrams, 0 to 1", 0, 1},
      {kNetDelay, "net_delay", Target::kNetwork, "in ms", 0, 10000},
      {kNetTwice, "net_twice", Target::kNetwork, "the share of datagrams, 0 to 1", 0, 1},
      {kNetOrder, "net_order", Target::kNetwork, "the share of datagrams, 0 to 1", 0, 1},
      {kNetSlow, "net_slow", Target::kNetwork, "bytes a second", 1, 1e6},
  };
  return kinds;
}

const FaultKind& KindOf(Fault::Kind kind) {
  return *std::find_if(FaultKinds().begin(), FaultKinds().end(),
                       [&](const FaultKind& k) { return k.kind == kind; });
}

const FaultKind* FindKind(std::string_view name) {
  const auto found = std::find_if(FaultKinds().begin(), FaultKinds().end(),
                                  [&](const FaultKind& k) { return k.name == name; });
  return found == FaultKinds().end() ? nullptr : &*found;
}

charts::Span SpanOf(const Fault& fault) {
  const auto seconds = [](Microseconds us) { return static_cast<double>(us.count()) / 1e6; };
  return {seconds(fault.at), seconds(fault.at + fault.lasts),
          std::string(KindOf(fault.kind).name) + (fault.who.empty() ? "" : " " + fault.who)};
}

std::optional<Fault> ParseCommand(std::string_view line, std::string* why) {
  std::istringstream words{std::string(line)};
  std::string name, who, lasts, amount, more;
  words >> name;
  const FaultKind* kind = FindKind(name);
  if (!kind) {
    std::vector<std::string_view> names;
    for (const FaultKind& k : FaultKinds()) names.push_back(k.name);
    *why = "there is no fault '" + name.substr(0, 64) + "'; there are " + operator_file::JoinNames(names);
    return std::nullopt;
  }
  Fault fault;
  fault.kind = kind->kind;
  if (kind->target != Target::kDiscovery && !(words >> fault.who)) {
    *why = name + " needs WHO";
    return std::nullopt;
  }
  if (!(words >> lasts)) {
    *why = name + " needs FOR, such as 5s";
    return std::nullopt;
  }
  const auto duration = operator_file::ParseDuration(lasts, false, why);
  if (!duration) return std::nullopt;
  fault.lasts = std::chrono::duration_cast<Microseconds>(*duration);
  if (!kind->amount.empty()) {
    char* end = nullptr;
    if (words >> amount) fault.amount = std::strtod(amount.c_str(), &end);
    if (!end || *end != '\0' || !(fault.amount >= kind->least && fault.amount <= kind->most)) {
      std::ostringstream text;
      text << name << " needs AMOUNT, " << kind->least << " to " << kind->most << ": " << kind->amount;
      *why = text.str();
      return std::nullopt;
    }
  }
  if (words >> more) {
    *why = "'" + more.substr(0, 64) + "' is too much for " + name;
    return std::nullopt;
  }
  return fault;
}

std::vector<std::pair<int, int>> Links(std::string_view who, const std::vector<Candidate>& candidates) {
  const auto count = static_cast<int>(candidates.size());
  const auto of = [&](int i) -> const Candidate& { return candidates[static_cast<std::size_t>(i)]; };
  const std::size_t split = who.find_first_of(">-");
  const bool named =
      std::any_of(candidates.begin(), candidates.end(), [&](const auto& c) { return c.id == who; });
  const bool zone = who.starts_with("zone:"), all = who == "all";
  std::vector<std::pair<int, int>> links;
  for (int a = 0; a < count; ++a) {
    for (int b = 0; b < count; ++b) {
      if (a == b) continue;
      bool meant = all;
      if (zone) {
        meant = (of(a).zone == who.substr(5)) != (of(b).zone == who.substr(5));
      } else if (named) {
        meant = of(a).id == who || of(b).id == who;
      } else if (split != std::string_view::npos) {
        const auto first = who.substr(0, split), second = who.substr(split + 1);
        meant = (of(a).id == first && of(b).id == second) ||
                (who[split] == '-' && of(a).id == second && of(b).id == first);
      }
      if (meant) links.emplace_back(a, b);
    }
  }
  return links;
}

std::vector<std::string> Victims(const Fault& fault, const std::vector<Candidate>& candidates,
                                 std::uint64_t seed) {
  std::vector<std::string> ids;
  const auto those = [&](auto test) {
    for (const Candidate& c : candidates)
      if (test(c)) ids.push_back(c.id);
    return ids;
  };
  if (fault.who.starts_with("cell:")) {
    const int cell = std::atoi(fault.who.c_str() + 5);
    return those([&](const Candidate& c) { return c.cell == cell; });
  }
  if (fault.who.starts_with("zone:"))
    return those([&](const Candidate& c) { return c.zone == fault.who.substr(5); });
  std::string why;
  const auto share = operator_file::ParsePercentage(fault.who, &why);
  if (!share) return those([&](const Candidate& c) { return c.id == fault.who; });
  those([](const Candidate&) { return true; });
  // A shuffle of our own: the standard one differs between libraries.
  std::mt19937_64 draw(seed ^ (static_cast<std::uint64_t>(fault.at.count()) * 0x9e3779b97f4a7c15ULL) ^
                       static_cast<std::uint64_t>(fault.kind));
  for (std::size_t i = ids.size(); i > 1; --i) std::swap(ids[i - 1], ids[draw() % i]);
  const auto n = static_cast<std::size_t>(std::lround(*share * static_cast<double>(ids.size())));
  ids.resize(std::min(ids.size(), std::max<std::size_t>(1, n)));
  return ids;
}

}  // namespace kestrelline::standin

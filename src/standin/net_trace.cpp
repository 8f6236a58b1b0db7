// SPDX-License-Identifier: Apache-2.0
#include "standin/net_trace.h"

#include <cstdio>
#include <fstream>
#include <istream>
#include <ostream>
#include <sstream>
#include <utility>

namespace kestrelline::standin {
namespace {

using Microseconds = NetFaults::Microseconds;

constexpr const char* kHead = "kestrelnet 1";
constexpr int kMostPlaces = 100000;
constexpr std::size_t kMostCopies = 8;
constexpr std::int64_t kLatest = 3600000000;  // an hour

}  // namespace

void WriteTrace(NetFaults* faults, std::ostream& out) {
  out << kHead << '\n';
  faults->Record([&out](Microseconds now, NetFaults::Pair pair, const NetFaults::Verdict& verdict) {
    out << now.count() << ' ' << pair.first << '>' << pair.second << ' ' << verdict.number;
    for (const Microseconds late : verdict.copies) out << ' ' << late.count();
    out << (verdict.copies.empty() ? " -\n" : "\n");
  });
}

bool ReadTrace(std::istream& in, NetFaults* faults, std::string* why) {
  std::size_t number = 1;
  const auto refuse = [&](const std::string& what) {
    *why = std::to_string(number) + ": " + what;
    return false;
  };
  std::string line;
  if (!std::getline(in, line) || line != kHead) return refuse(std::string("not '") + kHead + "'");
  std::map<NetFaults::Pair, std::vector<NetFaults::Verdict>> all;
  while (std::getline(in, line)) {
    if (++number > kMostTraced) return refuse("more than 20 million datagrams");
    std::istringstream words(line);
    std::int64_t at = 0;
    NetFaults::Pair pair{-1, -1};
    NetFaults::Verdict verdict;
    char between = 0;
    std::string copy;
    if (!(words >> at >> pair.first >> between >> pair.second >> verdict.number) || between != '>')
      return refuse("not 'MICROSECOND FROM>TO NUMBER LATE ...'");
    if (pair.first < 0 || pair.second < 0 || pair.first > kMostPlaces || pair.second > kMostPlaces)
      return refuse("a place is not 0 to 100000");
    bool dropped = false;
    while (words >> copy) {
      if (dropped || verdict.copies.size() == kMostCopies) return refuse("too many copies");
      dropped = copy == "-" && verdict.copies.empty();
      if (dropped) continue;
      std::istringstream digits(copy);
      std::int64_t late = -1;
      if (!(digits >> late) || !digits.eof() || late < 0 || late > kLatest)
        return refuse("a copy is not 0 to 3600000000 microseconds late");
      verdict.copies.emplace_back(late);
    }
    if (!dropped && verdict.copies.empty()) return refuse("neither copies nor '-'");
    auto& verdicts = all[pair];
    if (verdict.number != verdicts.size())
      return refuse("of this pair number " + std::to_string(verdicts.size()) + " is the next one");
    verdicts.push_back(std::move(verdict));
  }
  for (auto& [pair, verdicts] : all) faults->Replay(pair, std::move(verdicts));
  return true;
}

bool LoadTrace(const std::string& path, NetFaults* faults) {
  std::ifstream in(path);
  std::string why = "0: cannot be read";
  if (in && ReadTrace(in, faults, &why)) return true;
  std::fprintf(stderr, "%s:%s\n", path.c_str(), why.c_str());
  return false;
}

}  // namespace kestrelline::standin

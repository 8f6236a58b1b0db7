// SPDX-License-Identifier: Apache-2.0
#include "app/replica_command.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "app/door_call.h"

namespace kestrelline::app {
namespace {

using nlohmann::json;

constexpr int kDiffer = 4, kNotNow = 5;

void Show(const json& report, std::ostream& out) {
  out << report.at("name").get<std::string>() << ": " << (report.at("current") ? "current" : "catches up")
      << ", " << report.at("entries") << " entries\n";
  for (const json& o : report.at("origins"))
    out << "  by " << (o.at("owner") == "" ? "one that is gone" : o.at("owner").get<std::string>()) << " ("
        << o.at("origin").get<std::string>() << "): " << o.at("entries") << " entries, known up to number "
        << o.at("upto") << '\n';
  for (const json& p : report.at("peers"))
    out << "  " << p.at("name").get<std::string>() << ": "
        << (!p.at("present").get<bool>()  ? "is away"
            : p.at("current").get<bool>() ? "current"
                                          : "catches up")
        << ", lacked " << p.at("behind") << " entries of this one when it last said\n";
}

// The same at any two that look within seconds of each other, where copies agree.
std::string Digest(const json& report) {
  std::map<std::string, std::string> digests;
  for (const json& o : report.at("origins"))
    if (o.at("digest") != "0000000000000000")
      digests[o.at("origin")] = o.at("as_of_ms").dump() + "/" + o.at("digest").get<std::string>();
  std::string all;
  for (const auto& [origin, digest] : digests) all += origin + " " + digest + "\n";
  return all;
}

int Diff(const json& a, const json& b, std::ostream& out) {
  std::map<std::string, std::pair<const json*, const json*>> origins;
  for (const json& o : a.at("origins")) origins[o.at("origin")].first = &o;
  for (const json& o : b.at("origins")) origins[o.at("origin")].second = &o;
  const std::string one = a.at("name"), other = b.at("name");
  int code = 0;
  for (const auto& [origin, sides] : origins) {
    const auto& [x, y] = sides;
    if (!x || !y) {
      const json& has = x ? *x : *y;
      if (has.at("entries") == 0) continue;
      out << origin << ": " << has.at("entries") << " entries at " << (x ? one : other) << " alone\n";
      code = kDiffer;
    } else if (x->at("as_of_ms") != y->at("as_of_ms")) {
      if (code == 0) code = kNotNow;
      out << origin << ": a moment's limit lies between the two looks: again\n";
    } else if (x->at("digest") != y->at("digest")) {
      out << origin << ": differs; known up to number " << x->at("upto") << " at " << one << ", "
          << y->at("upto") << " at " << other << '\n';
      code = kDiffer;
    }
  }
  if (code == 0) out << one << " and " << other << " agree\n";
  return code;
}

}  // namespace

int ShowReplica(const Command& command, std::ostream& out, std::ostream& err) {
  int code = 0;
  const auto report = AskForReport(command.door, "replica", err, &code);
  if (!report) return code;
  try {
    if (command.json) {
      out << report->dump() << '\n';
    } else if (command.replica == "digest") {
      out << Digest(*report);
    } else if (command.replica == "diff") {
      const auto other = AskForReport(command.other_door, "replica", err, &code);
      return other ? Diff(*report, *other, out) : code;
    } else {
      Show(*report, out);
    }
  } catch (const json::exception&) {
    err << command.door << ": what answers there is no door of a proxy\n";
    return kNobodyAnswers;
  }
  return 0;
}

}  // namespace kestrelline::app

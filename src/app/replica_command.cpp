// SPDX-License-Identifier: Apache-2.0
#include "app/replica_command.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "app/management_client.h"

namespace kestrelline::app {
namespace {

using nlohmann::json;

constexpr int kReplicasDiffer = 4, kNotComparable = 5;  // exit codes of `diff`

void Show(const json& report, std::ostream& out) {
  out << report.at("name").get<std::string>() << ": " << (report.at("current") ? "current" : "catches up")
      << ", " << report.at("entries") << " entries\n";
  for (const json& origin : report.at("origins"))
    out << "  by "
        << (origin.at("owner") == "" ? "a proxy that has left" : origin.at("owner").get<std::string>())
        << " (" << origin.at("origin").get<std::string>() << "): " << origin.at("entries")
        << " entries, known up to number " << origin.at("upto") << '\n';
  for (const json& peer : report.at("peers"))
    out << "  " << peer.at("name").get<std::string>() << ": "
        << (!peer.at("present").get<bool>()  ? "is away"
            : peer.at("current").get<bool>() ? "current"
                                             : "catches up")
        << ", was missing " << peer.at("behind") << " entries of this proxy at its last report\n";
}

// One line per origin that has entries. Two proxies queried within seconds of each other print the same if
// their replicas agree.
std::string Digest(const json& report) {
  std::map<std::string, std::string> digests;
  for (const json& origin : report.at("origins"))
    if (origin.at("digest") != "0000000000000000")
      digests[origin.at("origin")] =
          origin.at("as_of_ms").dump() + "/" + origin.at("digest").get<std::string>();
  std::string text;
  for (const auto& [origin, digest] : digests) text += origin + " " + digest + "\n";
  return text;
}

int Diff(const json& first, const json& second, std::ostream& out) {
  std::map<std::string, std::pair<const json*, const json*>> origins;
  for (const json& origin : first.at("origins")) origins[origin.at("origin")].first = &origin;
  for (const json& origin : second.at("origins")) origins[origin.at("origin")].second = &origin;
  const std::string first_name = first.at("name"), second_name = second.at("name");
  int exit_code = 0;
  for (const auto& [origin, sides] : origins) {
    const auto& [left, right] = sides;
    if (!left || !right) {
      const json& present = left ? *left : *right;
      if (present.at("entries") == 0) continue;
      out << origin << ": " << present.at("entries") << " entries at " << (left ? first_name : second_name)
          << " only\n";
      exit_code = kReplicasDiffer;
    } else if (left->at("as_of_ms") != right->at("as_of_ms")) {
      if (exit_code == 0) exit_code = kNotComparable;
      out << origin << ": the two reports are of different times; run the command again\n";
    } else if (left->at("digest") != right->at("digest")) {
      out << origin << ": differs; known up to number " << left->at("upto") << " at " << first_name << ", "
          << right->at("upto") << " at " << second_name << '\n';
      exit_code = kReplicasDiffer;
    }
  }
  if (exit_code == 0) out << first_name << " and " << second_name << " agree\n";
  return exit_code;
}

}  // namespace

int ShowReplica(const Command& command, std::ostream& out, std::ostream& err) {
  int exit_code = 0;
  const auto report = FetchReport(command.address, "replica", err, &exit_code);
  if (!report) return exit_code;
  try {
    if (command.json) {
      out << report->dump() << '\n';
    } else if (command.replica == "digest") {
      out << Digest(*report);
    } else if (command.replica == "diff") {
      const auto other = FetchReport(command.other_address, "replica", err, &exit_code);
      return other ? Diff(*report, *other, out) : exit_code;
    } else {
      Show(*report, out);
    }
  } catch (const json::exception&) {
    err << command.address << ": not the management address of a proxy\n";
    return kUnreachable;
  }
  return 0;
}

}  // namespace kestrelline::app

// SPDX-License-Identifier: Apache-2.0
#include "app/peers_command.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "app/management_client.h"

namespace kestrelline::app {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kWatchInterval{500};  // of --watch

void Print(const json& view, std::ostream& out) {
  std::vector<std::array<std::string, 6>> rows{{"name", "state", "address", "zone", "incarnation", "boot"}};
  for (const json& member : view.at("members"))
    rows.push_back({member.at("name"), member.at("state"), member.at("address"), member.at("zone"),
                    std::to_string(member.at("incarnation").get<std::uint64_t>()), member.at("boot")});
  std::array<std::size_t, 6> widths{};
  for (const auto& row : rows)
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  out << view.at("name").get<std::string>() << ": " << view.at("reading").get<std::string>() << ", view "
      << view.at("view").get<std::string>()
      << (view.at("settled").get<bool>() ? ", settled" : ", not settled")
      << (view.at("displaced").get<bool>() ? ", its name is held by another process" : "") << '\n';
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i)
      out << std::left << std::setw(static_cast<int>(widths[i])) << row[i] << "  ";
    out << row.back() << '\n';
  }
  out.flush();
}

}  // namespace

int ShowPeers(const Command& command, std::ostream& out, std::ostream& err) {
  json last;
  for (;;) {
    int exit_code = 0;
    const auto view = FetchReport(command.address, "peers", err, &exit_code);
    if (!view) return exit_code;
    try {
      if (command.json) {
        if (view->at("members").is_array()) out << view->dump() << '\n';
        return 0;
      }
      if (*view != last) Print(*view, out);
    } catch (const json::exception&) {
      err << command.address << ": not the management address of a proxy\n";
      return kUnreachable;
    }
    if (!command.watch) return 0;
    last = *view;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace kestrelline::app

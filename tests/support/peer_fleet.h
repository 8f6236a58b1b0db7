// SPDX-License-Identifier: Apache-2.0
//
// Several processes of the program that know each other through a network with faults, and their views as
// `kestrelline peers` would show them.
#ifndef KESTRELLINE_TESTS_SUPPORT_PEER_FLEET_H_
#define KESTRELLINE_TESTS_SUPPORT_PEER_FLEET_H_

#include <signal.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "support/management_client.h"
#include "support/running_fleet.h"
#include "support/temporary.h"

namespace kestrelline::testing {

using Group = std::set<int>;

class PeerFleet {
 public:
  explicit PeerFleet(int proxies, std::vector<std::string> zones = {"a", "b"},
                     std::optional<std::string> replica = std::nullopt, int converters = 2,
                     std::optional<std::string> concert = std::nullopt, std::string partition = "")
      : fleet_(Site(proxies, std::move(zones), std::move(replica), converters, std::move(concert),
                    std::move(partition)),
               PROXY_PATH, folder_ / ""),
        proxies_(proxies) {}

  RunningFleet& fleet() { return fleet_; }
  const TemporaryFolder& folder() const { return folder_; }
  int proxies() const { return proxies_; }
  Group All() const {
    Group all;
    for (int i = 0; i < proxies_; ++i) all.insert(i);
    return all;
  }
  Group AllBut(const Group& without) const {
    Group all = All();
    for (const int i : without) all.erase(i);
    return all;
  }
  void Apply(const std::string& command) { fleet_.Apply(command); }
  void MendAll() {
    fleet_.Ask([](standin::Fleet& f) { return f.network().faults().MendAll(), true; });
  }
  Tcp::endpoint Door(int i) {
    return RunningFleet::EndpointOf(
        fleet_.Ask([i](standin::Fleet& f) { return f.door_address(static_cast<std::size_t>(i)); }));
  }
  pid_t Pid(int i) {
    return fleet_.Ask([i](standin::Fleet& f) { return f.process(static_cast<std::size_t>(i)).pid(); });
  }
  // What a proxy says; an empty object if it says nothing.
  nlohmann::json View(int i) { return ViewAt(Door(i)); }
  nlohmann::json Replica(int i) { return ViewAt(Door(i), "replica\n"); }
  static nlohmann::json ViewAt(const Tcp::endpoint& door, const std::string& call = "peers\n") {
    const std::string said = Call(door, call);
    return said.starts_with("ACK ") ? nlohmann::json::parse(said.substr(4)) : nlohmann::json::object();
  }
  static std::set<std::string> Present(const nlohmann::json& view) {
    std::set<std::string> present;
    for (const auto& m : view.value("members", nlohmann::json::array()))
      if (m["state"] != "faulty" && m["state"] != "left") present.insert(m["name"].get<std::string>());
    return present;
  }
  static std::string StateOf(const nlohmann::json& view, const std::string& name) {
    for (const auto& m : view.value("members", nlohmann::json::array()))
      if (m["name"] == name) return m["state"];
    return "";
  }
  double Figure(int i, const std::string& name) { return FetchMetrics(Door(i))["proxy_peers" + name]; }
  double Events(int i, const std::string& kind) { return Figure(i, "_events{kind=\"" + kind + "\"}"); }
  double EventsOfAll(const std::string& kind) {
    double all = 0;
    for (int i = 0; i < proxies_; ++i) all += Events(i, kind);
    return all;
  }

  // Each of a group shows just its group, the same view, and is settled.
  bool Agree(const std::vector<Group>& groups) {
    for (const Group& group : groups) {
      std::set<std::string> names, views;
      for (const int i : group) names.insert("n" + std::to_string(i));
      for (const int i : group) {
        const auto view = View(i);
        if (!view.value("settled", false) || Present(view) != names) return false;
        views.insert(view["view"].get<std::string>());
      }
      if (views.size() > 1) return false;
    }
    return true;
  }
  // Of what they share, each of a group holds the same.
  bool EqualCopies(const Group& group) {
    std::set<std::string> seen;
    for (const int i : group) {
      std::string all;
      for (const auto& o : Replica(i).value("origins", nlohmann::json::array()))
        if (o["entries"] != 0)
          all += o["origin"].get<std::string>() + o["as_of_ms"].dump() + o["digest"].dump();
      seen.insert(all);
    }
    return seen.size() == 1;
  }
  ::testing::AssertionResult Await(const std::function<bool()>& test) {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (!test()) {
      if (std::chrono::steady_clock::now() > until) return ::testing::AssertionFailure() << Told();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));  // between looks; nothing hangs on it
    }
    return ::testing::AssertionSuccess();
  }
  ::testing::AssertionResult AwaitAgreement(const std::vector<Group>& groups) {
    return Await([&] { return Agree(groups); });
  }
  // Until each of a group has sent so many datagrams more: that much of the protocol has gone on.
  ::testing::AssertionResult AwaitDatagrams(const Group& group, double more) {
    std::map<int, double> sent;
    for (const int i : group) sent[i] = Figure(i, "_datagrams{way=\"out\"}");
    return Await([&] {
      return std::all_of(group.begin(), group.end(),
                         [&](int i) { return Figure(i, "_datagrams{way=\"out\"}") >= sent[i] + more; });
    });
  }

  // What all of them logged and know, for whoever looks into a failure.
  std::string Told() {
    std::ostringstream all;
    for (int i = 0; i < proxies_; ++i) {
      all << View(i).dump() << '\n';
      std::ifstream log(folder_ / ("n" + std::to_string(i) + ".log"));
      all << log.rdbuf() << '\n';
    }
    return all.str();
  }

 private:
  static standin::SiteSpec Site(int proxies, std::vector<std::string> zones,
                                std::optional<std::string> replica, int converters,
                                std::optional<std::string> concert, std::string partition) {
    auto site = SmallSite(converters);
    site.replica = std::move(replica);
    site.concert = std::move(concert);
    site.partition = std::move(partition);
    site.proxies = proxies;
    site.zones = std::move(zones);
    site.peers = true;
    return site;
  }

  TemporaryFolder folder_;
  RunningFleet fleet_;
  int proxies_;
};

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_PEER_FLEET_H_

// SPDX-License-Identifier: Apache-2.0
//
// Case 5: a proxy's place is cut off from the core. Meanwhile the core's machines are replaced, one after the
// other. After the cut the proxy goes on with the configuration that it had.
#include "../stand-ins-2/stand_ins.h"

namespace {

using namespace stand_ins;

constexpr int kMembers = 3;
constexpr int kLinkPort = 7820;     // of the proxy whose path to the core can be cut
constexpr double kNewMachine = 1;   // after the old one has gone
constexpr double kCatchUp = 4;      // catch_up_s
constexpr double kContact = 3;      // contact_ms
constexpr double kConfigApply = 2;  // config_apply_ms
constexpr int kAsked = 30;

std::string ConfigurationOf(int version, const std::string& service) {
  return Configuration(version, {Route("r-stamp", "/stamp/", service)}, {"alpha", "beta"});
}

int Play(const std::string& program, const std::string& record_file) {
  const bool trouble = Troubled();
  Place place(record_file);
  Platform platform;
  const std::string cloud = place.Ip(61);
  if (!platform.Listen(cloud)) Leave(kCannotRun, "no address for the platform");
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<Instance> list;
  for (int i = 0; i < 4; ++i) {
    const Instance instance{
        "i-" + std::to_string(i), i < 2 ? "alpha" : "beta", place.Ip(41 + i), "hall-nord", false, ""};
    list.push_back(instance);
    backends.push_back(std::make_unique<Backend>(instance));
    if (!backends.back()->Listen()) Leave(kCannotRun, "no address for a backend");
  }
  platform.Set(list);

  std::vector<std::string> seeds;
  for (int i = 0; i < kMembers; ++i) seeds.push_back(place.Ip(11 + i));
  std::vector<NodePtr> members, edges;
  std::vector<std::unique_ptr<Link>> links;
  const auto add = [&](std::vector<NodePtr>& nodes, const std::string& name, const std::string& command,
                       int number, const std::string& zone, bool disk) {
    auto node = std::make_unique<Node>();
    node->name = name;
    node->command = command;
    node->ip = place.Ip(number);
    node->zone = zone;
    node->disk = disk;
    node->folder = place.folder();
    node->seeds = seeds;
    node->cloud = cloud;
    nodes.push_back(std::move(node));
  };
  for (int i = 0; i < 2 * kMembers; ++i) {
    add(members, "core-" + std::to_string(i), "core", 11 + i, i % 2 ? "hall-centre" : "hall-nord", true);
    links.push_back(std::make_unique<Link>());
    if (!links.back()->Listen(place.Ip(11 + i), kLinkPort, place.Ip(11 + i), kMeshPort)) {
      Leave(kCannotRun, "no address for a link");
    }
  }
  add(edges, "edge-near", "edge", 21, "hall-nord", false);
  add(edges, "edge-far", "edge", 22, "hall-sud", false);
  Node& near = *edges[0];
  Node& far = *edges[1];
  far.first_port = kLinkPort;  // it meets the core's machines at the links
  for (int i = 0; i < kMembers; ++i) members[static_cast<std::size_t>(i)]->Start(program);
  for (const NodePtr& edge : edges) edge->Start(program);

  if (Put(seeds, ConfigurationOf(3, "alpha"), 3, 0, 15) < 0)
    Leave(kCannotRun, "the first configuration was not taken");
  if (!Await(15, [&] { return Ready(near) && Ready(far); }))
    Leave(kCannotRun, "the proxies did not become ready");
  for (const NodePtr& edge : edges) {
    const Message answer = Request(*edge, "/stamp/x", edge->name + "-first", 2);
    record.Line("first request at %s: %d, run by %s", edge->name.c_str(), answer.Status(),
                answer.body.c_str());
    if (answer.body != "alpha") Leave(kCannotRun, "a proxy does not serve");
  }

  const auto set_cut = [&](bool cut) {
    for (const auto& link : links) link->Cut(cut && trouble);
    record.Line("edge-far %s", !trouble ? "is never cut off"
                               : cut    ? "is cut off from the core"
                                        : "reaches the core again");
  };
  set_cut(true);
  const double cut_at = Now();
  for (int i = 0; i < kMembers; ++i) {
    Node& old_machine = *members[static_cast<std::size_t>(i)];
    Node& new_machine = *members[static_cast<std::size_t>(i + kMembers)];
    Node& witness = *members[static_cast<std::size_t>(i + kMembers - 1)];  // a machine that stays for now
    old_machine.process.End();
    record.Line("%s is gone for good", old_machine.name.c_str());
    Sleep(kNewMachine);
    *std::find(seeds.begin(), seeds.end(), old_machine.ip) = new_machine.ip;
    new_machine.seeds = seeds;
    new_machine.bootstrap = false;
    new_machine.Start(program);
    const bool replaced = Await(10, [&] {
      const std::string known = MembersAt(witness.ip);
      return known.find("\"" + new_machine.ip + "\"") != std::string::npos &&
             known.find("\"" + old_machine.ip + "\"") == std::string::npos;
    });
    record.Line("members: %s", MembersAt(witness.ip).c_str());
    if (!replaced) Leave(kCannotRun, "a machine of the core was not replaced");
    Sleep(kCatchUp);
  }
  for (const NodePtr& edge : edges) {
    edge->seeds = seeds;
    edge->bootstrap = false;
    edge->WriteSettings();
    edge->process.Signal(SIGHUP);
    record.Line("%s: its settings name the new seeds, SIGHUP", edge->name.c_str());
  }
  set_cut(false);
  record.Line("the cut lasted %.1f s", Now() - cut_at);
  int before = 0;
  for (int i = kMembers; i < 2 * kMembers; ++i) before += links[static_cast<std::size_t>(i)]->connections();
  Sleep(2 * kContact);
  for (int i = kMembers; i < 2 * kMembers; ++i) {
    const int fd = Connect(place.Ip(11 + i), kLinkPort, 0.5);
    record.Line("the path of edge-far to %s: %s", members[static_cast<std::size_t>(i)]->name.c_str(),
                fd < 0 ? "closed" : "open");
    if (fd < 0) Leave(kCannotRun, "the path is not open again");
    close(fd);
  }
  Sleep(0.2);
  int after = -kMembers;
  for (int i = kMembers; i < 2 * kMembers; ++i) after += links[static_cast<std::size_t>(i)]->connections();
  record.Line("connections of edge-far to the machines in service: %d before the cut was over, %d since",
              before, after - before);

  const double acknowledged = Put(seeds, ConfigurationOf(5, "beta"), 5, 3, 10);
  if (acknowledged < 0) Leave(kCannotRun, "the second configuration was not taken");
  Sleep(kConfigApply + 0.1);
  int old_service[2] = {};
  int served[2] = {};
  for (int i = 0; i < kAsked; ++i) {
    for (std::size_t e = 0; e < edges.size(); ++e) {
      const double sent = Now();
      const std::string id = edges[e]->name + "-" + std::to_string(i);
      const Message answer = Request(*edges[e], "/stamp/x", id, 2);
      record.Line("request %s, sent %.1f s after the acknowledgement: %d, run by %s", id.c_str(),
                  sent - acknowledged, answer.Status(), answer.body.c_str());
      served[e] += answer.Status() == 200;
      old_service[e] += answer.Status() == 200 && answer.body == "alpha";
    }
    Sleep(0.3);
  }
  bool running = true;
  for (const NodePtr& edge : edges) running = edge->process.Running() && running;
  for (auto* nodes : {&members, &edges}) {
    for (const NodePtr& node : *nodes) node->process.End();
  }
  const auto figures = [&](std::size_t e) {
    return edges[e]->name + ": " + std::to_string(old_service[e]) + " of " + std::to_string(served[e]) +
           " run by the old service";
  };
  const std::string text =
      "later than config_apply_ms after the acknowledgement: " + figures(0) + "; " + figures(1);
  if (!running || served[0] == 0) Leave(kCannotRun, text);
  Leave(old_service[0] + old_service[1] > 0 ? kBroken : kHeld, text);
}

}  // namespace

int main(int count, char** values) {
  if (count != 3) return kCannotRun;
  return Play(values[1], values[2]);
}

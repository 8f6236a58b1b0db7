// SPDX-License-Identifier: Apache-2.0
//
// The processes of a fleet under failures: leaders killed, disks lost, all processes killed at once, proxies
// stopped.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "router_fleet/fleet_fixture.h"

namespace kestrelline::router_fleet {
namespace {

TEST(FleetProcesses, AConfigurationIsAcceptedAtAnyMemberAndReadBackUnchanged) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  EXPECT_EQ(fleet.GetConfiguration(), fleet.Configuration(1));
  int redirected = 0;
  for (int i = 0; i < 3; ++i) redirected += fleet.PutAt(i, fleet.Configuration(1), 0).status == 307;
  EXPECT_EQ(redirected, 2);
  EXPECT_EQ(fleet.Put(fleet.Configuration(1), 0), 200);  // the same change again
  EXPECT_EQ(fleet.Put(fleet.Configuration(1, 77), 0), 412);
  EXPECT_EQ(fleet.Put(fleet.Configuration(1, 77), 1), 400);  // its version is not above the current one
  EXPECT_EQ(fleet.Put("{\"version\":2", 1), 400);
  EXPECT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  EXPECT_EQ(fleet.Put(fleet.Configuration(1), 0), 200);  // committed before, so never rejected
  EXPECT_EQ(fleet.GetConfiguration(), fleet.Configuration(2));
}

TEST(FleetProcesses, AKilledLeaderIsReplacedAndNothingAcknowledgedIsLost) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  ASSERT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  const int leader = fleet.Leader();
  ASSERT_GE(leader, 0);
  fleet.core(leader).End(SIGKILL);
  ASSERT_TRUE(Eventually([&] { return fleet.Leader() >= 0; }));
  EXPECT_EQ(fleet.GetConfiguration(), fleet.Configuration(2));
  EXPECT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  EXPECT_EQ(fleet.Put(fleet.Configuration(3), 2), 200);
  EXPECT_EQ(fleet.Send(0, "/app/x", "r1").status, 200);
  fleet.StartCore(leader);
  EXPECT_TRUE(Eventually([&] {
    return Ask(fleet.CoreIp(leader), Fleet::kControl,
               "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .Has("\"version\":3");
  }));
}

TEST(FleetProcesses, AnAcknowledgedChangeSurvivesALostDiskAndAFullRestart) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  ASSERT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  const int leader = fleet.Leader();
  for (int i = 0; i < 3; ++i) fleet.core(i).End(SIGKILL);
  fleet.LoseDisk(leader);
  for (int i = 0; i < 3; ++i) fleet.StartCore(i);
  EXPECT_EQ(fleet.GetConfiguration(), fleet.Configuration(2));
  EXPECT_EQ(fleet.Put(fleet.Configuration(3), 2), 200);
}

TEST(FleetProcesses, ARestartedProxyIsReadyOnlyWithTheNewestConfiguration) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  fleet.edge(1).End(SIGKILL);
  for (int i = 0; i < 3; ++i) fleet.core(i).End(SIGKILL);
  fleet.StartEdge(1);
  ASSERT_TRUE(Eventually([&] { return fleet.Send(1, "/app/x", "r1").status == 503; }));
  EXPECT_FALSE(fleet.Ready(1));
  for (int i = 0; i < 3; ++i) fleet.StartCore(i);
  EXPECT_TRUE(Eventually([&] { return fleet.Ready(1); }));
  EXPECT_EQ(fleet.Send(1, "/app/x", "r2").status, 200);
}

TEST(FleetProcesses, ProxiesContinueToServeWithoutTheControlPlane) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  for (int i = 0; i < 3; ++i) fleet.core(i).End(SIGKILL);
  EXPECT_EQ(fleet.Send(0, "/app/x", "r1").status, 200);
  EXPECT_TRUE(fleet.Ready(0));
  // The proxies read the platform's instance list themselves.
  const int calls = fleet.platform().calls();
  EXPECT_TRUE(Eventually([&] { return fleet.platform().calls() > calls; }));
}

TEST(FleetProcesses, ADrainingBackendGetsNoNewRequests) {
  Fleet fleet(Fleet::Plain(2));
  ASSERT_TRUE(fleet.Begin());
  fleet.SetDraining("a0");
  int request = 0;
  ASSERT_TRUE(Eventually([&] {
    const std::size_t before = fleet.backend("a0").arrivals().size();
    for (int i = 0; i < 8; ++i) {
      ++request;
      fleet.Send(request % 2, "/app/x", "r" + std::to_string(request));
    }
    return fleet.backend("a0").arrivals().size() == before;
  }));
}

TEST(FleetProcesses, AStoppedProxyFinishesTheRequestsThatItHasRead) {
  Fleet::Options options = Fleet::Split(1, 1);
  options.events = 200;
  options.between = milliseconds(5);
  Fleet fleet(options);
  ASSERT_TRUE(fleet.Begin());
  Answer answer;
  std::thread client([&] { answer = fleet.Generate(0, "r1"); });
  ASSERT_TRUE(Eventually([&] { return fleet.Runs("r1") == 1; }));
  fleet.edge(0).Signal(SIGTERM);
  EXPECT_TRUE(Eventually([&] { return !fleet.Ready(0); }));
  EXPECT_EQ(fleet.Send(0, "/app/x", "r2").status, 200);  // requests that still arrive are served
  client.join();
  EXPECT_TRUE(answer.ended_well);
  EXPECT_TRUE(Eventually([&] { return fleet.edge(0).Ended(); }));
}

TEST(FleetProcesses, ProxiesWithoutASubscriptionSlotAtAMemberAreServedByOtherProxies) {
  Fleet::Options options;
  options.edges = 7;
  options.max_subscribers = 1;
  Fleet fleet(options);
  ASSERT_TRUE(fleet.Begin());
  EXPECT_EQ(fleet.Put(fleet.Configuration(2, 2000), 1), 200);
  const auto in_force = [&] {
    const std::string log = fleet.Log();
    std::size_t count = 0;
    for (std::size_t at = 0; (at = log.find("configuration version=2 routes", at)) != std::string::npos; ++at)
      ++count;
    return count;
  };
  EXPECT_TRUE(Eventually([&] { return in_force() == 7; }));
  // All of them are counted, including those that subscribe through other proxies.
  EXPECT_TRUE(Eventually([&] {
    return Ask(fleet.CoreIp(0), Fleet::kControl,
               "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .Has("\"proxies\":7");
  }));
  // The relaying proxies fail; the others find another source.
  fleet.edge(0).End(SIGKILL);
  fleet.edge(1).End(SIGKILL);
  fleet.edge(2).End(SIGKILL);
  EXPECT_EQ(fleet.Put(fleet.Configuration(3), 2), 200);
  for (int i = 3; i < 7; ++i) {
    EXPECT_TRUE(Eventually([&] {
      const std::string log = fleet.Log();
      return log.find("edge" + std::to_string(i) + " configuration version=3") != std::string::npos;
    }));
  }
}

// The output of a command of the program, and its exit status.
struct CommandResult {
  std::string text;
  int status = -1;
};
CommandResult RunCommand(const std::string& arguments) {
  CommandResult result;
  FILE* pipe = popen((std::string(FLEET_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  std::array<char, 512> piece{};
  while (std::fgets(piece.data(), piece.size(), pipe) != nullptr) result.text += piece.data();
  const int status = pclose(pipe);
  result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

TEST(FleetProcesses, CommandsWorkAtAnyMember) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  ASSERT_EQ(fleet.Put(fleet.Configuration(4), 1), 200);
  const auto at = [&](int core) { return " " + fleet.CoreIp(core) + ":" + std::to_string(Fleet::kControl); };
  ASSERT_TRUE(Eventually([&] { return RunCommand("leader" + at(0)).text != "none is known\n"; }));
  for (int core = 0; core < 3; ++core) {
    EXPECT_EQ(RunCommand("members" + at(core)).text,
              fleet.CoreIp(0) + "\n" + fleet.CoreIp(1) + "\n" + fleet.CoreIp(2) + "\n");
    EXPECT_EQ(RunCommand("leader" + at(core)).text, fleet.CoreIp(fleet.Leader()) + "\n");
    EXPECT_EQ(RunCommand("history" + at(core)).text, "1\n4\n");
    EXPECT_EQ(RunCommand("history --json" + at(core)).text, "{\"versions\":[1,4]}\n");
    EXPECT_EQ(RunCommand("config-show" + at(core)).text, fleet.Configuration(4) + "\n");
  }
  EXPECT_EQ(RunCommand("members nowhere").status, 2);
  EXPECT_EQ(RunCommand("members " + fleet.Ip(249) + ":1").status, 1);
}

// The value of a metric, 0 if it is absent.
std::uint64_t Metric(const Answer& answer, const std::string& line) {
  const std::size_t at = answer.text.find(line + " ");
  return at == std::string::npos ? 0 : std::stoull(answer.text.substr(at + line.size() + 1));
}

// Messages received by proxies and members are counted by kind. While the instance list does not change,
// members get only its age.
TEST(FleetProcesses, ControlTrafficIsCountedByKind) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  const std::string get = "GET /-/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  const std::string bytes = "kestrelline_control_received_bytes_total",
                    messages =
                        "kestrelline_control_received_messages_"
                        "total";
  EXPECT_EQ(fleet.Send(0, "/app/x", "r1").status, 200);
  EXPECT_TRUE(Eventually([&] {
    const Answer proxy = Ask(fleet.EdgeIp(0), Fleet::kReady, get);
    return Metric(proxy, bytes + "{kind=\"publication\"}") > 0 &&
           Metric(proxy, messages + "{kind=\"load_summary\"}") > 2;
  }));
  // Sum of all members, since the leader may change on a busy machine.
  const auto received = [&](const std::string& kind) {
    std::uint64_t sum = 0;
    for (int core = 0; core < 3; ++core)
      sum += Metric(Ask(fleet.CoreIp(core), Fleet::kControl, get), messages + "{kind=\"" + kind + "\"}");
    return sum;
  };
  EXPECT_TRUE(Eventually([&] {
    return received("list_age") > 2 && received("load_changes") > 2 && received("instance_list") > 0;
  })) << fleet.Log();
}

TEST(FleetProcesses, AMemberAskedToLeaveExitsAndTheOthersContinue) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  const int leader = fleet.Leader();
  ASSERT_GE(leader, 0);
  EXPECT_EQ(RunCommand("leave " + fleet.CoreIp(leader) + ":" + std::to_string(Fleet::kControl)).status, 0);
  EXPECT_TRUE(Eventually([&] { return fleet.core(leader).Ended(); }));
  EXPECT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
}

TEST(FleetProcesses, SighupDoesNotEndProcesses) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  for (int i = 0; i < 3; ++i) fleet.core(i).Signal(SIGHUP);
  fleet.edge(0).Signal(SIGHUP);
  EXPECT_EQ(fleet.Send(0, "/app/x", "r1").status, 200);
  EXPECT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
}

// The fence of an order is the epoch in which its holder led. On a busy machine there may have been more than
// one leader before the first order, so the epoch is taken from the leaders' log.
TEST(FleetProcesses, TheLeaderMovesStagesByFencedOrders) {
  Fleet fleet(Fleet::Split(1, 5));
  ASSERT_TRUE(fleet.Begin());
  std::string order;
  ASSERT_TRUE(Eventually([&] {
    for (const char* id : {"d0", "d1", "d2", "d3", "d4"}) {
      const auto orders = fleet.backend(id).orders();
      if (!orders.empty()) order = orders[0];
    }
    return !order.empty();
  }));
  EXPECT_NE(order.find("\"op\":\"stage\",\"stage\":\"prefill\""), std::string::npos) << order;
  const auto fields = nlohmann::json::parse(order);
  const auto holder = fields.at("holder").get<std::string>();
  const std::string fence = std::to_string(fields.at("fence").get<std::uint64_t>());
  EXPECT_TRUE(holder.starts_with("core")) << order;
  EXPECT_NE(fleet.Log().find(" " + holder + " role=leader epoch=" + fence + " "), std::string::npos)
      << order << "\n"
      << fleet.Log();
}

}  // namespace
}  // namespace kestrelline::router_fleet

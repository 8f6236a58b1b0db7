// SPDX-License-Identifier: Apache-2.0
//
// Control plane members on machines that also run proxies, gateways, and configuration patches.
#include <future>

#include "router_fleet/fleet_fixture.h"

namespace kestrelline::router_fleet {
namespace {

// All members run beside proxies, as in a deployment without machines dedicated to control.
Fleet::Options OnEdges(int members, int edges, int tolerated) {
  Fleet::Options options;
  options.cores = members;
  options.edges = edges;
  options.members_on_edges = true;
  options.tolerated = tolerated;
  options.plain = 2;
  return options;
}

// Clients that send requests until End and count failed answers.
class LoadClients {
 public:
  explicit LoadClients(const Fleet& fleet, int clients, int edges) {
    for (int i = 0; i < clients; ++i) {
      threads_.emplace_back([this, &fleet, i, edges] {
        for (int n = 0; !stopped_; ++n) {
          const std::string id = "b" + std::to_string(i) + "-" + std::to_string(n);
          const int status = fleet.Send((i + n) % edges, "/safe/x", id).status;
          ++(status == 200 ? served_ : failed_);
        }
      });
    }
  }
  ~LoadClients() { End(); }
  void End() {
    stopped_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }
  int served() const { return served_; }
  int failed() const { return failed_; }

 private:
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> served_ = 0;
  std::atomic<int> failed_ = 0;
};

std::string RoutePatch(int version, const std::string& name, const std::string& extra = "") {
  return R"({"version":)" + std::to_string(version) + R"(,"upsert":{"routes":[{"name":")" + name +
         R"(","host":"h.example","path_prefix":"/)" + name +
         R"(/","type":"safe","timeout_ms":5000,"target_latency_ms":500,"cluster":"app","max_attempts":2}]})" +
         extra + "}";
}

TEST(EdgeMembers, ServeAndKeepTheConfigurationOnTheSameMachines) {
  Fleet fleet(OnEdges(3, 4, 1));
  ASSERT_TRUE(fleet.Begin());
  for (int edge = 0; edge < 4; ++edge)
    EXPECT_EQ(fleet.Send(edge, "/app/x", "r" + std::to_string(edge)).status, 200);
  EXPECT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
}

// Six machines with a disk, two of which may be lost: five vote, the sixth waits for a seat.
TEST(EdgeMembers, FiveOfSixVoteAndTheLossOfAZoneLeavesAQuorum) {
  Fleet fleet(OnEdges(6, 6, 2));
  ASSERT_TRUE(fleet.Begin());
  const auto members = [&] {
    const std::string text = Ask(fleet.CoreIp(std::max(0, fleet.Leader())), Fleet::kControl,
                                 "GET /-/members HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                                 .text;
    const std::size_t begin = text.find("\"members\":[");
    const std::string list = begin == std::string::npos ? "" : text.substr(begin, text.find(']') - begin);
    return std::count(list.begin(), list.end(), '.') / 3;
  };
  ASSERT_TRUE(Eventually([&] { return members() == 5; }));
  ASSERT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  // Both machines of a zone fail at once, one of them the leader's.
  const int leader = fleet.Leader();
  ASSERT_GE(leader, 0);
  const int other = (leader + 1) % 6;
  for (const int lost : {leader, other}) {
    fleet.core(lost).End(SIGKILL);
    fleet.edge(lost).End(SIGKILL);
  }
  ASSERT_TRUE(Eventually([&] { return fleet.Leader() >= 0; }));
  EXPECT_EQ(fleet.Put(fleet.Configuration(3), 2), 200);
  EXPECT_EQ(fleet.GetConfiguration(), fleet.Configuration(3));
}

TEST(EdgeMembers, TheLeaderIsKilledAndTerminatedUnderLoad) {
  Fleet fleet(OnEdges(3, 3, 1));
  ASSERT_TRUE(fleet.Begin());
  LoadClients load(fleet, 6, 3);
  int version = 1;
  for (const int signal : {SIGHUP, SIGTERM, SIGKILL}) {
    ASSERT_TRUE(Eventually([&] { return fleet.Leader() >= 0; }));
    const int leader = fleet.Leader();
    if (signal == SIGHUP) {
      fleet.core(leader).Signal(signal);
    } else {
      fleet.core(leader).End(signal);
      fleet.StartCore(leader);
    }
    ASSERT_EQ(fleet.Put(fleet.Configuration(version + 1), version), 200) << signal;
    ++version;
  }
  load.End();
  EXPECT_GT(load.served(), 0);
  EXPECT_EQ(load.failed(), 0);  // proxies do not depend on the members' state
}

// The leader's machine is suspended and another member leads. When the first one resumes, it must not decide
// anything as leader.
TEST(EdgeMembers, ASuspendedLeaderIsReplacedAndDoesNotLeadWhenItResumes) {
  Fleet fleet(OnEdges(3, 3, 1));
  ASSERT_TRUE(fleet.Begin());
  ASSERT_TRUE(Eventually([&] { return fleet.Leader() >= 0; }));
  const int suspended = fleet.Leader();
  fleet.core(suspended).Signal(SIGSTOP);
  fleet.edge(suspended).Signal(SIGSTOP);
  const auto others_accept = [&] {
    for (int i = 0; i < 3; ++i) {
      if (i != suspended && fleet.PutAt(i, fleet.Configuration(2), 1).status == 200) return true;
    }
    return false;
  };
  EXPECT_TRUE(Eventually(others_accept));
  fleet.core(suspended).Signal(SIGCONT);
  fleet.edge(suspended).Signal(SIGCONT);
  EXPECT_EQ(fleet.Put(fleet.Configuration(2, 99), 1), 412);
  EXPECT_TRUE(Eventually([&] {
    return Ask(fleet.CoreIp(suspended), Fleet::kControl,
               "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .Has("\"version\":2");
  }));
}

// A rolling restart: one machine after the other, both processes of each.
TEST(EdgeMembers, ARollingRestartKeepsTheConfiguration) {
  Fleet fleet(OnEdges(3, 3, 1));
  ASSERT_TRUE(fleet.Begin());
  int version = 1;
  for (int machine = 0; machine < 3; ++machine) {
    fleet.edge(machine).Signal(SIGTERM);
    fleet.core(machine).Signal(SIGTERM);
    ASSERT_TRUE(Eventually([&] { return fleet.edge(machine).Ended() && fleet.core(machine).Ended(); }));
    EXPECT_EQ(fleet.edge(machine).status(), 0);
    EXPECT_EQ(fleet.core(machine).status(), 0);
    fleet.StartCore(machine);
    fleet.StartEdge(machine);
    ASSERT_EQ(fleet.Put(fleet.Configuration(version + 1), version), 200);
    ++version;
    ASSERT_TRUE(Eventually([&] { return fleet.AllReady(); }));
  }
  EXPECT_EQ(fleet.GetConfiguration(), fleet.Configuration(version));
}

bool IsMember(const Fleet& fleet, int core) {
  for (int i = 0; i < 4; ++i) {
    const Answer answer = Ask(fleet.CoreIp(i), Fleet::kControl,
                              "GET /-/members HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const std::string members = answer.text.substr(0, answer.text.find("\"next_members\""));
    if (members.find("\"" + fleet.CoreIp(core) + "\"") != std::string::npos) return true;
  }
  return false;
}

// A machine is lost for good; an empty one at another address takes its seat.
TEST(EdgeMembers, AReplacementAtAnotherAddressTakesTheSeat) {
  Fleet fleet(OnEdges(3, 3, 1));
  ASSERT_TRUE(fleet.Begin());
  fleet.core(1).End(SIGKILL);
  fleet.edge(1).End(SIGKILL);
  fleet.StartCore(3);
  EXPECT_TRUE(Eventually([&] { return IsMember(fleet, 3) && !IsMember(fleet, 1); }));
  EXPECT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
}

// A member started with counts_for_quorum = false gets no seat, even if one is vacant.
TEST(EdgeMembers, AMemberThatDoesNotCountForTheQuorumGetsNoSeat) {
  Fleet fleet(OnEdges(3, 3, 1));
  ASSERT_TRUE(fleet.Begin());
  fleet.StartCore(3, /*bootstrap=*/false, /*counts=*/false);
  fleet.core(1).End(SIGKILL);
  EXPECT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  fleet.StartCore(4);  // counts for the quorum and takes the seat
  EXPECT_TRUE(Eventually([&] { return IsMember(fleet, 4); }));
  EXPECT_FALSE(IsMember(fleet, 3));
  EXPECT_EQ(fleet.Put(fleet.Configuration(3), 2), 200);
}

// --- gateways ---

Fleet::Options WithGateways(int count) {
  Fleet::Options options;
  options.gateways = count;
  options.plain = 1;
  return options;
}

TEST(Gateway, RedirectsCallersToTheLeader) {
  Fleet fleet(WithGateways(1));
  ASSERT_TRUE(fleet.Begin());
  std::string location;
  ASSERT_TRUE(Eventually([&] {
    const Answer answer = Fleet::Order(fleet.GatewayIp(0), "PUT", fleet.Configuration(2), 1);
    location = answer.text;
    return answer.status == 307;
  }));
  EXPECT_NE(location.find("Location: http://" + fleet.CoreIp(fleet.Leader()) + ":" +
                          std::to_string(Fleet::kControl) + "/-/config"),
            std::string::npos)
      << location;
  const auto get = [&](const std::string& target) {
    return Ask(fleet.GatewayIp(0), Fleet::kControl,
               "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  };
  EXPECT_TRUE(get("/-/status").Has("\"role\":\"gateway\""));
  EXPECT_TRUE(Eventually([&] { return get("/-/members").Has(fleet.CoreIp(2)); }));
  for (int i = 0; i < 3; ++i) fleet.core(i).End(SIGKILL);
  EXPECT_TRUE(Eventually([&] { return get("/-/config").status == 503; }));
  EXPECT_EQ(fleet.gateway(0).End(SIGTERM), 0);
}

// When a machine is stopped, its proxy drains for up to grace_s and needs the gateway to find the members
// during that time. Guards against a gateway that exits at once, so that callers are refused and the gateway
// is started again in the middle of the drain.
TEST(Gateway, RedirectsCallersUntilTheGracePeriodIsNearlyOver) {
  Fleet fleet(WithGateways(1));
  ASSERT_TRUE(fleet.Begin());
  const auto redirects = [&] {
    return Ask(fleet.GatewayIp(0), Fleet::kControl,
               "GET /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
               .status == 307;
  };
  ASSERT_TRUE(Eventually(redirects));
  fleet.gateway(0).Signal(SIGTERM);
  const auto end = Clock::now() + milliseconds(5000);  // of a grace period of 6 s
  while (Clock::now() < end) ASSERT_TRUE(redirects());
  EXPECT_TRUE(Eventually([&] { return fleet.gateway(0).Ended(); }, milliseconds(1000)));
  EXPECT_EQ(fleet.gateway(0).status(), 0);
}

// After all processes were killed, the seeds may name only gateways, which know no member: the members have
// to announce themselves to the gateways.
TEST(Gateway, AFleetWhoseSeedsAreRestartedGatewaysFindsItsMembers) {
  Fleet fleet(WithGateways(2));
  ASSERT_TRUE(fleet.Begin());
  ASSERT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  fleet.SeedGatewaysAlone();
  for (int i = 0; i < 3; ++i) fleet.core(i).End(SIGKILL);
  for (int i = 0; i < 2; ++i) fleet.gateway(i).End(SIGKILL);
  for (int i = 0; i < 2; ++i) fleet.edge(i).End(SIGKILL);
  for (int i = 0; i < 2; ++i) fleet.StartGateway(i);
  for (int i = 0; i < 2; ++i) fleet.StartEdge(i);
  for (int i = 0; i < 3; ++i) fleet.StartCore(i);
  ASSERT_TRUE(Eventually([&] { return fleet.AllReady(); }));
  EXPECT_EQ(fleet.Put(fleet.Configuration(3), 2), 200);
  EXPECT_EQ(fleet.Send(0, "/app/x", "r1").status, 200);
}

// Members that were started with other seeds remember the gateways that announced themselves.
TEST(Gateway, RestartedGatewaysLearnTheMembersFromMembersThatKnewThem) {
  Fleet fleet(WithGateways(2));
  ASSERT_TRUE(fleet.Begin());
  const auto knows_members = [&](int gateway) {
    return Ask(fleet.GatewayIp(gateway), Fleet::kControl,
               "GET /-/members HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .Has(fleet.CoreIp(1));
  };
  for (int i = 0; i < 2; ++i) ASSERT_TRUE(Eventually([&] { return knows_members(i); }));
  fleet.SeedGatewaysAlone();
  for (int i = 0; i < 2; ++i) fleet.gateway(i).End(SIGKILL);
  fleet.edge(0).End(SIGKILL);
  for (int i = 0; i < 2; ++i) fleet.StartGateway(i);
  fleet.StartEdge(0);
  EXPECT_TRUE(Eventually([&] { return fleet.Ready(0); }));
}

// A member that lost its disk and whose seeds are only gateways.
TEST(Gateway, AMemberWithAnEmptyDiskFindsTheOthersThroughIt) {
  Fleet fleet(WithGateways(2));
  ASSERT_TRUE(fleet.Begin());
  ASSERT_EQ(fleet.Put(fleet.Configuration(2), 1), 200);
  fleet.SeedGatewaysAlone();
  fleet.core(1).End(SIGKILL);
  fleet.LoseDisk(1);
  fleet.StartCore(1);
  EXPECT_TRUE(Eventually([&] {
    return Ask(fleet.CoreIp(1), Fleet::kControl,
               "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .Has("\"version\":2");
  }));
}

// --- patches ---

TEST(PatchOrder, ChangesNamedItemsUnderTheRulesOfPut) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  const std::string patch = RoutePatch(2, "more");
  EXPECT_EQ(fleet.Patch(patch, 1), 200);
  EXPECT_TRUE(Eventually([&] { return fleet.Send(0, "/more/x", "r1").status == 200; }));
  EXPECT_EQ(fleet.Send(0, "/safe/x", "r2").status, 200);
  EXPECT_EQ(fleet.Patch(patch, 1), 200);                   // sent again: applied once
  EXPECT_EQ(fleet.Patch(RoutePatch(3, "other"), 1), 412);  // based on another version
  EXPECT_EQ(fleet.Patch(RoutePatch(2, "other"), 2), 400);  // its version is not above the current one
  EXPECT_EQ(fleet.Patch(R"({"version":3,"upsert":{"routes":[{}]}})", 2), 400);
  EXPECT_EQ(fleet.Patch(R"({"version":3,"remove":{"services":["app"]}})", 2), 400);
  EXPECT_EQ(fleet.Patch(R"({"version":3,"remove":{"routes":["more"]}})", 2), 200);
  EXPECT_EQ(fleet.Patch(patch, 1), 200);  // applied before, so never rejected
  EXPECT_TRUE(Eventually([&] { return fleet.Send(0, "/more/x", "r3").status == 404; }));
  EXPECT_EQ(fleet.GetConfiguration().find("\"more\""), std::string::npos);
}

TEST(PatchOrder, OfTwoConcurrentPatchesOneIsAppliedAndTheOtherNotAtAll) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  for (int version = 1; version < 6; ++version) {
    const auto send = [&](const std::string& name) {
      return fleet.Patch(RoutePatch(version + 1, name + std::to_string(version)), version);
    };
    auto one = std::async(std::launch::async, send, "one");
    auto two = std::async(std::launch::async, send, "two");
    const std::multiset<int> statuses{one.get(), two.get()};
    EXPECT_EQ(statuses, (std::multiset<int>{200, 412}));
    const std::string now = fleet.GetConfiguration();
    const bool has_one = now.find("one" + std::to_string(version) + "/") != std::string::npos;
    const bool has_two = now.find("two" + std::to_string(version) + "/") != std::string::npos;
    EXPECT_NE(has_one, has_two);
  }
}

TEST(PatchOrder, APatchSentToAFollowerIsDecidedByTheNextLeader) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  ASSERT_TRUE(Eventually([&] { return fleet.Leader() >= 0; }));
  const int leader = fleet.Leader();
  const int follower = (leader + 1) % 3;
  const std::string patch = RoutePatch(2, "more");
  fleet.core(leader).End(SIGKILL);
  EXPECT_TRUE(Eventually([&] {
    const int status = Fleet::Order(fleet.CoreIp(follower), "PATCH", patch, 1).status;
    EXPECT_NE(status, 412);
    EXPECT_NE(status, 400);
    return status == 200 || fleet.Patch(patch, 1) == 200;
  }));
  EXPECT_NE(fleet.GetConfiguration().find("/more/"), std::string::npos);
}

TEST(PatchOrder, AStreamContinuesAfterItsRouteIsRemoved) {
  Fleet::Options options = Fleet::Split(1, 1);
  options.events = 40;
  options.between = milliseconds(25);
  Fleet fleet(options);
  ASSERT_TRUE(fleet.Begin());
  auto stream = std::async(std::launch::async, [&] { return fleet.Generate(0, "s1"); });
  ASSERT_TRUE(Eventually([&] { return fleet.Runs("s1") == 1; }));
  ASSERT_EQ(fleet.Patch(R"({"version":2,"remove":{"routes":["llm"]}})", 1), 200);
  ASSERT_TRUE(Eventually([&] { return fleet.Generate(0, "s2").status == 404; }));
  const Answer answer = stream.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.ended_well);
  EXPECT_EQ(fleet.Runs("s1"), 1);
}

}  // namespace
}  // namespace kestrelline::router_fleet

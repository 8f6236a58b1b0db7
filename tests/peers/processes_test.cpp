// SPDX-License-Identifier: Apache-2.0
//
// Several proxy processes with a faulty network between them: their views must become equal, and equal to the
// set of running processes.
#include <gtest/gtest.h>

#include <future>
#include <random>

#include "support/audited_load.h"
#include "support/peer_fleet.h"
#include "support/process.h"

namespace kestrelline::testing {
namespace {

TEST(PeerProcesses, DetectsCrashesReturnsAndDepartures) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n3 10m");
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut({3})}));
  EXPECT_EQ(PeerFleet::StateOf(peers.View(0), "n3"), "faulty");
  ASSERT_TRUE(peers.Await([&] { return peers.View(0)["reading"] == "part"; }));
  peers.Apply("restart_proxy n4 10m");
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut({3, 4})}));
  EXPECT_EQ(PeerFleet::StateOf(peers.View(0), "n4"), "left");
  for (const int i : {0, 1, 2}) EXPECT_EQ(peers.Events(i, "failed"), 1) << i;  // n3 alone
}

// A process is replaced by another with the same name and address before its end is noticed: no failure is
// reported.
TEST(PeerProcesses, AQuickRestartIsNoFailure) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  const auto before = peers.View(0)["view"];
  peers.Apply("kill n0 10ms");  // which is also a seed
  ASSERT_TRUE(peers.Await([&] { return peers.View(1)["view"] != before; }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.EventsOfAll("failed"), 0);
}

// With both seeds dead, a restarted member rejoins because the others contact it.
TEST(PeerProcesses, MembersReturnWithAllSeedsDead) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n0 10m");
  peers.Apply("kill n1 10m");
  peers.Apply("kill n4 4s");
  ASSERT_TRUE(peers.AwaitAgreement({{2, 3}}));
  ASSERT_TRUE(peers.AwaitAgreement({{2, 3, 4}}));
}

TEST(PeerProcesses, APausedMemberRefutesItsFailureAndSuspectsNobody) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("pause n1 10s");
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut({1})}));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.Events(1, "failed"), 0);
  EXPECT_GE(peers.View(0)["members"][1]["incarnation"], 1);
}

// The process gets up to 2 ms of CPU time and is then stopped for 98 ms, as on a machine that gives it a
// fiftieth of a core. Sanitizer builds get as much as they need for the same work.
TEST(PeerProcesses, TwoPercentOfACoreCausesNoFalseFailures) {
#ifdef __SANITIZE_ADDRESS__
  constexpr std::chrono::milliseconds kCpuSlice{10};
#else
  constexpr std::chrono::milliseconds kCpuSlice{2};
#endif
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  {
    std::jthread throttle([&, pid = peers.Pid(1)](std::stop_token stop) {
      clockid_t clock;
      if (clock_getcpuclockid(pid, &clock) != 0) return;
      const auto used = [clock] {
        timespec time{};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
      };
      while (!stop.stop_requested()) {
        kill(pid, SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(98));
        const auto before = used();
        kill(pid, SIGCONT);
        // The wait counts CPU time, since a busy machine may schedule the process late. 20 ms without that
        // much use mean that it is idle.
        for (int ms = 0; ms < 20 && used() - before < kCpuSlice; ++ms)
          std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      kill(pid, SIGCONT);
    });
    ASSERT_TRUE(peers.AwaitDatagrams({0, 2, 3, 4}, 60));
  }
  EXPECT_EQ(peers.EventsOfAll("failed"), 0);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
}

struct Partition {
  const char* name;
  std::vector<std::string> zones, faults;
  std::vector<Group> groups;
};
class Partitions : public ::testing::TestWithParam<Partition> {};

TEST_P(Partitions, SidesAgreeAndConvergeAfterTheHeal) {
  const Partition& partition = GetParam();
  PeerFleet peers(6, partition.zones);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  for (const auto& fault : partition.faults) peers.Apply(fault);
  ASSERT_TRUE(peers.AwaitAgreement(partition.groups));
  for (const Group& group : partition.groups)
    ASSERT_TRUE(peers.Await(
        [&] { return peers.View(*group.begin())["reading"] == (group.size() > 1 ? "part" : "alone"); }));
  // One side changes during the partition: one of its members is another process after the heal.
  peers.Apply("kill n2 10ms");
  ASSERT_TRUE(peers.AwaitAgreement(partition.groups));
  peers.MendAll();
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  ASSERT_TRUE(peers.Await([&] { return peers.View(0)["reading"] == "whole"; }));
}

INSTANTIATE_TEST_SUITE_P(
    Of, Partitions,
    ::testing::Values(
        Partition{"Halves", {"a", "b"}, {"cut zone:a 10m"}, {{0, 2, 4}, {1, 3, 5}}},
        Partition{"Three", {"a", "b", "c"}, {"cut zone:a 10m", "cut zone:b 10m"}, {{0, 3}, {1, 4}, {2, 5}}},
        Partition{"One", {"a"}, {"cut n5 10m"}, {{0, 1, 2, 3, 4}, {5}}}),
    [](const auto& info) { return info.param.name; });

struct NetworkFault {
  const char* name;
  std::vector<std::string> faults;
};
class NetworkFaults : public ::testing::TestWithParam<NetworkFault> {};

// A member that can be reached through others, or now and then, is never reported as failed; a real crash is.
TEST_P(NetworkFaults, NoFalseFailuresAndCrashesAreDetected) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  for (const auto& fault : GetParam().faults) peers.Apply(fault);
  ASSERT_TRUE(peers.AwaitDatagrams(peers.All(), 100));
  EXPECT_EQ(peers.EventsOfAll("failed"), 0);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n4 10m");
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut({4})}));
  for (const int i : {0, 1, 2, 3}) EXPECT_EQ(peers.Events(i, "failed"), 1) << i;
}

INSTANTIATE_TEST_SUITE_P(
    Of, NetworkFaults,
    ::testing::Values(NetworkFault{"Partial", {"cut n0-n1 10m"}}, NetworkFault{"OneWay", {"cut n0>n1 10m"}},
                      NetworkFault{"Loss", {"net_loss all 10m 0.3"}},
                      NetworkFault{"TwiceAndOutOfOrder", {"net_twice all 10m 0.5", "net_order all 10m 0.3"}},
                      NetworkFault{"Slow", {"net_delay all 10m 40", "net_slow n1 10m 20000"}}),
    [](const auto& info) { return info.param.name; });

TEST(PeerProcesses, DropsDuplicatesAndGarbage) {
  PeerFleet peers(2, {"a"});
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("net_twice all 10m 1");
  asio::io_context io;
  asio::ip::udp::socket socket(io, asio::ip::udp::v4());
  const auto at =
      RunningFleet::EndpointOf(peers.fleet().Ask([](standin::Fleet& f) { return f.network().listens(1); }));
  const std::string garbage[] = {std::string(2000, 'x'), "kp",
                                 std::string("kp\x02\x09", 4) + std::string(60, 'y'),
                                 std::string("kp\x02\x01", 4) + std::string(60, 'z'), std::string(100, '\0')};
  for (int i = 0; i < 1000; ++i) {  // a burst beyond the read budget
    error_code full;
    socket.send_to(asio::buffer(garbage[static_cast<std::size_t>(i) % 5]), {at.address(), at.port()}, 0,
                   full);
  }
  const auto dropped = [&](const char* why) {
    return peers.Figure(1, std::string("_dropped{why=\"") + why + "\"}");
  };
  ASSERT_TRUE(peers.Await([&] {
    return dropped("replay") > 5 && dropped("size") > 0 && dropped("form") > 0 && dropped("key") > 0 &&
           dropped("seal") > 0;
  }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.EventsOfAll("failed"), 0);
  std::ifstream log(peers.folder() / "n1.log");
  const std::string text{std::istreambuf_iterator<char>(log), {}};
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 30) << text;
}

TEST(PeerProcesses, MixesDatagramFormats) {
  PeerFleet peers(3, {"a"});
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  std::ofstream(peers.folder() / "n1.toml", std::ios::app) << "wire = 1\n";
  const auto before = peers.View(0)["view"];
  peers.Apply("kill n1 10ms");
  ASSERT_TRUE(peers.Await([&] { return peers.View(0)["view"] != before; }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n2 10m");
  ASSERT_TRUE(peers.AwaitAgreement({{0, 1}}));
}

// Adds the new key at each proxy, puts it first, then removes the old one, with one half cut off in between.
TEST(PeerProcesses, RotatesAKeyDuringAPartition) {
  PeerFleet peers(4);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  std::ifstream file(peers.folder() / "peers.key");
  std::string first, second = "2 ffeeddccbbaa99887766554433221100";
  std::getline(file, first);
  const auto install_keys = [&](const std::string& keys, const Group& at) {
    std::ofstream(peers.folder() / "peers.key", std::ios::trunc) << keys << '\n';
    for (const int i : at) {
      const auto holds = [&] {
        std::ifstream log(peers.folder() / ("n" + std::to_string(i) + ".log"));
        const std::string text{std::istreambuf_iterator<char>(log), {}};
        std::size_t n = 0;
        for (std::size_t p = 0; (p = text.find("hold from now on", p)) != std::string::npos; ++p) ++n;
        return n;
      };
      const auto before = holds();
      ::kill(peers.Pid(i), SIGHUP);
      ASSERT_TRUE(peers.Await([&] { return holds() > before; }));
    }
  };
  install_keys(first + "\n" + second, peers.All());
  peers.Apply("cut zone:a 10m");
  ASSERT_TRUE(peers.AwaitAgreement({{0, 2}, {1, 3}}));
  install_keys(second + "\n" + first, {0, 2});
  peers.MendAll();
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  // This step must be complete on the other half, and the datagrams sealed before it read, before the next
  // begins.
  install_keys(second + "\n" + first, {1, 3});
  ASSERT_TRUE(peers.AwaitDatagrams(peers.All(), 60));
  install_keys(second, peers.All());
  EXPECT_EQ(peers.Figure(0, "_dropped{why=\"key\"}"), 0);
  peers.Apply("kill n3 10ms");
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
}

// A second process with the name of a live one: the first keeps the name, both report it, and the views
// settle.
TEST(PeerProcesses, FirstOfTwoKeepsItsName) {
  PeerFleet peers(3, {"a"});
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  std::ifstream file(peers.folder() / "n1.json");
  auto config = nlohmann::json::parse(file);
  const auto management = FreePort();
  config["listen"] = "127.0.0.1:" + std::to_string(FreePort().port());
  config["mgmt"] = "127.0.0.1:" + std::to_string(management.port());
  const ConfigFile platform(config.dump());
  const std::string own = "127.77.0.1:" + std::to_string(management.port());
  std::ofstream(peers.folder() / "twin.toml")
      << "version = 1\n[peers]\nlisten = \"" << own << "\"\nseeds = [\""
      << peers.fleet().Ask([](standin::Fleet& f) { return f.network().listens(0); })
      << "\"]\nkey_file = \"peers.key\"\n";
  const auto boot_at_all = peers.View(1)["members"][1]["boot"];
  Child second_process({{"ROUTER_CONFIG", platform.path}}, 0, {"--operator", peers.folder() / "twin.toml"});
  ASSERT_TRUE(peers.Await([&] { return PeerFleet::ViewAt(management).value("displaced", false); }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  ASSERT_TRUE(peers.AwaitDatagrams(peers.All(), 60));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.View(0)["members"][1]["boot"], boot_at_all);
  EXPECT_EQ(peers.Events(1, "name-taken"), 1);
  // Once the first is gone, the other takes the name over.
  peers.Apply("kill n1 10m");
  ASSERT_TRUE(peers.Await([&] {
    const auto view = PeerFleet::ViewAt(management);
    return !view.value("displaced", true) && peers.View(0)["view"] == view["view"];
  }));
}

// Kills seven in ten at once, then restarts all members two at a time.
TEST(PeerProcesses, KillsMostOfSixteenThenRestartsAll) {
  PeerFleet peers(16, {"a", "b", "c"});
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  Group killed;
  for (int i = 0; i < 11; ++i) {
    killed.insert(i);
    peers.Apply("kill n" + std::to_string(i) + " 15s");
  }
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut(killed)}));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  for (int i = 0; i < 16; i += 2) {
    peers.Apply("restart_proxy n" + std::to_string(i) + " 10ms");
    peers.Apply("restart_proxy n" + std::to_string(i + 1) + " 10ms");
    const auto old = peers.View((i + 4) % 16)["view"];
    ASSERT_TRUE(peers.Await([&] { return peers.View((i + 4) % 16)["view"] != old; }));
  }
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
}

// Random kills, planned restarts, pauses, cuts, one-way cuts and losses, while all five proxies serve
// requests whose keys are claimed. The ledger must find no rule broken, and after all faults have ended,
// views and replicas are equal.
class RandomFaults : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomFaults, KeepTheRulesUnderLoad) {
  const std::uint64_t seed = GetParam();
  SCOPED_TRACE("seed " + std::to_string(seed));
  PeerFleet peers(5, {"a", "b"}, "claim = \"wait 1\"\n");
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  load::Plan plan;
  plan.seed = seed;
  const auto site = peers.fleet().Ask([](standin::Fleet& f) { return f.site(); });
  for (const auto& c : site.classes) {
    plan.classes.push_back({c.name, c.effect, Ms(60000)});
    plan.mixture.classes.push_back({c.name, 1, 0, 100});
  }
  plan.mixture.shapes = {load::Constant{150}};
  plan.mixture.seconds = 12;
  load::RuleFigures figures = site.Rules();
  figures.slack = Ms(10000);  // latency on a slow machine is not under test
  std::vector<Tcp::endpoint> proxies;
  for (const auto& text : peers.fleet().Ask([](standin::Fleet& f) { return f.proxy_addresses(); }))
    proxies.push_back(RunningFleet::EndpointOf(text));
  auto playing =
      std::async(std::launch::async, [&] { return PlayAndJudge(plan, proxies, peers.fleet(), figures); });
  std::mt19937_64 random(seed);
  while (playing.wait_for(std::chrono::milliseconds(random() % 900)) != std::future_status::ready) {
    const std::string n = "n" + std::to_string(random() % 5), m = "n" + std::to_string(random() % 5);
    const std::string duration = " " + std::to_string(200 + random() % 2500) + "ms";
    const std::string commands[] = {"kill " + n + duration,  "restart_proxy " + n + duration,
                                    "pause " + n + duration, "cut zone:a" + duration,
                                    "cut " + n + duration,   "net_loss all" + duration + " 0.4"};
    peers.Apply(commands[random() % 6]);
    if (n != m) peers.Apply("cut " + n + ">" + m + duration);
  }
  const auto result = playing.get();
  for (const auto& violation : result.violations) ADD_FAILURE() << violation.text;
  EXPECT_GT(result.served, result.requests / 2);
  peers.MendAll();
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  ASSERT_TRUE(peers.Await([&] { return peers.EqualCopies(peers.All()); }));
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, ::testing::Values(20261201));

// An upgrade with two processes of one proxy on one listening socket: the new process takes the address over
// when the old one is told to stop, and the others report neither a failure nor a departure.
TEST(PeerProcesses, AnUpgradeIsNoFailure) {
  PeerFleet peers(3, {"a"});
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n2 10m");
  ASSERT_TRUE(peers.AwaitAgreement({{0, 1}}));
  std::ifstream file(peers.folder() / "n2.json");
  auto config = nlohmann::json::parse(file);
  asio::io_context io;
  Tcp::acceptor listener(io, kAnyPort);
  config["listen"] = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
  const auto start = [&](const Tcp::endpoint& management) {
    config["mgmt"] = "127.0.0.1:" + std::to_string(management.port());
    const ConfigFile platform(config.dump());
    auto child = std::make_unique<Child>(
        std::map<std::string, std::string>{{"ROUTER_CONFIG", platform.path},
                                           {"ROUTER_INHERITED_FD", std::to_string(Child::kInherited)},
                                           {"TMPDIR", peers.folder().path()}},
        rlim_t{0}, std::vector<std::string>{"--operator", peers.folder() / "n2.toml"},
        listener.native_handle());
    EXPECT_TRUE(peers.Await([&] { return Call(management, "ready\n").starts_with("ACK"); }));
    return child;
  };
  auto running = start(FreePort());
  ASSERT_TRUE(peers.Await([&] { return PeerFleet::StateOf(peers.View(0), "n2") == "alive"; }));
  const auto failed = peers.Events(0, "failed"), left = peers.Events(0, "left");
  for (int upgrade = 0; upgrade < 3; ++upgrade) {
    const auto before = peers.View(0)["view"];
    auto next = start(FreePort());
    running->Signal(SIGTERM);
    EXPECT_EQ(running->Wait(), 0);
    running = std::move(next);
    ASSERT_TRUE(peers.Await([&] {
      const auto view = peers.View(0);
      return view["view"] != before && PeerFleet::StateOf(view, "n2") == "alive" &&
             peers.View(1)["view"] == view["view"];
    }));
  }
  EXPECT_EQ(peers.Events(0, "failed"), failed);
  EXPECT_EQ(peers.Events(0, "left"), left);
}

}  // namespace
}  // namespace kestrelline::testing

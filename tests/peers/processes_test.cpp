// SPDX-License-Identifier: Apache-2.0
//
// Several processes of the program, a network with faults between them, and whether their views come to be
// equal, and equal to who runs.
#include <gtest/gtest.h>

#include <future>
#include <random>

#include "support/audited_load.h"
#include "support/peer_fleet.h"
#include "support/process.h"

namespace kestrelline::testing {
namespace {

TEST(PeerProcesses, ACrashIsKnownAReturnTooAndOneThatStopsHasLeft) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n3 10m");
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut({3})}));
  EXPECT_EQ(PeerFleet::StateOf(peers.View(0), "n3"), "faulty");
  ASSERT_TRUE(peers.WaitReadable([&] { return peers.View(0)["reading"] == "part"; }));
  peers.Apply("restart_proxy n4 10m");
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut({3, 4})}));
  EXPECT_EQ(PeerFleet::StateOf(peers.View(0), "n4"), "left");
  for (const int i : {0, 1, 2}) EXPECT_EQ(peers.Events(i, "failed"), 1) << i;  // n3 alone
}

// Another process under the same name and address before anybody noticed: nobody is ever said to have failed.
TEST(PeerProcesses, ARestartBeforeAnybodyNoticedIsNoFailure) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  const auto before = peers.View(0)["view"];
  peers.Apply("kill n0 10ms");  // it is a seed as well
  ASSERT_TRUE(peers.WaitReadable([&] { return peers.View(1)["view"] != before; }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.EventsOfAll("failed"), 0);
}

// Both seeds are dead: one that starts anew finds the others since they knock at it.
TEST(PeerProcesses, WithNoSeedAliveWhoeverReturnsIsFound) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n0 10m");
  peers.Apply("kill n1 10m");
  peers.Apply("kill n4 4s");
  ASSERT_TRUE(peers.AwaitAgreement({{2, 3}}));
  ASSERT_TRUE(peers.AwaitAgreement({{2, 3, 4}}));
}

TEST(PeerProcesses, OneThatWasPausedTakesNobodyForDeadAndItsOwnDeathBack) {
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("pause n1 10s");
  ASSERT_TRUE(peers.AwaitAgreement({peers.AllBut({1})}));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.Events(1, "failed"), 0);
  EXPECT_GE(peers.View(0)["members"][1]["incarnation"], 1);
}

// Of processor time it gets 2 ms, if it wants them, and then stands still for 98, as on a machine that gives
// it a fiftieth of a core; under a sanitizer as much as that does the same work with.
TEST(PeerProcesses, OneThatGetsTwoPercentOfACoreIsNotDeadAndTakesNobodyForDead) {
#ifdef __SANITIZE_ADDRESS__
  constexpr std::chrono::milliseconds kRuns{10};
#else
  constexpr std::chrono::milliseconds kRuns{2};
#endif
  PeerFleet peers(5);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  {
    std::jthread starve([&, pid = peers.Pid(1)](std::stop_token stop) {
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
        // Whether it gets a processor at once is the machine's business; whoever wants none for so long is
        // idle.
        for (int ms = 0; ms < 20 && used() - before < kRuns; ++ms)
          std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      kill(pid, SIGCONT);
    });
    ASSERT_TRUE(peers.AwaitDatagrams({0, 2, 3, 4}, 60));
  }
  EXPECT_EQ(peers.EventsOfAll("failed"), 0);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
}

struct Parting {
  const char* name;
  std::vector<std::string> zones, faults;
  std::vector<Group> groups;
};
class Partings : public ::testing::TestWithParam<Parting> {};

TEST_P(Partings, EachPartAgreesAndAllDoOnceItHasHealed) {
  const Parting& parting = GetParam();
  PeerFleet peers(6, parting.zones);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  for (const auto& fault : parting.faults) peers.Apply(fault);
  ASSERT_TRUE(peers.AwaitAgreement(parting.groups));
  for (const Group& group : parting.groups)
    ASSERT_TRUE(peers.WaitReadable(
        [&] { return peers.View(*group.begin())["reading"] == (group.size() > 1 ? "part" : "alone"); }));
  // One side is changed meanwhile: a member of it is another process when they meet again.
  peers.Apply("kill n2 10ms");
  ASSERT_TRUE(peers.AwaitAgreement(parting.groups));
  peers.MendAll();
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  ASSERT_TRUE(peers.WaitReadable([&] { return peers.View(0)["reading"] == "whole"; }));
}

INSTANTIATE_TEST_SUITE_P(
    Of, Partings,
    ::testing::Values(
        Parting{"Halves", {"a", "b"}, {"cut zone:a 10m"}, {{0, 2, 4}, {1, 3, 5}}},
        Parting{"Three", {"a", "b", "c"}, {"cut zone:a 10m", "cut zone:b 10m"}, {{0, 3}, {1, 4}, {2, 5}}},
        Parting{"One", {"a"}, {"cut n5 10m"}, {{0, 1, 2, 3, 4}, {5}}}),
    [](const auto& info) { return info.param.name; });

struct Trouble {
  const char* name;
  std::vector<std::string> faults;
};
class Troubles : public ::testing::TestWithParam<Trouble> {};

// Who can be reached, if only through others or now and then, is never said to have failed; a real crash is.
TEST_P(Troubles, NobodyFlapsAndACrashIsStillFound) {
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
    Of, Troubles,
    ::testing::Values(Trouble{"Partial", {"cut n0-n1 10m"}}, Trouble{"OneWay", {"cut n0>n1 10m"}},
                      Trouble{"Loss", {"net_loss all 10m 0.3"}},
                      Trouble{"TwiceAndOutOfOrder", {"net_twice all 10m 0.5", "net_order all 10m 0.3"}},
                      Trouble{"Slow", {"net_delay all 10m 40", "net_slow n1 10m 20000"}}),
    [](const auto& info) { return info.param.name; });

TEST(PeerProcesses, WhatComesTwiceIsReadOnceAndGarbageNotAtAll) {
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
  for (int i = 0; i < 1000; ++i) {  // a burst beyond what may be read at once
    error_code full;
    socket.send_to(asio::buffer(garbage[static_cast<std::size_t>(i) % 5]), {at.address(), at.port()}, 0,
                   full);
  }
  const auto dropped = [&](const char* why) {
    return peers.Figure(1, std::string("_dropped{why=\"") + why + "\"}");
  };
  ASSERT_TRUE(peers.WaitReadable([&] {
    return dropped("replay") > 5 && dropped("size") > 0 && dropped("form") > 0 && dropped("key") > 0 &&
           dropped("seal") > 0;
  }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.EventsOfAll("failed"), 0);
  std::ifstream log(peers.folder() / "n1.log");
  const std::string said{std::istreambuf_iterator<char>(log), {}};
  EXPECT_LT(std::count(said.begin(), said.end(), '\n'), 30) << said;
}

TEST(PeerProcesses, AnOldFormAmongNewOnes) {
  PeerFleet peers(3, {"a"});
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  std::ofstream(peers.folder() / "n1.toml", std::ios::app) << "wire = 1\n";
  const auto before = peers.View(0)["view"];
  peers.Apply("kill n1 10ms");
  ASSERT_TRUE(peers.WaitReadable([&] { return peers.View(0)["view"] != before; }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  peers.Apply("kill n2 10m");
  ASSERT_TRUE(peers.AwaitAgreement({{0, 1}}));
}

// Added at each, put first at each, the old one taken away, one half being cut off meanwhile.
TEST(PeerProcesses, AKeyIsChangedWhileTheFleetIsParted) {
  PeerFleet peers(4);
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  std::ifstream file(peers.folder() / "peers.key");
  std::string first, second = "2 ffeeddccbbaa99887766554433221100";
  std::getline(file, first);
  const auto take_over = [&](const std::string& keys, const Group& at) {
    std::ofstream(peers.folder() / "peers.key", std::ios::trunc) << keys << '\n';
    for (const int i : at) {
      const auto holds = [&] {
        std::ifstream log(peers.folder() / ("n" + std::to_string(i) + ".log"));
        const std::string said{std::istreambuf_iterator<char>(log), {}};
        std::size_t n = 0;
        for (std::size_t p = 0; (p = said.find("hold from now on", p)) != std::string::npos; ++p) ++n;
        return n;
      };
      const auto before = holds();
      ::kill(peers.Pid(i), SIGHUP);
      ASSERT_TRUE(peers.WaitReadable([&] { return holds() > before; }));
    }
  };
  take_over(first + "\n" + second, peers.All());
  peers.Apply("cut zone:a 10m");
  ASSERT_TRUE(peers.AwaitAgreement({{0, 2}, {1, 3}}));
  take_over(second + "\n" + first, {0, 2});
  peers.MendAll();
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  // The step is finished at the other half, and what was sealed before it has been read, before the next
  // begins.
  take_over(second + "\n" + first, {1, 3});
  ASSERT_TRUE(peers.AwaitDatagrams(peers.All(), 60));
  take_over(second, peers.All());
  EXPECT_EQ(peers.Figure(0, "_dropped{why=\"key\"}"), 0);
  peers.Apply("kill n3 10ms");
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
}

// A second process under the name of one that lives: the first holds it, both say so, and it comes to rest.
TEST(PeerProcesses, OfTwoWithOneNameTheFirstHoldsIt) {
  PeerFleet peers(3, {"a"});
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  std::ifstream file(peers.folder() / "n1.json");
  auto config = nlohmann::json::parse(file);
  const auto door = FreePort();
  config["listen"] = "127.0.0.1:" + std::to_string(FreePort().port());
  config["mgmt"] = "127.0.0.1:" + std::to_string(door.port());
  const ConfigFile platform(config.dump());
  const std::string own = "127.77.0.1:" + std::to_string(door.port());
  std::ofstream(peers.folder() / "twin.toml")
      << "version = 1\n[peers]\nlisten = \"" << own << "\"\nseeds = [\""
      << peers.fleet().Ask([](standin::Fleet& f) { return f.network().listens(0); })
      << "\"]\nkey_file = \"peers.key\"\n";
  const auto boot_at_all = peers.View(1)["members"][1]["boot"];
  Child twin({{"ROUTER_CONFIG", platform.path}}, 0, {"--operator", peers.folder() / "twin.toml"});
  ASSERT_TRUE(peers.WaitReadable([&] { return PeerFleet::ViewAt(door).value("displaced", false); }));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  ASSERT_TRUE(peers.AwaitDatagrams(peers.All(), 60));
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  EXPECT_EQ(peers.View(0)["members"][1]["boot"], boot_at_all);
  EXPECT_EQ(peers.Events(1, "name-taken"), 1);
  // Once the first has gone the other takes the name up.
  peers.Apply("kill n1 10m");
  ASSERT_TRUE(peers.WaitReadable([&] {
    const auto view = PeerFleet::ViewAt(door);
    return !view.value("displaced", true) && peers.View(0)["view"] == view["view"];
  }));
}

// Seven in ten at once, then all of them a tenth at a time.
TEST(PeerProcesses, SixteenOfWhichMostAreKilledAndThenAllRestarted) {
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
    ASSERT_TRUE(peers.WaitReadable([&] { return peers.View((i + 4) % 16)["view"] != old; }));
  }
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
}

// Kills, planned restarts, pauses, cuts, one-way links and losses as a seed draws them, while clients of all
// five proxies ask on, and their keys are claimed: the ledger finds no rule broken, and once all is well
// again views and copies are equal.
class Storm : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Storm, UnderLoadBreaksNoRuleAndViewsAgreeAfterIt) {
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
  figures.slack = Ms(10000);  // a slow machine is not the matter
  std::vector<Tcp::endpoint> proxies;
  for (const auto& text : peers.fleet().Ask([](standin::Fleet& f) { return f.proxy_addresses(); }))
    proxies.push_back(RunningFleet::EndpointOf(text));
  auto verdict =
      std::async(std::launch::async, [&] { return PlayAndJudge(plan, proxies, peers.fleet(), figures); });
  std::mt19937_64 draw(seed);
  while (verdict.wait_for(std::chrono::milliseconds(draw() % 900)) != std::future_status::ready) {
    const std::string n = "n" + std::to_string(draw() % 5), m = "n" + std::to_string(draw() % 5);
    const std::string lasts = " " + std::to_string(200 + draw() % 2500) + "ms";
    const std::string commands[] = {"kill " + n + lasts,  "restart_proxy " + n + lasts,
                                    "pause " + n + lasts, "cut zone:a" + lasts,
                                    "cut " + n + lasts,   "net_loss all" + lasts + " 0.4"};
    peers.Apply(commands[draw() % 6]);
    if (n != m) peers.Apply("cut " + n + ">" + m + lasts);
  }
  const auto judged = verdict.get();
  for (const auto& violation : judged.violations) ADD_FAILURE() << violation.text;
  EXPECT_GT(judged.served, judged.requests / 2);
  peers.MendAll();
  ASSERT_TRUE(peers.AwaitAgreement({peers.All()}));
  ASSERT_TRUE(peers.WaitReadable([&] { return peers.EqualCopies(peers.All()); }));
}
INSTANTIATE_TEST_SUITE_P(Seeds, Storm, ::testing::Values(20261201));

// An upgrade with two processes of one proxy on one listening socket: the new one takes the address up when
// the old one is told to stop, and nobody takes it for a failure or for a departure.
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
  const auto start = [&](const Tcp::endpoint& door) {
    config["mgmt"] = "127.0.0.1:" + std::to_string(door.port());
    const ConfigFile platform(config.dump());
    auto child = std::make_unique<Child>(
        std::map<std::string, std::string>{{"ROUTER_CONFIG", platform.path},
                                           {"ROUTER_INHERITED_FD", std::to_string(Child::kInherited)},
                                           {"TMPDIR", peers.folder().path()}},
        rlim_t{0}, std::vector<std::string>{"--operator", peers.folder() / "n2.toml"},
        listener.native_handle());
    EXPECT_TRUE(peers.WaitReadable([&] { return Call(door, "ready\n").starts_with("ACK"); }));
    return child;
  };
  auto running = start(FreePort());
  ASSERT_TRUE(peers.WaitReadable([&] { return PeerFleet::StateOf(peers.View(0), "n2") == "alive"; }));
  const auto failed = peers.Events(0, "failed"), left = peers.Events(0, "left");
  for (int upgrade = 0; upgrade < 3; ++upgrade) {
    const auto before = peers.View(0)["view"];
    auto next = start(FreePort());
    running->Signal(SIGTERM);
    EXPECT_EQ(running->Wait(), 0);
    running = std::move(next);
    ASSERT_TRUE(peers.WaitReadable([&] {
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

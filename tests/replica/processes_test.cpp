// SPDX-License-Identifier: Apache-2.0
//
// Several proxy processes that replicate their claims, with faults between them, clients that retry at other
// proxies, and a ledger that combines all attempts of a key.
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "support/audited_load.h"
#include "support/peer_fleet.h"
#include "support/process.h"

namespace kestrelline::testing {
namespace {

// A fleet that serves keyed requests by converters, each in its own cell, which abort their responses: a
// request that the client retries may have run. A key ran in a cell if the converter there did its work.
class KeyedFleet {
 public:
  KeyedFleet(int proxies, const std::string& replica, const std::string& breaks = "reset 100% 10m 0.7")
      : peers(proxies, {"a", "b"}, replica, 4) {
    EXPECT_TRUE(peers.AwaitAgreement({peers.All()}));
    EXPECT_TRUE(peers.Await([&] { return AllCurrent(peers.All()); }));
    if (!breaks.empty()) peers.Apply(breaks);
  }
  bool AllCurrent(const Group& group) {
    return std::all_of(group.begin(), group.end(),
                       [&](int i) { return peers.Replica(i).value("current", false); });
  }
  // The status of one attempt; 0 if there was no response.
  unsigned Ask(int proxy, const std::string& key) {
    const std::string id = key + "t" + std::to_string(++tries_);
    std::optional<Client> client;
    try {
      client.emplace(At(proxy));
    } catch (const boost::system::system_error&) {
      return 0;
    }
    Record(Event::Kind::kSent, id, "n" + std::to_string(proxy), "change");
    const auto answer = client->Ask("POST /change HTTP/1.1\r\nHost: x\r\nReq-Id: " + id +
                                    "\r\nIdempotency-Key: " + key + "\r\nContent-Length: 2\r\n\r\nhi");
    const unsigned status = answer.result_int();
    std::ostringstream text;
    text << answer;
    last_answer_ = text.str();
    if (status == 0) {
      Record(Event::Kind::kEnded, id);
    } else {
      const auto how = status == 200   ? load::Answer::kServed
                       : status == 503 ? load::Answer::kRefused
                                       : load::Answer::kFailed;
      Record(Event::Kind::kAnswered, id, "", status == 200 ? RequestOf(answer.body()) : "",
             static_cast<int>(how));
    }
    return status;
  }
  // Retries until the request is served: on a busy machine a proxy refuses some requests, which haven't run
  // then. Returns false for any other response.
  bool Serve(int proxy, const std::string& key) {
    constexpr int kMaxRefusals = 100;
    unsigned status = 503;
    for (int t = 0; t < kMaxRefusals && status == 503; ++t) status = Ask(proxy, key);
    return status == 200;
  }
  // Header and body of the last response, to explain a failure.
  const std::string& last_answer() const { return last_answer_; }
  Tcp::endpoint At(int proxy) {
    return RunningFleet::EndpointOf(peers.fleet().Ask(
        [&](standin::Fleet& f) { return f.proxy_addresses()[static_cast<std::size_t>(proxy)]; }));
  }
  // The cells in which each key ran.
  std::map<std::string, std::set<std::string>> CellsByKey() {
    std::map<std::string, std::set<std::string>> ran;
    for (const Event& e : peers.fleet().events.Get())
      if (e.kind == Event::Kind::kFinished && e.number == 1)
        ran[e.request.substr(0, e.request.find('t'))].insert(e.subject);
    return ran;
  }
  // Exit code of the command `kestrelline replica`, run for one proxy and compared with another.
  int Command(const std::string& what, int one, int other) {
    const auto door = [&](int i) { return "127.0.0.1:" + std::to_string(peers.Door(i).port()); };
    const int status = std::system(
        (std::string(PROXY_PATH) + " replica " + door(one) + " " + what + " " + door(other) + " >/dev/null")
            .c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  // Number of violations of "no effect twice", over all attempts of a key. No other rule may be violated.
  std::size_t CountDuplicateEffects() {
    load::RuleFigures figures = peers.fleet().Ask([](standin::Fleet& f) { return f.site().Rules(); });
    figures.keys_shared = true;
    figures.slack = std::chrono::seconds(10);  // a slow machine isn't a failure here
    const auto verdict = JudgeEvents(events_, peers.fleet().events.Get(), figures);
    EXPECT_TRUE(verdict.complete);
    for (const auto& v : verdict.violations)
      EXPECT_EQ(v.rule, load::Rule::kNoEffectTwice) << v.subject << ": " << v.text;
    return verdict.broken[static_cast<int>(load::Rule::kNoEffectTwice)];
  }

  PeerFleet peers;

 private:
  void Record(Event::Kind kind, const std::string& id, const std::string& proxy = "",
              const std::string& subject = "", int number = 0) {
    Event e;
    e.kind = kind;
    e.at = load::EventTime(std::chrono::steady_clock::now());
    e.request = id, e.proxy = proxy, e.subject = subject, e.number = number;
    e.span = std::chrono::seconds(60);
    events_.push_back(e);
  }
  static std::string RequestOf(const std::string& body) {
    const auto from = load::kMadeFor.size();
    return body.starts_with(load::kMadeFor) ? body.substr(from, body.find('\n') - from) : "";
  }

  std::vector<Event> events_;
  std::string last_answer_;
  int tries_ = 0;
};

// Without claims, a client that retries at another proxy runs its key in two cells, and the test detects it.
// With a claim that waits it never does, and the retries are served in the cell of the first attempt.
TEST(ReplicaProcesses, AKeyRetriedAtAnotherProxyRunsInOneCell) {
  const auto count_violations = [](const std::string& file, std::size_t* ran, std::size_t* served) {
    KeyedFleet fleet(3, "claim_within = \"1s\"\n" + file);
    for (int k = 0; k < 60; ++k) {
      unsigned status = 0;
      for (int t = 0; t < 6 && status != 200; ++t) status = fleet.Ask((k + t) % 3, "k" + std::to_string(k));
      *served += status == 200;
    }
    *ran = fleet.CellsByKey().size();
    return fleet.CountDuplicateEffects();
  };
  std::size_t ran = 0, served = 0;
  EXPECT_GT(count_violations("claim = \"none\"\n", &ran, &served), 5u);
  served = 0;
  EXPECT_EQ(count_violations("claim = \"none\"\n[class.change]\nclaim = \"wait 1\"\n", &ran, &served), 0u);
  EXPECT_EQ(ran, 60u);
  EXPECT_GT(served, 50u);
}

// A client retries at the same proxy, in a fleet of one.
TEST(ReplicaProcesses, ASingleProxyObeysItsOwnClaims) {
  const auto count_violations = [](const std::string& claim) {
    KeyedFleet fleet(1, "claim = \"" + claim + "\"\n", "reset 100% 10m 1");
    for (int k = 0; k < 40; ++k)
      for (int t = 0; t < 3; ++t) fleet.Ask(0, "k" + std::to_string(k));
    return fleet.CountDuplicateEffects();
  };
  EXPECT_GT(count_violations("none"), 5u);
  EXPECT_EQ(count_violations("tell"), 0u);
}

// The proxy that sent a request is killed, links are cut at random, and the key is retried at all other
// proxies: with "wait 1" it never runs in two cells.
class KeysUnderFaults : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(KeysUnderFaults, NoKeyRunsTwiceThoughOneIsKilledAndLinksAreCut) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  KeyedFleet fleet(5, "claim = \"wait 1\"\nclaim_within = \"100ms\"\n");
  std::mt19937_64 random(GetParam());
  const int killed = static_cast<int>(random() % 5);
  std::size_t answered = 0;
  for (int k = 0; k < 40; ++k) {
    const std::string key = "k" + std::to_string(k);
    const int first = k == 20 ? killed : static_cast<int>(random() % 5);
    fleet.Ask(first, key);
    if (k == 20) fleet.peers.Apply("kill n" + std::to_string(killed) + " 10m");
    const std::string a = "n" + std::to_string(random() % 5), b = "n" + std::to_string(random() % 5);
    const std::string faults[] = {"cut " + a + " 300ms", "cut " + a + ">" + b + " 400ms",
                                  "net_loss all 300ms 0.4", "cut zone:a 500ms"};
    if (random() % 3 == 0 && a != b) fleet.peers.Apply(faults[random() % 4]);
    for (int t = 1; t < 5; ++t) answered += fleet.Ask((first + t) % 5, key) == 200;
  }
  EXPECT_EQ(fleet.CountDuplicateEffects(), 0u);
  EXPECT_GT(answered, 40u);
  fleet.peers.MendAll();
  const Group left = fleet.peers.AllBut({killed});
  ASSERT_TRUE(fleet.peers.AwaitAgreement({left}));
  ASSERT_TRUE(fleet.peers.Await([&] { return fleet.peers.EqualCopies(left); }));
}
INSTANTIATE_TEST_SUITE_P(Seeds, KeysUnderFaults, ::testing::Values(1, 2));

// A proxy that restarts catches up and reports it; one that leaves hands over the entries that only it had.
// No process writes a file.
TEST(ReplicaProcesses, ARestartCatchesUpAndADepartureLosesNothing) {
  KeyedFleet fleet(3, "claim = \"tell\"\n", "");
  for (int k = 0; k < 50; ++k)
    ASSERT_TRUE(fleet.Serve(k % 2, "k" + std::to_string(k))) << fleet.last_answer();
  // Updates are sent within 10 ms, and a process that is killed at once may not get to send them.
  const auto holds = [&](int i, int entries) {
    const auto state = fleet.peers.Replica(i);
    return state.value("current", false) && state.value("entries", 0) == entries;
  };
  ASSERT_TRUE(fleet.peers.Await([&] { return holds(2, 50); }));
  fleet.peers.Apply("kill n1 10ms");
  ASSERT_TRUE(fleet.peers.Await([&] { return holds(1, 50); }));
  ASSERT_TRUE(fleet.peers.AwaitAgreement({fleet.peers.All()}));
  ASSERT_TRUE(fleet.peers.Await([&] { return fleet.peers.EqualCopies(fleet.peers.All()); }));
  EXPECT_TRUE(
      fleet.peers.Await([&] { return fleet.Command("diff", 0, 1) == 0; }));  // as an operator would check
  fleet.peers.Apply("cut n2 10m");
  ASSERT_TRUE(fleet.peers.AwaitAgreement({{0, 1}, {2}}));
  ASSERT_TRUE(fleet.Serve(0, "k99")) << fleet.last_answer();
  EXPECT_EQ(fleet.Command("diff", 0, 2), 4);
  fleet.peers.MendAll();
  EXPECT_TRUE(fleet.peers.Await([&] { return fleet.Command("diff", 0, 2) == 0; }));
  fleet.peers.Apply("net_loss all 10m 0.9");
  for (int k = 50; k < 60; ++k) ASSERT_TRUE(fleet.Serve(0, "k" + std::to_string(k))) << fleet.last_answer();
  fleet.peers.MendAll();
  fleet.peers.Apply("restart_proxy n0 10m");
  ASSERT_TRUE(fleet.peers.Await([&] { return holds(2, 61); }));
}

// Without a majority, requests whose claim has to wait are refused at once and don't run.
TEST(ReplicaProcesses, WithoutAMajorityWaitingRequestsAreRefusedAtOnce) {
  KeyedFleet fleet(4, "claim = \"wait 1\"\nclaim_within = \"1s\"\n", "");
  fleet.peers.Apply("kill n1 10m");
  fleet.peers.Apply("kill n2 10m");
  fleet.peers.Apply("kill n3 10m");
  ASSERT_TRUE(fleet.peers.AwaitAgreement({{0}}));
  EXPECT_EQ(fleet.Ask(0, "k0"), 503u);
  EXPECT_TRUE(fleet.CellsByKey().empty());
  EXPECT_EQ(Client(fleet.At(0)).Ask("GET /look HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n").result_int(), 200u);
}

}  // namespace
}  // namespace kestrelline::testing

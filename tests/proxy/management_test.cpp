// SPDX-License-Identifier: Apache-2.0
//
// The management endpoint over sockets: its commands and limits, the metrics compared with what clients and
// backends counted, and drains under load.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <random>
#include <thread>

#include "support/loopback.h"
#include "support/management_client.h"

namespace kestrelline::testing {
namespace {

// A site whose proxy has a management endpoint.
struct Managed : Site {
  explicit Managed(std::vector<nlohmann::json> known) : Site(std::move(known)) {
    config["mgmt"] = "127.0.0.1:0";
  }
  void Start() {
    Site::Start();
    endpoint = proxy->Ask([](proxy::Proxy& p) { return p.management_address(); });
  }
  std::string Command(const std::string& line) const { return Call(endpoint, line + "\n"); }
  Tcp::endpoint endpoint;
};

unsigned ReadyStatus(const Tcp::endpoint& address) {
  return Client(address).Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
}

TEST(ManagementEndpoint, IsOffWithoutAnAddressAndRejectsAnInvalidOne) {
  Site site(Members());
  EXPECT_FALSE(ConfigOf(site.config).management);
  site.config["mgmt"] = "127.0.0.1:7000";
  EXPECT_EQ(ConfigOf(site.config).management->port(), 7000);
  for (const char* bad : {"here", "127.0.0.1", "127.0.0.1:99999999", "x:1"}) {
    site.config["mgmt"] = bad;
    EXPECT_THROW(ConfigOf(site.config), proxy::ConfigError) << bad;
  }
  const auto env = [](const char* name) -> const char* {
    return std::string(name) == "ROUTER_MGMT" ? "127.0.0.1:7001" : nullptr;
  };
  EXPECT_EQ(proxy::ParseConfig(ConfigJson(kAnyPort, {}).dump(), env).management->port(), 7001);
}

TEST(ManagementEndpoint, AnswersDespiteTwoHundredIdleOrHalfSentConnections) {
  Managed site(Members());
  site.Start();
  std::vector<std::unique_ptr<Client>> connections;
  for (int i = 0; i < 200; ++i) {
    connections.push_back(std::make_unique<Client>(site.endpoint));
    if (i % 2) connections.back()->Send("show-st");
  }
  for (int i = 0; i < 5; ++i) EXPECT_EQ(site.Command("ready"), "NAK starting\n");
  EXPECT_NE(site.Command("show-stat").find("proxy_active 0\n"), std::string::npos);
}

TEST(ManagementEndpoint, AnswersWhileClientConnectionsAreAtTheirLimit) {
  Backend backend;
  Managed site(Members(MemberJson("s-1", backend.address())));
  site.config["limits"]["sockets"] = 96;
  site.Start();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 300; ++i) clients.push_back(std::make_unique<Client>(site.proxy->address));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(site.Command("ready"), "ACK ready\n");
}

TEST(ManagementEndpoint, AnswersOrClosesOnMalformedInput) {
  Managed site(Members());
  site.Start();
  EXPECT_EQ(Call(site.endpoint, "ready\r\n").substr(0, 3), "NAK");
  EXPECT_EQ(Call(site.endpoint, std::string(100000, 'x')).substr(0, 3), "NAK");
  EXPECT_EQ(Call(site.endpoint, std::string("\0\xff\n", 3)).substr(0, 3), "NAK");
  EXPECT_EQ(Call(site.endpoint, "\n"), "NAK empty line\n");
  EXPECT_EQ(Call(site.endpoint, "drai", /*end=*/true), "NAK half a line\n");
  EXPECT_EQ(Call(site.endpoint, "", /*end=*/true), "");
  EXPECT_EQ(Call(site.endpoint, "ready\nready\ndrain\n"), "NAK starting\n");  // one command per connection
  EXPECT_EQ(site.proxy->Ask([](proxy::Proxy& p) { return p.held(); }), 0u);
  EXPECT_EQ(site.Command("resume"), "ACK was not draining\n");  // the third line was not run
}

// Requests that are served, declined by all backends, failed or retried, and clients that disconnect: the
// metrics equal the counts of the clients and the backends.
TEST(Metrics, EqualWhatClientsAndBackendsCounted) {
  Watched<bool> release;
  const auto answer = [&](Tcp::socket& s, const HttpRequest& r) {
    if (r["X-Do"] == "hold") release.WaitFor([](bool go) { return go; });
    SendRaw(s, r["X-Do"] == "decline" ? std::string(kDeclined)
               : r["X-Do"] == "fail"  ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                                      : OkAnswer("fine"));
    return true;
  };
  Backend one(answer), two(answer);
  Managed site(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  site.Start();
  std::mt19937 random(7);
  std::map<std::string, double> counted;
  {
    Client client(site.proxy->address);
    for (int i = 0; i < 120; ++i) {
      const char* actions[] = {"serve", "decline", "fail"};
      const std::string headers = "X-Do: " + std::string(actions[random() % 3]) + "\r\n",
                        id = "f" + std::to_string(i);
      const bool look = random() % 2;
      const unsigned status =
          client.Ask(WithId(look ? Look(headers) : Post("book", headers), id)).result_int();
      const char* name = status == 200 ? "proxy_ok" : status == 503 ? "proxy_shed" : "proxy_errors";
      ++counted[std::string(name) + "{kind=\"" + (look ? "look" : "book") + "\"}"];
    }
    // Rejected before the decision module sees it, and a request of no class.
    EXPECT_EQ(client.Ask("GET /book HTTP/1.1\r\nReq-Id: x\r\n\r\n").result_int(), 405u);
    ++counted["proxy_errors{kind=\"book\"}"];
    EXPECT_EQ(Client(site.proxy->address).Ask("GET /unheard HTTP/1.1\r\nReq-Id: x\r\n\r\n").result_int(),
              404u);
    for (int i = 0; i < 3; ++i) {
      Client disconnecting(site.proxy->address);
      disconnecting.Send(WithId(Look("X-Do: hold\r\n"), "g" + std::to_string(i)));
      if (i == 0) {
        ASSERT_TRUE(one.seen.WaitFor([](const Backend::Seen& s) { return !s.requests.empty(); }));
        Client other(site.proxy->address);
        other.Send(WithId(Look("X-Do: hold\r\n"), "other"));
        while (FetchMetrics(site.endpoint)["proxy_active"] < 2) std::this_thread::yield();
        EXPECT_EQ(FetchMetrics(site.endpoint)["proxy_active"], 2);
      }
    }
  }
  release.Do([](bool& go) { go = true; });
  ASSERT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  while (FetchMetrics(site.endpoint)["proxy_active"] != 0) std::this_thread::yield();
  const auto metrics = FetchMetrics(site.endpoint);
  for (const auto& [name, value] : counted) EXPECT_EQ(metrics.at(name), value) << name;
  // Each backend reads on a thread of its own, which may lag behind the writes that the proxy counted.
  const auto seen = [&] { return one.seen.Get().requests.size() + two.seen.Get().requests.size(); };
  const auto deadline = std::chrono::steady_clock::now() + kGiveUp;
  while (static_cast<double>(seen()) < metrics.at("proxy_tries") &&
         std::chrono::steady_clock::now() < deadline)
    std::this_thread::yield();
  EXPECT_EQ(metrics.at("proxy_tries"), static_cast<double>(seen()));
  EXPECT_EQ(metrics.at("proxy_pool_size"), 2);
  EXPECT_GT(metrics.count("proxy_pool_ejected"), 0u);
  EXPECT_EQ(metrics.size(), 3u * 3 + 4);
}

TEST(Metrics, PoolSizeFollowsTheInstanceList) {
  Backend backend;
  Managed site(Members(MemberJson("s-1", backend.address()), MemberJson("s-2", backend.address())));
  site.Start();
  ASSERT_TRUE(site.discovery.WaitForWatches(1));
  const auto await_size = [&](double size) {
    const auto deadline = std::chrono::steady_clock::now() + kGiveUp;
    while (FetchMetrics(site.endpoint)["proxy_pool_size"] != size &&
           std::chrono::steady_clock::now() < deadline)
      std::this_thread::yield();
    EXPECT_EQ(FetchMetrics(site.endpoint)["proxy_pool_size"], size);
  };
  await_size(2);
  site.discovery.Push(ListJson(42, false, Members(MemberJson("s-3", backend.address()))));
  await_size(3);
  site.discovery.Push(ListJson(43, false, Members(MemberJson("s-1", backend.address(), "terminated"))));
  await_size(2);
  site.discovery.Push(ListJson(44, true, Members(MemberJson("s-9", backend.address()))));
  await_size(1);
}

TEST(Drain, FailsReadinessAndClosesConnectionsAndResumeRestoresBothAtOnce) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["X-Do"] == "hold") release.WaitFor([](bool go) { return go; });
    SendRaw(s, OkAnswer("fine"));
    return true;
  });
  Managed site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  EXPECT_EQ(ReadyStatus(site.proxy->address), 200u);
  Client held(site.proxy->address), idle(site.proxy->address), half(site.proxy->address),
      used(site.proxy->address);
  EXPECT_EQ(idle.Ask(WithId(Look(), "idle")).result_int(), 200u);
  EXPECT_EQ(used.Ask(WithId(Look(), "used")).result_int(), 200u);
  held.Send(WithId(Look("X-Do: hold\r\n"), "held"));
  half.Send("GET /look HTT");
  ASSERT_TRUE(backend.WaitForRequests(3));
  EXPECT_EQ(site.Command("drain"), "ACK draining\n");
  EXPECT_EQ(ReadyStatus(site.proxy->address), 503u);
  EXPECT_EQ(site.Command("ready"), "NAK draining\n");
  // Requests on kept and on new connections are served, and each response closes its connection.
  const auto answer = used.Ask(WithId(Look(), "again"));
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_TRUE(used.Ended());
  Client late(site.proxy->address);
  EXPECT_EQ(late.Ask(WithId(Look(), "late")).result_int(), 200u);
  EXPECT_TRUE(late.Ended());
  EXPECT_TRUE(idle.Ended());
  EXPECT_EQ(half.Read().result_int(), 503u);
  EXPECT_TRUE(half.Ended());
  release.Do([](bool& go) { go = true; });
  EXPECT_EQ(held.Read().result_int(), 200u);
  EXPECT_TRUE(held.Ended());
  EXPECT_EQ(site.Command("resume"), "ACK no longer draining\n");
  EXPECT_EQ(ReadyStatus(site.proxy->address), 200u);
  Client after(site.proxy->address);
  EXPECT_TRUE(after.Ask(WithId(Look(), "after")).keep_alive());
}

// Clients that keep or renew their connections while drains, resumes and finally a stop come at random times:
// each request gets one response, and a client repeats it only if its connection ended before any byte of
// one.
TEST(Drain, AtRandomTimesLosesNoRequestAndRunsNoneTwice) {
  const unsigned seed = std::random_device{}();
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937 random(seed);
  Watched<std::map<std::string, int>> runs;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    runs.Do([&](auto& all) { ++all[std::string(r["Req-Id"])]; });
    SendRaw(s, OkAnswer(std::string(r["Req-Id"])));
    return true;
  });
  Managed site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  std::atomic<bool> stop{false};
  std::atomic<int> served{0}, wrong{0};
  std::vector<std::thread> clients;
  for (int client_number = 0; client_number < 6; ++client_number) {
    clients.emplace_back([&, client_number] {
      std::unique_ptr<Client> client;
      for (int i = 0; !stop; ++i) {
        const std::string id = std::to_string(client_number) + "-" + std::to_string(i);
        HttpResponse answer;
        for (int tries = 0; tries < 20 && !stop; ++tries) {
          if (!client) client = std::make_unique<Client>(site.proxy->address);
          answer = client->Ask(WithId(Book(), id));
          if (answer.result_int() != 0) break;
          client.reset();
        }
        if (stop) return;
        ++(answer.result_int() == 200 && answer.body() == id ? served : wrong);
        if (!answer.keep_alive() || client_number % 2) client.reset();
      }
    });
  }
  for (int i = 0; i < 60; ++i) {
    const std::string answer = site.Command(random() % 2 ? "drain" : "resume");
    EXPECT_EQ(answer.substr(0, 4), "ACK ");
    const int target = served + static_cast<int>(random() % 60);  // lets some requests run in between
    while (served < target) std::this_thread::yield();
  }
  stop = true;
  for (auto& client : clients) client.join();
  EXPECT_EQ(wrong, 0);
  EXPECT_GT(served, 100);
  for (const auto& [id, times] : runs.Get()) EXPECT_EQ(times, 1) << id;
  EXPECT_EQ(site.proxy->Stop().wait_for(kGiveUp), std::future_status::ready);
}

}  // namespace
}  // namespace kestrelline::testing

// SPDX-License-Identifier: Apache-2.0
//
// The management interface over sockets, metrics compared with what clients and backends counted, and drains
// under load.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <random>
#include <thread>

#include "support/door_call.h"
#include "support/loopback.h"

namespace kestrelline::testing {
namespace {

// A site whose proxy has a management interface.
struct ManagedSite : Site {
  explicit ManagedSite(std::vector<nlohmann::json> known) : Site(std::move(known)) {
    config["mgmt"] = "127.0.0.1:0";
  }
  void Start() {
    Site::Start();
    management = proxy->Ask([](proxy::Proxy& p) { return p.management_address(); });
  }
  std::string Command(const std::string& line) const { return Call(management, line + "\n"); }
  Tcp::endpoint management;
};

unsigned ReadyStatusOf(const Tcp::endpoint& address) {
  return Client(address).Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
}

TEST(Management, IsOffWithoutAnAddressAndABadAddressIsRefused) {
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

TEST(Management, AnswersDespite200SilentOrIncompleteConnections) {
  ManagedSite site(Members());
  site.Start();
  std::vector<std::unique_ptr<Client>> callers;
  for (int i = 0; i < 200; ++i) {
    callers.push_back(std::make_unique<Client>(site.management));
    if (i % 2) callers.back()->Send("show-st");
  }
  for (int i = 0; i < 5; ++i) EXPECT_EQ(site.Command("ready"), "NAK starting\n");
  EXPECT_NE(site.Command("show-stat").find("proxy_active 0\n"), std::string::npos);
}

TEST(Management, AnswersAtTheClientConnectionLimit) {
  Backend backend;
  ManagedSite site(Members(MemberJson("s-1", backend.address())));
  site.config["limits"]["sockets"] = 96;
  site.Start();
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 300; ++i) crowd.push_back(std::make_unique<Client>(site.proxy->address));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(site.Command("ready"), "ACK ready\n");
}

TEST(Management, EveryMalformedCommandGetsAnErrorLineOrAClose) {
  ManagedSite site(Members());
  site.Start();
  EXPECT_EQ(Call(site.management, "ready\r\n").substr(0, 3), "NAK");
  EXPECT_EQ(Call(site.management, std::string(100000, 'x')).substr(0, 3), "NAK");
  EXPECT_EQ(Call(site.management, std::string("\0\xff\n", 3)).substr(0, 3), "NAK");
  EXPECT_EQ(Call(site.management, "\n"), "NAK empty line\n");
  EXPECT_EQ(Call(site.management, "drai", /*end=*/true), "NAK half a line\n");
  EXPECT_EQ(Call(site.management, "", /*end=*/true), "");
  EXPECT_EQ(Call(site.management, "ready\nready\ndrain\n"), "NAK starting\n");  // one command per connection
  EXPECT_EQ(site.proxy->Ask([](proxy::Proxy& p) { return p.held(); }), 0u);
  EXPECT_EQ(site.Command("resume"), "ACK was not draining\n");  // the third line was not executed
}

// Requests that are served, declined by each backend, failed or retried, and clients that disconnect.
TEST(Metrics, EqualTheCountsOfClientsAndBackends) {
  Watched<bool> release;
  const auto answer = [&](Tcp::socket& s, const HttpRequest& r) {
    if (r["X-Do"] == "hold") release.WaitFor([](bool go) { return go; });
    SendRaw(s, r["X-Do"] == "decline" ? std::string(kDeclined)
               : r["X-Do"] == "fail"  ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                                      : OkAnswer("fine"));
    return true;
  };
  Backend one(answer), two(answer);
  ManagedSite site(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  site.Start();
  std::mt19937 random(7);
  std::map<std::string, double> counted;
  {
    Client client(site.proxy->address);
    for (int i = 0; i < 120; ++i) {
      const char* what[] = {"serve", "decline", "fail"};
      const std::string more = "X-Do: " + std::string(what[random() % 3]) + "\r\n",
                        id = "f" + std::to_string(i);
      const bool is_look = random() % 2;
      const unsigned status = client.Ask(WithId(is_look ? Look(more) : Post("book", more), id)).result_int();
      const char* name = status == 200 ? "proxy_ok" : status == 503 ? "proxy_shed" : "proxy_errors";
      ++counted[std::string(name) + "{kind=\"" + (is_look ? "look" : "book") + "\"}"];
    }
    // A request that is rejected before it reaches the balancer, and one without a class.
    EXPECT_EQ(client.Ask("GET /book HTTP/1.1\r\nReq-Id: x\r\n\r\n").result_int(), 405u);
    ++counted["proxy_errors{kind=\"book\"}"];
    EXPECT_EQ(Client(site.proxy->address).Ask("GET /unheard HTTP/1.1\r\nReq-Id: x\r\n\r\n").result_int(),
              404u);
    for (int i = 0; i < 3; ++i) {
      Client gone(site.proxy->address);
      gone.Send(WithId(Look("X-Do: hold\r\n"), "g" + std::to_string(i)));
      if (i == 0) {
        ASSERT_TRUE(one.seen.WaitFor([](const Backend::Seen& s) { return !s.requests.empty(); }));
        Client other(site.proxy->address);
        other.Send(WithId(Look("X-Do: hold\r\n"), "other"));
        while (FiguresOf(site.management)["proxy_active"] < 2) std::this_thread::yield();
        EXPECT_EQ(FiguresOf(site.management)["proxy_active"], 2);
      }
    }
  }
  release.Do([](bool& go) { go = true; });
  ASSERT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  while (FiguresOf(site.management)["proxy_active"] != 0) std::this_thread::yield();
  const auto figures = FiguresOf(site.management);
  for (const auto& [name, value] : counted) EXPECT_EQ(figures.at(name), value) << name;
  // A backend reads in its own thread, which may lag behind.
  const auto seen = [&] { return one.seen.Get().requests.size() + two.seen.Get().requests.size(); };
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (static_cast<double>(seen()) < figures.at("proxy_tries") && std::chrono::steady_clock::now() < until)
    std::this_thread::yield();
  EXPECT_EQ(figures.at("proxy_tries"), static_cast<double>(seen()));
  EXPECT_EQ(figures.at("proxy_pool_size"), 2);
  EXPECT_GT(figures.count("proxy_pool_ejected"), 0u);
  EXPECT_EQ(figures.size(), 3u * 3 + 4);
}

TEST(Metrics, ThePoolSizeFollowsTheList) {
  Backend backend;
  ManagedSite site(Members(MemberJson("s-1", backend.address()), MemberJson("s-2", backend.address())));
  site.Start();
  ASSERT_TRUE(site.discovery.WaitForWatches(1));
  const auto await = [&](double size) {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (FiguresOf(site.management)["proxy_pool_size"] != size && std::chrono::steady_clock::now() < until)
      std::this_thread::yield();
    EXPECT_EQ(FiguresOf(site.management)["proxy_pool_size"], size);
  };
  await(2);
  site.discovery.Push(ListJson(42, false, Members(MemberJson("s-3", backend.address()))));
  await(3);
  site.discovery.Push(ListJson(43, false, Members(MemberJson("s-1", backend.address(), "terminated"))));
  await(2);
  site.discovery.Push(ListJson(44, true, Members(MemberJson("s-9", backend.address()))));
  await(1);
}

TEST(Drain, IsNotReadyAtOnceClosesConnectionsAndResumesAtOnce) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["X-Do"] == "hold") release.WaitFor([](bool go) { return go; });
    SendRaw(s, OkAnswer("fine"));
    return true;
  });
  ManagedSite site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  EXPECT_EQ(ReadyStatusOf(site.proxy->address), 200u);
  Client held(site.proxy->address), idle(site.proxy->address), half(site.proxy->address),
      used(site.proxy->address);
  EXPECT_EQ(idle.Ask(WithId(Look(), "idle")).result_int(), 200u);
  EXPECT_EQ(used.Ask(WithId(Look(), "used")).result_int(), 200u);
  held.Send(WithId(Look("X-Do: hold\r\n"), "held"));
  half.Send("GET /look HTT");
  ASSERT_TRUE(backend.WaitForRequests(3));
  EXPECT_EQ(site.Command("drain"), "ACK draining\n");
  EXPECT_EQ(ReadyStatusOf(site.proxy->address), 503u);
  EXPECT_EQ(site.Command("ready"), "NAK draining\n");
  // Existing and new connections are served, and each response closes its connection.
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
  EXPECT_EQ(ReadyStatusOf(site.proxy->address), 200u);
  Client after(site.proxy->address);
  EXPECT_TRUE(after.Ask(WithId(Look(), "after")).keep_alive());
}

// Clients keep and renew connections during drains, resumes and a final stop at random moments. Each request
// gets one response; clients resend it only if the connection ended before any byte of a response.
TEST(Drain, AtRandomMomentsLosesNoRequestAndRunsNoneTwice) {
  const unsigned seed = std::random_device{}();
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937 random(seed);
  Watched<std::map<std::string, int>> ran;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    ran.Do([&](auto& all) { ++all[std::string(r["Req-Id"])]; });
    SendRaw(s, OkAnswer(std::string(r["Req-Id"])));
    return true;
  });
  ManagedSite site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  std::atomic<bool> over{false};
  std::atomic<int> served{0}, wrong{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      std::unique_ptr<Client> client;
      for (int i = 0; !over; ++i) {
        const std::string id = std::to_string(c) + "-" + std::to_string(i);
        HttpResponse answer;
        for (int tries = 0; tries < 20 && !over; ++tries) {
          if (!client) client = std::make_unique<Client>(site.proxy->address);
          answer = client->Ask(WithId(Book(), id));
          if (answer.result_int() != 0) break;
          client.reset();
        }
        if (over) return;
        ++(answer.result_int() == 200 && answer.body() == id ? served : wrong);
        if (!answer.keep_alive() || c % 2) client.reset();
      }
    });
  }
  for (int i = 0; i < 60; ++i) {
    const std::string reply = site.Command(random() % 2 ? "drain" : "resume");
    EXPECT_EQ(reply.substr(0, 4), "ACK ");
    const int until = served + static_cast<int>(random() % 60);  // some requests pass in between
    while (served < until) std::this_thread::yield();
  }
  over = true;
  for (auto& client : clients) client.join();
  EXPECT_EQ(wrong, 0);
  EXPECT_GT(served, 100);
  for (const auto& [id, times] : ran.Get()) EXPECT_EQ(times, 1) << id;
  EXPECT_EQ(site.proxy->Stop().wait_for(kGiveUp), std::future_status::ready);
}

}  // namespace
}  // namespace kestrelline::testing

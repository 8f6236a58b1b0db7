// SPDX-License-Identifier: Apache-2.0
//
// Orders of events around the exit of a proxy: late ticks, bursts, pipelined requests.
#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "router_fleet/client_socket.h"
#include "router_fleet/fleet_fixture.h"
#include "router_fleet/kept_connection.h"

namespace kestrelline::router_fleet {
namespace {

constexpr milliseconds kResponseTimeout{3000};  // for responses that should come at once
// Times after SIGTERM with the fixture's grace_s of 6: end of accepting, finalization and exit.
constexpr milliseconds kAcceptsUntil{2600};
constexpr milliseconds kFinalizesAt{5350};
constexpr milliseconds kExitsAt{5650};

std::string Post(const std::string& path, const std::string& id, const std::string& fields = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\n" + fields +
         "Content-Length: 5\r\n\r\nhello";
}

std::string Generation(const std::string& id) {
  return Post("/llm/x", id,
              "Deadline-Ms: 30000\r\nModel-Name: m\r\nToken-Count: 9000,50\r\nPrompt-Prefix: aa:8900," + id +
                  ":100\r\n");
}

void WaitUntil(Clock::time_point time) {
  Eventually([time] { return Clock::now() >= time; });
}

bool BeginWithTimeout(const Fleet& fleet, int timeout_ms) {
  return fleet.Put(fleet.Configuration(1, timeout_ms), 0) == 200 &&
         Eventually([&] { return fleet.AllReady(); });
}

using Clients = std::vector<std::unique_ptr<ClientSocket>>;

// Opens `count` connections; fewer if one is refused.
Clients Connect(const Fleet& fleet, int count) {
  Clients clients;
  while (static_cast<int>(clients.size()) < count) {
    auto client = std::make_unique<ClientSocket>(fleet.EdgeIp(0), Fleet::kFront);
    if (!client->connected()) break;
    clients.push_back(std::move(client));
  }
  return clients;
}

// Sends one request on each connection.
bool SendAll(const Clients& clients, const std::string& fields = "") {
  int number = 0;
  for (const auto& client : clients) {
    if (!client->Send(Post("/app/x", "r" + std::to_string(number++), fields))) return false;
  }
  return true;
}

int CountAnswered(const Clients& clients) {
  int answered = 0;
  for (const auto& client : clients) {
    client->ReadToEnd(kResponseTimeout);
    answered += client->status() != 0 ? 1 : 0;
  }
  return answered;
}

// Sends SIGTERM. The process gets no CPU time from `from` until `to` after that; `meanwhile` runs in between.
void StopAndSuspend(Fleet& fleet, milliseconds from, milliseconds to,
                    const std::function<void()>& meanwhile) {
  const auto stopped_at = Clock::now();
  fleet.edge(0).Signal(SIGTERM);
  WaitUntil(stopped_at + from);
  fleet.edge(0).Signal(SIGSTOP);
  meanwhile();
  WaitUntil(stopped_at + to);
  fleet.edge(0).Signal(SIGCONT);
}

// The process gets no CPU time around finalization and exit.
TEST(EdgeDrainOrders, ALateTickStillAnswersOpenRequests) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  fleet.backend("a0").Expect({Fault::kHang});
  KeptConnection client(fleet.EdgeIp(0), Fleet::kFront);
  client.Send(Post("/app/x", "r1", "Deadline-Ms: 30000\r\n"));
  ASSERT_TRUE(Eventually([&] { return fleet.Runs("r1") == 1; }));
  StopAndSuspend(fleet, kFinalizesAt - milliseconds(150), kExitsAt + milliseconds(50), [] {});
  EXPECT_TRUE(client.ReadAnswer().ended_well);
  EXPECT_TRUE(Eventually([&] { return fleet.edge(0).Ended(); }));
}

// New connections with requests are in the kernel's queue when the proxy stops accepting.
TEST(EdgeDrainOrders, QueuedConnectionsAreAnswered) {
  constexpr int kClients = 8;
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  Clients clients;
  StopAndSuspend(fleet, kAcceptsUntil - milliseconds(200), kAcceptsUntil + milliseconds(150), [&] {
    clients = Connect(fleet, kClients);
    ASSERT_EQ(static_cast<int>(clients.size()), kClients);
    ASSERT_TRUE(SendAll(clients, "Connection: close\r\n"));
  });
  EXPECT_EQ(CountAnswered(clients), kClients);
}

// More connections receive a request at once than one round of the reactor handles.
TEST(EdgeDrainOrders, RequestsOnKeptConnectionsAreAnsweredWhileIdleOnesAreClosed) {
  constexpr int kClients = 300;
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  const Clients clients = Connect(fleet, kClients);
  ASSERT_EQ(static_cast<int>(clients.size()), kClients);
  ASSERT_EQ(fleet.Send(0, "/app/x", "first").status, 200);  // so all connections above are accepted
  StopAndSuspend(fleet, kAcceptsUntil - milliseconds(200), kAcceptsUntil + milliseconds(150),
                 [&] { ASSERT_TRUE(SendAll(clients)); });
  EXPECT_EQ(CountAnswered(clients), kClients);
}

// drain_schedule.h leaves 300 ms for the final responses; according to open_requests.h, started responses
// continue.
TEST(EdgeDrainOrders, AStartedStreamContinuesUntilTheExit) {
  Fleet::Options options = Fleet::Split(1, 1);
  options.events = 2000;
  options.between = milliseconds(10);
  Fleet fleet(options);
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Generation("r1")));
  ASSERT_TRUE(client.ReadSome(kResponseTimeout));
  const auto stopped_at = Clock::now();
  fleet.edge(0).Signal(SIGTERM);
  client.ReadToEnd(kResponseTimeout);
  const auto lasted = std::chrono::duration_cast<milliseconds>(Clock::now() - stopped_at);
  EXPECT_GE(lasted.count(), (kExitsAt - milliseconds(80)).count());
}

TEST(EdgeDrainOrders, ARequestInPrefillAtTheExitIsRejected) {
  Fleet fleet(Fleet::Split(1, 1));
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  fleet.backend("p0").Expect({Fault::kHang, Fault::kHang, Fault::kHang, Fault::kHang});
  fleet.backend("d0").Expect({Fault::kHang, Fault::kHang, Fault::kHang, Fault::kHang});
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Generation("r1")));
  ASSERT_TRUE(Eventually(
      [&] { return !fleet.backend("p0").arrivals().empty() || !fleet.backend("d0").arrivals().empty(); }));
  fleet.edge(0).Signal(SIGTERM);
  client.ReadToEnd(kGiveUp);
  const bool unavailable = client.status() == 503;
  EXPECT_NE(client.status(), 0);
  EXPECT_TRUE(!unavailable || fleet.Runs("r1") == 0) << client.text();
}

// The client was not told to close before its second request, which the proxy has read.
TEST(EdgeDrainOrders, BothPipelinedRequestsOfAHalfClosedClientAreAnswered) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Post("/app/x", "r1") + Post("/app/x", "r2")));
  client.EndSending();
  client.ReadToEnd(kResponseTimeout);
  int answers = 0;
  for (std::size_t at = 0; (at = client.text().find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++answers;
  EXPECT_EQ(answers, 2) << client.text();
}

// A burst of new connections arrives while idle ones occupy all connections of the proxy.
TEST(EdgeDrainOrders, ABurstIsAnsweredDespiteManyIdleConnections) {
  constexpr int kIdle = 372;  // as many as the fixture's max_fds allows
  constexpr int kBurst = 100;
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  const Clients idle = Connect(fleet, kIdle);
  ASSERT_EQ(static_cast<int>(idle.size()), kIdle);
  ASSERT_EQ(fleet.Send(0, "/app/x", "first").status, 200);
  fleet.edge(0).Signal(SIGSTOP);
  const Clients burst = Connect(fleet, kBurst);
  ASSERT_EQ(static_cast<int>(burst.size()), kBurst);
  ASSERT_TRUE(SendAll(burst, "Connection: close\r\n"));
  fleet.edge(0).Signal(SIGCONT);
  EXPECT_EQ(CountAnswered(burst), kBurst);
}

// A client with random behaviour around the stop of its proxy. Whatever reached a backend must be answered,
// unless the client left first.
class RandomClient {
 public:
  RandomClient(Fleet& fleet, int number)
      : fleet_(fleet), number_(number), random_(static_cast<unsigned>(number) + 1) {}
  void Run(Clock::time_point until) {
    while (Clock::now() < until) Session(until);
  }
  // Requests sent completely by a client that waited for the response and got none.
  const std::vector<std::string>& unanswered() const { return unanswered_; }
  int requests_sent() const { return requests_sent_; }

 private:
  std::string NextId() { return "c" + std::to_string(number_) + "-" + std::to_string(++requests_sent_); }
  int Below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
  std::string Request(const std::string& id) {
    const std::string deadline = "Deadline-Ms: " + std::to_string(200 + Below(9000)) + "\r\n";
    switch (Below(3)) {
      case 0:
        return Post("/app/x", id, deadline);
      case 1:
        return Post("/safe/x", id, deadline);
      default:
        return Generation(id);
    }
  }
  void Session(Clock::time_point until) {
    KeptConnection client(fleet_.EdgeIp(0), Fleet::kFront);
    if (!client.connected()) return WaitUntil(Clock::now() + milliseconds(20));
    while (Clock::now() < until) {
      const std::string id = NextId();
      const std::string text = Request(id);
      switch (Below(12)) {
        case 0:  // disconnects after a random time
          client.Send(text);
          return WaitUntil(Clock::now() + milliseconds(Below(100)));
        case 1:  // an incomplete request
          client.Send(text.substr(0, text.size() - 3));
          return WaitUntil(Clock::now() + milliseconds(Below(100)));
        case 2:  // in two parts
          client.Send(text.substr(0, text.size() / 2));
          WaitUntil(Clock::now() + milliseconds(Below(300)));
          client.Send(text.substr(text.size() / 2));
          break;
        case 3: {  // two pipelined requests: the second response is read below
          const std::string first = NextId();
          client.Send(Post("/app/x", first) + Post("/safe/x", id));
          if (!client.ReadAnswer().ended_well) unanswered_.push_back(first);
          break;
        }
        default:
          client.Send(text);
      }
      const Answer answer = client.ReadAnswer();
      if (!answer.ended_well) {
        unanswered_.push_back(id + (answer.text.empty() ? "" : " broken off"));
        return;
      }
      if (answer.Has("Connection: close")) return;
    }
  }

  Fleet& fleet_;
  int number_;
  std::minstd_rand random_;
  int requests_sent_ = 0;
  std::vector<std::string> unanswered_;
};

TEST(EdgeDrainOrders, ForwardedRequestsAreAnsweredWhateverClientsDo) {
  Fleet::Options options = Fleet::Split(1, 1);
  options.plain = 2;
  options.events = 60;
  options.between = milliseconds(10);
  Fleet fleet(options);
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  for (int i = 0; i < 10; ++i) {
    fleet.backend("a0").Expect(
        {Fault::kHang, Fault::kNone, Fault::kRefuse, Fault::kNone, Fault::kCloseUnanswered});
    fleet.backend("d0").Expect({Fault::kNone, Fault::kHang, Fault::kRefuse, Fault::kNone});
    fleet.backend("p0").Expect({Fault::kNone, Fault::kHang, Fault::kNone, Fault::kRefuse});
  }
  const auto until = Clock::now() + milliseconds(9000);
  std::vector<std::unique_ptr<RandomClient>> clients;
  std::vector<std::thread> threads;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(std::make_unique<RandomClient>(fleet, i));
    threads.emplace_back([&client = *clients.back(), until] { client.Run(until); });
  }
  WaitUntil(until - milliseconds(7500));
  fleet.edge(0).Signal(SIGTERM);
  for (std::thread& thread : threads) thread.join();
  int requests_sent = 0;
  for (const auto& client : clients) {
    requests_sent += client->requests_sent();
    for (const std::string& unanswered : client->unanswered()) {
      const std::string id = unanswered.substr(0, unanswered.find(' '));
      bool reached = false;
      for (const char* name : {"a0", "a1", "p0", "d0"}) {
        for (const auto& arrival : fleet.backend(name).arrivals())
          reached = reached || arrival.request_id == id;
      }
      EXPECT_FALSE(reached) << unanswered;
    }
  }
  EXPECT_TRUE(Eventually([&] { return fleet.edge(0).Ended(); }));
  std::cout << "requests sent: " << requests_sent << "\n"
            << fleet.Log().substr(fleet.Log().rfind("drain")) << "\n";
}

// The last tick before the exit is late, and a single new connection arrives during the delay.
TEST(EdgeDrainOrders, ASingleQueuedConnectionIsAnswered) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  Clients clients;
  StopAndSuspend(fleet, kAcceptsUntil - milliseconds(100), kAcceptsUntil + milliseconds(100), [&] {
    clients = Connect(fleet, 1);
    ASSERT_EQ(clients.size(), 1u);
    ASSERT_TRUE(SendAll(clients, "Connection: close\r\n"));
  });
  EXPECT_EQ(CountAnswered(clients), 1);
}

// For the sanitizers: everything open at the exit is destroyed together with the objects of the process.
TEST(EdgeDrainOrders, ExitsCleanlyWithEverythingOpen) {
  Fleet::Options options = Fleet::Split(1, 1);
  options.events = 180 * 1000;
  options.between = milliseconds(0);
  Fleet fleet(options);
  ASSERT_TRUE(BeginWithTimeout(fleet, 60000));
  ClientSocket slow(fleet.EdgeIp(0), Fleet::kFront, 4096);
  ASSERT_TRUE(slow.Send(Generation("slow")));
  ASSERT_TRUE(slow.ReadSome(kGiveUp, 100));
  ClientSocket half(fleet.EdgeIp(0), Fleet::kFront);
  ClientSocket never_ends(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(half.Send("POST /app/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\n\r\nhel"));
  fleet.backend("a0").Expect({Fault::kHang, Fault::kHang, Fault::kHang});
  ClientSocket hanging(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(hanging.Send(Post("/app/x", "r1", "Deadline-Ms: 30000\r\n") + Post("/app/x", "r2") + "POST"));
  ASSERT_TRUE(Eventually([&] { return fleet.Runs("r1") == 1; }));
  fleet.edge(0).Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] {
    never_ends.Send("POST /app/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello");
    return fleet.edge(0).Ended();
  }));
  hanging.ReadToEnd(kResponseTimeout);
  EXPECT_NE(hanging.status(), 0);
  const std::string log = fleet.Log();
  std::cout << log.substr(log.find("draining ")) << "\n";
}

// A request without a separate prefill ends in the same way as others.
TEST(EdgeDrainOrders, AHangingUnsafeRequestDoesNotGet503AtTheExit) {
  Fleet fleet(Fleet::Split(0, 1));
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  fleet.backend("d0").Expect({Fault::kHang});
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Generation("r1")));
  ASSERT_TRUE(Eventually([&] { return fleet.Runs("r1") == 1; }));
  fleet.edge(0).Signal(SIGTERM);
  client.ReadToEnd(kGiveUp);
  EXPECT_TRUE(client.status() == 502 || client.status() == 504) << client.status();
}

// The process notices SIGTERM late, but SIGKILL still comes grace_s after SIGTERM was sent.
TEST(EdgeDrainOrders, OpenRequestsAreAnsweredBeforeSigkillIfSigtermIsNoticedLate) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(BeginWithTimeout(fleet, 30000));
  fleet.backend("a0").Expect({Fault::kHang});
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Post("/app/x", "r1", "Deadline-Ms: 30000\r\n")));
  ASSERT_TRUE(Eventually([&] { return fleet.Runs("r1") == 1; }));
  fleet.edge(0).Signal(SIGSTOP);
  const auto stopped_at = Clock::now();
  fleet.edge(0).Signal(SIGTERM);
  WaitUntil(stopped_at + milliseconds(700));
  fleet.edge(0).Signal(SIGCONT);
  WaitUntil(stopped_at + milliseconds(6000));
  fleet.edge(0).Signal(SIGKILL);
  client.ReadToEnd(kResponseTimeout);
  EXPECT_NE(client.status(), 0);
}

}  // namespace
}  // namespace kestrelline::router_fleet

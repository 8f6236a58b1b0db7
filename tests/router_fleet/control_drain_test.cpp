// SPDX-License-Identifier: Apache-2.0
//
// A control plane process that is stopped must answer every request that it has read before it exits.
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <thread>

#include "http/api_server.h"
#include "router_fleet/fleet_fixture.h"
#include "router_fleet/kept_connection.h"
#include "router_fleet/lone_core.h"

namespace kestrelline::router_fleet {
namespace {

constexpr const char* kGetStatus = "GET /-/status HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char* kGetConfiguration = "GET /-/config HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char* kViolationLine = "invariant violated name=answered_before_exit";

Fleet::Options ControlOnly() {
  Fleet::Options options;
  options.edges = 0;
  options.plain = 0;
  return options;
}

bool LogHas(const Fleet& fleet, const std::string& text) {
  return fleet.Log().find(text) != std::string::npos;
}

// Leaves one member running, with an empty disk and nobody to learn from: it knows no leader and has no vote,
// so that it may stop at once.
void IsolateFirstCore(Fleet& fleet) {
  for (int i = 0; i < 3; ++i) fleet.core(i).End(SIGKILL);
  fleet.LoseDisk(0);
  fleet.StartCore(0);
  ASSERT_TRUE(Eventually([&] {
    return Ask(fleet.CoreIp(0), Fleet::kControl,
               "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
               .status == 200;
  }));
}

TEST(ControlDrain, ARequestWaitingForALeaderIsAnsweredBeforeExit) {
  Fleet fleet(ControlOnly());
  IsolateFirstCore(fleet);
  KeptConnection client(fleet.CoreIp(0), Fleet::kControl);
  // Sent in one segment, so that the answer to the first request shows that the second has arrived.
  ASSERT_TRUE(client.Send(std::string(kGetStatus) + kGetConfiguration));
  ASSERT_EQ(client.ReadAnswer().status, 200);
  fleet.core(0).Signal(SIGTERM);
  fleet.core(0).Signal(SIGTERM);
  const Answer answer = client.ReadAnswer();
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.ended_well);
  EXPECT_TRUE(answer.Has("Connection: close")) << answer.text;
  EXPECT_TRUE(client.EndsInOrder());
  EXPECT_EQ(fleet.core(0).End(SIGCONT), 0);
  EXPECT_FALSE(LogHas(fleet, kViolationLine));
}

TEST(ControlDrain, ALongAnswerToASlowReaderIsSentCompletely) {
  constexpr std::size_t kPadding = 4 * 1024 * 1024;
  constexpr int kSmallBuffer = 4096;
  Fleet fleet(ControlOnly());
  const std::string configuration = fleet.Configuration(1) + std::string(kPadding, ' ');
  ASSERT_EQ(fleet.Put(configuration, 0), 200);
  int leader = -1;
  ASSERT_TRUE(Eventually([&] { return (leader = fleet.Leader()) >= 0; }));
  KeptConnection client(fleet.CoreIp(leader), Fleet::kControl, kSmallBuffer);
  ASSERT_TRUE(client.Send(kGetConfiguration));
  ASSERT_TRUE(client.ReadHead());
  fleet.core(leader).Signal(SIGTERM);
  // Continues reading only after the member has handed over its leadership.
  ASSERT_TRUE(Eventually([&] { return fleet.core(leader).Ended() || LogHas(fleet, "draining"); }));
  const Answer answer = client.ReadAnswer();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.ended_well) << answer.text.size() << " bytes";
  EXPECT_TRUE(Eventually([&] { return fleet.core(leader).Ended(); }));
  EXPECT_FALSE(LogHas(fleet, kViolationLine));
}

TEST(ControlDrain, APartlyReadRequestIsRefusedWithRetryAfterWhenDrainingBegins) {
  constexpr std::size_t kHalf = 10;
  Fleet fleet(ControlOnly());
  IsolateFirstCore(fleet);
  KeptConnection client(fleet.CoreIp(0), Fleet::kControl);
  const std::string second = kGetConfiguration;
  ASSERT_TRUE(client.Send(kGetStatus + second.substr(0, kHalf)));
  ASSERT_EQ(client.ReadAnswer().status, 200);
  fleet.core(0).Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return LogHas(fleet, "draining"); }));
  ASSERT_TRUE(client.Send(second.substr(kHalf)));
  const Answer answer = client.ReadAnswer();
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.Has("Retry-After: 1")) << answer.text;
  EXPECT_TRUE(answer.Has("Connection: close")) << answer.text;
  EXPECT_TRUE(client.EndsInOrder());
  EXPECT_EQ(fleet.core(0).End(SIGCONT), 0);
  EXPECT_FALSE(LogHas(fleet, kViolationLine));
}

TEST(ControlDrain, AnUncommittedChangeIsAnsweredWhenItsLeaderStops) {
  Fleet fleet(ControlOnly());
  ASSERT_EQ(fleet.Put(fleet.Configuration(1), 0), 200);
  int leader = -1;
  ASSERT_TRUE(Eventually([&] { return (leader = fleet.Leader()) >= 0; }));
  const std::string body = fleet.Configuration(2);
  const std::string put =
      "PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 1\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  KeptConnection client(fleet.CoreIp(leader), Fleet::kControl);
  for (int i = 0; i < 3; ++i) {
    if (i != leader) fleet.core(i).Signal(SIGSTOP);
  }
  ASSERT_TRUE(client.Send(kGetStatus + put));
  ASSERT_EQ(client.ReadAnswer().status, 200);
  fleet.core(leader).Signal(SIGTERM);
  const Answer answer = client.ReadAnswer();
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.ended_well);
  EXPECT_EQ(fleet.core(leader).End(SIGCONT), 0);
  EXPECT_FALSE(LogHas(fleet, kViolationLine));
}

TEST(ControlDrain, ALeavingMemberAnnouncesTheCloseOfKeepAliveConnections) {
  Fleet fleet(ControlOnly());
  ASSERT_EQ(fleet.Put(fleet.Configuration(1), 0), 200);
  // Without the others there is no leader that lets it stop, so it stays for a while.
  fleet.core(1).End(SIGKILL);
  fleet.core(2).End(SIGKILL);
  KeptConnection active(fleet.CoreIp(0), Fleet::kControl);
  KeptConnection idle(fleet.CoreIp(0), Fleet::kControl);
  ASSERT_TRUE(active.Send(kGetStatus));
  EXPECT_FALSE(active.ReadAnswer().Has("Connection: close"));
  ASSERT_TRUE(idle.Send(kGetStatus));
  EXPECT_FALSE(idle.ReadAnswer().Has("Connection: close"));
  fleet.core(0).Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return LogHas(fleet, "leaving"); }));
  ASSERT_TRUE(active.Send(kGetStatus));
  const Answer answer = active.ReadAnswer();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.Has("Connection: close")) << answer.text;
  EXPECT_TRUE(active.EndsInOrder());
  EXPECT_TRUE(idle.EndsInOrder());
  EXPECT_EQ(fleet.core(0).End(SIGCONT), 0);
}

TEST(ControlDrain, TheAnswerToATooLongRequestIsNotLostToAReset) {
  Fleet fleet(ControlOnly());
  ASSERT_EQ(fleet.Put(fleet.Configuration(1), 0), 200);
  const std::string body(http::ApiServer::kMaxBodyBytes + 1024 * 1024, ' ');
  KeptConnection client(fleet.CoreIp(0), Fleet::kControl);
  EXPECT_TRUE(client.Send("PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body));
  const Answer answer = client.ReadAnswer();
  EXPECT_EQ(answer.status, 413);
  EXPECT_TRUE(answer.ended_well);
  EXPECT_TRUE(client.EndsInOrder());
}

TEST(ControlDrain, AMemberThatCannotLeaveForLackOfALeaderExitsWithinItsGracePeriod) {
  constexpr int kGraceSeconds = 2;
  LoneCore core(kGraceSeconds, 2);
  ASSERT_TRUE(Eventually([&] {
    const Answer status = core.Status();
    return status.Has("\"role\":\"follower\"") || status.Has("\"role\":\"candidate\"");
  }));
  const auto signalled_at = Clock::now();
  EXPECT_EQ(core.process().End(SIGTERM), 0);
  EXPECT_LT(Clock::now() - signalled_at, std::chrono::seconds(kGraceSeconds));
}

TEST(ControlDrain, TheInvariantCountsAnAnswerThatTheExitTruncates) {
  constexpr std::size_t kPadding = 4 * 1024 * 1024;
  constexpr int kSmallBuffer = 4096;
  constexpr int kGraceSeconds = 2;
  LoneCore core(kGraceSeconds, 0);
  ASSERT_TRUE(Eventually([&] { return core.Status().Has("\"leads\":true"); }));
  const std::string body = "{\"version\":1,\"routes\":[],\"services\":[]}" + std::string(kPadding, ' ');
  KeptConnection operator_client(core.Ip(), Fleet::kControl);
  ASSERT_TRUE(operator_client.Send("PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body));
  const Answer put_answer = operator_client.ReadAnswer();
  ASSERT_EQ(put_answer.status, 200) << put_answer.text;
  KeptConnection stalled_client(core.Ip(), Fleet::kControl, kSmallBuffer);
  ASSERT_TRUE(stalled_client.Send(kGetConfiguration));
  ASSERT_TRUE(stalled_client.ReadHead());
  EXPECT_EQ(core.process().End(SIGTERM), 0);
  EXPECT_NE(core.Log().find(std::string(kViolationLine) + " count=1"), std::string::npos) << core.Log();
}

// The server runs in the test process; its handler fails.
TEST(ControlDrain, ARequestWhoseHandlerThrowsIsAnswered) {
  http::asio::io_context io;
  const auto failing_handler = [](const http::ApiRequest&) -> http::Awaitable<http::ApiResponse> {
    throw std::runtime_error("out of something");
    co_return http::ApiResponse();
  };
  http::ApiServer server(io, failing_handler);
  const std::string ip =
      "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".230";
  ASSERT_FALSE(server.Listen({ip, Fleet::kControl}));
  std::thread thread([&io] { io.run(); });
  const Answer answer = Ask(ip, Fleet::kControl, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(answer.status, 500);
  EXPECT_TRUE(answer.ended_well);
  io.stop();
  thread.join();
}

}  // namespace
}  // namespace kestrelline::router_fleet

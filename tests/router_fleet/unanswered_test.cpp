// SPDX-License-Identifier: Apache-2.0
//
// Requests that must not end without a complete response, for unusual ways in which clients send and read.
// docs/incidents/lost-sweep-data.md lists the paths.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "router_fleet/client_socket.h"
#include "router_fleet/fleet_fixture.h"

namespace kestrelline::router_fleet {
namespace {

constexpr milliseconds kResponseTimeout{3000};  // for responses that should come at once
// More than the HTTP parser can hold in one field.
constexpr std::size_t kFieldTooLong = 70 * 1000;
constexpr int kSmallReceiveBuffer = 4096;

std::string Head(const std::string& path, const std::string& id, const std::string& fields) {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\n" + fields;
}

std::string Post(const std::string& path, const std::string& id, const std::string& fields = "",
                 const std::string& body = "hello") {
  return Head(path, id, fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ChunkedWithTrailer(const std::string& path, std::size_t trailer_size) {
  return Head(path, "r1", "Transfer-Encoding: chunked\r\nConnection: close\r\n") +
         "\r\n5\r\nhello\r\n0\r\nX-Trailer: " + std::string(trailer_size, 't') + "\r\n\r\n";
}

// The first configuration with the given limits.
std::string WithLimits(const Fleet& fleet, const std::string& limits) {
  const std::string begin = "{\"version\":1,";
  std::string text = fleet.Configuration(1);
  return begin + "\"limits\":{" + limits + "}," + text.substr(begin.size());
}

bool StartWith(const Fleet& fleet, const std::string& configuration) {
  return fleet.Put(configuration, 0) == 200 && Eventually([&] { return fleet.AllReady(); });
}

// A plain request whose response is a stream of many events, which the proxy buffers completely.
Fleet::Options LongAnswers(int events, std::size_t padding_bytes = 0) {
  Fleet::Options options;
  options.events = events;
  options.padding_bytes = padding_bytes;
  options.between = milliseconds(0);
  return options;
}

TEST(FleetUnanswered, AnOverlongTrailerDoesNotCrashTheProxy) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  const Answer answer = Ask(fleet.EdgeIp(0), Fleet::kFront, ChunkedWithTrailer("/app/x", kFieldTooLong));
  EXPECT_TRUE(answer.status == 200 || answer.status / 100 == 4) << answer.status;
  EXPECT_EQ(fleet.Send(0, "/app/x", "r2").status, 200);
  EXPECT_FALSE(fleet.edge(0).Ended());
}

TEST(FleetUnanswered, AnOverlongTrailerDoesNotCrashTheReadinessServer) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  Ask(fleet.EdgeIp(0), Fleet::kReady, ChunkedWithTrailer("/-/readyz", kFieldTooLong));
  EXPECT_EQ(fleet.Send(0, "/app/x", "r2").status, 200);
  EXPECT_FALSE(fleet.edge(0).Ended());
}

TEST(FleetUnanswered, AnOverlongTrailerDoesNotCrashAControlPlaneMember) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  Ask(fleet.CoreIp(0), Fleet::kControl, ChunkedWithTrailer("/-/config", kFieldTooLong));
  EXPECT_EQ(
      Ask(fleet.CoreIp(0), Fleet::kControl, "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
          .status,
      200);
  EXPECT_FALSE(fleet.core(0).Ended());
}

TEST(FleetUnanswered, AnOverlongFieldDoesNotCrashTheProxyWhateverTheHeaderLimit) {
  Fleet fleet({});
  ASSERT_TRUE(StartWith(fleet, WithLimits(fleet, "\"max_header_bytes\":200000")));
  const Answer answer =
      Ask(fleet.EdgeIp(0), Fleet::kFront,
          Post("/app/x", "r1", "Connection: close\r\nX-Long: " + std::string(kFieldTooLong, 'l') + "\r\n"));
  EXPECT_TRUE(answer.status == 200 || answer.status / 100 == 4) << answer.status;
  EXPECT_EQ(fleet.Send(0, "/app/x", "r2").status, 200);
  EXPECT_FALSE(fleet.edge(0).Ended());
}

TEST(FleetUnanswered, ARequestPipelinedAfterATruncatedStreamIsNotRunUnanswered) {
  Fleet::Options options = Fleet::Split(0, 1);
  options.plain = 1;
  Fleet fleet(options);
  ASSERT_TRUE(fleet.Begin());
  fleet.backend("d0").Expect({Fault::kBreakStream});
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Post("/llm/x", "r1", "Model-Name: m\r\n") + Post("/app/x", "r2")));
  client.ReadToEnd(kGiveUp);
  ASSERT_EQ(client.status(), 200);
  ASSERT_NE(client.text().find("id: 2\n"), std::string::npos);  // the stream had started
  fleet.edge(0).Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return fleet.edge(0).Ended(); }));  // all remaining work is done
  const bool answered = client.text().find("body of r2") != std::string::npos;
  EXPECT_EQ(fleet.Runs("r2"), answered ? 1 : 0);
}

TEST(FleetUnanswered, ASlowButSteadyReaderGetsItsWholeResponse) {
  // The response is larger than the kernel buffers of a connection, and reading it takes longer than the
  // timeout of one write.
  Fleet fleet(LongAnswers(1800, 3000));
  ASSERT_TRUE(StartWith(fleet, fleet.Configuration(1, 60000)));
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront, kSmallReceiveBuffer);
  ASSERT_TRUE(client.Send(Post("/app/x", "r1", "Model-Name: m\r\nConnection: close\r\n")));
  ASSERT_TRUE(client.ReadSome(kGiveUp));
  constexpr std::size_t kStep = 16 * 1024;
  constexpr milliseconds kBetweenSteps{25};  // 150 KB/s with this receive buffer, the rate under test
  while (client.ReadSome(kGiveUp, kStep)) std::this_thread::sleep_for(kBetweenSteps);
  EXPECT_EQ(client.status(), 200);
  EXPECT_GT(client.announced_size(), 5u * 1000 * 1000);
  EXPECT_EQ(client.body_size(), client.announced_size());
}

TEST(FleetUnanswered, BytesAfterARequestDoNotDestroyTheResponse) {
  // The response is still in the proxy's send buffer when the proxy has written it and closes.
  Fleet fleet(LongAnswers(10 * 1000));
  ASSERT_TRUE(StartWith(fleet, fleet.Configuration(1, 60000)));
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront, kSmallReceiveBuffer);
  ASSERT_TRUE(client.Send(Post("/app/x", "r1", "Model-Name: m\r\nConnection: close\r\n")));
  ASSERT_TRUE(Eventually([&] { return fleet.Runs("r1") == 1; }));  // so the proxy has read the request
  ASSERT_TRUE(client.Send("\r\n"));
  EXPECT_FALSE(client.IsReset(kResponseTimeout));
  client.ReadToEnd(kGiveUp);
  EXPECT_EQ(client.status(), 200);
  EXPECT_GT(client.announced_size(), 200u * 1000);
  EXPECT_EQ(client.body_size(), client.announced_size());
}

TEST(FleetUnanswered, AClientThatHalfClosesIsAnswered) {
  // The client may have left altogether, so its request need not run; but it may still be reading.
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Post("/app/x", "r1")));
  client.EndSending();
  client.ReadToEnd(kGiveUp);
  const bool unavailable = client.status() == 503 && client.text().find("Retry-After: ") != std::string::npos;
  EXPECT_TRUE(client.status() == 200 || client.status() == 502 || unavailable) << client.status();
  EXPECT_TRUE(!unavailable || fleet.Runs("r1") == 0);
  EXPECT_EQ(client.body_size(), client.announced_size());
}

TEST(FleetUnanswered, Expect100ContinueIsAnswered) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(
      Head("/app/x", "r1", "Connection: close\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")));
  ASSERT_TRUE(client.ReadSome(kResponseTimeout));
  EXPECT_EQ(client.status(), 100);
  ASSERT_TRUE(client.Send("hello"));
  client.ReadToEnd(kGiveUp);
  EXPECT_NE(client.text().find("HTTP/1.1 200 "), std::string::npos);
  EXPECT_TRUE(client.text().ends_with("body of r1"));
}

TEST(FleetUnanswered, AnIncompleteRequestGets408) {
  Fleet fleet({});
  ASSERT_TRUE(StartWith(fleet, WithLimits(fleet, "\"header_timeout_ms\":300")));
  const Answer answer = Ask(fleet.EdgeIp(0), Fleet::kFront, "POST /app/x HTTP/1.1\r\nHost: h.exa");
  EXPECT_EQ(answer.status, 408);
}

TEST(FleetUnanswered, AClientIsAnsweredDespiteManyIdleOnes) {
  constexpr int kIdleClients = 380;  // above the limit derived from max_fds
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  std::vector<std::unique_ptr<ClientSocket>> idle;
  for (int i = 0; i < kIdleClients; ++i) {
    idle.push_back(std::make_unique<ClientSocket>(fleet.EdgeIp(0), Fleet::kFront));
    ASSERT_TRUE(idle.back()->connected());
  }
  const Answer answer = fleet.Send(0, "/app/x", "r1");
  EXPECT_TRUE(answer.status == 200 || (answer.status == 503 && answer.Has("Retry-After: "))) << answer.status;
}

TEST(FleetUnanswered, AnEmptyLineBetweenRequestsIsIgnored) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(client.Send(Post("/app/x", "r1") + "\r\n"));
  ASSERT_TRUE(Eventually([&] {
    client.ReadSome(kResponseTimeout);
    return client.text().find("body of r1") != std::string::npos;
  }));
  ASSERT_TRUE(client.Send(Post("/app/x", "r2", "Connection: close\r\n")));
  client.ReadToEnd(kResponseTimeout);
  EXPECT_TRUE(client.text().ends_with("body of r2")) << client.text();
}

TEST(FleetUnanswered, AHeadRequestIsAnsweredAtOnceWithoutABody) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  const auto began = Clock::now();
  const Answer answer = Ask(fleet.EdgeIp(0), Fleet::kFront,
                            "HEAD /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
                            "Deadline-Ms: 4000\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.text.ends_with("\r\n\r\n"));
  EXPECT_LT(Clock::now() - began, kResponseTimeout);
}

}  // namespace
}  // namespace kestrelline::router_fleet

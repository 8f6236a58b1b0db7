// SPDX-License-Identifier: Apache-2.0
//
// Requests through real proxies to stand-in backends that reject, break off, or send wrong responses.
#include <gtest/gtest.h>

#include "router_fleet/fleet_fixture.h"
#include "router_fleet/stream_body.h"

namespace kestrelline::router_fleet {
namespace {

TEST(FleetRequests, APlainRequestRunsOnceAndGetsTheBackendsResponse) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  const Answer answer = fleet.Send(0, "/app/x?y=1", "r1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.Has("Server-Stamp: a0\r\n"));
  EXPECT_TRUE(answer.text.ends_with("body of r1"));
  EXPECT_TRUE(answer.ended_well);
  ASSERT_EQ(fleet.backend("a0").arrivals().size(), 1u);
  const auto arrival = fleet.backend("a0").arrivals()[0];
  EXPECT_EQ(arrival.target, "/app/x?y=1");
  EXPECT_EQ(arrival.body, "hello");
  EXPECT_GT(std::stoi(arrival.deadline_ms), 3000);
  EXPECT_LE(std::stoi(arrival.deadline_ms), 4000);
}

TEST(FleetRequests, ChunkedBodiesArriveUnchangedAndUnknownRoutesGet404) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  const Answer answer =
      Ask(fleet.EdgeIp(0), Fleet::kFront,
          "POST /app/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\n"
          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(fleet.backend("a0").arrivals()[0].body, "hello world");
  EXPECT_EQ(fleet.Send(0, "/other/x", "r2").status, 404);
  EXPECT_EQ(Ask(fleet.EdgeIp(0), Fleet::kFront, "nonsense\r\n\r\n").status, 400);
  EXPECT_EQ(Ask(fleet.EdgeIp(0), Fleet::kFront,
                "POST /app/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n")
                .status,
            413);
}

TEST(FleetRequests, ARejectionIsRetriedElsewhereAndGets503IfAllReject) {
  Fleet fleet(Fleet::Plain(2));
  ASSERT_TRUE(fleet.Begin());
  for (const char* id : {"a0", "a1"}) fleet.backend(id).Expect({Fault::kRefuse, Fault::kRefuse});
  const Answer refused = fleet.Send(0, "/app/x", "r1");
  EXPECT_EQ(refused.status, 503);
  EXPECT_TRUE(refused.Has("Retry-After: "));
  EXPECT_FALSE(refused.Has("Server-Stamp"));
  EXPECT_EQ(fleet.Runs("r1"), 0);
  // One rejection is left at each backend: the first one asked rejects, then the other one, and none is left
  // after that.
  fleet.Send(0, "/app/x", "r2");
  const Answer answer = fleet.Send(0, "/app/x", "r3");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(fleet.Runs("r3"), 1);
}

TEST(FleetRequests, AnUnsafeRequestThatMayHaveRunIsNeitherRetriedNorGets503) {
  Fleet fleet(Fleet::Plain(2));
  ASSERT_TRUE(fleet.Begin());
  for (const char* id : {"a0", "a1"}) fleet.backend(id).Expect({Fault::kCloseUnanswered});
  const Answer answer = fleet.Send(0, "/app/x", "r1");
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(fleet.Runs("r1"), 1);
}

TEST(FleetRequests, ASafeRequestIsRetriedUpToItsLimit) {
  Fleet fleet(Fleet::Plain(3));
  ASSERT_TRUE(fleet.Begin());
  for (const char* id : {"a0", "a1", "a2"}) fleet.backend(id).Expect({Fault::kCloseUnanswered});
  const Answer answer = fleet.Send(0, "/safe/x", "r1");
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(fleet.Runs("r1"), 2);
}

TEST(FleetRequests, ABackendErrorIsForwardedWithItsStamp) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  fleet.backend("a0").Expect({Fault::kError});
  const Answer answer = fleet.Send(0, "/app/x", "r1");
  EXPECT_EQ(answer.status, 500);
  EXPECT_TRUE(answer.Has("Server-Stamp: a0"));
}

TEST(FleetRequests, UnstampedAndStrayResponsesAreNotForwarded) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  fleet.backend("a0").Expect({Fault::kNoStamp});
  EXPECT_EQ(fleet.Send(0, "/app/x", "r1").status, 502);
  fleet.backend("a0").Expect({Fault::kStrayAnswer});
  const Answer answer = fleet.Send(0, "/app/x", "r2");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.text.ends_with("body of r2"));
  EXPECT_FALSE(answer.Has("not yours"));
}

TEST(FleetRequests, PrefillAndDecodeRunOnDifferentBackends) {
  Fleet fleet(Fleet::Split(2, 2));
  ASSERT_TRUE(fleet.Begin());
  const Answer answer = fleet.Generate(0, "r1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.ended_well);
  for (int event = 1; event <= 5; ++event) EXPECT_TRUE(answer.Has("id: " + std::to_string(event) + "\n"));
  std::size_t prefills = 0, handed_over = 0;
  for (const char* id : {"p0", "p1", "d0", "d1"}) {
    for (const auto& arrival : fleet.backend(id).arrivals()) {
      prefills += arrival.stage == "prefill";
      handed_over += !arrival.kv_from.empty();
    }
  }
  EXPECT_EQ(prefills, 1u);
  EXPECT_EQ(handed_over, 1u);
  EXPECT_EQ(fleet.Runs("r1"), 1);
  EXPECT_EQ(fleet_standin::HandleTable::Instance().size(), 0u);
}

TEST(FleetRequests, ARequestWithoutPromptHeadersHasNoSeparatePrefill) {
  Fleet fleet(Fleet::Split(1, 2));
  ASSERT_TRUE(fleet.Begin());
  const Answer answer = fleet.Send(0, "/llm/x", "r1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.ended_well);
  EXPECT_EQ(ChunkedBody(answer.text), fleet_soak::ExpectedBody(fleet_soak::Kind::kStream, "r1", 5));
  EXPECT_EQ(fleet.backend("p0").arrivals().size(), 0u);
  EXPECT_EQ(fleet.Runs("r1"), 1);
}

TEST(FleetRequests, ARejectedHandOverContinuesElsewhereAndRunsOnce) {
  Fleet fleet(Fleet::Split(1, 2));
  ASSERT_TRUE(fleet.Begin());
  for (const char* id : {"d0", "d1"}) fleet.backend(id).Expect({Fault::kRefuse});
  const Answer answer = fleet.Generate(0, "r1");
  // Both backends reject once; the third attempt is accepted.
  EXPECT_TRUE(answer.status == 200 || answer.status == 503);
  EXPECT_LE(fleet.Runs("r1"), 1);
  const Answer next = fleet.Generate(0, "r2");
  EXPECT_EQ(next.status, 200);
  EXPECT_EQ(fleet.Runs("r2"), 1);
}

TEST(FleetRequests, ANonResumableStreamIsTruncatedAndRunsOnce) {
  Fleet fleet(Fleet::Split(1, 2));
  ASSERT_TRUE(fleet.Begin());
  for (const char* id : {"d0", "d1"}) fleet.backend(id).Expect({Fault::kBreakStream});
  const Answer answer = fleet.Generate(0, "r1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.ended_well);
  EXPECT_TRUE(answer.Has("id: 2\n"));
  EXPECT_FALSE(answer.Has("id: 3"));
  EXPECT_EQ(fleet.Runs("r1"), 1);
}

TEST(FleetRequests, AResumableStreamContinuesElsewhereInOneResponse) {
  Fleet fleet(Fleet::Split(1, 3));
  ASSERT_TRUE(fleet.Begin(true));
  // The first backend breaks off the stream; the next one continues it.
  for (const char* id : {"d0", "d1", "d2"}) fleet.backend(id).Expect({Fault::kBreakStream, Fault::kNone});
  const Answer answer = fleet.Generate(0, "r1");
  EXPECT_EQ(answer.status, 200);
  std::string seen;
  for (std::size_t at = 0; (at = answer.text.find("id: ", at)) != std::string::npos; at += 4)
    seen += answer.text[at + 4];
  EXPECT_EQ(seen.substr(0, 2), "12");
  EXPECT_EQ(std::count(seen.begin(), seen.end(), '3'), 1);
  EXPECT_EQ(fleet.Runs("r1"), 2);
  std::string resumed_after;
  for (const char* id : {"d0", "d1", "d2"}) {
    for (const auto& arrival : fleet.backend(id).arrivals()) resumed_after += arrival.last_event_id;
  }
  EXPECT_EQ(resumed_after, "2");
}

TEST(FleetRequests, AResumedStreamContinuesAfterTheLastForwardedEvent) {
  // The client itself resumed its stream after event 1; then the backend breaks off after event 3.
  Fleet fleet(Fleet::Split(1, 3));
  ASSERT_TRUE(fleet.Begin(true));
  for (const char* id : {"d0", "d1", "d2"}) fleet.backend(id).Expect({Fault::kBreakStream, Fault::kNone});
  const Answer answer = fleet.Send(
      0, "/llm/x", "r1",
      "Model-Name: m\r\nToken-Count: 9000,50\r\nPrompt-Prefix: aa:8900,r1:100\r\nLast-Event-Id: 1\r\n");
  ASSERT_EQ(answer.status, 200);
  std::string seen;
  for (std::size_t at = 0; (at = answer.text.find("id: ", at)) != std::string::npos; at += 4) {
    seen += answer.text[at + 4];
  }
  EXPECT_EQ(seen, "2345");  // two events from the first backend, and two from the next, which also breaks off
}

TEST(FleetRequests, AResponseWithoutRequestIdIsIgnored) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  fleet.backend("a0").Expect({Fault::kNamelessAnswer});
  const Answer answer = fleet.Send(0, "/app/x", "r1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.Has("body of r1"));
  EXPECT_EQ(fleet.Runs("r1"), 1);
}

TEST(FleetRequests, AnExtraResponseIsNotGivenToTheNextRequest) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  for (int i = 0; i < 6; ++i) {
    fleet.backend("a0").Expect({Fault::kExtraAnswer, Fault::kNone});
    for (const std::string& id : {"x" + std::to_string(i), "y" + std::to_string(i)}) {
      const Answer answer = fleet.Send(0, "/app/x", id);
      EXPECT_TRUE(answer.status != 200 || answer.Has("body of " + id)) << answer.text;
      EXPECT_LE(fleet.Runs(id), 1);
    }
  }
}

TEST(FleetRequests, AResponseWithoutLengthIsCompleteOnlyAfterACleanClose) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  fleet.backend("a0").Expect({Fault::kUnframed, Fault::kUnframedReset});
  const Answer whole = fleet.Send(0, "/app/x", "r1");
  EXPECT_EQ(whole.status, 200);
  EXPECT_TRUE(whole.Has("body of r1"));
  EXPECT_TRUE(whole.ended_well);
  const Answer broken = fleet.Send(0, "/app/x", "r2");
  EXPECT_EQ(broken.status, 502);
  EXPECT_EQ(fleet.Runs("r2"), 1);
}

TEST(FleetRequests, ABodyRejectedEarlyReachesTheNextBackendComplete) {
  Fleet fleet(Fleet::Plain(2));
  ASSERT_TRUE(fleet.Begin());
  const std::string body(900 * 1000, 'b');
  for (const char* id : {"a0", "a1"}) fleet.backend(id).Expect({Fault::kEarlyRefusal});
  Answer answer;
  for (int i = 0; i < 3 && answer.status != 200; ++i) {
    answer = fleet.Send(0, "/app/x", "r" + std::to_string(i), "", body);
    EXPECT_TRUE(answer.status == 200 || answer.status == 503) << answer.status;
    EXPECT_LE(fleet.Runs("r" + std::to_string(i)), 1);
  }
  EXPECT_EQ(answer.status, 200);
  for (const char* id : {"a0", "a1"}) {
    for (const auto& arrival : fleet.backend(id).arrivals()) {
      EXPECT_TRUE(!arrival.ran || arrival.body == body);
    }
  }
}

TEST(FleetRequests, ATimeoutGets504Not503) {
  Fleet fleet({});
  ASSERT_EQ(fleet.Put(fleet.Configuration(1, 300), 0), 200);
  ASSERT_TRUE(Eventually([&] { return fleet.AllReady(); }));
  fleet.backend("a0").Expect({Fault::kHang});
  const auto began = Clock::now();
  const Answer answer = fleet.Send(0, "/app/x", "r1");
  EXPECT_EQ(answer.status, 504);
  EXPECT_GE(Clock::now() - began, milliseconds(290));
  EXPECT_LT(Clock::now() - began, milliseconds(3000));
}

TEST(FleetRequests, ABackendStopsWhenItsClientDisconnects) {
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  fleet.backend("a0").Expect({Fault::kHang});
  {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(fleet.EdgeIp(0)), Fleet::kFront});
    const std::string request =
        "POST /app/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    ASSERT_TRUE(Eventually([&] { return fleet.Runs("r1") == 1; }));
    EXPECT_EQ(fleet.backend("a0").open_connections(), 1u);
  }
  EXPECT_TRUE(Eventually([&] { return fleet.backend("a0").open_connections() == 0; }, milliseconds(5000)));
  const Answer next = fleet.Send(0, "/app/x", "r2");
  EXPECT_EQ(next.status, 200);
}

TEST(FleetRequests, AReplacedInstanceIsNotAskedAgain) {
  Fleet fleet(Fleet::Plain(2));
  ASSERT_TRUE(fleet.Begin());
  for (const char* id : {"a0", "a1"}) fleet.backend(id).Expect({Fault::kMisdirect});
  const Answer first = fleet.Send(0, "/app/x", "r1");
  EXPECT_EQ(first.status, 503);
  EXPECT_EQ(fleet.Runs("r1"), 0);
}

}  // namespace
}  // namespace kestrelline::router_fleet

// SPDX-License-Identifier: Apache-2.0
//
// Streams through real proxies from backends that send garbage (rule ORDER, incident of 5 December 2026).
#include <gtest/gtest.h>

#include <functional>

#include "router_fleet/client_socket.h"
#include "router_fleet/fleet_fixture.h"
#include "router_fleet/stream_body.h"

namespace kestrelline::router_fleet {
namespace {

using fleet_standin::AllGarbage;
using fleet_standin::FaultTable;
using fleet_standin::Garbage;
using fleet_standin::GarbageContent;
using fleet_standin::GarbagePlace;

constexpr int kEvents = 5;
const std::string kPromptFields = "Model-Name: m\r\nToken-Count: 300,50\r\nPrompt-Prefix: aa:200,bb:100\r\n";

// Every stream may be continued elsewhere: the retry budget is no limit.
Fleet::Options ManyRetries() {
  Fleet::Options options = Fleet::Split(1, 6);
  options.min_retries = 20000;
  return options;
}

// The first stream of the request has garbage in it.
Answer AskWithGarbage(const Fleet& fleet, const std::string& id, const Garbage& garbage) {
  FaultTable::Instance().Add(id, {Fault::kGarbage, garbage});
  return fleet.Send(0, "/llm/x", id, kPromptFields);
}

// A backend that sent garbage may have been ejected; all are back in service for the next request.
void AwaitService(const Fleet& fleet) {
  static int number = 0;
  EXPECT_TRUE(Eventually(
      [&] { return fleet.Send(0, "/llm/x", "sound" + std::to_string(number++), kPromptFields).ended_well; }));
}

// Of the proxy that the requests of these tests go to.
std::string Metrics(const Fleet& fleet) {
  return Ask(fleet.EdgeIp(0), Fleet::kReady,
             "GET /-/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
      .text;
}

// Spoils one stream with each kind of garbage, and judges it by ORDER. `check` judges the rest.
void SpoilOneStreamEach(bool resumable,
                        const std::function<void(const Garbage&, const Answer&, int runs)>& check) {
  Fleet fleet(ManyRetries());
  ASSERT_TRUE(fleet.Begin(resumable));
  int streams = 0, broken = 0;
  for (const Garbage& garbage : AllGarbage()) {
    SCOPED_TRACE(Describe(garbage));
    const std::string id = "g" + std::to_string(streams++);
    const Answer answer = AskWithGarbage(fleet, id, garbage);
    const std::string violation = OrderViolation(answer, kEvents);
    broken += !violation.empty();
    EXPECT_EQ(violation, "");
    check(garbage, answer, fleet.Runs(id));
    AwaitService(fleet);
  }
  std::cout << broken << " of " << streams << " spoiled streams broke ORDER\n";
}

TEST(StreamsWithGarbage, AStreamThatMayNotBeResumedEndsVisiblyIncomplete) {
  SpoilOneStreamEach(false, [](const Garbage& garbage, const Answer& answer, int runs) {
    // What follows a whole answer may be a second one. Other bytes put its end in doubt.
    const bool whole = garbage.place == GarbagePlace::kAfter && garbage.content == GarbageContent::kResponse;
    EXPECT_EQ(answer.ended_well && answer.status == 200, whole);
    EXPECT_EQ(runs, 1);
  });
}

TEST(StreamsWithGarbage, AResumableStreamGoesOnElsewhere) {
  SpoilOneStreamEach(true, [](const Garbage&, const Answer& answer, int runs) {
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.ended_well);
    EXPECT_LE(runs, 2);
  });
}

TEST(StreamsWithGarbage, AStreamThatAClientResumesAfterItsLastEventIsWhole) {
  Fleet fleet(ManyRetries());
  ASSERT_TRUE(fleet.Begin(true));
  const Answer rest = fleet.Send(0, "/llm/x", "r1", kPromptFields + "Last-Event-Id: 3\r\n");
  EXPECT_EQ(ChunkedBody(rest.text), fleet_standin::EventText(4, "") + fleet_standin::EventText(5, ""));
  EXPECT_TRUE(rest.ended_well);
  const Answer nothing = fleet.Send(0, "/llm/x", "r2", kPromptFields + "Last-Event-Id: 5\r\n");
  EXPECT_EQ(nothing.status, 200);
  EXPECT_TRUE(nothing.ended_well);
  EXPECT_EQ(ChunkedBody(nothing.text), "");
  EXPECT_EQ(fleet.Runs("r2"), 1);
}

// --- other messages of backends ---

TEST(BackendGarbage, ASpoiledHeadIsNotForwardedAndAResumableStreamRunsElsewhere) {
  Fleet fleet(ManyRetries());
  ASSERT_TRUE(fleet.Begin(true));
  int number = 0;
  for (const Fault fault : {Fault::kNoAnswer, Fault::kContradiction, Fault::kFalsePromise, Fault::kTwoIds,
                            Fault::kEncoded, Fault::kWrongType, Fault::kNoStamp}) {
    SCOPED_TRACE(static_cast<int>(fault));
    const std::string id = "h" + std::to_string(number++);
    FaultTable::Instance().Add(id, {fault, {}});
    const Answer answer = fleet.Send(0, "/llm/x", id, kPromptFields);
    EXPECT_EQ(OrderViolation(answer, kEvents), "");
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.ended_well);
    EXPECT_FALSE(answer.Has("of-another"));
    EXPECT_EQ(fleet.Runs(id), 2);
  }
}

TEST(BackendGarbage, ASpoiledPlainAnswerIsNotForwarded) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  int number = 0;
  for (const Fault fault :
       {Fault::kNoAnswer, Fault::kContradiction, Fault::kFalsePromise, Fault::kTwoIds, Fault::kEncoded}) {
    const std::string id = "u" + std::to_string(number++);
    fleet.backend("a0").Expect({fault});
    const Answer answer = fleet.Send(0, "/app/x", id);
    EXPECT_EQ(answer.status, 502) << id;
    EXPECT_FALSE(answer.Has("Server-Stamp")) << id;
    EXPECT_EQ(fleet.Runs(id), 1);
  }
}

TEST(BackendGarbage, AHandleThatHoldsAFieldIsNotSentOn) {
  Fleet fleet(Fleet::Split(2, 2));
  ASSERT_TRUE(fleet.Begin());
  for (const char* backend : {"p0", "p1"}) fleet.backend(backend).Expect({Fault::kBadHandle});
  const Answer answer = fleet.Generate(0, "r1");
  EXPECT_EQ(OrderViolation(answer, kEvents), "");
  EXPECT_LE(fleet.Runs("r1"), 1);
  for (const char* backend : {"p0", "p1", "d0", "d1"}) {
    for (const auto& arrival : fleet.backend(backend).arrivals()) {
      EXPECT_EQ(arrival.request_id, "r1");
      EXPECT_EQ(arrival.id_fields, 1u) << backend;
    }
  }
  EXPECT_NE(Metrics(fleet).find("kestrelline_backend_faults_total{kind=\"handle\"} "), std::string::npos);
  EXPECT_EQ(Metrics(fleet).find("kestrelline_backend_faults_total{kind=\"handle\"} 0\n"), std::string::npos);
}

TEST(BackendGarbage, ALoadThatIsNoneIsNotTakenOver) {
  Fleet fleet(Fleet::Plain(1));
  ASSERT_TRUE(fleet.Begin());
  fleet.backend("a0").Expect({Fault::kBadLoad});
  for (const char* id : {"r1", "r2"}) EXPECT_EQ(fleet.Send(0, "/app/x", id).status, 200);
  EXPECT_NE(Metrics(fleet).find("kestrelline_backend_faults_total{kind=\"load\"} 1\n"), std::string::npos);
}

TEST(BackendGarbage, TheFaultCountsAgainstItsBackend) {
  Fleet fleet(ManyRetries());
  ASSERT_TRUE(fleet.Begin(true));
  // d0 spoils whatever it is asked; the others never do.
  constexpr int kSpoiled = 50;
  for (int i = 0; i < kSpoiled; ++i) fleet.backend("d0").ExpectGarbage(Garbage{});
  constexpr int kRequests = 60;
  for (int i = 0; i < kRequests; ++i) {
    const Answer answer = fleet.Send(0, "/llm/x", "e" + std::to_string(i), kPromptFields);
    EXPECT_EQ(OrderViolation(answer, kEvents), "");
    EXPECT_TRUE(answer.ended_well);
  }
  const std::size_t asked = fleet.backend("d0").arrivals().size();
  EXPECT_GT(asked, 0u);
  EXPECT_LT(asked, kRequests / 6u) << "it is not ejected";
  const std::string metrics = Metrics(fleet);
  EXPECT_NE(
      metrics.find("kestrelline_backend_faults_by_backend_total{backend=\"d0\"} " + std::to_string(asked)),
      std::string::npos)
      << metrics;
  EXPECT_EQ(metrics.find("backend=\"d1\""), std::string::npos);
  EXPECT_NE(fleet.Log().find("backend fault kind=event backend=d0"), std::string::npos);
}

TEST(BackendGarbage, AnIncompleteStreamWithoutChunksEndsWithAReset) {
  Fleet fleet(ManyRetries());
  ASSERT_TRUE(fleet.Begin(false));
  FaultTable::Instance().Add("old", {Fault::kGarbage, Garbage{}});
  ClientSocket client(fleet.EdgeIp(0), Fleet::kFront);
  ASSERT_TRUE(
      client.Send("POST /llm/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: old\r\nDeadline-Ms: 4000\r\n" +
                  kPromptFields + "Content-Length: 0\r\n\r\n"));
  EXPECT_TRUE(client.IsReset(milliseconds(3000)));
  EXPECT_EQ(fleet.Runs("old"), 1);
}

}  // namespace
}  // namespace kestrelline::router_fleet

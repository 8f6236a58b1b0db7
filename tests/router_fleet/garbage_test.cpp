// SPDX-License-Identifier: Apache-2.0
//
// Streams through real proxies from backends that send garbage (rule ORDER, incident of 5 December 2026).
#include <gtest/gtest.h>

#include "router_fleet/fleet_fixture.h"
#include "router_fleet/stream_body.h"

namespace kestrelline::router_fleet {
namespace {

using fleet_standin::AllGarbage;
using fleet_standin::Garbage;
using fleet_standin::GarbagePlace;

constexpr int kEvents = 5;
const std::string kPromptFields = "Model-Name: m\r\nToken-Count: 300,50\r\nPrompt-Prefix: aa:200,bb:100\r\n";

// Puts the garbage into the next stream, whichever backend it comes from; into no other one.
Answer AskWithGarbage(Fleet& fleet, const std::vector<std::string>& backends, const std::string& id,
                      const Garbage& garbage) {
  for (const std::string& backend : backends) fleet.backend(backend).ExpectGarbage(garbage);
  // The others are told before the stream has ended, so that one which continues it is sound.
  std::thread clearer([&] {
    Eventually([&] { return fleet.Runs(id) > 0; }, milliseconds(2000));
    for (const std::string& backend : backends) fleet.backend(backend).ExpectNoFaults();
  });
  const Answer answer = fleet.Send(0, "/llm/x", id, kPromptFields);
  clearer.join();
  return answer;
}

// A backend that sent garbage may have been ejected; all are back in service for the next request.
void AwaitService(const Fleet& fleet) {
  static int number = 0;
  EXPECT_TRUE(Eventually(
      [&] { return fleet.Send(0, "/llm/x", "sound" + std::to_string(number++), kPromptFields).ended_well; }));
}

TEST(StreamsWithGarbage, AStreamThatMayNotBeResumedEndsVisiblyIncomplete) {
  Fleet fleet(Fleet::Split(1, 6));
  ASSERT_TRUE(fleet.Begin(false));
  int number = 0, broken = 0;
  for (const Garbage& garbage : AllGarbage()) {
    SCOPED_TRACE(Describe(garbage));
    const std::string id = "g" + std::to_string(number++);
    const Answer answer = AskWithGarbage(fleet, {"d0", "d1", "d2", "d3", "d4", "d5"}, id, garbage);
    const std::string violation = OrderViolation(answer, kEvents);
    broken += !violation.empty();
    EXPECT_EQ(violation, "");
    EXPECT_EQ(answer.ended_well && answer.status == 200, garbage.place == GarbagePlace::kAfter);
    EXPECT_EQ(fleet.Runs(id), 1);
    AwaitService(fleet);
  }
  RecordProperty("streams", number);
  std::cout << broken << " of " << number << " spoiled streams broke ORDER\n";
}

TEST(StreamsWithGarbage, AResumableStreamGoesOnElsewhere) {
  Fleet fleet(Fleet::Split(1, 6));
  ASSERT_TRUE(fleet.Begin(true));
  int number = 0, broken = 0;
  for (const Garbage& garbage : AllGarbage()) {
    SCOPED_TRACE(Describe(garbage));
    const std::string id = "g" + std::to_string(number++);
    const Answer answer = AskWithGarbage(fleet, {"d0", "d1", "d2", "d3", "d4", "d5"}, id, garbage);
    const std::string violation = OrderViolation(answer, kEvents);
    broken += !violation.empty();
    EXPECT_EQ(violation, "");
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.ended_well);
    EXPECT_LE(fleet.Runs(id), 2);
    AwaitService(fleet);
  }
  std::cout << broken << " of " << number << " spoiled streams broke ORDER\n";
}

}  // namespace
}  // namespace kestrelline::router_fleet

// SPDX-License-Identifier: Apache-2.0
//
// What a proxy decides without I/O: prompts, events, budgets, health, placement.
#include <gtest/gtest.h>

#include "data_plane/arrival_account.h"
#include "data_plane/backend_table.h"
#include "data_plane/demand_meter.h"
#include "data_plane/event_splitter.h"
#include "data_plane/placement.h"
#include "data_plane/prompt.h"
#include "data_plane/retry_budget.h"
#include "discovery/page.h"

namespace kestrelline::data_plane {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

// --- prompts ---

TEST(Prompt, SharedChainsAreTheSameAndDifferentOnesAreNot) {
  const Prompt a = ParsePrompt("1460,80", "5c1e:800,91bd:410,e440:250");
  const Prompt b = ParsePrompt("1300,80", "5c1e:800,91bd:410,ffff:90");
  const Prompt c = ParsePrompt("1300,80", "91bd:410,5c1e:800,ffff:90");
  EXPECT_EQ(a.tokens, 1460);
  EXPECT_EQ(a.output_tokens, 80);
  ASSERT_EQ(a.parts.size(), 3u);
  EXPECT_EQ(a.SharedParts(), 2u);
  EXPECT_EQ(a.SharedTokens(), 1210);
  EXPECT_EQ(a.parts[1].chain, b.parts[1].chain);
  EXPECT_NE(a.parts[2].chain, b.parts[2].chain);
  EXPECT_NE(a.parts[1].chain, c.parts[1].chain);
}

TEST(Prompt, IdsThatJoinToTheSameTextAreNotTheSame) {
  EXPECT_NE(ParsePrompt("", "ab:1,c:1").parts[1].chain, ParsePrompt("", "a:1,bc:1").parts[1].chain);
}

TEST(Prompt, WhatCannotBeReadCountsAsAbsent) {
  EXPECT_EQ(ParsePrompt("", "").tokens, 0);
  EXPECT_EQ(ParsePrompt("x,y", "zz,:,a:b").tokens, 0);
  EXPECT_EQ(ParsePrompt("-5,-7", "a:-9").tokens, 0);
  std::string many;
  for (int i = 0; i < 500; ++i) many += std::to_string(i) + ":1,";
  EXPECT_EQ(ParsePrompt("9,9", many).parts.size(), kMostParts);
}

// --- events ---

TEST(EventSplitter, PassesOnlyWholeEventsAndKnowsTheLastId) {
  EventSplitter events;
  EXPECT_EQ(events.Take("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.Take("ta: b\n"), "");
  EXPECT_EQ(events.Take("\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
  EXPECT_EQ(events.Take("id: 3\n"), "");
  events.DropPartial();
  EXPECT_EQ(events.Rest(), "");
  EXPECT_EQ(events.last_id(), "2");
}

TEST(EventSplitter, AnEventWithoutEndPassesInPieces) {
  EventSplitter events;
  const std::string piece(EventSplitter::kLongestEvent + 1, 'x');
  EXPECT_EQ(events.Take(piece).size(), piece.size());
}

// --- budget ---

TEST(ArrivalAccount, TheFirstReadingAndTheFirstRunAreFree) {
  ArrivalAccount account;
  EXPECT_TRUE(account.empty());
  EXPECT_FALSE(account.NeedsPayment());
  account.NoteReading(true);
  EXPECT_FALSE(account.empty());
  EXPECT_FALSE(account.NeedsPayment());
  account.NoteRun();
  EXPECT_TRUE(account.NeedsPayment());
}

// A reading that was rejected is the request's first arrival: whatever follows is beyond it, a run included.
TEST(ArrivalAccount, AReadingThatWasNotTakenMakesTheRunOneThatIsPaidFor) {
  ArrivalAccount account;
  account.NoteReading(false);
  EXPECT_TRUE(account.NeedsPayment());
  account.NotePayment();
  EXPECT_FALSE(account.NeedsPayment());
  account.NoteReading(true);  // the first that was taken: the payment is left for the run
  EXPECT_FALSE(account.NeedsPayment());
  account.NoteRun();
  EXPECT_TRUE(account.NeedsPayment());
}

TEST(ArrivalAccount, AllArrivalsButTheFirstThatCountsArePaidFor) {
  ArrivalAccount account;
  int paid = 0;
  const auto arrive = [&](auto note) {
    if (account.NeedsPayment()) account.NotePayment(), ++paid;
    note();
  };
  arrive([&] { account.NoteReading(true); });
  arrive([&] { account.NoteRun(); });          // rejected
  arrive([&] { account.NoteReading(true); });  // a second reading counts
  arrive([&] { account.NoteRun(); });
  EXPECT_EQ(paid, 2);
}

TEST(FleetRetryBudget, AProxyUsesItsShareAndNotMore) {
  RetryBudget budget({0.2, 58, Duration(10000)});
  budget.set_proxies(9, At(0));
  int taken = 0;
  for (int i = 0; i < 100; ++i) taken += budget.Take("s", At(100));
  EXPECT_EQ(taken, static_cast<int>(58 * RetryBudget::kUsed / 9));
  for (int i = 0; i < 1000; ++i) budget.CountRequest("s", At(200));
  for (int i = 0; i < 1000; ++i) taken += budget.Take("s", At(300));
  EXPECT_LE(taken, 0.2 * 1000 * RetryBudget::kUsed + 58.0 / 9);
  EXPECT_GE(taken, 100);
}

TEST(FleetRetryBudget, FewerProxiesCountOnlyOnceThatHasLasted) {
  RetryBudget budget({0, 58, Duration(10000)});
  budget.set_proxies(9, At(0));
  budget.set_proxies(2, At(1000));
  int taken = 0;
  for (int i = 0; i < 100; ++i) taken += budget.Take("s", At(1000));
  EXPECT_EQ(taken, static_cast<int>(58 * RetryBudget::kUsed / 9));
  budget.set_proxies(2, At(25000));
  for (int i = 0; i < 100; ++i) taken += budget.Take("s", At(40000));
  EXPECT_GT(taken, static_cast<int>(58 * RetryBudget::kUsed / 2));
}

TEST(FleetRetryBudget, AsLongAsNobodyToldItIsOneOfMany) {
  RetryBudget budget({0.2, 58, Duration(10000)});
  EXPECT_FALSE(budget.Take("s", At(100)));
}

// --- health ---

wire::InstanceList Listed(const std::vector<std::string>& ids, bool split = false) {
  wire::InstanceList list;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    wire::Instance instance;
    instance.id = ids[i];
    instance.service = "s";
    instance.address = "10.0.0." + std::to_string(i + 1) + ":80";
    instance.zone = i % 2 == 0 ? "near" : "far";
    instance.slots = 16;
    instance.prefill = split && i % 2 == 0;
    instance.decode = split && i % 2 == 1;
    list.instances.push_back(instance);
  }
  return list;
}
Backend& ById(const BackendTable& table, const std::string& id, Stage stage = Stage::kAny) {
  for (const BackendPtr& backend : table.Find("s", stage)->backends) {
    if (backend->info.id == id) return *backend;
  }
  throw std::runtime_error("no " + id);
}

TEST(BackendHealth, OneThatFailsIsEjectedReturnsByTimerAndKeepsItsMultiplier) {
  BackendTable table(1);
  table.Update(Listed({"a", "b", "c", "d"}));
  table.Tick(At(0));
  for (const char* id : {"b", "c", "d"}) {
    for (int i = 0; i < 5; ++i) table.Record(ById(table, id), true, At(10));
  }
  Backend& failing = ById(table, "a");
  bool ejected = false;
  for (int i = 0; i < 3; ++i) ejected = table.Record(failing, false, At(20)) || ejected;
  ASSERT_TRUE(ejected);
  EXPECT_EQ(failing.health.multiplier, 1);
  table.Tick(failing.health.return_at - Duration(1));
  EXPECT_TRUE(failing.health.ejected);
  table.Tick(failing.health.return_at);
  EXPECT_FALSE(failing.health.ejected);
  EXPECT_EQ(failing.health.multiplier, 1);
}

TEST(BackendHealth, AnInstanceKeepsItsStateByItsIdAndANewOneAtItsAddressBeginsAnew) {
  BackendTable table(1);
  table.Update(Listed({"a", "b"}));
  ById(table, "a").in_flight = 3;
  table.Update(Listed({"a", "b"}));
  EXPECT_EQ(ById(table, "a").in_flight, 3);
  table.Update(Listed({"new", "b"}));
  EXPECT_EQ(ById(table, "new").in_flight, 0);
  EXPECT_EQ(table.size(), 2u);
}

TEST(BackendHealth, ARefusalIsNoFailureButLeavesTheBackendAloneForLonger) {
  Backend backend;
  backend.NoteRefusal(At(0));
  const TimePoint first = backend.avoid_until;
  backend.NoteRefusal(At(0));
  EXPECT_GT(backend.avoid_until, first);
  for (int i = 0; i < 50; ++i) backend.NoteRefusal(At(0));
  EXPECT_LE(backend.avoid_until, At(5000));
  backend.NoteAcceptance();
  backend.NoteRefusal(At(0));
  EXPECT_EQ(backend.avoid_until, first);
  EXPECT_EQ(backend.health.failures, 0);
}

TEST(BackendLoads, OthersAreTheSumLessWhatWasReported) {
  BackendTable table(1);
  table.Update(Listed({"a", "b"}));
  Backend& a = ById(table, "a");
  a.reading_ms = 30;
  a.in_flight = 2;
  const auto report = table.ReportLoads();
  ASSERT_EQ(report.size(), 1u);
  EXPECT_FALSE(table.KnowsLoads(At(100)));
  table.TakeLoads({{{a.id_hash, 100, 5}}, true}, At(100));
  EXPECT_TRUE(table.KnowsLoads(At(200)));
  EXPECT_DOUBLE_EQ(a.others_reading_ms, 70);
  EXPECT_EQ(a.others_running, 3);
  table.TakeLoads({{{ById(table, "b").id_hash, 7, 1}}, false}, At(120));
  EXPECT_DOUBLE_EQ(a.others_reading_ms, 70);  // as it was: the summary is not whole
  EXPECT_DOUBLE_EQ(ById(table, "b").others_reading_ms, 7);
  table.TakeLoads({{{a.id_hash, 10, 1}}, true}, At(150));
  EXPECT_DOUBLE_EQ(ById(table, "b").others_reading_ms, 0);
  EXPECT_DOUBLE_EQ(a.others_reading_ms, 0);
  EXPECT_FALSE(table.KnowsLoads(At(5000)));
}

TEST(BackendLoads, HintsAreReadOrLeftAsTheyWere) {
  LoadHint hint;
  EXPECT_TRUE(ParseLoad("3,0,8", hint));
  EXPECT_EQ(hint.running, 3);
  EXPECT_EQ(hint.slots, 8);
  EXPECT_FALSE(ParseLoad("3,x,8", hint));
  EXPECT_FALSE(ParseLoad("", hint));
  EXPECT_EQ(hint.slots, 8);
}

// --- placement ---

class PlacementTest : public ::testing::Test {
 protected:
  void Use(const wire::InstanceList& list) { table_.Update(list); }
  BackendTable table_{1};
  Placement placement_{table_, "near", PlacementCosts{}, 2};
};

TEST_F(PlacementTest, TheLeastLoadedInTheZoneAndTiesAtRandom) {
  Use(Listed({"a", "b", "c", "d"}));
  std::map<std::string, int> picked;
  for (int i = 0; i < 200; ++i) ++picked[placement_.PickPlain("s", {}, At(0)).backend->info.id];
  EXPECT_EQ(picked.size(), 2u);
  EXPECT_GT(picked["a"], 50);
  EXPECT_GT(picked["c"], 50);
  ById(table_, "a").in_flight = 8;
  ById(table_, "c").in_flight = 8;
  EXPECT_EQ(placement_.PickPlain("s", {}, At(0)).backend->info.zone, "far");
}

TEST_F(PlacementTest, NeitherEjectedNorDrainingNorDisplacedNorExcludedOnes) {
  auto list = Listed({"a", "b", "c", "d"});
  list.instances[0].draining = true;
  Use(list);
  ById(table_, "b").health.ejected = true;
  ById(table_, "c").displaced = true;
  EXPECT_EQ(placement_.PickPlain("s", {}, At(0)).backend->info.id, "d");
  // Where nothing else is left, one that is ejected is better than none; one that drains is not.
  EXPECT_EQ(placement_.PickPlain("s", {&ById(table_, "d")}, At(0)).backend->info.id, "b");
  EXPECT_EQ(placement_.PickPlain("s", {&ById(table_, "d"), &ById(table_, "b")}, At(0)).backend, nullptr);
  EXPECT_EQ(placement_.PickPlain("unknown", {}, At(0)).backend, nullptr);
}

TEST_F(PlacementTest, PromptsWithTheSamePartsGoToTheSameReaderFromEveryProxy) {
  std::vector<std::string> ids;
  for (int i = 0; i < 16; ++i) ids.push_back("i-" + std::to_string(i));
  Use(Listed(ids, true));
  BackendTable other_table(9);
  other_table.Update(Listed(ids, true));
  Placement other(other_table, "far", PlacementCosts{}, 7);
  std::map<std::string, int> readers;
  for (int i = 0; i < 64; ++i) {
    const std::string shared = std::to_string(i) + ":5000,";
    const Prompt here = ParsePrompt("6000,50", shared + "x:1000");
    const Prompt there = ParsePrompt("6500,50", shared + "y:1500");
    const auto reader = placement_.PickPrefill("s", here, {}, At(0)).backend->info.id;
    EXPECT_EQ(reader, other.PickPrefill("s", there, {}, At(0)).backend->info.id);
    ++readers[reader];
  }
  EXPECT_GE(readers.size(), 6u);
}

TEST_F(PlacementTest, ALongQueueCostsMoreThanReadingSharedPartsAgain) {
  Use(Listed({"a", "b", "c", "d", "e", "f"}, true));
  const Prompt prompt = ParsePrompt("6000,50", "77:5000,x:1000");
  const Pick first = placement_.PickPrefill("s", prompt, {}, At(0));
  first.backend->reading_ms = 200;
  EXPECT_EQ(placement_.PickPrefill("s", prompt, {}, At(0)).backend, first.backend);
  first.backend->reading_ms = 1000 + PlacementCosts{}.again_ms_per_token * 5000;
  EXPECT_NE(placement_.PickPrefill("s", prompt, {}, At(0)).backend, first.backend);
}

TEST_F(PlacementTest, GeneratesInTheZoneOfTheReader) {
  auto list = Listed({"a", "b", "c", "d", "e", "f"}, true);
  list.instances[3].zone = "near";
  Use(list);
  Backend& source = ById(table_, "a", Stage::kPrefill);
  EXPECT_EQ(placement_.PickDecode("s", source, {}, At(0)).backend->info.zone, "near");
  ById(table_, "d", Stage::kDecode).in_flight = 16;
  EXPECT_EQ(placement_.PickDecode("s", source, {}, At(0)).backend->info.zone, "far");
}

TEST_F(PlacementTest, AReadingCountsUntilItEnds) {
  Use(Listed({"a", "b"}, true));
  const BackendPtr a = table_.Find("s", Stage::kPrefill)->backends[0];
  const Prompt prompt = ParsePrompt("600,5", "1:500,x:100");
  {
    ReadingUnderWay reading(a, prompt, 40, At(0));
    EXPECT_DOUBLE_EQ(a->reading_ms, 40);
    reading.End();
    EXPECT_DOUBLE_EQ(a->reading_ms, 0);
  }
  EXPECT_DOUBLE_EQ(a->reading_ms, 0);
  EXPECT_TRUE(a->parts.Has(prompt.parts[0].chain, At(0)));
}

TEST(KnownPartsTest, ForgetsTheOldestHalfAtItsBound) {
  KnownParts parts;
  for (std::uint64_t i = 0; i < 10 * KnownParts::kMost; ++i) parts.Note(i, At(static_cast<double>(i)));
  EXPECT_TRUE(parts.Has(10 * KnownParts::kMost - 1, At(0)));
  EXPECT_FALSE(parts.Has(0, At(0)));
}

TEST(Demand, FollowsTheLastSeconds) {
  DemandMeter meter;
  for (int i = 0; i < 400; ++i) meter.Count("s", 20, 100, At(i * 50));
  const auto demands = meter.Demands(At(20000));
  ASSERT_EQ(demands.size(), 1u);
  EXPECT_NEAR(demands[0].reading_ms_per_s, 400, 20);
  EXPECT_NEAR(demands[0].generating_ms_per_s, 2 * 2000, 200);  // 2 ms a token until streams have ended
  EXPECT_LT(meter.Demands(At(60000))[0].reading_ms_per_s, 5u);
}

// The time of a slot that a token takes follows what streams took.
TEST(Demand, LearnsHowLongStreamsHoldTheirSlots) {
  DemandMeter meter;
  for (int i = 0; i < 400; ++i) {
    meter.NoteGeneration("s", 100, 1000);
    meter.Count("s", 20, 100, At(i * 50));
  }
  meter.NoteGeneration("s", 0, 1000);
  meter.NoteGeneration("s", 100, -1);
  EXPECT_NEAR(meter.Demands(At(20000))[0].generating_ms_per_s, 20 * 1000, 1000);
}

// --- the platform's list ---

TEST(ListPage, ReadsEntriesAndLeavesOutWhatIsNone) {
  const auto page =
      discovery::ParsePage(R"({"instances":[{"cluster":"s","address":"10.0.0.9:80","zone":"z","slots":64,
      "state":"draining","stage":"decode","models":[{"name":"m"}],"id":"i-1"},{"cluster":"s","id":"i-2"},5],
      "next_page_token":"p-50"})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->instances.size(), 1u);
  EXPECT_TRUE(page->instances[0].draining);
  EXPECT_TRUE(page->instances[0].decode);
  EXPECT_EQ(page->instances[0].models, (std::vector<std::string>{"m"}));
  EXPECT_EQ(page->next_token, "p-50");
  EXPECT_FALSE(discovery::ParsePage("{}"));
  EXPECT_FALSE(discovery::ParsePage("{\"instances\":[{"));
  EXPECT_EQ(discovery::ParsePage(R"({"instances":[],"next_page_token":null})")->next_token, "");
}

}  // namespace
}  // namespace kestrelline::data_plane

// SPDX-License-Identifier: Apache-2.0
//
// Tests of the proxy's decisions without I/O: prompts, event splitting, retry budget, backend health,
// placement.
#include <gtest/gtest.h>

#include "data_plane/backend_table.h"
#include "data_plane/demand_meter.h"
#include "data_plane/placement.h"
#include "data_plane/prompt.h"
#include "data_plane/retry_account.h"
#include "data_plane/retry_budget.h"
#include "discovery/page.h"

namespace kestrelline::data_plane {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

// --- prompts ---

TEST(Prompt, EqualPrefixesHaveEqualHashes) {
  const Prompt a = ParsePrompt("1460,80", "5c1e:800,91bd:410,e440:250");
  const Prompt b = ParsePrompt("1300,80", "5c1e:800,91bd:410,ffff:90");
  const Prompt c = ParsePrompt("1300,80", "91bd:410,5c1e:800,ffff:90");
  EXPECT_EQ(a.tokens, 1460);
  EXPECT_EQ(a.output_tokens, 80);
  ASSERT_EQ(a.blocks.size(), 3u);
  EXPECT_EQ(a.SharedBlocks(), 2u);
  EXPECT_EQ(a.SharedTokens(), 1210);
  EXPECT_EQ(a.blocks[1].prefix_hash, b.blocks[1].prefix_hash);
  EXPECT_NE(a.blocks[2].prefix_hash, b.blocks[2].prefix_hash);
  EXPECT_NE(a.blocks[1].prefix_hash, c.blocks[1].prefix_hash);
}

TEST(Prompt, IdBoundariesChangeTheHash) {
  EXPECT_NE(ParsePrompt("", "ab:1,c:1").blocks[1].prefix_hash,
            ParsePrompt("", "a:1,bc:1").blocks[1].prefix_hash);
}

TEST(Prompt, MalformedValuesCountAsAbsent) {
  EXPECT_EQ(ParsePrompt("", "").tokens, 0);
  EXPECT_EQ(ParsePrompt("x,y", "zz,:,a:b").tokens, 0);
  EXPECT_EQ(ParsePrompt("-5,-7", "a:-9").tokens, 0);
  std::string many;
  for (int i = 0; i < 500; ++i) many += std::to_string(i) + ":1,";
  EXPECT_EQ(ParsePrompt("9,9", many).blocks.size(), kMaxBlocks);
}

// --- retry budget ---

TEST(RetryAccount, FirstPrefillAndFirstExecutionNeedNoBudget) {
  RetryAccount account;
  EXPECT_TRUE(account.empty());
  EXPECT_FALSE(account.NeedsBudget());
  account.RecordPrefill(true);
  EXPECT_FALSE(account.empty());
  EXPECT_FALSE(account.NeedsBudget());
  account.RecordExecution();
  EXPECT_TRUE(account.NeedsBudget());
}

// A rejected prefill is the first counted attempt of the request, so all later attempts need budget,
// including the execution.
TEST(RetryAccount, ExecutionAfterARejectedPrefillNeedsBudget) {
  RetryAccount account;
  account.RecordPrefill(false);
  EXPECT_TRUE(account.NeedsBudget());
  account.RecordBudget();
  EXPECT_FALSE(account.NeedsBudget());
  account.RecordPrefill(true);  // the first accepted prefill is free: the budget is left for the execution
  EXPECT_FALSE(account.NeedsBudget());
  account.RecordExecution();
  EXPECT_TRUE(account.NeedsBudget());
}

TEST(RetryAccount, EveryCountedAttemptAfterTheFirstNeedsBudget) {
  RetryAccount account;
  int budgeted = 0;
  const auto attempt = [&](auto note) {
    if (account.NeedsBudget()) account.RecordBudget(), ++budgeted;
    note();
  };
  attempt([&] { account.RecordPrefill(true); });
  attempt([&] { account.RecordExecution(); });    // rejected
  attempt([&] { account.RecordPrefill(true); });  // a second prefill counts
  attempt([&] { account.RecordExecution(); });
  EXPECT_EQ(budgeted, 2);
}

TEST(FleetRetryBudget, UsesItsShareAndNotMore) {
  RetryBudget budget({0.2, 58, Duration(10000)});
  budget.set_proxies(9, At(0));
  int acquired = 0;
  for (int i = 0; i < 100; ++i) acquired += budget.TryAcquire("s", At(100));
  EXPECT_EQ(acquired, static_cast<int>(58 * RetryBudget::kUsedShare / 9));
  for (int i = 0; i < 1000; ++i) budget.CountRequest("s", At(200));
  for (int i = 0; i < 1000; ++i) acquired += budget.TryAcquire("s", At(300));
  EXPECT_LE(acquired, 0.2 * 1000 * RetryBudget::kUsedShare + 58.0 / 9);
  EXPECT_GE(acquired, 100);
}

TEST(FleetRetryBudget, ASmallerNumberOfProxiesCountsAfterADelay) {
  RetryBudget budget({0, 58, Duration(10000)});
  budget.set_proxies(9, At(0));
  budget.set_proxies(2, At(1000));
  int acquired = 0;
  for (int i = 0; i < 100; ++i) acquired += budget.TryAcquire("s", At(1000));
  EXPECT_EQ(acquired, static_cast<int>(58 * RetryBudget::kUsedShare / 9));
  budget.set_proxies(2, At(25000));
  for (int i = 0; i < 100; ++i) acquired += budget.TryAcquire("s", At(40000));
  EXPECT_GT(acquired, static_cast<int>(58 * RetryBudget::kUsedShare / 2));
}

TEST(FleetRetryBudget, AssumesManyProxiesUntilTold) {
  RetryBudget budget({0.2, 58, Duration(10000)});
  EXPECT_FALSE(budget.TryAcquire("s", At(100)));
}

// --- backend health and load ---

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

TEST(BackendHealth, AFailingBackendIsEjectedAndReturnsByTimerWithItsMultiplier) {
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

TEST(BackendHealth, StateFollowsTheInstanceIdNotTheAddress) {
  BackendTable table(1);
  table.Update(Listed({"a", "b"}));
  ById(table, "a").in_flight = 3;
  table.Update(Listed({"a", "b"}));
  EXPECT_EQ(ById(table, "a").in_flight, 3);
  table.Update(Listed({"new", "b"}));
  EXPECT_EQ(ById(table, "new").in_flight, 0);
  EXPECT_EQ(table.size(), 2u);
}

TEST(BackendHealth, RejectionsCauseAGrowingBackoffButNoFailure) {
  Backend backend;
  backend.RecordRejection(At(0));
  const TimePoint first = backend.backoff_until;
  backend.RecordRejection(At(0));
  EXPECT_GT(backend.backoff_until, first);
  for (int i = 0; i < 50; ++i) backend.RecordRejection(At(0));
  EXPECT_LE(backend.backoff_until, At(5000));
  backend.ResetBackoff();
  backend.RecordRejection(At(0));
  EXPECT_EQ(backend.backoff_until, first);
  EXPECT_EQ(backend.health.failures, 0);
}

TEST(BackendLoads, LoadOfOthersIsTheTotalMinusTheOwnReport) {
  BackendTable table(1);
  table.Update(Listed({"a", "b"}));
  Backend& a = ById(table, "a");
  a.pending_prefill_ms = 30;
  a.in_flight = 2;
  const auto report = table.ReportLoads();
  ASSERT_EQ(report.size(), 1u);
  EXPECT_FALSE(table.HasRecentLoads(At(100)));
  table.ApplyLoadSummary({{{a.id_hash, 100, 5}}, true}, At(100));
  EXPECT_TRUE(table.HasRecentLoads(At(200)));
  EXPECT_DOUBLE_EQ(a.others_prefill_ms, 70);
  EXPECT_EQ(a.others_running, 3);
  table.ApplyLoadSummary({{{ById(table, "b").id_hash, 7, 1}}, false}, At(120));
  EXPECT_DOUBLE_EQ(a.others_prefill_ms, 70);  // unchanged, as the summary is incremental
  EXPECT_DOUBLE_EQ(ById(table, "b").others_prefill_ms, 7);
  table.ApplyLoadSummary({{{a.id_hash, 10, 1}}, true}, At(150));
  EXPECT_DOUBLE_EQ(ById(table, "b").others_prefill_ms, 0);
  EXPECT_DOUBLE_EQ(a.others_prefill_ms, 0);
  EXPECT_FALSE(table.HasRecentLoads(At(5000)));
}

TEST(BackendLoads, MalformedHintsAreIgnored) {
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
  void UpdateTable(const wire::InstanceList& list) { table_.Update(list); }
  BackendTable table_{1};
  Placement placement_{table_, "near", PlacementCosts{}, 2};
};

TEST_F(PlacementTest, PrefersTheLeastLoadedInItsZoneWithRandomTies) {
  UpdateTable(Listed({"a", "b", "c", "d"}));
  std::map<std::string, int> picks;
  for (int i = 0; i < 200; ++i) ++picks[placement_.PickPlain("s", {}, At(0)).backend->info.id];
  EXPECT_EQ(picks.size(), 2u);
  EXPECT_GT(picks["a"], 50);
  EXPECT_GT(picks["c"], 50);
  ById(table_, "a").in_flight = 8;
  ById(table_, "c").in_flight = 8;
  EXPECT_EQ(placement_.PickPlain("s", {}, At(0)).backend->info.zone, "far");
}

TEST_F(PlacementTest, SkipsEjectedDrainingReplacedAndExcludedBackends) {
  auto list = Listed({"a", "b", "c", "d"});
  list.instances[0].draining = true;
  UpdateTable(list);
  ById(table_, "b").health.ejected = true;
  ById(table_, "c").address_reused = true;
  EXPECT_EQ(placement_.PickPlain("s", {}, At(0)).backend->info.id, "d");
  // Falls back to an ejected backend if there is no other, but never to a draining one.
  EXPECT_EQ(placement_.PickPlain("s", {&ById(table_, "d")}, At(0)).backend->info.id, "b");
  EXPECT_EQ(placement_.PickPlain("s", {&ById(table_, "d"), &ById(table_, "b")}, At(0)).backend, nullptr);
  EXPECT_EQ(placement_.PickPlain("unknown", {}, At(0)).backend, nullptr);
}

TEST_F(PlacementTest, AllProxiesSendASharedPrefixToTheSameBackend) {
  std::vector<std::string> ids;
  for (int i = 0; i < 16; ++i) ids.push_back("i-" + std::to_string(i));
  UpdateTable(Listed(ids, true));
  BackendTable other_table(9);
  other_table.Update(Listed(ids, true));
  Placement other(other_table, "far", PlacementCosts{}, 7);
  std::map<std::string, int> picked_backends;
  for (int i = 0; i < 64; ++i) {
    const std::string shared = std::to_string(i) + ":5000,";
    const Prompt here = ParsePrompt("6000,50", shared + "x:1000");
    const Prompt there = ParsePrompt("6500,50", shared + "y:1500");
    const auto picked_id = placement_.PickPrefill("s", here, {}, At(0)).backend->info.id;
    EXPECT_EQ(picked_id, other.PickPrefill("s", there, {}, At(0)).backend->info.id);
    ++picked_backends[picked_id];
  }
  EXPECT_GE(picked_backends.size(), 6u);
}

TEST_F(PlacementTest, ALongQueueOutweighsRecomputingASharedPrefix) {
  UpdateTable(Listed({"a", "b", "c", "d", "e", "f"}, true));
  const Prompt prompt = ParsePrompt("6000,50", "77:5000,x:1000");
  const Pick first = placement_.PickPrefill("s", prompt, {}, At(0));
  first.backend->pending_prefill_ms = 200;
  EXPECT_EQ(placement_.PickPrefill("s", prompt, {}, At(0)).backend, first.backend);
  first.backend->pending_prefill_ms = 1000 + PlacementCosts{}.recompute_ms_per_token * 5000;
  EXPECT_NE(placement_.PickPrefill("s", prompt, {}, At(0)).backend, first.backend);
}

TEST_F(PlacementTest, DecodesInTheZoneOfThePrefill) {
  auto list = Listed({"a", "b", "c", "d", "e", "f"}, true);
  list.instances[3].zone = "near";
  UpdateTable(list);
  Backend& source = ById(table_, "a", Stage::kPrefill);
  EXPECT_EQ(placement_.PickDecode("s", source, {}, At(0)).backend->info.zone, "near");
  ById(table_, "d", Stage::kDecode).in_flight = 16;
  EXPECT_EQ(placement_.PickDecode("s", source, {}, At(0)).backend->info.zone, "far");
}

TEST_F(PlacementTest, APendingPrefillCountsUntilItEnds) {
  UpdateTable(Listed({"a", "b"}, true));
  const BackendPtr a = table_.Find("s", Stage::kPrefill)->backends[0];
  const Prompt prompt = ParsePrompt("600,5", "1:500,x:100");
  {
    PendingPrefill pending(a, prompt, 40, At(0));
    EXPECT_DOUBLE_EQ(a->pending_prefill_ms, 40);
    pending.End();
    EXPECT_DOUBLE_EQ(a->pending_prefill_ms, 0);
  }
  EXPECT_DOUBLE_EQ(a->pending_prefill_ms, 0);
  EXPECT_TRUE(a->cached_prefixes.Contains(prompt.blocks[0].prefix_hash, At(0)));
}

TEST(PrefixCacheIndexTest, EvictsTheOldestHalfAtItsLimit) {
  PrefixCacheIndex prefixes;
  for (std::uint64_t i = 0; i < 10 * PrefixCacheIndex::kMaxEntries; ++i)
    prefixes.Touch(i, At(static_cast<double>(i)));
  EXPECT_TRUE(prefixes.Contains(10 * PrefixCacheIndex::kMaxEntries - 1, At(0)));
  EXPECT_FALSE(prefixes.Contains(0, At(0)));
}

TEST(Demand, RateFollowsRecentSeconds) {
  DemandMeter meter;
  for (int i = 0; i < 400; ++i) meter.Count("s", 20, 100, At(i * 50));
  const auto demands = meter.Demands(At(20000));
  ASSERT_EQ(demands.size(), 1u);
  EXPECT_NEAR(demands[0].prefill_ms_per_s, 400, 20);
  EXPECT_NEAR(demands[0].decode_ms_per_s, 2 * 2000, 200);  // initially 2 ms per token
  EXPECT_LT(meter.Demands(At(60000))[0].prefill_ms_per_s, 5u);
}

// The slot time per token follows the observed streams.
TEST(Demand, LearnsHowLongStreamsHoldTheirSlots) {
  DemandMeter meter;
  for (int i = 0; i < 400; ++i) {
    meter.RecordGeneration("s", 100, 1000);
    meter.Count("s", 20, 100, At(i * 50));
  }
  meter.RecordGeneration("s", 0, 1000);
  meter.RecordGeneration("s", 100, -1);
  EXPECT_NEAR(meter.Demands(At(20000))[0].decode_ms_per_s, 20 * 1000, 1000);
}

// --- instance list of the platform ---

TEST(ListPage, ReadsEntriesAndSkipsInvalidOnes) {
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

// SPDX-License-Identifier: Apache-2.0
//
// What the leader computes for the data plane: the sums of the reported loads, and moves between stages.
#include <gtest/gtest.h>

#include "control_plane/stage_planner.h"
#include "distribution/load_board.h"

namespace kestrelline::control_plane {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kSlots = 64;

std::vector<wire::Instance> Backends(int prefill, int decode) {
  std::vector<wire::Instance> instances;
  for (int i = 0; i < prefill + decode; ++i) {
    wire::Instance instance;
    instance.id = "i-" + std::to_string(i);
    instance.service = "llm";
    instance.address = "10.0.0.1:" + std::to_string(100 + i);
    instance.zone = std::string(1, static_cast<char>('a' + i % 3));
    instance.slots = kSlots;
    instance.prefill = i < prefill;
    instance.decode = i >= prefill;
    instances.push_back(instance);
  }
  return instances;
}
// The demand that keeps `prefill` backends reading all the time, and `decode` backends at their target
// utilization.
std::vector<wire::Demand> MakeDemand(double prefill, double decode) {
  const StagePlannerOptions options;
  return {{"llm", static_cast<std::uint32_t>(prefill * 1000),
           static_cast<std::uint32_t>(decode * options.target_decode_utilization * kSlots * 1000)}};
}
std::size_t Count(const std::vector<wire::Instance>& instances, bool prefill) {
  std::size_t count = 0;
  for (const wire::Instance& instance : instances) count += prefill ? instance.prefill : instance.decode;
  return count;
}
// Plans and executes moves for 60 rounds. Returns the number of orders.
std::size_t RunPlanner(StagePlanner& planner, std::vector<wire::Instance>& instances,
                       const std::vector<wire::Demand>& demands, milliseconds& now) {
  std::size_t orders = 0;
  for (int round = 0; round < 60; ++round) {
    now += milliseconds(1000);
    for (const StageOrder& order : planner.Plan(now, instances, demands)) {
      ++orders;
      for (wire::Instance& instance : instances) {
        if (instance.id != order.instance) continue;
        instance.prefill = order.goal == StageGoal::kPrefill;
        instance.decode = !instance.prefill;
      }
    }
    std::vector<wire::Instance> listed = instances;
    planner.MarkMoving(now, listed);
  }
  return orders;
}

TEST(StagePlanner, PrefillGrowsWithPromptLoad) {
  StagePlanner planner;
  auto instances = Backends(7, 11);
  milliseconds now{0};
  RunPlanner(planner, instances, MakeDemand(6.5, 5), now);
  EXPECT_GE(Count(instances, true), 11u);
  EXPECT_GE(Count(instances, false), 5u);
}

TEST(StagePlanner, DecodeGrowsWithAnswerLength) {
  StagePlanner planner;
  auto instances = Backends(12, 6);
  milliseconds now{0};
  RunPlanner(planner, instances, MakeDemand(1.5, 12), now);
  EXPECT_GE(Count(instances, false), 12u);
  EXPECT_GE(Count(instances, true), 4u);
}

TEST(StagePlanner, EachStageKeepsItsMinimumShareAndABackendInEachZone) {
  for (const bool reading : {true, false}) {
    StagePlanner planner;
    auto instances = Backends(9, 9);
    milliseconds now{0};
    RunPlanner(planner, instances, reading ? MakeDemand(100, 0) : MakeDemand(0, 100), now);
    EXPECT_GE(Count(instances, !reading), 5u);
    for (const char zone : {'a', 'b', 'c'}) {
      std::size_t here = 0;
      for (const wire::Instance& instance : instances) {
        here += instance.zone[0] == zone && (reading ? instance.decode : instance.prefill);
      }
      EXPECT_GE(here, 1u);
    }
  }
}

TEST(StagePlanner, SteadyDemandCausesNoOscillation) {
  StagePlanner planner;
  auto instances = Backends(9, 9);
  milliseconds now{0};
  RunPlanner(planner, instances, MakeDemand(4, 5), now);
  std::size_t moves = 0;
  for (int i = 0; i < 20; ++i) moves += RunPlanner(planner, instances, MakeDemand(i % 2 ? 4.0 : 4.3, 5), now);
  EXPECT_LE(moves, 1u);
}

TEST(StagePlanner, ConcurrentMovesAreLimitedAndTimedOutMovesAreRetried) {
  StagePlanner planner;
  const auto instances = Backends(5, 13);
  milliseconds now{0};
  std::size_t orders = 0;
  for (; now < milliseconds(5000); now += milliseconds(500))
    orders += planner.Plan(now, instances, MakeDemand(8, 2)).size();
  EXPECT_EQ(orders, StagePlannerOptions{}.max_concurrent_moves);
  auto listed = instances;
  planner.MarkMoving(now, listed);
  EXPECT_EQ(Count(listed, true) + Count(listed, false), 15u);
  now += milliseconds(10000);
  listed = instances;
  planner.MarkMoving(now, listed);
  EXPECT_EQ(Count(listed, true) + Count(listed, false), 18u);
  EXPECT_FALSE(planner.Plan(now, instances, MakeDemand(8, 2)).empty());
}

TEST(StagePlanner, DrainingBackendsAndServicesWithoutStagesAreNotMoved) {
  StagePlanner planner;
  auto instances = Backends(5, 13);
  for (wire::Instance& instance : instances) instance.draining = instance.decode;
  EXPECT_TRUE(planner.Plan(milliseconds(1), instances, MakeDemand(8, 2)).empty());
  EXPECT_TRUE(planner.Plan(milliseconds(1), Backends(0, 13), MakeDemand(8, 2)).empty());
}

TEST(LoadBoard, SumsReportsOfProxiesAndMembersAndDropsStaleOnes) {
  distribution::LoadBoard board;
  board.ReportFromProxy(milliseconds(0), "p1", {{{1, 10, 2}}, {{"s", 5, 6}}, 1});
  board.ReportFromProxy(milliseconds(0), "p2", {{{1, 5, 1}, {2, 7, 1}}, {{"s", 1, 2}}, 3});
  board.ReportFromMember(milliseconds(1000), "m", {{{2, 100, 9}}, {}, 5});
  EXPECT_EQ(board.LocalReport().loads, (std::vector<wire::BackendLoad>{{1, 15, 3}, {2, 7, 1}}));
  EXPECT_EQ(board.TotalReport().loads, (std::vector<wire::BackendLoad>{{1, 15, 3}, {2, 107, 10}}));
  EXPECT_EQ(board.LocalReport().proxies, 4u);
  EXPECT_EQ(board.TotalReport().proxies, 9u);
  EXPECT_EQ(board.TotalReport().demands, (std::vector<wire::Demand>{{"s", 6, 8}}));
  board.DropTimedOut(milliseconds(1600));
  EXPECT_TRUE(board.LocalReport().loads.empty());
  EXPECT_EQ(board.TotalReport().loads, (std::vector<wire::BackendLoad>{{2, 100, 9}}));
}

}  // namespace
}  // namespace kestrelline::control_plane

// SPDX-License-Identifier: Apache-2.0
//
// What the leader works out for the data plane: the sum of loads, and moves between stages.
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
// The reading of so many backends at full pace, and streams for so many that are as busy as they should be.
std::vector<wire::Demand> Asked(double prefill, double decode) {
  const StagePlannerOptions options;
  return {{"llm", static_cast<std::uint32_t>(prefill * 1000),
           static_cast<std::uint32_t>(decode * options.target_decode_utilization * kSlots * 1000)}};
}
std::size_t Count(const std::vector<wire::Instance>& instances, bool prefill) {
  std::size_t count = 0;
  for (const wire::Instance& instance : instances) count += prefill ? instance.prefill : instance.decode;
  return count;
}
// Plans and carries out, until nothing more is planned.
std::size_t Settle(StagePlanner& planner, std::vector<wire::Instance>& instances,
                   const std::vector<wire::Demand>& asked, milliseconds& now) {
  std::size_t orders = 0;
  for (int round = 0; round < 60; ++round) {
    now += milliseconds(1000);
    for (const StageOrder& order : planner.Plan(now, instances, asked)) {
      ++orders;
      for (wire::Instance& instance : instances) {
        if (instance.id != order.instance) continue;
        instance.prefill = order.goal == StageGoal::kPrefill;
        instance.decode = !instance.prefill;
      }
    }
    std::vector<wire::Instance> shown = instances;
    planner.MarkMoving(now, shown);
  }
  return orders;
}

TEST(StagePlanner, PrefillGrowsWhereMoreIsToBeRead) {
  StagePlanner planner;
  auto instances = Backends(7, 11);
  milliseconds now{0};
  Settle(planner, instances, Asked(6.5, 5), now);
  EXPECT_GE(Count(instances, true), 11u);
  EXPECT_GE(Count(instances, false), 5u);
}

TEST(StagePlanner, DecodeGrowsWhereAnswersAreLong) {
  StagePlanner planner;
  auto instances = Backends(12, 6);
  milliseconds now{0};
  Settle(planner, instances, Asked(1.5, 12), now);
  EXPECT_GE(Count(instances, false), 12u);
  EXPECT_GE(Count(instances, true), 4u);
}

TEST(StagePlanner, NeitherStageFallsUnderItsLeastShareNorOutOfAZone) {
  for (const bool reading : {true, false}) {
    StagePlanner planner;
    auto instances = Backends(9, 9);
    milliseconds now{0};
    Settle(planner, instances, reading ? Asked(100, 0) : Asked(0, 100), now);
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

TEST(StagePlanner, ASteadyDemandMovesNothingBackAndForth) {
  StagePlanner planner;
  auto instances = Backends(9, 9);
  milliseconds now{0};
  Settle(planner, instances, Asked(4, 5), now);
  std::size_t moves = 0;
  for (int i = 0; i < 20; ++i) moves += Settle(planner, instances, Asked(i % 2 ? 4.0 : 4.3, 5), now);
  EXPECT_LE(moves, 1u);
}

TEST(StagePlanner, FewMovesAreUnderWayAtOnceAndOneThatDoesNotShowIsTriedAgain) {
  StagePlanner planner;
  const auto instances = Backends(5, 13);
  milliseconds now{0};
  std::size_t orders = 0;
  for (; now < milliseconds(5000); now += milliseconds(500))
    orders += planner.Plan(now, instances, Asked(8, 2)).size();
  EXPECT_EQ(orders, StagePlannerOptions{}.max_concurrent_moves);
  auto shown = instances;
  planner.MarkMoving(now, shown);
  EXPECT_EQ(Count(shown, true) + Count(shown, false), 15u);
  now += milliseconds(10000);
  shown = instances;
  planner.MarkMoving(now, shown);
  EXPECT_EQ(Count(shown, true) + Count(shown, false), 18u);
  EXPECT_FALSE(planner.Plan(now, instances, Asked(8, 2)).empty());
}

TEST(StagePlanner, BackendsThatLeaveAndServicesWithoutStagesAreLeftAlone) {
  StagePlanner planner;
  auto instances = Backends(5, 13);
  for (wire::Instance& instance : instances) instance.draining = instance.decode;
  EXPECT_TRUE(planner.Plan(milliseconds(1), instances, Asked(8, 2)).empty());
  EXPECT_TRUE(planner.Plan(milliseconds(1), Backends(0, 13), Asked(8, 2)).empty());
}

TEST(LoadBoard, AddsUpProxiesAndMembersAndForgetsTheSilent) {
  distribution::LoadBoard board;
  board.ReportFromProxy(milliseconds(0), "p1", {{{1, 10, 2}}, {{"s", 5, 6}}, 1});
  board.ReportFromProxy(milliseconds(0), "p2", {{{1, 5, 1}, {2, 7, 1}}, {{"s", 1, 2}}, 3});
  board.ReportFromMember(milliseconds(1000), "m", {{{2, 100, 9}}, {}, 5});
  EXPECT_EQ(board.Here().loads, (std::vector<wire::BackendLoad>{{1, 15, 3}, {2, 7, 1}}));
  EXPECT_EQ(board.Everywhere().loads, (std::vector<wire::BackendLoad>{{1, 15, 3}, {2, 107, 10}}));
  EXPECT_EQ(board.Here().proxies, 4u);
  EXPECT_EQ(board.Everywhere().proxies, 9u);
  EXPECT_EQ(board.Everywhere().demands, (std::vector<wire::Demand>{{"s", 6, 8}}));
  board.Forget(milliseconds(1600));
  EXPECT_TRUE(board.Here().loads.empty());
  EXPECT_EQ(board.Everywhere().loads, (std::vector<wire::BackendLoad>{{2, 100, 9}}));
}

}  // namespace
}  // namespace kestrelline::control_plane

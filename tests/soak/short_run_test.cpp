// SPDX-License-Identifier: Apache-2.0
//
// Two short soak runs of real processes, their seeds fixed. FLEET_PROGRAM is set by the build.
#include <gtest/gtest.h>

#include <iostream>

#include "fleet_soak/runner.h"
#include "support/temporary.h"

namespace kestrelline::fleet_soak {
namespace {

constexpr Time kLength{25000};
constexpr int kMinAnswers = 500;

void SoakAndExpectNoViolation(std::uint64_t seed, bool planned_work_alone) {
  const testing::TemporaryFolder folder;
  Wanted wanted;
  wanted.length = kLength;
  wanted.cores = 3;
  wanted.edges = 4;
  wanted.gateways = 2;
  wanted.planned_work_alone = planned_work_alone;
  RunOptions options;
  options.program = FLEET_PROGRAM;
  options.folder = folder.path();
  options.plan = DrawPlan(seed, wanted);
  std::cout << Describe(options.plan);
  const RunResult result = RunSoak(options);
  Print(options, result, std::cout);
  EXPECT_GT(result.judgement.tally.answered, kMinAnswers);
  EXPECT_TRUE(result.judgement.violations.empty());
}

TEST(SoakShortRun, PlannedWorkAloneBreaksNoRule) { SoakAndExpectNoViolation(22, true); }

TEST(SoakShortRun, EverythingAtOnceBreaksNoRule) { SoakAndExpectNoViolation(5, false); }

}  // namespace
}  // namespace kestrelline::fleet_soak

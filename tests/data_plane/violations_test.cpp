// SPDX-License-Identifier: Apache-2.0
#include "invariants/violations.h"

#include <gtest/gtest.h>

namespace kestrelline::invariants {
namespace {

TEST(Violations, AreCountedAndReportedByInvariant) {
  Violations violations;
  EXPECT_EQ(violations.total(), 0u);
  violations.Report(Invariant::kEveryRequestEnds, "request_id=r1");
  violations.Report(Invariant::kEveryRequestEnds, "request_id=r2");
  violations.Report(Invariant::kAnsweredBeforeExit, "request_id=r3");
  EXPECT_EQ(violations.count(Invariant::kEveryRequestEnds), 2u);
  EXPECT_EQ(violations.count(Invariant::kAnsweredBeforeExit), 1u);
  EXPECT_EQ(violations.count(Invariant::kForwardedWithinTime), 0u);
  EXPECT_EQ(violations.total(), 3u);
  EXPECT_EQ(violations.Json(),
            "{\"answered_before_exit\":1,\"every_request_ends\":2,\"passed_on_within_time\":0}");
}

}  // namespace
}  // namespace kestrelline::invariants

// SPDX-License-Identifier: Apache-2.0
//
// Signals that arrive while a process of the fleet exits.
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <thread>

#include "router_fleet/fleet_fixture.h"

namespace kestrelline::router_fleet {
namespace {

// Stops the process and repeats `signal` until it has ended. Its exit status, or 1000 and the signal that
// ended it; -1 if it does not end.
int StopBesideSignals(Process& process, int signal) {
  constexpr std::chrono::microseconds kInterval{500};
  process.Signal(SIGTERM);
  const bool ended = Eventually([&] {
    process.Signal(signal);
    std::this_thread::sleep_for(kInterval);
    return process.Ended();
  });
  return ended ? process.status() : -1;
}

class ExitSignals : public ::testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Signals, ExitSignals, ::testing::Values(SIGHUP, SIGTERM),
                         [](const auto& info) { return info.param == SIGHUP ? "Sighup" : "Sigterm"; });

// Guards against a signal that ends a process after its work is done, since the handlers are gone by then:
// the soak saw a proxy ended by SIGHUP during its exit.
TEST_P(ExitSignals, DoNotEndAProcessThatExits) {
  Fleet::Options options;
  options.gateways = 1;
  Fleet fleet(options);
  ASSERT_TRUE(fleet.Begin());
  EXPECT_EQ(StopBesideSignals(fleet.edge(0), GetParam()), 0);
  EXPECT_EQ(StopBesideSignals(fleet.gateway(0), GetParam()), 0);
  EXPECT_EQ(StopBesideSignals(fleet.core(0), GetParam()), 0);
}

}  // namespace
}  // namespace kestrelline::router_fleet

// SPDX-License-Identifier: Apache-2.0
//
// Connections that machines without power leave behind: nothing is ever sent on them, and nobody closes them.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "mesh/mesh.h"
#include "router_fleet/client_socket.h"
#include "router_fleet/fleet_fixture.h"
#include "wire/codec.h"

namespace kestrelline::router_fleet {
namespace {

// Guards against members that keep the connections of machines without power for ever, and close all new ones
// when there are 512 (review/8). A connection without a byte is what such a machine leaves behind.
TEST(HeldConnections, AProxySubscribesAlthoughMachinesThatAreGoneHoldConnections) {
  constexpr int kHeld = 520;
  Fleet::Options options;
  options.cores = 1;
  options.edges = 1;
  options.tolerated = 0;
  Fleet fleet(options);
  ASSERT_TRUE(fleet.Begin());
  std::vector<std::unique_ptr<ClientSocket>> held;
  for (int i = 0; i < kHeld; ++i) {
    held.push_back(std::make_unique<ClientSocket>(fleet.CoreIp(0), Fleet::kInternal));
    ASSERT_TRUE(held.back()->connected());
  }
  fleet.edge(0).End(SIGKILL);
  fleet.StartEdge(0);
  EXPECT_TRUE(Eventually([&] { return fleet.Ready(0); }));
}

// The same at the addresses of the operator's API and of the readiness check, whose limit is 256.
TEST(HeldConnections, CallersAreAnsweredAlthoughMachinesThatAreGoneHoldConnections) {
  constexpr int kHeld = 260;
  Fleet fleet({});
  ASSERT_TRUE(fleet.Begin());
  std::vector<std::unique_ptr<ClientSocket>> held;
  for (int i = 0; i < kHeld; ++i) {
    held.push_back(std::make_unique<ClientSocket>(fleet.CoreIp(0), Fleet::kControl));
    held.push_back(std::make_unique<ClientSocket>(fleet.EdgeIp(0), Fleet::kReady));
  }
  EXPECT_EQ(
      Ask(fleet.CoreIp(0), Fleet::kControl, "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
          .status,
      200);
  EXPECT_TRUE(fleet.Ready(0));
}

// Guards against a member that knows so many gateways that are gone (its limit is 64) that it never tells a
// new one which members there are.
TEST(HeldConnections, ANewGatewayIsToldTheMembersAlthoughManyThatAreGoneAnnouncedThemselves) {
  constexpr int kGone = 70;
  Fleet::Options options;
  options.cores = 1;
  options.edges = 1;
  options.tolerated = 0;
  Fleet fleet(options);
  ASSERT_TRUE(fleet.Begin());
  const ClientSocket gateways(fleet.CoreIp(0), Fleet::kInternal);
  const auto announce = [&](const std::string& gateway) {
    return gateways.Send(wire::EncodeFrame({gateway, wire::Referral{}}));
  };
  for (int i = 0; i < kGone; ++i) ASSERT_TRUE(announce("127.250.250." + std::to_string(1 + i)));

  boost::asio::io_context io;
  bool told = false;
  mesh::Mesh gateway(io, fleet.GatewayIp(0), {fleet.GatewayIp(0), Fleet::kInternal}, nullptr);
  const auto on_message = [&](mesh::Connection&, const wire::Message& message) {
    const auto* referral = std::get_if<wire::Referral>(&message.body);
    if (referral == nullptr) return;
    told = std::find(referral->members.begin(), referral->members.end(), fleet.CoreIp(0)) !=
           referral->members.end();
  };
  ASSERT_FALSE(gateway.Listen(on_message, nullptr));
  ASSERT_TRUE(announce(fleet.GatewayIp(0)));
  EXPECT_TRUE(Eventually([&] {
    io.restart();
    io.run_for(milliseconds(50));
    return told;
  }));
}

}  // namespace
}  // namespace kestrelline::router_fleet

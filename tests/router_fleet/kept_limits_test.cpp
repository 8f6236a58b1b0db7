// SPDX-License-Identifier: Apache-2.0
//
// The limits of a configuration on connections that clients keep while the configuration changes.
#include <gtest/gtest.h>

#include <string>
#include <thread>

#include "router_fleet/fleet_fixture.h"
#include "router_fleet/kept_connection.h"

namespace kestrelline::router_fleet {
namespace {

constexpr int kSmallBodyBytes = 65536;
constexpr int kLargeBodyBytes = 4194304;
constexpr int kRequestBytes = 100000;

std::string WithLimits(const Fleet& fleet, int version, int max_body_bytes, int idle_timeout_ms) {
  std::string text = fleet.Configuration(version);
  text.pop_back();
  return text + R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":)" + std::to_string(max_body_bytes) +
         R"(,"header_timeout_ms":3000,"idle_timeout_ms":)" + std::to_string(idle_timeout_ms) + "}}";
}

bool BeginWith(const Fleet& fleet, const std::string& configuration) {
  return fleet.Put(configuration, 0) == 200 && Eventually([&] { return fleet.AllReady(); });
}

bool InForce(const Fleet& fleet, int version) {
  const std::string line = "edge0 configuration version=" + std::to_string(version) + " routes";
  return Eventually([&] { return fleet.Log().find(line) != std::string::npos; });
}

int StatusOf(KeptConnection& client, const std::string& id, int body_bytes) {
  client.Send("POST /app/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
              "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
              std::string(static_cast<std::size_t>(body_bytes), 'x'));
  return client.ReadAnswer().status;
}

// Guards against requests that are judged by the limits of the configuration that was in force when their
// connection became idle (review/3).
TEST(KeptLimits, ARequestIsReadUnderTheNewestLimits) {
  Fleet fleet({});
  ASSERT_TRUE(BeginWith(fleet, WithLimits(fleet, 1, kSmallBodyBytes, 15000)));
  KeptConnection raised(fleet.EdgeIp(0), Fleet::kFront);
  KeptConnection lowered(fleet.EdgeIp(0), Fleet::kFront);
  EXPECT_EQ(StatusOf(raised, "r1", 800), 200);
  ASSERT_EQ(fleet.Put(WithLimits(fleet, 2, kLargeBodyBytes, 15000), 1), 200);
  ASSERT_TRUE(InForce(fleet, 2));
  EXPECT_EQ(StatusOf(raised, "r2", kRequestBytes), 200);
  EXPECT_EQ(StatusOf(lowered, "r3", kRequestBytes), 200);
  ASSERT_EQ(fleet.Put(WithLimits(fleet, 3, kSmallBodyBytes, 15000), 2), 200);
  ASSERT_TRUE(InForce(fleet, 3));
  EXPECT_EQ(StatusOf(lowered, "r4", kRequestBytes), 413);
}

// Guards against a connection that is closed by the idle timeout of an older configuration, while its client
// may rest for longer.
TEST(KeptLimits, AConnectionMayRestForTheNewestIdleTimeout) {
  constexpr int kShortTimeoutMs = 3000;
  Fleet fleet({});
  ASSERT_TRUE(BeginWith(fleet, WithLimits(fleet, 1, kLargeBodyBytes, kShortTimeoutMs)));
  KeptConnection client(fleet.EdgeIp(0), Fleet::kFront);
  EXPECT_EQ(StatusOf(client, "r1", 800), 200);
  ASSERT_EQ(fleet.Put(WithLimits(fleet, 2, kLargeBodyBytes, 15000), 1), 200);
  ASSERT_TRUE(InForce(fleet, 2));
  std::this_thread::sleep_for(milliseconds(kShortTimeoutMs + 500));
  EXPECT_EQ(StatusOf(client, "r2", 800), 200);
}

TEST(KeptLimits, AConnectionThatRestsForTooLongIsClosed) {
  Fleet fleet({});
  ASSERT_TRUE(BeginWith(fleet, WithLimits(fleet, 1, kLargeBodyBytes, 500)));
  KeptConnection client(fleet.EdgeIp(0), Fleet::kFront);
  EXPECT_EQ(StatusOf(client, "r1", 800), 200);
  EXPECT_TRUE(client.EndsInOrder());
}

}  // namespace
}  // namespace kestrelline::router_fleet

// SPDX-License-Identifier: Apache-2.0
//
// The proxy program: configuration, signals and limits.
#include "support/process.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "support/loopback.h"

namespace kestrelline::testing {
namespace {

void ExpectComplaint(const std::map<std::string, std::string>& env, const std::string& part) {
  Child child(env);
  const std::string text = child.Stderr();
  EXPECT_EQ(child.Wait(), 1) << part;
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
  EXPECT_NE(text.find(part), std::string::npos) << text;
}

TEST(Process, AnInvalidConfigurationPrintsOneLineAndExits) {
  ExpectComplaint({}, "ROUTER_CONFIG");
  ExpectComplaint({{"ROUTER_CONFIG", "/nowhere/at/all"}}, "/nowhere/at/all");
  const auto with = [](const std::string& text, const std::string& part) {
    const ConfigFile file(text);
    ExpectComplaint({{"ROUTER_CONFIG", file.path}}, part);
  };
  with("", "JSON");
  with("{", "JSON");
  with("[1]", "JSON");
  const auto good = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {});
  const auto changed = [&](const char* path, const nlohmann::json& value) {
    auto json = good;
    json[nlohmann::json::json_pointer(path)] = value;
    return json.dump();
  };
  with(changed("/listen", "here"), "listen");
  with(changed("/discovery", 5), "type");
  with(changed("/seed", "xyz"), "seed");
  with(changed("/settings", nullptr), "balancers");
  with(changed("/settings/balancers", "many"), "balancers");
  with(changed("/settings/classes/0/effect", "odd"), "effect");
  with(changed("/settings/permissions/connIdleMs", -1), "connIdleMs");
  with(changed("/known", 7), "known");
  with(changed("/limits/sockets", 3), "sockets");
  with(changed("/limits/memory_mb", 1), "memory_mb");
}

TEST(Process, ExitsAtSigtermAndRestartsOnTheSameAddress) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const auto address = FreePort();
  const std::map<std::string, std::string> env{
      {"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}};
  for (const int signal : {SIGTERM, SIGKILL, SIGTERM}) {
    Child child(env);
    ASSERT_TRUE(WaitUntilReady(address));
    Client client(address);
    EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
    child.Signal(signal);
    if (signal == SIGTERM) {
      EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
    }
    EXPECT_EQ(child.Wait(), signal == SIGTERM ? 0 : 1000 + SIGKILL);
  }
}

TEST(Process, SighupSwitchesDiscoveryAndAppliesItsFullList) {
  Backend before("before"), after("after"), later("later");
  FakeDiscovery here, there;
  const ConfigFile file(ConfigJson(here.address(), Members(MemberJson("s-1", before.address()))).dump());
  const auto address = FreePort();
  // The environment names the first discovery service for the lifetime of the process: on reload the file
  // takes precedence.
  Child child({{"ROUTER_CONFIG", file.path},
               {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())},
               {"ROUTER_DISCOVERY", "127.0.0.1:" + std::to_string(here.address().port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  ASSERT_TRUE(here.WaitForWatches(1));
  Client client(address);
  EXPECT_EQ(client.Ask(Look()).body(), "before");

  Replace(file, ConfigJson(there.address(), {}).dump());
  child.Signal(SIGHUP);
  // Until the new service has sent its list, the old watch stays in use.
  ASSERT_TRUE(there.seen.WaitFor([](const FakeDiscovery::Seen& s) { return s.asked == 1; }));
  here.Push(ListJson(42, false, Members(MemberJson("s-1", before.address(), "in_service", 1e12))));
  ASSERT_TRUE(before.WaitForClosed(1));
  // The revisions of the new service are lower, and its list omits removed backends.
  there.SetWhole(ListJson(7, true, Members(MemberJson("s-2", after.address()))));
  ASSERT_TRUE(there.WaitForWatches(1));
  EXPECT_EQ(there.seen.Get().watches[0], "/v1/endpoints?stream=1&index=7");
  EXPECT_EQ(client.Ask(Look()).body(), "after");
  there.Push(ListJson(
      8, false,
      Members(MemberJson("s-2", after.address(), "terminating"), MemberJson("s-3", later.address()))));
  ASSERT_TRUE(after.WaitForClosed(1));
  EXPECT_EQ(client.Ask(Look()).body(), "later");
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

TEST(Process, AnInvalidFileAtSighupPrintsOneLineAndKeepsTheOldConfiguration) {
  Backend before("before"), after("after");
  FakeDiscovery discovery;
  const auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", before.address())));
  const ConfigFile file(config.dump());
  const auto address = FreePort();
  Child child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  ASSERT_TRUE(discovery.WaitForWatches(1));
  Client client(address);
  EXPECT_EQ(client.Ask(Look()).body(), "before");
  Replace(file, "{\"listen\":");
  child.Signal(SIGHUP);
  EXPECT_NE(child.StderrLine().find("the old configuration stays"), std::string::npos);
  discovery.Push(ListJson(42, true, Members(MemberJson("s-2", after.address()))));
  ASSERT_TRUE(before.WaitForClosed(1));
  EXPECT_EQ(client.Ask(Look()).body(), "after");
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Stderr(), "");
  EXPECT_EQ(child.Wait(), 0);
}

TEST(Process, SurvivesRunningOutOfDescriptors) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const auto address = FreePort();
  Child child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}},
      /*descriptors=*/24);
  ASSERT_TRUE(WaitUntilReady(address));
  {
    std::vector<std::unique_ptr<Client>> many;
    for (int i = 0; i < 100; ++i) many.push_back(std::make_unique<Client>(address));
    EXPECT_EQ(many.back()->Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
  }
  // Until the proxy has noticed their disconnects it may lack a descriptor for a backend connection. A
  // refusal, or a connection that ends before its request was read, is correct until then.
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  unsigned status = 0;
  while (status != 200 && std::chrono::steady_clock::now() < until) {
    Client client(address);
    status = client.Ask(Look()).result_int();
    ASSERT_TRUE(status == 200 || status == 503 || status == 0) << status;
  }
  EXPECT_EQ(status, 200u);
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

// Idle clients use all client descriptors. The discovery service, once available, and its backends must still
// get theirs.
TEST(Process, IdleClientsDoNotBlockDiscoveryOrBackends) {
  Backend backend;
  Watched<bool> back, over;
  Listener discovery([&](Tcp::socket& socket) {
    if (!back.Get()) return;  // closes each connection at once
    SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string list = ListJson(42, true, Members(MemberJson("s-1", backend.address()))).dump() + "\n";
    char size[24];
    std::snprintf(size, sizeof size, "%zx", list.size());
    SendRaw(socket, size + ("\r\n" + list) + "\r\n");
    over.WaitFor([](bool o) { return o; });
  });
  constexpr int kDescriptors = 64;
  auto config = ConfigJson(discovery.address, {});
  config["limits"]["sockets"] = kDescriptors;
  const ConfigFile file(config.dump());
  const auto address = FreePort();
  Child child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}},
      kDescriptors);
  while (ReadyStatus(address) != 503) std::this_thread::yield();
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 3 * kDescriptors; ++i) idle.push_back(std::make_unique<Client>(address));
  back.Do([](bool& b) { b = true; });
  EXPECT_TRUE(WaitUntilReady(address));
  EXPECT_EQ(Client(address).Ask(Look()).result_int(), 200u);
  over.Do([](bool& o) { o = true; });
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

}  // namespace
}  // namespace kestrelline::testing

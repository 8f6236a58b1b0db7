// SPDX-License-Identifier: Apache-2.0
//
// Shutdown of the process and of connections while bytes are in transit.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>

#include "proxy.h"
#include "support/loopback.h"
#include "support/process.h"
#include "support/temporary.h"

namespace kestrelline::testing {
namespace {

// Connections that are in the kernel's queue when the listener closes must be answered, even if the event
// loop was blocked and has not accepted them.
TEST(Shutdown, QueuedConnectionsAreAcceptedBeforeTheListenerCloses) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  std::vector<std::unique_ptr<Client>> clients;
  std::promise<void> over;
  site.proxy->Ask([&](proxy::Proxy& p) {  // blocks the event loop
    p.Stop([&] { over.set_value(); });
    for (int i = 0; i < 4; ++i) {
      clients.push_back(std::make_unique<Client>(site.proxy->address));
      clients.back()->Send(WithId(Look(), std::to_string(i)));
    }
    const auto late = proxy::Steady::now() + 2 * kestrelline::lifecycle::Delays().stop_accepting;
    while (proxy::Steady::now() < late) std::this_thread::yield();
    return true;
  });
  // Each gets a response; the balancer may refuse some of so many at once.
  for (const auto& client : clients) {
    const unsigned status = client->Read().result_int();
    EXPECT_TRUE(status == 200 || status == 503) << status;
  }
  clients.clear();
  EXPECT_EQ(over.get_future().wait_for(kGiveUp), std::future_status::ready);
}

// Exiting closes all sockets; with unread bytes that is a reset, which may overtake the response.
TEST(Shutdown, WaitsUntilClientsHaveClosedAfterTheirLastResponse) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("last"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.timeouts.linger = std::chrono::minutes(1);
  site.Start();
  auto client = std::make_unique<Client>(site.proxy->address);
  client->Send(Look());
  ASSERT_TRUE(backend.WaitForRequests(1));
  auto stopped = site.proxy->Stop();
  release.Do([](bool& r) { r = true; });
  const auto answer = client->Read();
  EXPECT_EQ(answer.body(), "last");
  EXPECT_FALSE(answer.keep_alive());
  // Longer than the process accepts connections.
  EXPECT_EQ(stopped.wait_for(2 * kestrelline::lifecycle::Delays().stop_accepting),
            std::future_status::timeout);
  client.reset();
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
}

// Near the connection limit a response closes its connection. Bytes that the client sends after it must not
// meet a closed socket, whose reset could destroy the response.
TEST(Shutdown, AConnectionThatIsClosedNearTheLimitIsNotReset) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.config["limits"]["sockets"] = 64;
  site.timeouts.linger = std::chrono::minutes(1);
  site.Start();
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 20; ++i) idle.push_back(std::make_unique<Client>(site.proxy->address));
  Client client(site.proxy->address);
  client.Send(Look());
  const auto answer = client.Read();
  EXPECT_EQ(answer.result_int(), 200u);
  ASSERT_FALSE(answer.keep_alive());
  error_code failed;
  asio::write(client.socket, asio::buffer("G", 1), failed);
  EXPECT_FALSE(failed);
  EXPECT_TRUE(client.Ended());
  asio::write(client.socket, asio::buffer("E", 1), failed);
  EXPECT_FALSE(failed) << failed.message();  // the previous write would have caused a reset
}

// A configuration file whose reader blocks until the test writes it, so that the test can act in the middle
// of the start.
class Fifo {
 public:
  Fifo() : path(folder_ / "config.json") {
    if (mkfifo(path.c_str(), 0600) != 0) throw std::runtime_error("no fifo");
  }

  // Waits for a reader, calls `meanwhile` and writes the text. False if there is no reader in time.
  bool Write(
      const std::string& text, const std::function<void()>& meanwhile = [] {}) const {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    int file;
    while ((file = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) < 0) {
      if (std::chrono::steady_clock::now() > until) return false;
      std::this_thread::yield();
    }
    meanwhile();
    const bool written = write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    close(file);
    return written;
  }

 private:
  kestrelline::testing::TemporaryFolder folder_;

 public:
  const std::string path;
};

bool WaitUntilItListens(const Tcp::endpoint& address) {
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  asio::io_context io;
  while (std::chrono::steady_clock::now() < until) {
    Tcp::socket socket(io);
    error_code refused;
    socket.connect(address, refused);
    if (!refused) return true;
    std::this_thread::yield();
  }
  return false;
}

// While the start waits for plug-ins, the event loop already receives signals, before a reload is possible.
TEST(Shutdown, AReloadRequestedDuringTheStartIsApplied) {
  const kestrelline::testing::TemporaryFolder folder;
  folder.Write("operator.toml", R"(version = 1
[[plugin]]
name = "healthy"
file = "healthy.lua"
sets = "route"
on_failure = "pass"
[[route]]
name = "tagged"
match.tag = "healthy"
max_in_flight = 100000
)");
  folder.Write("healthy.lua", "return { api = 1, tag = function(r) return { route = 'healthy' } end }");
  Backend before("before"), after("after");
  FakeDiscovery here, there;
  there.SetWhole(ListJson(7, true, Members(MemberJson("s-2", after.address()))));
  const Fifo file;
  const auto address = FreePort();
  Child child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}}, 0,
      {"--operator", folder / "operator.toml", "--plugin-worker", FAULTY_WORKER_PATH});
  const auto config = [](const FakeDiscovery& discovery, const Backend& backend) {
    return ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump();
  };
  ASSERT_TRUE(file.Write(config(here, before), [&] { child.Signal(SIGHUP); }));
  ASSERT_TRUE(WaitUntilItListens(address));  // the file has been read
  ASSERT_TRUE(file.Write(config(there, before)));
  ASSERT_TRUE(there.WaitForWatches(1));
  Client client(address);
  EXPECT_EQ(client.Ask(Look()).body(), "after");
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

}  // namespace
}  // namespace kestrelline::testing

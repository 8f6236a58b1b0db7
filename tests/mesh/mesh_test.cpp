// SPDX-License-Identifier: Apache-2.0
//
// The tables of internal connections when machines lose power: they close nothing, and others take their
// places.
#include "mesh/mesh.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kestrelline::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kGiveUp{10000};
constexpr std::uint16_t kPort = 7127;

class MeshTest : public ::testing::Test {
 protected:
  MeshTest() : network_("127." + std::to_string(20 + getpid() % 200) + ".251.") {}

  std::string Ip(int host) const { return network_ + std::to_string(host); }

  std::unique_ptr<Mesh> NewMesh(int host, Mesh::Limits limits) {
    auto mesh = std::make_unique<Mesh>(io_, Ip(host), node::Endpoint{Ip(host), kPort}, nullptr, limits);
    const auto on_message = [this, host](Connection&, const wire::Message& message) {
      heard_[host].insert(message.sender);
    };
    const auto on_closed = [this, host](Connection&) { ++closed_[host]; };
    EXPECT_FALSE(mesh->Listen(on_message, on_closed));
    return mesh;
  }

  // A connection that never sends a byte.
  std::unique_ptr<Tcp::socket> Silent(int host) {
    auto socket = std::make_unique<Tcp::socket>(io_);
    socket->connect({boost::asio::ip::make_address(Ip(host)), kPort});
    RunFor(milliseconds(5));  // until it is accepted
    return socket;
  }

  void RunFor(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  bool RunUntil(const std::function<bool()>& holds) {
    for (const auto until = steady_clock::now() + kGiveUp; !holds() && steady_clock::now() < until;) {
      RunFor(milliseconds(5));
    }
    return holds();
  }
  // Sends until the message has arrived, as the layers above do.
  bool Delivers(Mesh& from, int sender, int to) {
    heard_[to].clear();
    return RunUntil([&] {
      from.Send(Ip(to), from.Encode(wire::Probe{1}));
      RunFor(milliseconds(5));
      return heard_[to].contains(Ip(sender));
    });
  }

  boost::asio::io_context io_;
  std::string network_;
  std::map<int, std::set<std::string>> heard_;
  std::map<int, int> closed_;
};

// As long as it lives, this process cannot open any file descriptor.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest_free = dup(STDERR_FILENO);
    close(lowest_free);
    const rlimit exhausted{static_cast<rlim_t>(lowest_free), before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &exhausted);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

Mesh::Limits SmallLimits() {
  Mesh::Limits limits;
  limits.incoming = 4;
  limits.peers = 4;
  return limits;
}

// Guards against members that take no new connection, since machines without power hold all of them
// (review/8).
TEST_F(MeshTest, AtTheLimitANewConnectionReplacesTheLongestSilentOne) {
  const auto member = NewMesh(1, SmallLimits());
  const auto talkative = NewMesh(2, SmallLimits());
  ASSERT_TRUE(Delivers(*talkative, 2, 1));
  std::vector<std::unique_ptr<Tcp::socket>> silent;
  for (int i = 0; i < 20; ++i) {
    silent.push_back(Silent(1));
    ASSERT_TRUE(Delivers(*talkative, 2, 1));
  }
  const auto newcomer = NewMesh(3, SmallLimits());
  EXPECT_TRUE(Delivers(*newcomer, 3, 1));
  EXPECT_EQ(closed_[1], 18);  // of 22 connections 4 stay, and the one that is used is never closed
}

TEST_F(MeshTest, ASilentConnectionIsClosedAndOneInUseIsNot) {
  Mesh::Limits limits;
  limits.sweep_interval = milliseconds(20);
  const auto member = NewMesh(1, limits);
  const auto talkative = NewMesh(2, Mesh::Limits());
  ASSERT_TRUE(Delivers(*talkative, 2, 1));
  const auto silent = Silent(1);
  ASSERT_TRUE(RunUntil([&] {
    talkative->Send(Ip(1), talkative->Encode(wire::Probe{1}));
    return closed_[1] == 1;
  }));
  std::array<char, 1> byte{};
  boost::system::error_code error;
  silent->read_some(boost::asio::buffer(byte), error);
  EXPECT_EQ(error, boost::asio::error::eof);
  EXPECT_TRUE(Delivers(*talkative, 2, 1));
  EXPECT_EQ(closed_[1], 1);
}

// A process that is closed for its silence connects again with its next message.
TEST_F(MeshTest, AfterASilenceThePeerConnectsAgain) {
  Mesh::Limits limits;
  limits.sweep_interval = milliseconds(20);
  const auto member = NewMesh(1, limits);
  const auto quiet = NewMesh(2, Mesh::Limits());
  ASSERT_TRUE(Delivers(*quiet, 2, 1));
  ASSERT_TRUE(RunUntil([&] { return closed_[1] == 1; }));
  EXPECT_TRUE(Delivers(*quiet, 2, 1));
}

// Guards against a process that has sent to many machines that are gone, and sends to no new one.
TEST_F(MeshTest, AtTheLimitOfPeersTheLeastRecentlyUsedIsForgotten) {
  const auto sender = NewMesh(1, SmallLimits());
  const auto member = NewMesh(2, SmallLimits());
  for (int host = 100; host < 120; ++host) {
    sender->Send(Ip(host), sender->Encode(wire::Probe{1}));
    ASSERT_TRUE(Delivers(*sender, 1, 2)) << host;
  }
  const auto newcomer = NewMesh(3, SmallLimits());
  EXPECT_TRUE(Delivers(*sender, 1, 3));
}

// Guards against a process out of file descriptors that accepts again without a pause, with all of its
// processor time.
TEST_F(MeshTest, WithoutDescriptorsItPausesBeforeItAcceptsAgain) {
  constexpr milliseconds kTime{400};
  constexpr milliseconds kPause{20};
  constexpr std::size_t kMaxHandlers = 3 * (kTime / kPause);  // an accept and a timer for each pause
  const auto member = NewMesh(1, Mesh::Limits());
  const auto encoder = NewMesh(2, Mesh::Limits());
  Tcp::socket waiting(io_);
  waiting.open(Tcp::v4());
  {
    const NoFreeDescriptors exhausted;
    waiting.connect({boost::asio::ip::make_address(Ip(1)), kPort});
    io_.restart();
    EXPECT_LE(io_.run_for(kTime), kMaxHandlers);
  }
  boost::asio::write(waiting, boost::asio::buffer(*encoder->Encode(wire::Probe{1})));
  EXPECT_TRUE(RunUntil([&] { return heard_[1].contains(Ip(2)); }));
}

}  // namespace
}  // namespace kestrelline::mesh

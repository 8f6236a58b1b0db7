// SPDX-License-Identifier: Apache-2.0
//
// A process that stops hands its entries over to another one, although datagrams are lost at any time.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>

#include "peers/view.h"
#include "replica/handoff.h"
#include "replica/node.h"
#include "replica/wire.h"

namespace kestrelline::replica {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{1};
constexpr Span kLifetime = seconds(600);

// Nodes with an address each. Datagrams are delivered within the step in which they are sent, after encoding
// and decoding.
class Network {
 public:
  struct Host {
    std::unique_ptr<Node> node;
    peers::Address address;
    std::uint64_t boot = 0;
  };

  Host& Add(const std::string& name, std::uint16_t port) {
    Node::Options options;
    options.name = name;
    options.seed = port;
    Host host;
    host.node = std::make_unique<Node>(options, now_);
    host.address = {0x7f000001, port};
    host.boot = port;
    return hosts_[name] = std::move(host);
  }
  void Connect(const std::string& name, const std::string& other) {
    Join(name, other);
    Join(other, name);
  }
  Node& node(const std::string& name) { return *hosts_.at(name).node; }
  void Write(const std::string& name, std::uint64_t first, std::uint64_t count) {
    for (std::uint64_t i = first; i < first + count; ++i)
      node(name).Write(now_, {Table::kClaims, i, 1}, kLifetime, 1);
  }
  void Run(milliseconds duration) {
    for (const Time end = now_ + duration; now_ < end; now_ += kStep) Step();
  }
  bool RunUntil(const std::function<bool()>& holds, milliseconds timeout) {
    for (const Time end = now_ + timeout; now_ < end && !holds(); now_ += kStep) Step();
    return holds();
  }
  Seq KnownUpto(const std::string& name, const std::string& origin) {
    return node(name).store().upto(node(origin).store().own());
  }
  Time now() const { return now_; }

  // Decides whether a datagram to this host is lost.
  std::function<bool(const std::string& to)> lost = [](const std::string&) { return false; };

 private:
  void Join(const std::string& observer, const std::string& member) {
    const Host& host = hosts_.at(member);
    peers::Event event;
    event.kind = peers::Event::Kind::kJoined;
    event.member.name = member;
    event.member.boot = host.boot;
    event.member.address = host.address;
    node(observer).OnPeer(now_, event);
  }
  void Step() {
    for (auto& [name, host] : hosts_) {
      if (now_ >= host.node->NextDue()) host.node->Tick(now_);
      for (const Outgoing& out : host.node->TakeOutgoing())
        for (const peers::Address& to : out.to) Deliver(host, to, out.body);
    }
  }
  void Deliver(const Host& from, const peers::Address& to, const std::vector<std::uint8_t>& body) {
    for (auto& [name, host] : hosts_) {
      if (!(host.address == to) || lost(name)) continue;
      const auto message = wire::Decode(body);
      ASSERT_TRUE(message.has_value());
      host.node->Receive(now_, from.boot, from.address, *message);
    }
  }

  Time now_{seconds(1000)};
  std::map<std::string, Host> hosts_;
};

// The successor starts to listen while the first datagrams are in flight: the ones it missed are sent again.
TEST(ReplicaDeparture, ASuccessorThatStartsToListenWithinAWindowGetsAllOfIt) {
  for (const int missed : {1, 7, 15, 16, 40}) {
    SCOPED_TRACE(missed);
    Network network;
    network.Add("old", 1);
    network.Add("new", 2);
    network.Write("old", 0, 2000);
    network.Run(milliseconds(100));
    int count = 0;
    network.lost = [&](const std::string& to) { return to == "new" && count++ < missed; };
    network.node("old").HandOver(network.now(), {0x7f000001, 2});
    EXPECT_TRUE(network.RunUntil([&] { return network.node("old").MayExit(); }, seconds(10)));
    EXPECT_EQ(network.KnownUpto("new", "old"), 2000u);
    EXPECT_EQ(network.node("new").store().size(), 2000u);
  }
}

// Every third datagram is lost in both directions, and the old process keeps writing until it ends.
TEST(ReplicaDeparture, EntriesWrittenAfterTheHandOverArriveDespiteLoss) {
  Network network;
  network.Add("old", 1);
  network.Add("new", 2);
  network.Write("old", 0, 100);
  int count = 0;
  network.lost = [&](const std::string&) { return ++count % 3 == 0; };
  network.node("old").HandOver(network.now(), {0x7f000001, 2});
  for (std::uint64_t i = 0; i < 50; ++i) {
    network.Write("old", 100 + i, 1);
    network.Run(milliseconds(7));
  }
  EXPECT_TRUE(network.RunUntil([&] { return network.KnownUpto("new", "old") == 150; }, seconds(10)));
  EXPECT_TRUE(network.RunUntil([&] { return network.node("old").MayExit(); }, seconds(10)));
}

TEST(ReplicaDeparture, ASuccessorThatNeverListensIsAbandonedInTime) {
  Network network;
  network.Add("old", 1);
  network.Write("old", 0, 100);
  network.node("old").HandOver(network.now(), {0x7f000001, 2});
  EXPECT_FALSE(network.node("old").MayExit());
  EXPECT_TRUE(network.RunUntil([&] { return network.node("old").MayExit(); }, milliseconds(1500)));
}

// The other members missed the updates and the first announcements of the departure: the process may not exit
// before one of them has all its entries.
TEST(ReplicaDeparture, AProcessMayNotExitWhileOnlyItHoldsItsEntries) {
  Network network;
  network.Add("a", 1);
  network.Add("b", 2);
  network.Connect("a", "b");
  network.Run(milliseconds(500));
  bool disconnected = true;
  network.lost = [&](const std::string&) { return disconnected; };
  network.Write("a", 0, 500);
  network.Run(milliseconds(20));
  network.node("a").Leave(network.now());
  network.Run(milliseconds(120));
  EXPECT_FALSE(network.node("a").MayExit());
  disconnected = false;
  EXPECT_TRUE(network.RunUntil([&] { return network.node("a").MayExit(); }, seconds(2)));
  EXPECT_EQ(network.KnownUpto("b", "a"), 500u);
}

TEST(ReplicaDeparture, WithoutAnyReceiverAProcessMayExitInTime) {
  Network network;
  network.Add("a", 1);
  network.Write("a", 0, 10);
  network.node("a").Leave(network.now());
  EXPECT_TRUE(network.RunUntil([&] { return network.node("a").MayExit(); }, milliseconds(100)));
  network.Add("b", 2);
  network.Connect("a", "b");
  network.lost = [](const std::string&) { return true; };
  network.node("a").Leave(network.now());
  EXPECT_FALSE(network.node("a").MayExit());
  EXPECT_TRUE(network.RunUntil([&] { return network.node("a").MayExit(); }, milliseconds(1500)));
}

}  // namespace
}  // namespace kestrelline::replica

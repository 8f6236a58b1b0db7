// SPDX-License-Identifier: Apache-2.0
//
// The processes of a soak run and the stand-ins around them, all on the one thread of an io_context. Starts,
// signals and cuts go into the ledger as they happen.
#ifndef KESTRELLINE_FLEET_SOAK_FLEET_H_
#define KESTRELLINE_FLEET_SOAK_FLEET_H_

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "fleet_soak/ledger.h"
#include "fleet_soak/process.h"
#include "fleet_soak/relay.h"
#include "fleet_soak/site.h"
#include "fleet_standin/backend.h"
#include "fleet_standin/platform.h"
#include "http/asio.h"
#include "http/sockets.h"

namespace kestrelline::fleet_soak {

using http::Response;

// http::Exchange with the host of the site.
http::Awaitable<std::optional<Response>> AskOnce(http::asio::io_context& io, node::Endpoint there,
                                                 http::Request request, Time timeout);

enum class Role { kProxy, kMember, kGateway };

// A place for a process, and the process that runs there.
struct Node {
  std::string name;
  Role role = Role::kProxy;
  int index = 0;
  std::unique_ptr<Process> process;
  std::size_t life = 0;  // in the ledger
  std::unique_ptr<Relay> relay;
  std::size_t relay_number = 0;
  bool running = false;
  bool owned = false;        // somebody waits for its end and starts it again
  bool ready = false;        // as it said last, since it started; of a member: it takes part
  bool was_ready = false;    // since it started
  std::deque<bool> history;  // of `ready`, the newest last
};

class Fleet {
 public:
  Fleet(http::asio::io_context& io, const Site& site, const Sizes& sizes, Ledger& ledger, std::string program,
        std::string folder);

  void StartAll();
  std::array<std::vector<std::unique_ptr<Node>>*, 3> AllNodes() { return {&cores, &gateways, &edges}; }
  void Start(Node& node);
  Time Now() const;

  std::vector<std::unique_ptr<Node>> cores;
  std::vector<std::unique_ptr<Node>> edges;
  std::vector<std::unique_ptr<Node>> gateways;  // gateway i is on the machine of proxy i
  std::vector<std::unique_ptr<fleet_standin::Backend>> backends;

  // SIGTERM, SIGKILL if it is still there when its grace is over; started again after its end, if at all.
  http::Awaitable<void> Terminate(Node& node, std::optional<Time> start_after);
  http::Awaitable<void> Kill(Node& node, Time start_after);
  http::Awaitable<void> Pause(Node& node, Time length);
  http::Awaitable<void> Cut(Node& node, Time length);
  http::Awaitable<void> Sleep(Time length);
  bool AllReady() const;
  // Members that are down, paused or not taking part.
  int CoresNotReady() const;
  // As a load balancer sees it that lags.
  static bool SeemsReady(const Node& node);
  // What the backends have on record, for the ledger.
  void RecordArrivals();
  http::asio::io_context& io() { return io_; }

 private:
  void AddBackend(const std::string& service, const std::string& id, bool prefill, bool decode);
  // Where a place listens, and what its program is called with.
  struct Place {
    std::string name;
    std::string subcommand;
    std::string settings;
    node::Endpoint endpoint, relay;
  };
  Place PlaceOf(Role role, int index) const;
  void AddNode(std::vector<std::unique_ptr<Node>>& nodes, Role role, int index);
  bool SaysReady(Role role, const std::optional<Response>& answer) const;
  http::Awaitable<void> Watch(Node& node);
  http::Awaitable<void> WatchReadiness(Node& node);
  void NoteEnd(Node& node, int status);
  Life& LifeOf(const Node& node) { return ledger_.lives.at(node.life); }

  http::asio::io_context& io_;
  const Site& site_;
  Ledger& ledger_;
  std::string program_;
  std::string folder_;
  http::steady_clock::time_point began_;
  std::unique_ptr<fleet_standin::Platform> platform_;
};

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_FLEET_H_

// SPDX-License-Identifier: Apache-2.0
//
// Clients of a soak run. Many keep a connection for request after request until it or its process is gone,
// whether or not the proxy calls itself ready; others open one for each request.
#ifndef KESTRELLINE_FLEET_SOAK_TRAFFIC_H_
#define KESTRELLINE_FLEET_SOAK_TRAFFIC_H_

#include <cstdint>
#include <random>
#include <string>

#include "fleet_soak/fleet.h"
#include "fleet_soak/ledger.h"
#include "fleet_soak/site.h"

namespace kestrelline::fleet_soak {

class Traffic {
 public:
  Traffic(Fleet& fleet, const Site& site, Ledger& ledger, std::uint64_t seed);

  void Start(int clients);
  // One that asks a gateway for the configuration, again and again, while its process runs.
  void StartCaller(const Node& gateway);
  void Stop() { stopping_ = true; }
  int running() const { return running_; }
  // One short request on a connection of its own, into the ledger as all others.
  http::Awaitable<Request> AskOnce(const Node& edge, Kind kind);

 private:
  using Random = std::mt19937_64;
  struct Habits {
    bool keeps_connection = false;
    bool sends_at_once = false;  // the next request in the moment the answer ends
    bool through_relay = false;
    int long_work_percent = 0;  // of its requests
  };
  struct Connection {
    explicit Connection(http::asio::io_context& io) : stream(io) {}
    http::beast::tcp_stream stream;
    http::beast::flat_buffer buffer;
  };

  http::Awaitable<void> RunClient(int client);
  http::Awaitable<void> RunCaller(const Node& gateway);
  http::Awaitable<void> UseConnection(const Node& edge, Habits habits, Random& random);
  http::Awaitable<bool> Open(Connection& connection, const Node& edge, bool through_relay);
  // Whether the connection may be used again.
  http::Awaitable<bool> Exchange(Connection& connection, Request& request, std::string text);
  Request Draw(const Node& edge, const Habits& habits, Random& random, int& work_ms, int& between_ms);
  std::string TextOf(const Request& request, bool last, int work_ms, int between_ms) const;
  const Node* Choose(Random& random) const;
  bool StillOpen(Connection& connection, const Node& edge, std::size_t life);

  Fleet& fleet_;
  const Site& site_;
  Ledger& ledger_;
  std::uint64_t seed_;
  std::uint64_t next_ = 1;
  bool stopping_ = false;
  int running_ = 0;
};

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_TRAFFIC_H_

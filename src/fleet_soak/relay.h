// SPDX-License-Identifier: Apache-2.0
//
// A relay of connections that can be cut: bytes and new connections are dropped silently for a while, then
// everything is reset.
#ifndef KESTRELLINE_FLEET_SOAK_RELAY_H_
#define KESTRELLINE_FLEET_SOAK_RELAY_H_

#include <memory>
#include <set>
#include <system_error>

#include "http/asio.h"
#include "node/settings.h"

namespace kestrelline::fleet_soak {

class Relay {
 public:
  Relay(http::asio::io_context& io, node::Endpoint there);
  std::error_code Listen(const node::Endpoint& here);
  void BeginCut() { cut_ = true; }
  void EndCut();
  // The next answers are dropped, their connections reset.
  void LoseAnswers(int count) { answers_to_lose_ += count; }

 private:
  struct Link {
    explicit Link(http::asio::io_context& io, http::Tcp::socket accepted)
        : client(std::move(accepted)), server(io) {}
    http::Tcp::socket client, server;
  };
  using LinkPtr = std::shared_ptr<Link>;

  http::Awaitable<void> Accept();
  http::Awaitable<void> Serve(LinkPtr link);
  http::Awaitable<void> Pump(LinkPtr link, bool answers);
  static void Reset(Link& link);

  http::asio::io_context& io_;
  node::Endpoint there_;
  http::Tcp::acceptor acceptor_;
  std::set<LinkPtr> links_;
  bool cut_ = false;
  int answers_to_lose_ = 0;
};

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_RELAY_H_

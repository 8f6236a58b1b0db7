// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/relay.h"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "http/sockets.h"

namespace kestrelline::fleet_soak {

using namespace http;

Relay::Relay(asio::io_context& io, node::Endpoint there) : io_(io), there_(std::move(there)), acceptor_(io) {}

std::error_code Relay::Listen(const node::Endpoint& here) {
  if (const std::error_code error = OpenAcceptor(acceptor_, here)) return error;
  asio::co_spawn(io_, Accept(), asio::detached);
  return {};
}

void Relay::EndCut() {
  cut_ = false;
  for (const LinkPtr& link : std::exchange(links_, {})) Reset(*link);
}

void Relay::Reset(Link& link) {
  error_code ignored;
  for (Tcp::socket* socket : {&link.client, &link.server}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

Awaitable<void> Relay::Accept() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (error) continue;
    const auto link = std::make_shared<Link>(io_, std::move(socket));
    links_.insert(link);
    asio::co_spawn(io_, Serve(link), asio::detached);
  }
}

Awaitable<void> Relay::Serve(LinkPtr link) {
  error_code error;
  const Tcp::endpoint there(asio::ip::make_address(there_.ip, error), there_.port);
  const auto [failed] = co_await link->server.async_connect(there, kTuple);
  if (failed) {
    Reset(*link);
    links_.erase(link);
    co_return;
  }
  for (Tcp::socket* socket : {&link->client, &link->server}) socket->set_option(Tcp::no_delay(true), error);
  asio::co_spawn(io_, Pump(link, false), asio::detached);
  co_await Pump(link, true);
  if (!cut_) links_.erase(link);
}

// One direction, until either side ends: then both do.
Awaitable<void> Relay::Pump(LinkPtr link, bool answers) {
  Tcp::socket& from = answers ? link->server : link->client;
  Tcp::socket& to = answers ? link->client : link->server;
  std::array<char, 16 * 1024> bytes{};
  while (true) {
    const auto [error, count] = co_await from.async_read_some(asio::buffer(bytes), kTuple);
    if (cut_) {
      if (error) co_return;  // reset when the cut is over
      continue;
    }
    if (error) break;
    if (answers && answers_to_lose_ > 0) {
      --answers_to_lose_;
      Reset(*link);
      co_return;
    }
    const auto [write_error, written] =
        co_await asio::async_write(to, asio::buffer(bytes.data(), count), kTuple);
    if (write_error) break;
  }
  error_code ignored;
  link->client.close(ignored);
  link->server.close(ignored);
}

}  // namespace kestrelline::fleet_soak

// SPDX-License-Identifier: Apache-2.0
//
// Stand-in discovery on sockets, as the platform's protocol page has it: GET /v1/endpoints gives the whole
// list, and with ?stream=1&index=N a watch, one JSON object a line. At one address for each proxy, so that it
// knows whom it tells.
//
// A watch has one message at a time on its way; the next holds all that changed meanwhile, so that a reader
// that does not read costs nothing more. Bounds: kMostWatches and as many other connections for each proxy.
#ifndef KESTRELLINE_STANDIN_DISCOVERY_H_
#define KESTRELLINE_STANDIN_DISCOVERY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "load/events.h"
#include "standin/address.h"
#include "standin/membership.h"

namespace kestrelline::standin {

class Discovery {
 public:
  using Tcp = boost::asio::ip::tcp;
  static constexpr std::size_t kMostConnections = 64;  // of a proxy; more are closed at once

  // `membership` must outlive it. Listens from now on, at an address of its own for each of `proxies`.
  Discovery(boost::asio::io_context& io, const Membership& membership, std::size_t proxies,
            load::OnEvent on_event);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  const HeldAddress& address(std::size_t proxy) const { return *doors_[proxy].address; }

  void Changed();                 // the membership has
  void SetLate(bool late);        // says nothing new
  void SetDown(bool down);        // watches end, nobody listens
  void SetGarbled(bool garbled);  // lists break off in their middle

 private:
  class Connection;
  friend class Connection;
  struct Door {
    std::string proxy;
    std::unique_ptr<HeldAddress> address;
    Tcp::acceptor acceptor;
    std::unordered_set<std::shared_ptr<Connection>> connections;
    std::set<std::string> told;  // ids that this proxy believes in
  };

  void Listen();
  void Accept(std::size_t door);
  void Told(std::size_t door, const ListMessage& message);
  ListMessage AsSent(ListMessage message) const;

  boost::asio::io_context& io_;
  const Membership& membership_;
  load::OnEvent on_event_;
  std::vector<Door> doors_;
  bool late_ = false, down_ = false, garbled_ = false;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_DISCOVERY_H_

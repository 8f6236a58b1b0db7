// SPDX-License-Identifier: Apache-2.0
//
// Internal connections of one process: a listener, and one outgoing connection to each peer it sends to.
// Delivery is at most once: what can't be sent soon is dropped, and the layers above retransmit what they
// need.
#ifndef KESTRELLINE_MESH_MESH_H_
#define KESTRELLINE_MESH_MESH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>

#include "mesh/connection.h"
#include "node/settings.h"

namespace kestrelline::mesh {

// See the head of this file.
class Mesh {
 public:
  static constexpr std::size_t kMaxIncoming = 512;
  static constexpr std::size_t kMaxPeers = 128;
  static constexpr std::size_t kMaxPendingFrames =
      32;  // queued frames for a peer while it is being connected

  using OnMessage = Connection::OnMessage;
  using OnClosed = Connection::OnClosed;

  // `name` is the sender in this process's messages: its IP address for a member, IP:PORT for a proxy.
  Mesh(boost::asio::io_context& io, std::string name, node::Endpoint listen,
       std::shared_ptr<Traffic> traffic);

  std::error_code Listen(OnMessage on_message, OnClosed on_closed);
  // Sends to the peer with this IP address, which listens on the same port as this process. Connects first if
  // necessary.
  void Send(const std::string& peer, Frame frame);
  Frame Encode(const wire::Body& body) const;
  // Closes the listener and all connections.
  void Close();

 private:
  struct Peer {
    ConnectionPtr connection;
    std::shared_ptr<Tcp::socket> connecting;
    std::unique_ptr<boost::asio::steady_timer> connect_timer;
    std::chrono::steady_clock::time_point next_attempt{};
    std::deque<Frame> pending;
  };

  void Accept();
  void Connect(const std::string& name, Peer& peer);
  void OnConnected(const std::string& name, const std::shared_ptr<Tcp::socket>& socket,
                   const boost::system::error_code& error);
  void Forget(Connection& connection);

  boost::asio::io_context& io_;
  const std::string name_;
  const node::Endpoint listen_;
  const std::shared_ptr<Traffic> traffic_;
  Tcp::acceptor acceptor_;
  OnMessage on_message_;
  OnClosed on_closed_;
  std::map<std::string, Peer> peers_;
  std::set<ConnectionPtr> incoming_;
};

}  // namespace kestrelline::mesh

#endif  // KESTRELLINE_MESH_MESH_H_

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
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "mesh/connection.h"
#include "node/settings.h"

namespace kestrelline::mesh {

// See the head of this file.
class Mesh {
 public:
  // Limits of the tables of connections. At a limit a new connection replaces the one that was used least
  // recently, since a machine that loses power does not close its connections.
  struct Limits {
    std::size_t incoming = 512;
    std::size_t peers = 128;
    // An incoming connection without a byte for so many sweeps is closed. Sweeps are counted instead of time,
    // so that a process that was suspended first reads what has arrived meanwhile.
    int silent_sweeps = 5;
    std::chrono::milliseconds sweep_interval{2000};
  };
  static constexpr std::size_t kMaxPendingFrames =
      32;  // queued frames for a peer while it is being connected

  using OnMessage = Connection::OnMessage;
  using OnClosed = Connection::OnClosed;

  // `name` is the sender in this process's messages: its IP address for a member, IP:PORT for a proxy.
  Mesh(boost::asio::io_context& io, std::string name, node::Endpoint listen,
       std::shared_ptr<Traffic> traffic);
  Mesh(boost::asio::io_context& io, std::string name, node::Endpoint listen, std::shared_ptr<Traffic> traffic,
       Limits limits);

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
    std::chrono::steady_clock::time_point last_used_at{};
    std::deque<Frame> pending;
  };
  struct Silence {
    std::chrono::steady_clock::time_point received_at{};  // at the last sweep
    int sweeps = 0;                                       // without a byte since then
  };

  void Accept();
  void AcceptAfterPause();
  void Add(Tcp::socket socket);
  void CloseLongestSilent();
  void CloseIncoming(const ConnectionPtr& connection);
  void ScheduleSweep();
  void CloseSilent();
  Peer& PeerFor(const std::string& name);
  void ForgetLeastRecentlyUsedPeer();
  static void ClosePeer(Peer& peer);
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
  const Limits limits_;
  std::map<std::string, Peer> peers_;
  std::map<ConnectionPtr, Silence> incoming_;
  boost::asio::steady_timer sweep_;
  boost::asio::steady_timer accept_pause_;
};

}  // namespace kestrelline::mesh

#endif  // KESTRELLINE_MESH_MESH_H_

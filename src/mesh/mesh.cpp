// SPDX-License-Identifier: Apache-2.0
#include "mesh/mesh.h"

#include <utility>

#include "http/sockets.h"
#include "wire/codec.h"

namespace kestrelline::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kConnectTimeout{400};
constexpr milliseconds kMinAttemptInterval{150};

}  // namespace

Mesh::Mesh(boost::asio::io_context& io, std::string name, node::Endpoint listen,
           std::shared_ptr<Traffic> traffic)
    : io_(io),
      name_(std::move(name)),
      listen_(std::move(listen)),
      traffic_(std::move(traffic)),
      acceptor_(io) {}

std::error_code Mesh::Listen(OnMessage on_message, OnClosed on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  if (const std::error_code error = http::OpenAcceptor(acceptor_, listen_)) return error;
  Accept();
  return {};
}

void Mesh::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!error && incoming_.size() < kMaxIncoming) {
      SetOptions(socket);
      const auto connection = std::make_shared<Connection>(
          std::move(socket), on_message_,
          [this](Connection& closed) {
            Forget(closed);
            if (on_closed_) on_closed_(closed);
          },
          traffic_);
      incoming_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void Mesh::Forget(Connection& connection) { incoming_.erase(connection.shared_from_this()); }

Frame Mesh::Encode(const wire::Body& body) const {
  return std::make_shared<const std::string>(wire::EncodeFrame({name_, body}));
}

void Mesh::Send(const std::string& name, Frame frame) {
  if (!peers_.contains(name) && peers_.size() >= kMaxPeers) return;
  Peer& peer = peers_[name];
  if (peer.connection && peer.connection->open()) return peer.connection->Send(std::move(frame));
  peer.connection = nullptr;
  if (!peer.connecting && steady_clock::now() < peer.next_attempt) return;
  if (peer.pending.size() >= kMaxPendingFrames) peer.pending.pop_front();
  peer.pending.push_back(std::move(frame));
  if (!peer.connecting) Connect(name, peer);
}

void Mesh::Connect(const std::string& name, Peer& peer) {
  boost::system::error_code error;
  const Tcp::endpoint endpoint(boost::asio::ip::make_address(name, error), listen_.port);
  if (error) return peer.pending.clear();
  const auto socket = std::make_shared<Tcp::socket>(io_);
  peer.connecting = socket;
  peer.next_attempt = steady_clock::now() + kMinAttemptInterval;
  peer.connect_timer = std::make_unique<boost::asio::steady_timer>(io_, kConnectTimeout);
  peer.connect_timer->async_wait([socket](const boost::system::error_code& cancelled) {
    boost::system::error_code ignored;
    if (!cancelled) socket->close(ignored);
  });
  socket->async_connect(endpoint, [this, name, socket](const boost::system::error_code& failed) {
    OnConnected(name, socket, failed);
  });
}

void Mesh::OnConnected(const std::string& name, const std::shared_ptr<Tcp::socket>& socket,
                       const boost::system::error_code& error) {
  Peer& peer = peers_[name];
  if (peer.connecting != socket) return;
  peer.connecting = nullptr;
  peer.connect_timer = nullptr;
  auto pending = std::exchange(peer.pending, {});
  if (error || !socket->is_open()) return;
  SetOptions(*socket);
  peer.connection = std::make_shared<Connection>(std::move(*socket), on_message_, nullptr, traffic_);
  peer.connection->Start();
  for (Frame& frame : pending) peer.connection->Send(std::move(frame));
}

void Mesh::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const ConnectionPtr& connection : std::exchange(incoming_, {})) connection->Close();
  for (auto& [name, peer] : std::exchange(peers_, {})) {
    if (peer.connection) peer.connection->Close();
    if (peer.connecting) peer.connecting->close(ignored);
  }
}

}  // namespace kestrelline::mesh

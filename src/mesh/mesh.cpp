// SPDX-License-Identifier: Apache-2.0
#include "mesh/mesh.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "http/sockets.h"
#include "wire/codec.h"

namespace kestrelline::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kConnectTimeout{400};
constexpr milliseconds kMinAttemptInterval{150};
constexpr milliseconds kAcceptPause{20};

}  // namespace

Mesh::Mesh(boost::asio::io_context& io, std::string name, node::Endpoint listen,
           std::shared_ptr<Traffic> traffic)
    : Mesh(io, std::move(name), std::move(listen), std::move(traffic), Limits()) {}

Mesh::Mesh(boost::asio::io_context& io, std::string name, node::Endpoint listen,
           std::shared_ptr<Traffic> traffic, Limits limits)
    : io_(io),
      name_(std::move(name)),
      listen_(std::move(listen)),
      traffic_(std::move(traffic)),
      acceptor_(io),
      limits_(limits),
      sweep_(io),
      accept_pause_(io) {}

std::error_code Mesh::Listen(OnMessage on_message, OnClosed on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  if (const std::error_code error = http::OpenAcceptor(acceptor_, listen_)) return error;
  Accept();
  ScheduleSweep();
  return {};
}

void Mesh::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (error) return AcceptAfterPause();
    Add(std::move(socket));
    Accept();
  });
}

// After a failed accept: the process is probably out of file descriptors.
void Mesh::AcceptAfterPause() {
  accept_pause_.expires_after(kAcceptPause);
  accept_pause_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) Accept();
  });
}

void Mesh::Add(Tcp::socket socket) {
  if (incoming_.size() >= limits_.incoming) CloseLongestSilent();
  SetOptions(socket);
  const auto connection = std::make_shared<Connection>(
      std::move(socket), on_message_,
      [this](Connection& closed) {
        incoming_.erase(closed.shared_from_this());
        if (on_closed_) on_closed_(closed);
      },
      traffic_);
  incoming_.emplace(connection, Silence{connection->last_received_at(), 0});
  connection->Start();
}

void Mesh::CloseLongestSilent() {
  const auto longest_silent =
      std::min_element(incoming_.begin(), incoming_.end(), [](const auto& one, const auto& other) {
        return one.first->last_received_at() < other.first->last_received_at();
      });
  if (longest_silent != incoming_.end()) CloseIncoming(longest_silent->first);
}

void Mesh::CloseIncoming(const ConnectionPtr& connection) {
  const ConnectionPtr closed = connection;  // `connection` may be a key that is erased here
  incoming_.erase(closed);
  closed->Close();
  if (on_closed_) on_closed_(*closed);
}

void Mesh::ScheduleSweep() {
  sweep_.expires_after(limits_.sweep_interval);
  sweep_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    CloseSilent();
    ScheduleSweep();
  });
}

// Every peer that is alive is heard often, or connects again with its next message. A connection that stays
// silent may belong to a machine that lost power.
void Mesh::CloseSilent() {
  std::vector<ConnectionPtr> silent;
  for (auto& [connection, silence] : incoming_) {
    if (connection->last_received_at() != silence.received_at) {
      silence = {connection->last_received_at(), 0};
    } else if (++silence.sweeps >= limits_.silent_sweeps) {
      silent.push_back(connection);
    }
  }
  for (const ConnectionPtr& connection : silent) CloseIncoming(connection);
}

Frame Mesh::Encode(const wire::Body& body) const {
  return std::make_shared<const std::string>(wire::EncodeFrame({name_, body}));
}

void Mesh::Send(const std::string& name, Frame frame) {
  Peer& peer = PeerFor(name);
  peer.last_used_at = steady_clock::now();
  if (peer.connection && peer.connection->open()) return peer.connection->Send(std::move(frame));
  peer.connection = nullptr;
  if (!peer.connecting && peer.last_used_at < peer.next_attempt) return;
  if (peer.pending.size() >= kMaxPendingFrames) peer.pending.pop_front();
  peer.pending.push_back(std::move(frame));
  if (!peer.connecting) Connect(name, peer);
}

Mesh::Peer& Mesh::PeerFor(const std::string& name) {
  if (!peers_.contains(name) && peers_.size() >= limits_.peers) ForgetLeastRecentlyUsedPeer();
  return peers_[name];
}

void Mesh::ForgetLeastRecentlyUsedPeer() {
  const auto least_recent = std::min_element(
      peers_.begin(), peers_.end(),
      [](const auto& one, const auto& other) { return one.second.last_used_at < other.second.last_used_at; });
  if (least_recent == peers_.end()) return;
  ClosePeer(least_recent->second);
  peers_.erase(least_recent);
}

void Mesh::ClosePeer(Peer& peer) {
  boost::system::error_code ignored;
  if (peer.connection) peer.connection->Close();
  if (peer.connecting) peer.connecting->close(ignored);
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
  const auto found = peers_.find(name);
  if (found == peers_.end() || found->second.connecting != socket) return;
  Peer& peer = found->second;
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
  sweep_.cancel();
  accept_pause_.cancel();
  for (const auto& [connection, silence] : std::exchange(incoming_, {})) connection->Close();
  for (auto& [name, peer] : std::exchange(peers_, {})) ClosePeer(peer);
}

}  // namespace kestrelline::mesh

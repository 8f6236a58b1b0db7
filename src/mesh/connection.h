// SPDX-License-Identifier: Apache-2.0
//
// One TCP connection of the internal protocol, which carries frames in both directions. No thread of its own;
// it lives as long as an operation is pending.
#ifndef KESTRELLINE_MESH_CONNECTION_H_
#define KESTRELLINE_MESH_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "mesh/traffic.h"
#include "wire/messages.h"

namespace kestrelline::mesh {

using Tcp = boost::asio::ip::tcp;
// An encoded message, which may be queued on many connections at once.
using Frame = std::shared_ptr<const std::string>;

// Sets the options of all internal connections: TCP_NODELAY, and a timeout for unacknowledged data.
void SetOptions(Tcp::socket& socket);

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // A longer send queue ends the connection, since its peer does not read.
  static constexpr std::size_t kMaxQueuedBytes = 24 * 1024 * 1024;
  static constexpr std::size_t kMaxQueuedFrames = 512;

  using OnMessage = std::function<void(Connection&, wire::Message)>;
  using OnClosed = std::function<void(Connection&)>;

  // `traffic` counts received messages; it may be null.
  Connection(Tcp::socket socket, OnMessage on_message, OnClosed on_closed, std::shared_ptr<Traffic> traffic);

  void Start();
  void Send(Frame frame);
  // Closes without calling OnClosed.
  void Close();
  bool open() const { return open_; }
  // When bytes last arrived; at first, when the connection was made.
  std::chrono::steady_clock::time_point last_received_at() const { return last_received_at_; }
  // The newest echo received: messages after it were composed after the peer had received that probe. 0:
  // none.
  std::uint64_t echo() const { return echo_; }

 private:
  void Read();
  bool TakeFrames();
  void Write();
  void Fail();

  Tcp::socket socket_;
  OnMessage on_message_;
  OnClosed on_closed_;
  std::shared_ptr<Traffic> traffic_;
  std::string input_;
  std::size_t input_used_ = 0;
  std::deque<Frame> output_;
  std::size_t output_bytes_ = 0;
  std::uint64_t echo_ = 0;
  std::chrono::steady_clock::time_point last_received_at_ = std::chrono::steady_clock::now();
  bool writing_ = false;
  bool open_ = true;
};
using ConnectionPtr = std::shared_ptr<Connection>;

}  // namespace kestrelline::mesh

#endif  // KESTRELLINE_MESH_CONNECTION_H_

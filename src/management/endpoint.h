// SPDX-License-Identifier: Apache-2.0
//
// The management endpoint: a TCP listener that reads one command from each connection, writes the answer and
// closes the connection. Runs on the thread of its io_context.
#ifndef KESTRELLINE_MANAGEMENT_ENDPOINT_H_
#define KESTRELLINE_MANAGEMENT_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

#include "management/commands.h"

namespace kestrelline::management {

struct ManagementTimeouts {
  // When all connection slots are in use, an idle connection of this age may be closed for a new one.
  std::chrono::milliseconds idle{30};
  std::chrono::milliseconds total{5000};  // lifetime of a connection
};

class ManagementEndpoint {
 public:
  static constexpr std::size_t kMaxConnections = 16;
  // Upper bound of the file descriptors that the endpoint uses: those of its connections and of the listener.
  static constexpr int kDescriptors = kMaxConnections + 2;

  // Binds and listens; throws boost::system::system_error on failure.
  ManagementEndpoint(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                     Operations& operations, ManagementTimeouts timeouts = {});
  ~ManagementEndpoint();
  ManagementEndpoint(const ManagementEndpoint&) = delete;
  ManagementEndpoint& operator=(const ManagementEndpoint&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void Accept();
  void AcceptAfter(std::chrono::steady_clock::duration delay);
  // Closes the oldest idle connection. Returns zero if it closed one, otherwise the delay until the next try.
  std::chrono::steady_clock::duration EvictIdleConnection();

  Operations& operations_;
  ManagementTimeouts timeouts_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace kestrelline::management

#endif  // KESTRELLINE_MANAGEMENT_ENDPOINT_H_

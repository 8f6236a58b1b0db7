// SPDX-License-Identifier: Apache-2.0
//
// A client of the management endpoint: sends a command and reads until the endpoint closes the connection.
#ifndef KESTRELLINE_TESTS_SUPPORT_MANAGEMENT_CLIENT_H_
#define KESTRELLINE_TESTS_SUPPORT_MANAGEMENT_CLIENT_H_

#include <boost/asio/read.hpp>
#include <map>
#include <sstream>
#include <string>

#include "support/client.h"

namespace kestrelline::testing {

// Sends `bytes` and returns everything received until the connection is closed; "" if the connection is
// refused. `end`: shuts down the sending side after `bytes`.
inline std::string Call(const Tcp::endpoint& endpoint, const std::string& bytes, bool end = false) {
  asio::io_context io;
  Tcp::socket socket(io);
  error_code failed;
  socket.connect(endpoint, failed);
  if (failed) return "";
  SendRaw(socket, bytes);
  if (end) socket.shutdown(Tcp::socket::shutdown_send, failed);
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), failed);
  return received;
}

// The metrics of `show-stat` by name with labels.
inline std::map<std::string, double> FetchMetrics(const Tcp::endpoint& endpoint) {
  std::istringstream text(Call(endpoint, "show-stat\n"));
  std::map<std::string, double> values;
  std::string name;
  for (double value = 0; text >> name && name != "--" && text >> value;) values[name] = value;
  return values;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_MANAGEMENT_CLIENT_H_

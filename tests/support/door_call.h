// SPDX-License-Identifier: Apache-2.0
//
// A call at the door: one line, and all that comes back until its end.
#ifndef KESTRELLINE_TESTS_SUPPORT_DOOR_CALL_H_
#define KESTRELLINE_TESTS_SUPPORT_DOOR_CALL_H_

#include <boost/asio/read.hpp>
#include <map>
#include <sstream>
#include <string>

#include "support/client.h"

namespace kestrelline::testing {

// What is said before its end; "" if nobody listens.
inline std::string Call(const Tcp::endpoint& door, const std::string& bytes, bool end = false) {
  asio::io_context io;
  Tcp::socket socket(io);
  error_code failed;
  socket.connect(door, failed);
  if (failed) return "";
  SendRaw(socket, bytes);
  if (end) socket.shutdown(Tcp::socket::shutdown_send, failed);
  std::string said;
  asio::read(socket, asio::dynamic_buffer(said), failed);
  return said;
}

inline std::map<std::string, double> FiguresOf(const Tcp::endpoint& door) {
  std::istringstream text(Call(door, "show-stat\n"));
  std::map<std::string, double> figures;
  std::string name;
  for (double value = 0; text >> name && name != "--" && text >> value;) figures[name] = value;
  return figures;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_DOOR_CALL_H_

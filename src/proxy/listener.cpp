// SPDX-License-Identifier: Apache-2.0
#include "listener.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <sstream>
#include <string>

#include "config.h"

namespace kestrelline::proxy {
namespace {

using Tcp = boost::asio::ip::tcp;

int Option(int descriptor, int name) {
  int value = -1;
  socklen_t size = sizeof value;
  return ::getsockopt(descriptor, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

[[noreturn]] void Bad(int descriptor, const std::string& what) {
  throw ConfigError("ROUTER_INHERITED_FD: descriptor " + std::to_string(descriptor) + " " + what);
}

Tcp::acceptor Inherited(boost::asio::io_context& io, const Tcp::endpoint& address, int descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFD);
  if (flags < 0) Bad(descriptor, "is not open");
  if (Option(descriptor, SO_TYPE) != SOCK_STREAM) Bad(descriptor, "is no TCP socket");
  if (Option(descriptor, SO_ACCEPTCONN) != 1) Bad(descriptor, "does not listen");
  Tcp::endpoint at;
  auto size = static_cast<socklen_t>(at.capacity());
  if (::getsockname(descriptor, at.data(), &size) != 0) Bad(descriptor, std::strerror(errno));
  if (at.protocol() != address.protocol() || at != address) {
    std::ostringstream text;
    text << "listens at " << at << ", not at " << address;
    Bad(descriptor, text.str());
  }
  ::fcntl(descriptor, F_SETFD, flags | FD_CLOEXEC);
  Tcp::acceptor acceptor(io);
  acceptor.assign(address.protocol(), descriptor);
  return acceptor;
}

}  // namespace

Tcp::acceptor OpenListener(boost::asio::io_context& io, const Tcp::endpoint& address, int inherited) {
  if (inherited >= 0) return Inherited(io, address, inherited);
  Tcp::acceptor acceptor(io);
  acceptor.open(address.protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));  // restarts come on the same address
  acceptor.bind(address);
  acceptor.listen();
  return acceptor;
}

}  // namespace kestrelline::proxy

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

int SocketOption(int descriptor, int name) {
  int value = -1;
  socklen_t size = sizeof value;
  return ::getsockopt(descriptor, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

[[noreturn]] void ThrowBadDescriptor(int descriptor, const std::string& what) {
  throw ConfigError("ROUTER_INHERITED_FD: descriptor " + std::to_string(descriptor) + " " + what);
}

Tcp::acceptor AdoptListener(boost::asio::io_context& io, const Tcp::endpoint& address, int descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFD);
  if (flags < 0) ThrowBadDescriptor(descriptor, "is not open");
  if (SocketOption(descriptor, SO_TYPE) != SOCK_STREAM) ThrowBadDescriptor(descriptor, "is not a TCP socket");
  if (SocketOption(descriptor, SO_ACCEPTCONN) != 1) ThrowBadDescriptor(descriptor, "does not listen");
  Tcp::endpoint bound_to;
  auto size = static_cast<socklen_t>(bound_to.capacity());
  if (::getsockname(descriptor, bound_to.data(), &size) != 0)
    ThrowBadDescriptor(descriptor, std::strerror(errno));
  if (bound_to.protocol() != address.protocol() || bound_to != address) {
    std::ostringstream text;
    text << "listens at " << bound_to << ", not at " << address;
    ThrowBadDescriptor(descriptor, text.str());
  }
  ::fcntl(descriptor, F_SETFD, flags | FD_CLOEXEC);
  Tcp::acceptor acceptor(io);
  acceptor.assign(address.protocol(), descriptor);
  return acceptor;
}

}  // namespace

Tcp::acceptor OpenListener(boost::asio::io_context& io, const Tcp::endpoint& address, int inherited) {
  if (inherited >= 0) return AdoptListener(io, address, inherited);
  Tcp::acceptor acceptor(io);
  acceptor.open(address.protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));  // a restarted process binds the same address
  acceptor.bind(address);
  acceptor.listen();
  return acceptor;
}

}  // namespace kestrelline::proxy

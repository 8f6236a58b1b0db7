// SPDX-License-Identifier: Apache-2.0
//
// An address on loopback that stays one's own: its port is bound and does not listen, so that the kernel
// gives it to nobody who asks for any port, while whoever reuses addresses may listen at it, end, and come
// back.
#ifndef KESTRELLINE_STANDIN_ADDRESS_H_
#define KESTRELLINE_STANDIN_ADDRESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace kestrelline::standin {

class HeldAddress {
 public:
  using Tcp = boost::asio::ip::tcp;

  // Throws boost::system::system_error if there is no port left.
  explicit HeldAddress(boost::asio::io_context& io) : socket_(io, Tcp::v4()) {
    socket_.set_option(Tcp::socket::reuse_address(true));
    socket_.bind({boost::asio::ip::address_v4::loopback(), 0});
  }
  Tcp::endpoint endpoint() const { return socket_.local_endpoint(); }
  void Listen(Tcp::acceptor& acceptor) const {
    acceptor.open(Tcp::v4());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint());
    acceptor.listen();
  }
  std::string text() const { return "127.0.0.1:" + std::to_string(endpoint().port()); }

 private:
  Tcp::socket socket_;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_ADDRESS_H_

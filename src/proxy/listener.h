// SPDX-License-Identifier: Apache-2.0
//
// The socket that accepts clients: opened by this process, or inherited.
#ifndef KESTRELLINE_PROXY_LISTENER_H_
#define KESTRELLINE_PROXY_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace kestrelline::proxy {

// `inherited`: a descriptor, or -1 for none. Throws ConfigError unless it is a TCP socket that listens at
// `address`. Child processes do not inherit it.
boost::asio::ip::tcp::acceptor OpenListener(boost::asio::io_context& io,
                                            const boost::asio::ip::tcp::endpoint& address, int inherited);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_LISTENER_H_

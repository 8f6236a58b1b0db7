// SPDX-License-Identifier: Apache-2.0
//
// The socket that clients come to: opened here, or inherited.
#ifndef KESTRELLINE_PROXY_LISTENER_H_
#define KESTRELLINE_PROXY_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace kestrelline::proxy {

// `inherited`: a descriptor; -1 for none. It has to be a TCP socket that listens at `address`, or ConfigError
// says what it is instead. No program that this one starts gets it.
boost::asio::ip::tcp::acceptor OpenListener(boost::asio::io_context& io,
                                            const boost::asio::ip::tcp::endpoint& address, int inherited);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_LISTENER_H_

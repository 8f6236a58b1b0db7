// SPDX-License-Identifier: Apache-2.0
//
// What all sides of HTTP do with their sockets: listen, connect, look whether the other end is still there.
// And what a request that can't be read is answered with.
#ifndef KESTRELLINE_HTTP_SOCKETS_H_
#define KESTRELLINE_HTTP_SOCKETS_H_

#include <system_error>

#include "http/asio.h"
#include "node/settings.h"

namespace kestrelline::http {

// Opens a listening socket.
std::error_code OpenAcceptor(Tcp::acceptor& acceptor, const node::Endpoint& endpoint);

// Connects without delay of small writes; the stream's time is set to `until`.
Awaitable<error_code> Connect(beast::tcp_stream& stream, const node::Endpoint& endpoint,
                              steady_clock::time_point until);

// What there is to read, without taking it.
enum class Peeked { kNothing, kBytes, kEnded };
Peeked Peek(Tcp::socket& socket);

// Whether reading failed by what the other side sent, rather than by its end.
bool IsProtocolError(const error_code& error);
// The status that answers a request which could not be read.
bhttp::status StatusOf(const error_code& error);

}  // namespace kestrelline::http

#endif  // KESTRELLINE_HTTP_SOCKETS_H_

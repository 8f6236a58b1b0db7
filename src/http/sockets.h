// SPDX-License-Identifier: Apache-2.0
//
// What all sides of HTTP do with their sockets: listen, connect, look whether the other end is still there.
// And what a request that can't be read is answered with.
#ifndef KESTRELLINE_HTTP_SOCKETS_H_
#define KESTRELLINE_HTTP_SOCKETS_H_

#include <optional>
#include <system_error>

#include "http/asio.h"
#include "node/settings.h"

namespace kestrelline::http {

// Opens a listening socket.
std::error_code OpenAcceptor(Tcp::acceptor& acceptor, const node::Endpoint& endpoint);

// Connects without delay of small writes; the stream's time is set to `until`.
Awaitable<error_code> Connect(beast::tcp_stream& stream, const node::Endpoint& endpoint,
                              steady_clock::time_point until);

using Request = bhttp::request<bhttp::string_body>;
using Response = bhttp::response<bhttp::string_body>;

// One request on a connection of its own, which is closed after it. The answer, whole or none.
Awaitable<std::optional<Response>> Exchange(asio::io_context& io, const node::Endpoint& endpoint,
                                            Request request, steady_clock::time_point until);

// What there is to read, without taking it.
enum class Peeked { kNothing, kBytes, kEnded };
Peeked Peek(Tcp::socket& socket);

// Ends the sending side, then reads and drops what comes until the other side ends, or for `patience` at
// most. A socket that is closed with bytes unread resets its connection, and the other side loses what it has
// not got.
Awaitable<void> ShutdownSendAndDrain(beast::tcp_stream& stream, steady_clock::duration patience);

// Whether reading failed by what the other side sent, rather than by its end.
bool IsProtocolError(const error_code& error);
// The status that answers a request which could not be read.
bhttp::status StatusOf(const error_code& error);

}  // namespace kestrelline::http

#endif  // KESTRELLINE_HTTP_SOCKETS_H_

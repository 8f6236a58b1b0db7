// SPDX-License-Identifier: Apache-2.0
//
// Socket helpers shared by HTTP servers and clients: listen, connect, check whether the peer has closed; and
// the status codes that answer requests which could not be read.
#ifndef KESTRELLINE_HTTP_SOCKETS_H_
#define KESTRELLINE_HTTP_SOCKETS_H_

#include <optional>
#include <system_error>

#include "http/asio.h"
#include "node/settings.h"

namespace kestrelline::http {

// Opens a listening socket.
std::error_code OpenAcceptor(Tcp::acceptor& acceptor, const node::Endpoint& endpoint);

// Connects with TCP_NODELAY; the deadline of the stream is set to `until`.
Awaitable<error_code> Connect(beast::tcp_stream& stream, const node::Endpoint& endpoint,
                              steady_clock::time_point until);

using Request = bhttp::request<bhttp::string_body>;
using Response = bhttp::response<bhttp::string_body>;

// Sends one request on a new connection, which is closed afterwards. Returns the complete response, or
// nothing if it did not arrive by `until`.
Awaitable<std::optional<Response>> Exchange(asio::io_context& io, const node::Endpoint& endpoint,
                                            Request request, steady_clock::time_point until);

// What the socket has to read, without consuming it.
enum class Peeked { kNothing, kBytes, kEnded };
Peeked Peek(Tcp::socket& socket);

// Shuts down the sending side, then discards input until the peer closes, or for `timeout` at most. Closing a
// socket with unread input would reset the connection, and the peer could lose data still in flight.
Awaitable<void> ShutdownSendAndDrain(beast::tcp_stream& stream, steady_clock::duration timeout);

// Whether reading failed because of malformed input, rather than because the connection ended.
bool IsProtocolError(const error_code& error);
// The status with which to answer a request that could not be read.
bhttp::status StatusOf(const error_code& error);

}  // namespace kestrelline::http

#endif  // KESTRELLINE_HTTP_SOCKETS_H_

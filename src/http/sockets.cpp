// SPDX-License-Identifier: Apache-2.0
#include "http/sockets.h"

#include <array>
#include <utility>

namespace kestrelline::http {

std::error_code OpenAcceptor(Tcp::acceptor& acceptor, const node::Endpoint& endpoint) {
  error_code error;
  const Tcp::endpoint address(asio::ip::make_address(endpoint.ip, error), endpoint.port);
  if (!error) acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  return error;
}

Awaitable<error_code> Connect(beast::tcp_stream& stream, const node::Endpoint& endpoint,
                              steady_clock::time_point until) {
  error_code error;
  const Tcp::endpoint address(asio::ip::make_address(endpoint.ip, error), endpoint.port);
  if (error) co_return error;
  stream.expires_at(until);
  const auto [failed] = co_await stream.async_connect(address, kTuple);
  if (!failed) stream.socket().set_option(Tcp::no_delay(true), error);
  co_return failed;
}

Peeked Peek(Tcp::socket& socket) {
  error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  const std::size_t count = socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  if (error == asio::error::would_block) return Peeked::kNothing;
  return error || count == 0 ? Peeked::kEnded : Peeked::kBytes;
}

Awaitable<void> ShutdownSendAndDrain(beast::tcp_stream& stream, steady_clock::duration timeout) {
  error_code ended;
  stream.socket().shutdown(Tcp::socket::shutdown_send, ended);
  std::array<char, 4096> unread{};
  stream.expires_after(timeout);
  ended = {};
  while (!ended) {
    const auto [error, count] = co_await stream.async_read_some(asio::buffer(unread), kTuple);
    ended = error;
  }
}

Awaitable<std::optional<Response>> Exchange(asio::io_context& io, const node::Endpoint& endpoint,
                                            Request request, steady_clock::time_point until) {
  beast::tcp_stream stream(io);
  if (co_await Connect(stream, endpoint, until)) co_return std::nullopt;
  request.set(bhttp::field::connection, "close");
  request.prepare_payload();
  const auto [write_error, written] = co_await bhttp::async_write(stream, request, kTuple);
  if (write_error) co_return std::nullopt;
  beast::flat_buffer buffer;
  Response response;
  const auto [read_error, read] = co_await bhttp::async_read(stream, buffer, response, kTuple);
  if (read_error) co_return std::nullopt;
  co_return response;
}

bool IsProtocolError(const error_code& error) {
  return error.category() == make_error_code(bhttp::error::bad_method).category() &&
         error != bhttp::error::end_of_stream && error != bhttp::error::partial_message;
}

bhttp::status StatusOf(const error_code& error) {
  if (error == bhttp::error::body_limit) return bhttp::status::payload_too_large;
  if (error == bhttp::error::header_limit || error == bhttp::error::buffer_overflow)
    return bhttp::status::request_header_fields_too_large;
  if (error == beast::error::timeout) return bhttp::status::request_timeout;
  return bhttp::status::bad_request;
}

}  // namespace kestrelline::http

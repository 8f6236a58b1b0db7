// SPDX-License-Identifier: Apache-2.0
#include "http/api_server.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "http/sockets.h"

namespace kestrelline::http {
namespace {

constexpr milliseconds kIdleTimeout{15000};
constexpr milliseconds kReadTimeout{4000};
constexpr milliseconds kWriteTimeout{4000};
constexpr milliseconds kLingerTimeout{500};  // for the client to close after the last response
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr milliseconds kAcceptPause{20};  // after a failed accept

std::string Escaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\') escaped += '\\';
    escaped += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return escaped;
}

ApiResponse ResponseOf(bhttp::status status, std::string_view content_type, std::string body) {
  ApiResponse response(status, 11);
  response.set(bhttp::field::content_type, {content_type.data(), content_type.size()});
  response.body() = std::move(body);
  return response;
}

}  // namespace

ApiResponse JsonResponse(bhttp::status status, std::string body) {
  return ResponseOf(status, "application/json", std::move(body));
}

ApiResponse MetricsResponse(std::string text) {
  return ResponseOf(bhttp::status::ok, "text/plain; version=0.0.4", std::move(text));
}

ApiResponse ErrorResponse(bhttp::status status, const std::string& text) {
  return JsonResponse(status, "{\"error\":\"" + Escaped(text) + "\"}");
}

ApiServer::ApiServer(asio::io_context& io, ApiHandler handler)
    : io_(io), handler_(std::move(handler)), acceptor_(io), drained_(io) {}

std::error_code ApiServer::Listen(const node::Endpoint& endpoint) {
  const std::error_code error = OpenAcceptor(acceptor_, endpoint);
  if (!error) asio::co_spawn(io_, Accept(), asio::detached);
  return error;
}

void ApiServer::Close() {
  announces_close_ = true;
  error_code ignored;
  acceptor_.close(ignored);
}

Awaitable<int> ApiServer::Drain(steady_clock::time_point until) {
  Close();
  draining_ = true;
  for (const auto& connection : connections_) {
    const bool idle = connection->state == Connection::State::kIdle && !connection->HasBytes();
    if (idle) connection->stream.cancel();
  }
  drained_.expires_at(until);
  while (!connections_.empty() && steady_clock::now() < until) co_await drained_.async_wait(kTuple);
  co_return Unanswered();
}

int ApiServer::Unanswered() const {
  const auto unanswered = [](const auto& connection) {
    return connection->state == Connection::State::kAnswering;
  };
  return static_cast<int>(std::count_if(connections_.begin(), connections_.end(), unanswered));
}

bool ApiServer::Connection::HasBytes() const {
  error_code ignored;
  return buffer.size() > 0 || stream.socket().available(ignored) > 0;
}

Awaitable<void> ApiServer::Accept() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (error && acceptor_.is_open()) {
      asio::steady_timer pause(io_, kAcceptPause);  // probably out of file descriptors
      co_await pause.async_wait(kTuple);
    }
    if (error || (connections_.size() >= kMaxConnections && !CloseLongestIdle())) continue;
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

bool ApiServer::CloseLongestIdle() {
  std::shared_ptr<Connection> longest_idle;
  for (const auto& connection : connections_) {
    if (connection->state != Connection::State::kIdle || connection->HasBytes()) continue;
    if (!longest_idle || connection->idle_since < longest_idle->idle_since) longest_idle = connection;
  }
  if (!longest_idle) return false;
  longest_idle->state = Connection::State::kEnding;
  longest_idle->stream.cancel();
  return true;
}

Awaitable<void> ApiServer::Serve(Tcp::socket socket) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<Connection>(std::move(socket));
  connections_.insert(connection);
  while (co_await ServeRequest(*connection)) {
  }
  co_await End(*connection);
  connections_.erase(connection);
  if (connections_.empty()) drained_.cancel();
}

Awaitable<bool> ApiServer::ServeRequest(Connection& connection) {
  if (!co_await AwaitFirstBytes(connection)) co_return false;
  connection.state = Connection::State::kReading;
  bhttp::request_parser<bhttp::string_body> parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(kMaxBodyBytes);
  const auto [read_error, read] =
      co_await bhttp::async_read(connection.stream, connection.buffer, parser, kTuple);
  if (read_error && !IsProtocolError(read_error)) co_return false;
  connection.state = Connection::State::kAnswering;
  ApiResponse response;
  if (read_error) {
    response = ErrorResponse(StatusOf(read_error), read_error.message());
    response.keep_alive(false);
  } else {
    const bool keep = parser.get().keep_alive();
    connection.stream.expires_never();
    response = co_await Answer(parser.release());
    response.keep_alive(keep && !announces_close_);
  }
  co_return co_await Write(connection, std::move(response));
}

Awaitable<bool> ApiServer::AwaitFirstBytes(Connection& connection) {
  connection.state = Connection::State::kIdle;
  connection.idle_since = steady_clock::now();
  if (draining_ && !connection.HasBytes()) co_return false;
  const bool has_bytes = connection.buffer.size() > 0;
  connection.stream.expires_after(has_bytes ? kReadTimeout : kIdleTimeout);
  if (has_bytes) co_return true;
  const auto [error, count] =
      co_await connection.stream.async_read_some(connection.buffer.prepare(kReadBytes), kTuple);
  connection.buffer.commit(count);
  co_return !error;
}

Awaitable<ApiResponse> ApiServer::Answer(ApiRequest request) {
  if (draining_) {
    ApiResponse response = ErrorResponse(bhttp::status::service_unavailable, "this process is stopping");
    response.set(bhttp::field::retry_after, "1");
    co_return response;
  }
  try {
    co_return co_await handler_(std::move(request));
  } catch (const std::exception& failure) {
    co_return ErrorResponse(bhttp::status::internal_server_error, failure.what());
  }
}

Awaitable<bool> ApiServer::Write(Connection& connection, ApiResponse response) {
  response.prepare_payload();
  connection.stream.expires_after(kWriteTimeout);
  const auto [error, written] = co_await bhttp::async_write(connection.stream, response, kTuple);
  co_return !error && response.keep_alive();
}

Awaitable<void> ApiServer::End(Connection& connection) {
  connection.state = Connection::State::kEnding;
  co_await ShutdownSendAndDrain(connection.stream, kLingerTimeout);
}

}  // namespace kestrelline::http

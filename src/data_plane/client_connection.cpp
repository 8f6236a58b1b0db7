// SPDX-License-Identifier: Apache-2.0
#include "data_plane/client_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

#include "http/sockets.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr milliseconds kWriteTimeout{5000};  // for a client that does not read
constexpr std::size_t kWriteSliceBytes = 64 * 1024;
const asio::socket_base::send_buffer_size kSendBuffer(128 * 1024);
constexpr std::size_t kInitialReadBytes = 4096;
// How long to drain bytes that follow the last request. Shorter than the time after which an unanswered
// request counts as lost.
constexpr milliseconds kLingerTimeout{150};
constexpr milliseconds kBodyTimeout{10000};

std::string ChunkHead(std::size_t size) {
  std::array<char, 24> text{};
  const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
  return std::string(text.data(), static_cast<std::size_t>(length));
}

}  // namespace

ClientConnection::ClientConnection(Tcp::socket socket)
    : stream_(std::move(socket)), read_timer_(stream_.get_executor()) {
  error_code ignored;
  stream_.socket().set_option(Tcp::no_delay(true), ignored);
}

Awaitable<ClientConnection::ReadResult> ClientConnection::ReadRequest(const CurrentLimits& current_limits) {
  watch_.reset();
  if (!co_await AwaitFirstBytes(current_limits)) co_return ReadResult{ReadOutcome::kClosed, {}};
  const configuration::Limits limits = current_limits();
  bhttp::request_parser<bhttp::string_body> parser;
  const error_code error = co_await ReadFullRequest(parser, limits);
  read_timer_.cancel();
  read_timed_out_.reset();
  if (error) {
    const bool respond = IsProtocolError(error) || error == beast::error::timeout;
    co_return ReadResult{respond ? ReadOutcome::kMalformed : ReadOutcome::kClosed, StatusOf(error)};
  }
  request_ = parser.release();
  ++requests_read_;
  chunked_ = request_.version() >= 11;
  close_after_response_ = close_after_response_ || !request_.keep_alive();
  stream_begun_ = false;
  answered_ = false;
  pending_head_.clear();
  co_return ReadResult{ReadOutcome::kRequest, {}};
}

Awaitable<bool> ClientConnection::AwaitFirstBytes(const CurrentLimits& current_limits) {
  DropEmptyLines();
  serving_ = buffer_.size() > 0;
  idle_since_ = steady_clock::now();
  stream_.expires_never();
  while (buffer_.size() == 0) {
    const auto remaining = idle_since_ + current_limits().idle_timeout - steady_clock::now();
    if (remaining <= steady_clock::duration::zero()) co_return false;
    StartReadTimeout(std::chrono::ceil<milliseconds>(remaining));
    const auto [error, count] = co_await stream_.async_read_some(buffer_.prepare(kInitialReadBytes), kTuple);
    const bool timed_out = *read_timed_out_;
    read_timer_.cancel();
    read_timed_out_.reset();
    if (error && timed_out) continue;  // the timeout may have been raised meanwhile
    if (error) co_return false;
    buffer_.commit(count);
    DropEmptyLines();
    serving_ = buffer_.size() > 0;
    if (buffer_.size() == 0) idle_since_ = steady_clock::now();
  }
  co_return true;
}

Awaitable<error_code> ClientConnection::ReadFullRequest(bhttp::request_parser<bhttp::string_body>& parser,
                                                        const configuration::Limits& limits) {
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
  stream_.expires_never();
  StartReadTimeout(limits.header_timeout);
  auto [error, read] = co_await bhttp::async_read_header(stream_, buffer_, parser, kTuple);
  if (!error && !parser.is_done()) error = co_await SendContinue(parser);
  if (!error && !parser.is_done()) {
    StartReadTimeout(kBodyTimeout);
    std::tie(error, read) = co_await bhttp::async_read(stream_, buffer_, parser, kTuple);
  }
  if (error && *read_timed_out_) error = beast::error::timeout;
  co_return error;
}

// Empty lines before a request line are ignored (RFC 9112, 2.2).
void ClientConnection::DropEmptyLines() {
  const auto bytes = buffer_.cdata();
  const auto* const text = static_cast<const char*>(bytes.data());
  std::size_t empty = 0;
  while (empty < bytes.size() && (text[empty] == '\r' || text[empty] == '\n')) ++empty;
  buffer_.consume(empty);
}

void ClientConnection::StartReadTimeout(milliseconds timeout) {
  read_timed_out_ = std::make_shared<bool>(false);
  read_timer_.expires_after(timeout);
  read_timer_.async_wait([this, timed_out = std::weak_ptr(read_timed_out_)](const error_code& cancelled) {
    const std::shared_ptr<bool> read_state = timed_out.lock();
    if (cancelled || !read_state) return;  // `this` may be destroyed
    *read_state = true;
    stream_.cancel();
  });
}

// Sends 100 Continue to a client that waits for it before the body. The body size limit has already been
// checked.
Awaitable<error_code> ClientConnection::SendContinue(
    const bhttp::request_parser<bhttp::string_body>& parser) {
  const std::string_view expected = parser.get()[bhttp::field::expect];
  if (!beast::iequals({expected.data(), expected.size()}, "100-continue")) co_return error_code();
  co_return co_await Write("HTTP/1.1 100 Continue\r\n\r\n");
}

std::string ClientConnection::ConnectionFields() const {
  return close_after_response_ ? "Connection: close\r\n" : "";
}

// Writes in slices, so that the timeout applies to each slice: a slow client is served as long as it keeps
// reading.
Awaitable<error_code> ClientConnection::Write(std::string bytes) {
  error_code failed;
  // The kernel reports progress in steps of a third of the send buffer, which would otherwise grow to
  // megabytes.
  if (bytes.size() > kWriteSliceBytes) stream_.socket().set_option(kSendBuffer, failed);
  failed = {};
  for (std::size_t offset = 0; offset < bytes.size() && !failed; offset += kWriteSliceBytes) {
    const std::size_t size = std::min(kWriteSliceBytes, bytes.size() - offset);
    stream_.expires_after(kWriteTimeout);
    const auto [error, written] =
        co_await asio::async_write(stream_, asio::buffer(bytes.data() + offset, size), kTuple);
    failed = error;
  }
  stream_.expires_never();
  if (failed) broken_ = close_after_response_ = true;
  co_return failed;
}

Awaitable<error_code> ClientConnection::WriteResponse(std::string head, std::string_view body) {
  head += ConnectionFields();
  const bool has_body = request_.method() != bhttp::verb::head;
  if (has_body) head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  head += "\r\n";
  if (has_body) head += body;
  const error_code failed = co_await Write(std::move(head));
  answered_ = !failed;
  co_return failed;
}

void ClientConnection::BeginStream(std::string head) {
  if (!chunked_) close_after_response_ = true;
  head += ConnectionFields();
  if (chunked_) head += "Transfer-Encoding: chunked\r\n";
  pending_head_ = head + "\r\n";
}

Awaitable<error_code> ClientConnection::WriteChunk(std::string_view chunk) {
  stream_begun_ = true;
  std::string bytes = std::exchange(pending_head_, {});
  if (chunked_) bytes += ChunkHead(chunk.size());
  bytes += chunk;
  if (chunked_) bytes += "\r\n";
  co_return co_await Write(std::move(bytes));
}

Awaitable<error_code> ClientConnection::EndStream() {
  stream_begun_ = true;
  std::string bytes = std::exchange(pending_head_, {});
  if (chunked_) bytes += "0\r\n\r\n";
  const error_code failed = co_await Write(std::move(bytes));
  answered_ = !failed;
  co_return failed;
}

void ClientConnection::WatchForDisconnect(std::function<void()> on_disconnect) {
  watch_ = std::make_shared<WatchState>();
  watch_->on_disconnect = std::move(on_disconnect);
  WaitForDisconnect();
}

void ClientConnection::WaitForDisconnect() {
  stream_.socket().async_wait(Tcp::socket::wait_read, [this, watch = watch_](const error_code& error) {
    if (!watch->active || error) return;  // `this` may be destroyed if the watch is inactive
    const Peeked peeked = Peek(stream_.socket());
    if (peeked == Peeked::kNothing) return WaitForDisconnect();
    if (peeked == Peeked::kBytes) return;  // a pipelined request arrived, so the client is still connected
    watch->disconnected = true;
    watch->on_disconnect();
  });
}

void ClientConnection::StopWatching() {
  if (!watch_) return;
  watch_->active = false;
  if (watch_->disconnected) CloseAfterBufferedRequests();
}

void ClientConnection::Close() {
  close_after_response_ = true;
  if (watch_) watch_->active = false;
  error_code ignored;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  stream_.close();
}

// Without chunks the end of the connection is the end of the body, unless the connection is reset.
void ClientConnection::CloseIncomplete() {
  error_code ignored;
  if (!chunked_) {
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
  }
  Close();
}

Awaitable<void> ClientConnection::CloseGracefully() {
  serving_ = true;  // not idle: the last bytes are still being sent
  if (stream_.socket().is_open() && (buffer_.size() > 0 || Peek(stream_.socket()) == Peeked::kBytes)) {
    co_await ShutdownSendAndDrain(stream_, kLingerTimeout);
  }
  Close();
}

std::optional<steady_clock::time_point> ClientConnection::idle_since() const {
  if (serving_) return std::nullopt;
  return idle_since_;
}

void ClientConnection::CloseIfIdle() {
  if (!serving_) stream_.cancel();
}

}  // namespace kestrelline::data_plane

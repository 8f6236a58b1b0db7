// SPDX-License-Identifier: Apache-2.0
//
// HTTP/1.1 connections to backends, and the pool of idle ones.
#ifndef KESTRELLINE_DATA_PLANE_BACKEND_CONNECTION_H_
#define KESTRELLINE_DATA_PLANE_BACKEND_CONNECTION_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "http/asio.h"

namespace kestrelline::data_plane {

using http::Awaitable;
using http::error_code;
using http::milliseconds;
using http::steady_clock;

// A response whose body is read incrementally.
using ResponseParser = http::bhttp::response_parser<http::bhttp::buffer_body>;

// A connection that carries one request at a time.
class BackendConnection {
 public:
  static constexpr std::size_t kMaxHeaderBytes = 32 * 1024;
  static constexpr std::size_t kReadChunkBytes = 8 * 1024;

  BackendConnection(http::asio::io_context& io, std::string address);

  Awaitable<error_code> Connect(steady_clock::time_point deadline);
  // Sends a request. `head` is complete, with its blank line. After an error part of the request may have
  // arrived.
  Awaitable<error_code> Send(const std::string& head, const std::string& body,
                             steady_clock::time_point deadline);
  // Reads the head of the response to `request_id`; skips late responses to earlier requests.
  Awaitable<error_code> ReadHead(const std::string& request_id, steady_clock::time_point deadline);
  // Reads the next bytes of the body, all that have arrived up to kReadChunkBytes; `chunk` is empty at its
  // end.
  Awaitable<error_code> ReadChunk(std::string& chunk, steady_clock::time_point deadline);

  const http::bhttp::response<http::bhttp::buffer_body>& head() const { return parser_->get(); }
  // The response was read completely and is not truncated.
  bool complete() const { return parser_ && parser_->is_done(); }
  // Responses to other requests that were skipped since the latest Send().
  int skipped_responses() const { return skipped_responses_; }
  // Whether bytes follow the complete response.
  bool HasSurplusBytes() const { return complete() && buffer_.size() > 0; }
  // Whether the bytes after the response are no other response, so that the end of this one is in doubt.
  bool EndIsInDoubt() const;
  // Whether it can carry another request: no unread or surplus bytes, and the backend did not announce a
  // close.
  bool Reusable() const;
  // Whether an idle connection is still open and has received nothing.
  bool IsOpenAndSilent();
  // Closes the connection; pending operations end with an error.
  void Abort();

  const std::string& address() const { return address_; }
  steady_clock::time_point idle_deadline() const { return idle_deadline_; }

 private:
  error_code ParseBuffered(std::string& chunk);
  void UpdateIdleDeadline();

  http::beast::tcp_stream stream_;
  std::string address_;
  http::beast::flat_buffer buffer_{http::kMaxParserBufferBytes};
  std::optional<ResponseParser> parser_;
  std::string chunk_;
  steady_clock::time_point idle_deadline_{};
  int skipped_responses_ = 0;
  bool reusable_ = true;
  bool response_has_no_body_ = false;  // response to a HEAD request
};
using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

class ConnectionPool {
 public:
  static constexpr std::size_t kMaxIdlePerBackend = 24;  // per backend; the oldest is closed

  explicit ConnectionPool(http::asio::io_context& io) : io_(io) {}

  // An idle connection to that instance, or null.
  BackendConnectionPtr AcquireIdle(const std::string& instance);
  BackendConnectionPtr Create(const std::string& address);
  void Release(const std::string& instance, BackendConnectionPtr connection);
  // Closes connections past their idle deadline.
  void Tick();

 private:
  http::asio::io_context& io_;
  std::unordered_map<std::string, std::deque<BackendConnectionPtr>> idle_;  // most recently used last
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_BACKEND_CONNECTION_H_

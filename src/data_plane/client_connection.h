// SPDX-License-Identifier: Apache-2.0
//
// A client connection: reads requests, writes buffered or streamed responses, and detects that the client
// disconnects.
#ifndef KESTRELLINE_DATA_PLANE_CLIENT_CONNECTION_H_
#define KESTRELLINE_DATA_PLANE_CLIENT_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/configuration.h"
#include "http/asio.h"

namespace kestrelline::data_plane {

using http::Awaitable;
using http::error_code;
using http::milliseconds;
using http::steady_clock;

using ClientRequest = http::bhttp::request<http::bhttp::string_body>;

class ClientConnection {
 public:
  explicit ClientConnection(http::Tcp::socket socket);

  enum class ReadOutcome { kRequest, kClosed, kMalformed };
  struct ReadResult {
    ReadOutcome outcome = ReadOutcome::kClosed;
    // The status to answer a malformed request with.
    http::bhttp::status status = http::bhttp::status::bad_request;
  };
  using CurrentLimits = std::function<configuration::Limits()>;
  // Waits for the next request and reads it. `current_limits` is asked whenever limits are applied, since
  // they may change while the connection is idle; a request is read under those in force when its first bytes
  // are here.
  Awaitable<ReadResult> ReadRequest(const CurrentLimits& current_limits);
  ClientRequest& request() { return request_; }

  // Writes a complete response. `head` ends without its blank line; Content-Length and Connection are added
  // here.
  Awaitable<error_code> WriteResponse(std::string head, std::string_view body);
  // Streamed response: BeginStream(), any number of chunks, EndStream(). The head is sent with the first
  // chunk.
  Awaitable<error_code> WriteChunk(std::string_view chunk);
  Awaitable<error_code> EndStream();
  void BeginStream(std::string head);
  bool stream_begun() const { return stream_begun_; }

  // While a request is served: calls `on_disconnect` once if the client disconnects.
  void WatchForDisconnect(std::function<void()> on_disconnect);
  void StopWatching();
  bool disconnected() const { return watch_ && watch_->disconnected; }

  // Whether the connection closes after this response.
  void set_close_after_response(bool close) { close_after_response_ = close_after_response_ || close; }
  // The same, unless a pipelined request is already buffered, which is answered first.
  void CloseAfterBufferedRequests() { set_close_after_response(buffer_.size() == 0); }
  bool closes_after_response() const { return close_after_response_; }
  // The whole response to the current request was handed to the socket.
  bool answered() const { return answered_; }
  // A write failed; nothing more can be written.
  bool broken() const { return broken_; }
  bool serving() const { return serving_; }
  // Number of requests read, including the current one.
  std::size_t requests_read() const { return requests_read_; }
  // Ends a streamed response that is incomplete, so that the client can tell.
  void CloseIncomplete();
  // Closes immediately. Pipelined requests that were read but not served are dropped.
  void Close();
  // Closes in such a way that the last response still arrives, although unread bytes remain in the receive
  // buffer.
  Awaitable<void> CloseGracefully();
  // When it began to wait for a request; empty while one is being read or served.
  std::optional<steady_clock::time_point> idle_since() const;
  // Closes the connection unless a request is being read or served.
  void CloseIfIdle();

 private:
  struct WatchState {
    std::function<void()> on_disconnect;
    bool disconnected = false;
    bool active = true;
  };
  Awaitable<error_code> Write(std::string bytes);
  // Reads a request whose first bytes are buffered. On timeout only the read is cancelled, so that an error
  // can still be sent to the client.
  Awaitable<error_code> ReadFullRequest(http::bhttp::request_parser<http::bhttp::string_body>& parser,
                                        const configuration::Limits& limits);
  // Waits until bytes of a request are buffered; false if the connection ends, or was idle for too long.
  Awaitable<bool> AwaitFirstBytes(const CurrentLimits& current_limits);
  void DropEmptyLines();
  void StartReadTimeout(milliseconds timeout);
  Awaitable<error_code> SendContinue(const http::bhttp::request_parser<http::bhttp::string_body>& parser);
  void WaitForDisconnect();
  std::string ConnectionFields() const;

  http::beast::tcp_stream stream_;
  http::beast::flat_buffer buffer_{http::kMaxParserBufferBytes};
  http::asio::steady_timer read_timer_;
  ClientRequest request_;
  std::shared_ptr<WatchState> watch_;
  std::string pending_head_;
  std::size_t requests_read_ = 0;
  bool stream_begun_ = false;
  bool close_after_response_ = false;
  bool serving_ = false;
  bool answered_ = false;
  bool broken_ = false;
  std::shared_ptr<bool> read_timed_out_;  // set while a request is read
  steady_clock::time_point idle_since_ = steady_clock::now();
  bool chunked_ = true;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_CLIENT_CONNECTION_H_

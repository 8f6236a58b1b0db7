// SPDX-License-Identifier: Apache-2.0
//
// A small HTTP server for the fleet's own interfaces (operator, readiness): whole requests, whole answers. It
// drains before its process ends: each request that was read gets its answer.
#ifndef KESTRELLINE_HTTP_API_SERVER_H_
#define KESTRELLINE_HTTP_API_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <utility>

#include "http/asio.h"
#include "node/settings.h"

namespace kestrelline::http {

using ApiRequest = bhttp::request<bhttp::string_body>;
using ApiResponse = bhttp::response<bhttp::string_body>;
using ApiHandler = std::function<Awaitable<ApiResponse>(ApiRequest)>;

ApiResponse JsonResponse(bhttp::status status, std::string body);
// Metrics in the Prometheus text format.
ApiResponse MetricsResponse(std::string text);
// {"error": "..."}; the text is escaped.
ApiResponse ErrorResponse(bhttp::status status, const std::string& text);

class ApiServer {
 public:
  static constexpr int kMostConnections = 256;  // more are closed at once
  static constexpr std::size_t kLongestHeader = 16 * 1024;
  static constexpr std::size_t kLongestBody = 6 * 1024 * 1024;

  ApiServer(asio::io_context& io, ApiHandler handler);
  std::error_code Listen(const node::Endpoint& endpoint);
  // Takes no more connections; answers from now on are the last of theirs.
  void Close();
  // Answers from now on are the last of their connections; requests are handled as before.
  void AnnounceClose() { announces_close_ = true; }
  // Closes, gives what is being handled its answer, and answers 503 at once to what still comes on open
  // connections. Completes when every connection has ended, or at `until`, with the number of requests that
  // were read and whose answer has not been sent whole.
  Awaitable<int> Drain(steady_clock::time_point until);

 private:
  struct Connection {
    enum class State { kIdle, kReading, kAnswering, kEnding };

    explicit Connection(Tcp::socket socket) : stream(std::move(socket)) {}
    bool HasBytes() const;

    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMaxParserBufferBytes};
    State state = State::kIdle;
  };

  Awaitable<void> Accept();
  Awaitable<void> Serve(Tcp::socket socket);
  // One request and its answer; false if the connection is to end.
  Awaitable<bool> ServeRequest(Connection& connection);
  // False if the connection ends without another request.
  Awaitable<bool> AwaitFirstBytes(Connection& connection);
  Awaitable<ApiResponse> Answer(ApiRequest request);
  Awaitable<bool> Write(Connection& connection, ApiResponse response);
  // Ends the connection so that an answer on its way is not destroyed by a reset.
  Awaitable<void> End(Connection& connection);
  int Unanswered() const;

  asio::io_context& io_;
  ApiHandler handler_;
  Tcp::acceptor acceptor_;
  asio::steady_timer drained_;
  std::set<std::shared_ptr<Connection>> connections_;
  bool announces_close_ = false;
  bool draining_ = false;
};

}  // namespace kestrelline::http

#endif  // KESTRELLINE_HTTP_API_SERVER_H_

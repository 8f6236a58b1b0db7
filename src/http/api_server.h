// SPDX-License-Identifier: Apache-2.0
//
// A small HTTP server for the fleet's own interfaces (operator API, readiness). Requests and responses are
// held in memory as a whole. It drains before its process ends: every request that was read is answered.
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

// One listening socket and its connections, on the thread of the io_context.
class ApiServer {
 public:
  // At the limit a new connection replaces the one that has been idle for the longest time; it is closed at
  // once if none is idle.
  static constexpr std::size_t kMaxConnections = 256;
  static constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
  static constexpr std::size_t kMaxBodyBytes = 6 * 1024 * 1024;

  ApiServer(asio::io_context& io, ApiHandler handler);
  std::error_code Listen(const node::Endpoint& endpoint);
  // Accepts no more connections, and closes each connection after its next response.
  void Close();
  // Closes each connection after its next response; requests are handled as before.
  void AnnounceClose() { announces_close_ = true; }
  // Closes, lets requests in progress finish, and answers 503 at once to requests that still arrive on open
  // connections. Completes when every connection has ended, or at `until`, with the number of requests that
  // were read but not answered completely.
  Awaitable<int> Drain(steady_clock::time_point until);

 private:
  struct Connection {
    enum class State { kIdle, kReading, kAnswering, kEnding };

    explicit Connection(Tcp::socket socket) : stream(std::move(socket)) {}
    bool HasBytes() const;

    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMaxParserBufferBytes};
    State state = State::kIdle;
    steady_clock::time_point idle_since = steady_clock::now();
  };

  Awaitable<void> Accept();
  // Makes room for a new connection; false if no connection is idle.
  bool CloseLongestIdle();
  Awaitable<void> Serve(Tcp::socket socket);
  // Handles one request; false if the connection is to end.
  Awaitable<bool> ServeRequest(Connection& connection);
  // False if the connection ends without another request.
  Awaitable<bool> AwaitFirstBytes(Connection& connection);
  Awaitable<ApiResponse> Answer(ApiRequest request);
  Awaitable<bool> Write(Connection& connection, ApiResponse response);
  // Ends the connection gracefully, so that a reset does not destroy a response in flight.
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

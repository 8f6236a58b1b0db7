// SPDX-License-Identifier: Apache-2.0
//
// A small HTTP server for the fleet's own interfaces (operator, readiness): whole requests, whole answers.
#ifndef KESTRELLINE_HTTP_API_SERVER_H_
#define KESTRELLINE_HTTP_API_SERVER_H_

#include <functional>
#include <string>
#include <system_error>

#include "http/asio.h"
#include "node/settings.h"

namespace kestrelline::http {

using ApiRequest = bhttp::request<bhttp::string_body>;
using ApiResponse = bhttp::response<bhttp::string_body>;
using ApiHandler = std::function<Awaitable<ApiResponse>(ApiRequest)>;

ApiResponse JsonResponse(bhttp::status status, std::string body);
// {"error": "..."}; the text is escaped.
ApiResponse ErrorResponse(bhttp::status status, const std::string& text);

class ApiServer {
 public:
  static constexpr int kMostConnections = 256;  // more are closed at once
  static constexpr std::size_t kLongestHeader = 16 * 1024;
  static constexpr std::size_t kLongestBody = 6 * 1024 * 1024;

  ApiServer(asio::io_context& io, ApiHandler handler);
  std::error_code Listen(const node::Endpoint& endpoint);
  void Close();

 private:
  Awaitable<void> Accept();
  Awaitable<void> Serve(Tcp::socket socket);

  asio::io_context& io_;
  ApiHandler handler_;
  Tcp::acceptor acceptor_;
  int connections_ = 0;
};

}  // namespace kestrelline::http

#endif  // KESTRELLINE_HTTP_API_SERVER_H_

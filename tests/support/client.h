// SPDX-License-Identifier: Apache-2.0
//
// A client, and requests of the three classes.
#ifndef KESTRELLINE_TESTS_SUPPORT_CLIENT_H_
#define KESTRELLINE_TESTS_SUPPORT_CLIENT_H_

#include <boost/asio/read.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <string>

#include "support/sockets.h"

namespace kestrelline::testing {

class Client {
 public:
  explicit Client(const Tcp::endpoint& proxy) : socket(io_) { socket.connect(proxy); }

  void Send(const std::string& bytes) { SendRaw(socket, bytes); }
  // The next answer; status 0 if the connection ended before it was whole.
  HttpResponse Read() {
    http::response_parser<HttpResponse::body_type> parser;
    error_code failed;
    do {
      http::read(socket, buffer_, parser, failed);
    } while (failed == asio::error::interrupted);  // a child of the test ended
    if (!failed) return parser.release();
    HttpResponse none;
    none.result(0u);
    return none;
  }
  HttpResponse Ask(const std::string& bytes) {
    Send(bytes);
    return Read();
  }
  bool Ended() {
    char byte;
    error_code failed;
    asio::read(socket, asio::buffer(&byte, 1), failed);
    return static_cast<bool>(failed);
  }

 private:
  asio::io_context io_;
  boost::beast::flat_buffer buffer_;

 public:
  Tcp::socket socket;
};

// Requests of the three classes.
inline std::string Look(const std::string& more = "") {
  return "GET /look/it?page=2 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: 0a\r\nReq-Kind: look\r\n" + more +
         "\r\n";
}
inline std::string Post(const std::string& kind, const std::string& more = "",
                        const std::string& body = "text") {
  return "POST /" + kind + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: 0b\r\nReq-Kind: " + kind + "\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}
inline std::string Change() { return Post("change", "Idempotency-Key: 7e\r\n"); }
inline std::string Book() { return Post("book"); }

// The same under another Req-Id.
inline std::string WithId(std::string request, const std::string& id) {
  const std::size_t from = request.find("Req-Id: ") + 8;
  return request.replace(from, request.find("\r\n", from) - from, id);
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_CLIENT_H_

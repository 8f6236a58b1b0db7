// SPDX-License-Identifier: Apache-2.0
//
// A backend that answers as the test says, and remembers what it was asked.
#ifndef KESTRELLINE_TESTS_SUPPORT_BACKEND_H_
#define KESTRELLINE_TESTS_SUPPORT_BACKEND_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "support/sockets.h"

namespace kestrelline::testing {

inline std::string OkAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
// Of an attempt: somebody waits for it to the end.
inline const auto kWanted = [] { return true; };
inline const char kDeclined[] = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

class Backend {
 public:
  // Writes what comes back for a request; false closes the connection.
  using Answer = std::function<bool(Tcp::socket&, const HttpRequest&)>;
  struct Seen {
    int opened = 0, closed = 0;
    std::vector<HttpRequest> requests;
  };

  explicit Backend(Answer answer)
      : answer_(std::move(answer)), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  // Answers each with its own name.
  explicit Backend(const std::string& name = "served")
      : Backend([name](Tcp::socket& s, const HttpRequest&) {
          SendRaw(s, OkAnswer(name));
          return true;
        }) {}

  Tcp::endpoint address() const { return listener_.address; }
  void Stop() { listener_.Stop(); }
  bool WaitForRequests(std::size_t n) {
    return seen.WaitFor([n](const Seen& s) { return s.requests.size() >= n; });
  }
  bool WaitForClosed(int n) {
    return seen.WaitFor([n](const Seen& s) { return s.closed >= n; });
  }

  Watched<Seen> seen;

 private:
  void Serve(Tcp::socket& socket) {
    seen.Do([](Seen& s) { ++s.opened; });
    boost::beast::flat_buffer buffer;
    for (;;) {
      HttpRequest request;
      error_code failed;
      http::read(socket, buffer, request, failed);
      if (failed) break;
      seen.Do([&](Seen& s) { s.requests.push_back(request); });
      if (!answer_(socket, request)) break;
    }
    ::shutdown(socket.native_handle(), SHUT_RDWR);
    seen.Do([](Seen& s) { ++s.closed; });
  }

  Answer answer_;
  Listener listener_;
};

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_BACKEND_H_

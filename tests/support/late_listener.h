// SPDX-License-Identifier: Apache-2.0
//
// A listener whose queue is full: connections to it come up only once it takes them in.
#ifndef KESTRELLINE_TESTS_SUPPORT_LATE_LISTENER_H_
#define KESTRELLINE_TESTS_SUPPORT_LATE_LISTENER_H_

#include <poll.h>

#include <string>
#include <utility>
#include <vector>

#include "support/sockets.h"

namespace kestrelline::testing {

class LateListener {
 public:
  LateListener() : acceptor_(io_) {
    acceptor_.open(Tcp::v4());
    acceptor_.bind(kAnyPort);
    acceptor_.listen(0);
    address = acceptor_.local_endpoint();
    // One that does not come up shows that the queue is full.
    do {
      fillers_.emplace_back(io_);
      fillers_.back().open(Tcp::v4());
      fillers_.back().non_blocking(true);
      ::connect(fillers_.back().native_handle(), address.data(), address.size());  // in progress
    } while (ComesUp(fillers_.back()));
  }

  // Takes in all that comes until a connection sends something, and returns what that sent first.
  std::string FirstBytes() {
    std::vector<Tcp::socket> taken;
    for (;;) {
      taken.push_back(acceptor_.accept());
      // The fillers say nothing; they are as many as are known.
      if (taken.size() < fillers_.size()) continue;
      for (Tcp::socket& socket : taken) {
        pollfd look{socket.native_handle(), POLLIN, 0};
        if (::poll(&look, 1, kLook) <= 0) continue;
        std::string text(4096, '\0');
        error_code failed;
        text.resize(socket.read_some(asio::buffer(text), failed));
        return text;
      }
    }
  }

  Tcp::endpoint address;

 private:
  static constexpr int kLook =
      200;  // ms; on loopback a connection is there at once, or its first packet is dropped

  static bool ComesUp(const Tcp::socket& socket) {
    pollfd look{const_cast<Tcp::socket&>(socket).native_handle(), POLLOUT, 0};
    return ::poll(&look, 1, kLook) > 0;
  }

  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::vector<Tcp::socket> fillers_;
};

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_LATE_LISTENER_H_

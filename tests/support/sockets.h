// SPDX-License-Identifier: Apache-2.0
//
// Sockets on loopback, and waiting for events: the only time limit is the one after which a test is given up.
#ifndef KESTRELLINE_TESTS_SUPPORT_SOCKETS_H_
#define KESTRELLINE_TESTS_SUPPORT_SOCKETS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "framing.h"

namespace kestrelline::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using HttpRequest = proxy::HttpRequest;
using HttpResponse = proxy::HttpResponse;
using boost::system::error_code;

inline const Tcp::endpoint kAnyPort(asio::ip::make_address("127.0.0.1"), 0);
inline constexpr std::chrono::seconds kGiveUp{30};

// A number or a state that a test waits for.
template <typename T>
class Watched {
 public:
  template <typename Change>
  void Do(Change change) {
    const std::lock_guard lock(mutex_);
    change(value_);
    changed_.notify_all();
  }
  template <typename Test>
  bool WaitFor(Test test) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kGiveUp, [&] { return test(value_); });
  }
  T Get() {
    const std::lock_guard lock(mutex_);
    return value_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  T value_{};
};

// Accepts connections, each on a thread of its own, until it goes.
class Listener {
 public:
  using Serve = std::function<void(Tcp::socket&)>;
  explicit Listener(Serve serve) : serve_(std::move(serve)), acceptor_(io_, kAnyPort) {
    address = acceptor_.local_endpoint();
    thread_ = std::thread([this] { Run(); });
  }
  ~Listener() { Stop(); }

  void Stop() {
    if (!thread_.joinable()) return;
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      for (const auto& socket : sockets_) ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);  // wakes the accept
    thread_.join();
    for (auto& worker : workers_) worker.join();
    acceptor_.close();
  }

  Tcp::endpoint address;

 private:
  void Run() {
    for (;;) {
      auto socket = std::make_shared<Tcp::socket>(io_);
      error_code failed;
      acceptor_.accept(*socket, failed);
      const std::lock_guard lock(mutex_);
      if (failed || stopping_) return;
      sockets_.push_back(socket);
      workers_.emplace_back([this, socket] {
        serve_(*socket);
        ::shutdown(socket->native_handle(), SHUT_RDWR);
      });
    }
  }

  Serve serve_;
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::mutex mutex_;
  bool stopping_ = false;
  std::vector<std::shared_ptr<Tcp::socket>> sockets_;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

inline void SendRaw(Tcp::socket& socket, const std::string& bytes) {
  error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_SOCKETS_H_

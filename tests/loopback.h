// SPDX-License-Identifier: Apache-2.0
//
// A proxy on loopback sockets with backends and a discovery that do as the test says. Everything waits for
// events; the only time limit is the one after which a test is given up.
#ifndef BRACKENSPOKE_TESTS_LOOPBACK_H_
#define BRACKENSPOKE_TESTS_LOOPBACK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy.h"

namespace brackenspoke::testing {

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

inline std::string OkAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
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

inline nlohmann::json MemberJson(const std::string& id, const Tcp::endpoint& address,
                                 const std::string& phase = "in_service", double up_since = 0) {
  return {{"id", id},        {"host_port", "127.0.0.1:" + std::to_string(address.port())},
          {"locality", "a"}, {"flavor", "m"},
          {"cell", 0},       {"phase", phase},
          {"size", 1.0},     {"up_since_ms", up_since}};
}
template <typename... Json>
std::vector<nlohmann::json> Members(Json... members) {
  std::vector<nlohmann::json> all;
  (all.push_back(std::move(members)), ...);
  return all;
}
inline nlohmann::json ListJson(int revision, bool complete, std::vector<nlohmann::json> members) {
  return {{"revision", revision}, {"complete", complete}, {"members", std::move(members)}};
}

// A discovery whose watches say what the test pushes.
class FakeDiscovery {
 public:
  struct Seen {
    std::vector<std::string> watches;  // their targets
    int asked = 0;                     // for the whole list
  };
  FakeDiscovery() : listener_([this](Tcp::socket& s) { Serve(s); }) {}
  ~FakeDiscovery() {
    says.Do([](auto& s) { s.over = true; });
    listener_.Stop();
  }

  Tcp::endpoint address() const { return listener_.address; }
  void Push(const std::string& line) {
    says.Do([&](Says& s) { s.lines.push_back(line + "\n"); });
  }
  void Push(const nlohmann::json& list) { Push(list.dump()); }
  // What it answers when it is asked for its whole list; nothing before.
  void SetWhole(const nlohmann::json& list) {
    says.Do([&](Says& s) { s.whole = list.dump(); });
  }
  void EndWatch() {
    says.Do([](Says& s) { s.lines.emplace_back(); });
  }
  bool WaitForWatches(std::size_t n) {
    return seen.WaitFor([n](const Seen& s) { return s.watches.size() >= n; });
  }

  Watched<Seen> seen;

 private:
  struct Says {
    std::vector<std::string> lines;  // an empty one ends the watch
    std::size_t said = 0, watches = 0;
    bool over = false;
    std::string whole;
  };
  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    for (;;) {
      error_code failed;
      request = {};
      http::read(socket, buffer, request, failed);
      if (failed) return;
      if (request.target() != "/v1/endpoints") break;
      seen.Do([](Seen& s) { ++s.asked; });
      std::string whole;
      says.WaitFor([&](Says& s) {
        whole = s.whole;
        return s.over || !whole.empty();
      });
      SendRaw(socket, OkAnswer(whole));
    }
    SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::size_t me = 0;
    says.Do([&](Says& s) { me = ++s.watches; });
    seen.Do([&](Seen& s) { s.watches.emplace_back(request.target()); });
    for (;;) {
      // Only the newest watch speaks: the one before may not have noticed yet that nobody listens.
      std::string line;
      const bool spoke = says.WaitFor([&](Says& s) {
        if (s.over || s.watches != me) return true;
        if (s.said == s.lines.size()) return false;
        line = s.lines[s.said++];
        return true;
      });
      if (!spoke || line.empty()) return;
      char size[24];
      std::snprintf(size, sizeof size, "%zx", line.size());
      SendRaw(socket, size + std::string("\r\n") + line + "\r\n");
    }
  }

  Watched<Says> says;
  Listener listener_;
};

// Three classes: look (safe), change (keyed), book (unsafe).
inline nlohmann::json SettingsJson() {
  const auto cls = [](const char* name, const char* effect) {
    return nlohmann::json{{"name", name},        {"effect", effect},      {"group", "cell"},
                          {"windowMs", 10000.0}, {"goalTimeMs", 10000.0}, {"deadlineMs", 60000.0}};
  };
  return {
      {"balancers", 1},
      {"me", 0},
      {"zone", 0},
      {"zones", {"a", "b"}},
      {"kinds", {"m"}},
      {"classes",
       {cls("look", "read_like"), cls("change", "idempotency_key"), cls("book", "non_idempotent")}},
      {"permissions",
       {{"maxAttempts", 4}, {"connIdleMs", 60000.0}, {"connectTimeoutMs", 20000.0}, {"retryAfter", false}}},
      {"rules", {{"coldFrom", 0.2}, {"warmUpMs", 1000.0}, {"fallMultiple", 3.0}, {"overloadForMs", 1000.0}}},
      {"tenants", nlohmann::json::array()},
      {"something new", {1, 2, 3}}};
}

inline nlohmann::json ConfigJson(const Tcp::endpoint& discovery, std::vector<nlohmann::json> known) {
  return {{"name", "n1"},
          {"listen", "127.0.0.1:0"},
          {"discovery", "127.0.0.1:" + std::to_string(discovery.port())},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", ListJson(41, true, std::move(known))},
          {"settings", SettingsJson()}};
}

inline proxy::Config ConfigOf(const nlohmann::json& json) {
  return proxy::ParseConfig(json.dump(), [](const char*) -> const char* { return nullptr; });
}

// The proxy, its event loop on a thread of its own.
class RunningProxy {
 public:
  explicit RunningProxy(proxy::Config config)
      : io_(1), proxy_(std::make_unique<proxy::Proxy>(io_, std::move(config))), address(proxy_->address()) {
    thread_ = std::thread([this] { io_.run(); });
  }
  ~RunningProxy() {
    asio::post(io_, [this] { proxy_.reset(), io_.stop(); });
    thread_.join();
  }
  std::future<void> Stop() {
    const auto stopped = std::make_shared<std::promise<void>>();
    asio::post(io_, [this, stopped] { proxy_->Stop([stopped] { stopped->set_value(); }); });
    return stopped->get_future();
  }
  template <typename F>
  auto Ask(F f) {
    std::promise<decltype(f(*proxy_))> answer;
    asio::post(io_, [&] { answer.set_value(f(*proxy_)); });
    return answer.get_future().get();
  }
  bool WaitUntilNothingIsHeld() {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (Ask([](proxy::Proxy& p) { return p.held(); }) != 0) {
      if (std::chrono::steady_clock::now() > until) return false;
      std::this_thread::yield();
    }
    return true;
  }

 private:
  asio::io_context io_;
  std::unique_ptr<proxy::Proxy> proxy_;
  std::thread thread_;

 public:
  Tcp::endpoint address;
};

class Client {
 public:
  explicit Client(const Tcp::endpoint& proxy) : socket(io_) { socket.connect(proxy); }

  void Send(const std::string& bytes) { SendRaw(socket, bytes); }
  // The next answer; status 0 if the connection ended before it was whole.
  HttpResponse Read() {
    HttpResponse response;
    error_code failed;
    http::read(socket, buffer_, response, failed);
    if (failed) response = {}, response.result(0u);
    return response;
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

}  // namespace brackenspoke::testing

#endif  // BRACKENSPOKE_TESTS_LOOPBACK_H_

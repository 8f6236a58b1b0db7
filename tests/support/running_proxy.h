// SPDX-License-Identifier: Apache-2.0
//
// The proxy, its event loop on a thread of its own, and its configuration.
#ifndef KESTRELLINE_TESTS_SUPPORT_RUNNING_PROXY_H_
#define KESTRELLINE_TESTS_SUPPORT_RUNNING_PROXY_H_

#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy.h"
#include "support/discovery.h"
#include "support/sockets.h"

namespace kestrelline::testing {

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
  explicit RunningProxy(proxy::Config config, proxy::Proxy::Routes routes = nullptr)
      : io_(1),
        proxy_(std::make_unique<proxy::Proxy>(io_, std::move(config), std::move(routes))),
        address(proxy_->address()) {
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
  // To the loop, which goes on by itself.
  template <typename F>
  void Post(F f) {
    asio::post(io_, std::move(f));
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

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_RUNNING_PROXY_H_

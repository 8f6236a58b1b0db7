// SPDX-License-Identifier: Apache-2.0
//
// A discovery whose watches say what the test pushes, and its lists.
#ifndef KESTRELLINE_TESTS_SUPPORT_DISCOVERY_H_
#define KESTRELLINE_TESTS_SUPPORT_DISCOVERY_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "support/sockets.h"

namespace kestrelline::testing {

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

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_DISCOVERY_H_

// SPDX-License-Identifier: Apache-2.0
//
// Client of the discovery service: watches the list of backends for changes.
#ifndef KESTRELLINE_PROXY_DISCOVERY_H_
#define KESTRELLINE_PROXY_DISCOVERY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "members.h"

namespace kestrelline::proxy {

class Discovery {
 public:
  using OnList = std::function<void(const MemberList&)>;
  using OnFailure = std::function<void()>;
  enum class Reconnect { kAutomatic, kOnRequest };

  struct Options {
    boost::asio::ip::tcp::endpoint address;
    std::uint64_t revision = 0;  // of the list that is already known
    Reconnect reconnect = Reconnect::kAutomatic;
    std::chrono::milliseconds silence_timeout{4500};  // two heartbeats of the service and a margin
    // For connecting and receiving the response header: the service may delay a call by 2 s. The first byte
    // of the body must arrive within `silence_timeout`. A change that happens while a call hangs must be
    // known within 6 s.
    std::chrono::milliseconds call_timeout{2500};
    std::uint64_t seed = 0;
  };

  Discovery(boost::asio::io_context& io, Options options, OnList on_list, OnFailure on_failure);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Starts a watch from the last applied revision and replaces the open one, if any.
  void Watch();

  std::uint64_t revision() const { return options_.revision; }  // last applied

  // Switches to a discovery service at another address. Its revisions need not continue the known ones, so
  // its full list is fetched first; the old watch stays open until then.
  void Move(const boost::asio::ip::tcp::endpoint& address);

 private:
  class Stream;
  friend class Stream;

  void StartMove();
  bool OnLine(Stream* from, std::string_view line);
  void OnEnd(Stream* from, const std::string& why);
  void RetryLater();

  boost::asio::io_context& io_;
  Options options_;
  OnList on_list_;
  OnFailure on_failure_;
  boost::asio::steady_timer retry_timer_;
  std::shared_ptr<Stream> stream_, next_stream_;  // the current watch; its replacement during a move
  bool moving_ = false;
  boost::asio::ip::tcp::endpoint next_address_;
  std::chrono::milliseconds backoff_{0};
  std::uint64_t jitter_;
  bool outage_logged_ = false;  // the current outage was logged
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_DISCOVERY_H_

// SPDX-License-Identifier: Apache-2.0
//
// Watches discovery for changes of the list of backends.
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
    std::uint64_t revision = 0;  // of the list that is known already
    Reconnect reconnect = Reconnect::kAutomatic;
    std::chrono::milliseconds silence_timeout{4500};  // two of its heartbeats, and some
    // For a call to come up and be answered: the service lets one wait for 2 s. Up to the first byte of what
    // it says it has `silence`. What changes while a call hangs is to be known 6 s later.
    std::chrono::milliseconds call_timeout{2500};
    std::uint64_t seed = 0;
  };

  Discovery(boost::asio::io_context& io, Options options, OnList on_list, OnFailure on_failure);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Begins a watch from the last revision applied, in place of one that is open.
  void Watch();

  std::uint64_t revision() const { return options_.revision; }  // the last one applied

  // From now on discovery is elsewhere. Its revisions need not go on from those known, so that its whole list
  // is taken first; the watch that is open stays until that has come.
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
  std::shared_ptr<Stream> stream_, next_stream_;  // the watch; the one that is to take its place after a move
  bool moving_ = false;
  boost::asio::ip::tcp::endpoint next_address_;
  std::chrono::milliseconds backoff_{0};
  std::uint64_t jitter_;
  bool outage_logged_ = false;  // that discovery is away
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_DISCOVERY_H_

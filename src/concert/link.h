// SPDX-License-Identifier: Apache-2.0
//
// The division of shares in the proxy's one thread: its datagrams on the peers' socket, its timer, log and
// figures.
#ifndef KESTRELLINE_CONCERT_LINK_H_
#define KESTRELLINE_CONCERT_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "concert/node.h"
#include "concert/rate_meter.h"
#include "concert/settings.h"
#include "peers/link.h"

namespace kestrelline::concert {

class Link {
 public:
  struct Who {
    int place = 0, fleet = 1;  // this proxy's number, and how many are configured
    std::uint64_t seed = 0;
  };
  struct Hooks {
    std::function<std::uint64_t()> requests;                 // that have come since the start
    std::function<void(const Node::Standing&)> on_standing;  // called with each that is another
    std::function<void(const std::string&)> log;
  };

  // `peers` must outlive it.
  Link(boost::asio::io_context& io, peers::Link& peers, const Settings& settings, const Who& who,
       Hooks hooks);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // To another process of this proxy.
  void HandOver();

  std::string MetricsText() const;

 private:
  void Begin();
  void Measure();
  void Flush();
  void Say(const Event& event);
  static Time Now() { return std::chrono::steady_clock::now(); }

  peers::Link& peers_;
  Settings settings_;
  Who who_;
  Hooks hooks_;
  std::optional<Node> node_;  // nothing until others reach this process: an upgrade waits for its address
  bool handed_over_ = false;
  boost::asio::steady_timer timer_, measure_;
  Node::Standing told_{-1, {}, -1};
  RateMeter meter_;
  std::array<std::uint64_t, Event::kKinds> events_{};
  std::uint64_t sent_ = 0, received_ = 0, unread_ = 0;
};

}  // namespace kestrelline::concert

#endif  // KESTRELLINE_CONCERT_LINK_H_

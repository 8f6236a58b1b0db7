// SPDX-License-Identifier: Apache-2.0
//
// Runs quota::Node in the proxy's event loop: its datagrams on the peers' socket, its timer, its log lines
// and figures. Single-threaded.
#ifndef KESTRELLINE_QUOTA_LINK_H_
#define KESTRELLINE_QUOTA_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "peers/link.h"
#include "quota/node.h"
#include "quota/rate_meter.h"
#include "quota/settings.h"

namespace kestrelline::quota {

class Link {
 public:
  struct Identity {
    int member_index = 0, configured_members = 1;  // this proxy's index among the configured ones
    std::uint64_t seed = 0;
  };
  struct Hooks {
    std::function<std::uint64_t()> requests;                      // total received since the start
    std::function<void(const Node::ShareLease&)> on_share_lease;  // called with each changed share
    std::function<void(const std::string&)> log;
  };

  // `peers` must outlive the link.
  Link(boost::asio::io_context& io, peers::Link& peers, const Settings& settings, const Identity& identity,
       Hooks hooks);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Another process of this proxy takes over; this one uses no grant any more.
  void HandOver();

  std::string MetricsText() const;

 private:
  void StartNode();
  void ScheduleMeasurement();
  void Flush();
  void Report(const Event& event);
  static Time Now() { return std::chrono::steady_clock::now(); }

  peers::Link& peers_;
  Settings settings_;
  Identity identity_;
  Hooks hooks_;
  // Empty until others can reach this process: during an upgrade it waits for its predecessor's address.
  std::optional<Node> node_;
  bool handed_over_ = false;
  boost::asio::steady_timer timer_, measure_timer_;
  Node::ShareLease reported_lease_{-1, {}, -1};
  RateMeter rate_meter_;
  std::array<std::uint64_t, Event::kKinds> events_{};
  std::uint64_t sent_ = 0, received_ = 0, undecodable_ = 0;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_LINK_H_

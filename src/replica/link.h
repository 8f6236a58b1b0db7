// SPDX-License-Identifier: Apache-2.0
//
// The replica in the proxy's one thread: its datagrams on the peers' socket, its timer, log, figures, report.
#ifndef KESTRELLINE_REPLICA_LINK_H_
#define KESTRELLINE_REPLICA_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "peers/link.h"
#include "replica/claims.h"
#include "replica/node.h"
#include "replica/settings.h"

namespace kestrelline::replica {

class Link : public ClaimBook {
 public:
  // Datagrams that may come in a second, all peers' together; requests still go first.
  static constexpr double kMostPerSecond = 20000;
  using OnLog = std::function<void(const std::string&)>;

  // `peers` must outlive it.
  Link(boost::asio::io_context& io, peers::Link& peers, const Settings& settings, OnLog log);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  std::vector<Held> HeldOf(std::uint64_t key) const override;
  void Claim(std::uint64_t key, std::uint64_t group, Span keep, int k, Span within,
             std::function<void(bool)> then) override;
  void Release(std::uint64_t key, std::uint64_t group) override;

  void Leave();
  // After the peers' link has left its address.
  void HandOver();
  // After either. `done` is called once no entry of this process's is held by it alone, or nobody takes them:
  // about a second at most after the last of them was taken.
  void WhenHeldElsewhere(std::function<void()> done);
  // Once: when this process has all that others knew when it started, or `within` is up.
  void WhenCurrent(Span within, std::function<void()> done);

  const Node& node() const { return node_; }
  // One JSON object; its digests are of entries that end after `as_of_ms` of their origin, so that two
  // proxies' can be compared.
  std::string Report() const;
  std::string MetricsText(const Claims::Counts& claims) const;

 private:
  void Flush();
  void Say(const Event& event);
  static Time Now() { return std::chrono::steady_clock::now(); }

  peers::Link& peers_;
  OnLog log_;
  Node node_;
  boost::asio::steady_timer timer_, current_by_;
  std::function<void()> held_elsewhere_, current_;
  bool handing_over_ = false;
  Time armed_for_ = Time::max();
  std::unordered_map<Rounds::Id, std::function<void(bool)>> waiting_;
  Rounds::Id last_id_ = 0;
  std::array<std::uint64_t, Event::kKinds> events_{};
  std::uint64_t sent_ = 0, received_ = 0, unread_ = 0;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_LINK_H_

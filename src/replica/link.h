// SPDX-License-Identifier: Apache-2.0
//
// Runs replica::Node in the proxy's event loop: its datagrams on the peers' socket, its timer, log lines,
// figures and report. Single-threaded.
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

class Link : public ClaimRegistry {
 public:
  // Maximum rate of received datagrams, over all peers, so that requests keep precedence.
  static constexpr double kMaxDatagramsPerSecond = 20000;
  using OnLog = std::function<void(const std::string&)>;

  // `peers` must outlive the link.
  Link(boost::asio::io_context& io, peers::Link& peers, const Settings& settings, OnLog log);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  std::vector<ActiveClaim> ClaimsOn(std::uint64_t key) const override;
  void Claim(std::uint64_t key, std::uint64_t group, Span lifetime, int k, Span within,
             std::function<void(bool)> done) override;
  void Release(std::uint64_t key, std::uint64_t group) override;

  // This process is about to stop: other members fetch what only it has.
  void Leave();
  // Another process of this proxy takes over. To be called after the peers' link has given up its address.
  void HandOver();
  // To be called after Leave or HandOver. `done` is called once all own entries are held by another process
  // too, or once no process fetches them: at most about a second after the last progress.
  void WhenReplicated(std::function<void()> done);
  // `done` is called once, when this process has caught up with what others knew when it started, or after
  // `within`.
  void WhenCurrent(Span within, std::function<void()> done);

  const Node& node() const { return node_; }
  // A JSON object. Its digests cover the entries that expire after `as_of_ms` of their origin, so that the
  // reports of two proxies can be compared.
  std::string Report() const;
  std::string MetricsText(const Claims::Counts& claims) const;

 private:
  void Flush();
  void ReportEvent(const Event& event);
  static Time Now() { return std::chrono::steady_clock::now(); }

  peers::Link& peers_;
  OnLog log_;
  Node node_;
  boost::asio::steady_timer timer_, current_by_;
  std::function<void()> replicated_, current_;
  bool handing_over_ = false;
  Time armed_for_ = Time::max();
  std::unordered_map<PendingClaims::Id, std::function<void(bool)>> waiting_;
  PendingClaims::Id last_id_ = 0;
  std::array<std::uint64_t, Event::kKinds> events_{};
  std::uint64_t sent_ = 0, received_ = 0, undecodable_ = 0;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_LINK_H_

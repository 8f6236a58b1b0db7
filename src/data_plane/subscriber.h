// SPDX-License-Identifier: Apache-2.0
//
// Maintains the subscription of a proxy to the control plane: one connection at a time, to a member in
// contact with the leader's quorum or, if members are at capacity, to a proxy that relays publications.
#ifndef KESTRELLINE_DATA_PLANE_SUBSCRIBER_H_
#define KESTRELLINE_DATA_PLANE_SUBSCRIBER_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "data_plane/subscription.h"
#include "http/asio.h"
#include "mesh/mesh.h"
#include "node/settings.h"
#include "wire/messages.h"

namespace kestrelline::data_plane {

class Subscriber {
 public:
  // What the subscriber already has, sent with the next subscription.
  struct HeldState {
    std::uint64_t version = 0;
    std::uint64_t instances_revision = 0;
  };
  // `composed_after` is a local time after which the sender composed the publication; empty if unknown.
  using OnPublication = std::function<void(const wire::Publication&,
                                           std::optional<http::steady_clock::time_point> composed_after)>;

  using OnLoads = std::function<void(const wire::LoadSummary&)>;

  Subscriber(http::asio::io_context& io, const node::Settings& settings,
             std::function<HeldState()> held_state, OnPublication on_publication, OnLoads on_loads,
             std::shared_ptr<mesh::Traffic> traffic);

  void Start();
  void Stop();
  // Call about every 100 ms. Leaves a member that is silent or out of contact with the quorum.
  void Tick();
  // Replaces the seeds by those of changed settings.
  void SetSeeds(std::vector<std::string> seeds) { subscription_.SetSeeds(std::move(seeds)); }
  // Subscribes again soon, because contents sent earlier are missing.
  void Renew() { subscription_.Renew(); }
  // Sends a report to the current member; dropped if not connected.
  void Report(const wire::LoadReport& report);
  // Whether the latest publication is proven to be recent.
  bool fresh() const { return subscription_.fresh(); }

 private:
  void ConnectToNextPeer();
  node::Endpoint EndpointOf(const std::string& peer) const;
  void OnConnected(http::Tcp::socket socket);
  void HandlePublication(const wire::Publication& publication);
  void HandleReferral(const wire::Referral& referral);
  void Send(const wire::Body& body);

  http::asio::io_context& io_;
  const node::Settings& settings_;
  std::function<HeldState()> held_state_;
  OnPublication on_publication_;
  OnLoads on_loads_;
  std::shared_ptr<mesh::Traffic> traffic_;
  const std::string name_;  // sender name in messages of this proxy
  Subscription subscription_;
  std::shared_ptr<http::Tcp::socket> connecting_;
  mesh::ConnectionPtr connection_;
  bool stopped_ = false;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_SUBSCRIBER_H_

// SPDX-License-Identifier: Apache-2.0
//
// Follows the control plane: one subscription at a time, to a member that is in contact with the leader's
// quorum, or, where members have no room, to a proxy that passes on what it is told.
#ifndef KESTRELLINE_DATA_PLANE_SUBSCRIBER_H_
#define KESTRELLINE_DATA_PLANE_SUBSCRIBER_H_

#include <functional>
#include <optional>

#include "data_plane/subscription.h"
#include "http/asio.h"
#include "mesh/mesh.h"
#include "node/settings.h"
#include "wire/messages.h"

namespace kestrelline::data_plane {

class Subscriber {
 public:
  // What the subscriber has already, for the next subscription.
  struct Have {
    std::uint64_t version = 0;
    std::uint64_t instances_revision = 0;
  };
  // `composed_after` is a time by the own clock after which the sender composed the publication.
  using OnPublication = std::function<void(const wire::Publication&,
                                           std::optional<http::steady_clock::time_point> composed_after)>;

  using OnLoads = std::function<void(const wire::LoadSummary&)>;

  Subscriber(http::asio::io_context& io, const node::Settings& settings, std::function<Have()> have,
             OnPublication on_publication, OnLoads on_loads, std::shared_ptr<mesh::Traffic> traffic);

  void Start();
  void Stop();
  // Every 100 ms or so: leaves a member that is silent or out of contact.
  void Tick();
  // Begins the subscription anew, soon: something that was told before is not here any more.
  void Renew() { subscription_.Renew(); }
  // To the member that is subscribed to; dropped if there is none.
  void Report(const wire::LoadReport& report);
  // Whether what was told last is proven to be recent.
  bool fresh() const { return subscription_.fresh(); }

 private:
  void Next();
  node::Endpoint PlaceOf(const std::string& peer) const;
  void Connected(http::Tcp::socket socket);
  void Take(const wire::Publication& publication);
  void Take(const wire::Referral& referral);
  void SendNow(const wire::Body& body);

  http::asio::io_context& io_;
  const node::Settings& settings_;
  std::function<Have()> have_;
  OnPublication on_publication_;
  OnLoads on_loads_;
  std::shared_ptr<mesh::Traffic> traffic_;
  const std::string name_;  // in what this proxy sends
  Subscription subscription_;
  std::shared_ptr<http::Tcp::socket> connecting_;
  mesh::ConnectionPtr connection_;
  bool stopped_ = false;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_SUBSCRIBER_H_

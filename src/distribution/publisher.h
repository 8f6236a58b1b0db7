// SPDX-License-Identifier: Apache-2.0
//
// Pushes publications to the proxies that subscribed to this process. Used by control plane members, and by
// proxies that relay publications to other proxies.
#ifndef KESTRELLINE_DISTRIBUTION_PUBLISHER_H_
#define KESTRELLINE_DISTRIBUTION_PUBLISHER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "distribution/publication.h"
#include "mesh/mesh.h"

namespace kestrelline::distribution {

class Publisher {
 public:
  // Accepts up to `max_subscribers`. Further ones are referred to the present subscribers. `mesh` must
  // outlive the publisher.
  Publisher(const mesh::Mesh& mesh, std::size_t max_subscribers)
      : mesh_(mesh), max_subscribers_(max_subscribers) {}

  // Adds a subscriber and sends it a first publication. Returns false if the limit is reached; the subscriber
  // is then sent a referral.
  bool Subscribe(mesh::Connection& connection, const std::string& proxy, const wire::Subscribe& subscribe,
                 const PublishedState& now);
  // Records a probe. It is echoed before the next publication on that connection.
  void NoteProbe(mesh::Connection& connection, const wire::Probe& probe);
  void Forget(mesh::Connection& connection) { subscribers_.erase(&connection); }
  // Sends a publication to all subscribers; each gets only the contents that it lacks.
  void Publish(const PublishedState& now);
  // Sends the same message to all subscribers.
  void SendToAll(const wire::Body& body);
  // Sends a message to the subscribers that reported this zone.
  void SendToZone(const std::string& zone, const wire::Body& body);
  std::set<std::string> zones() const;
  std::size_t subscribers() const { return subscribers_.size(); }

 private:
  struct Subscriber {
    std::weak_ptr<mesh::Connection> connection;
    std::string proxy;
    std::string zone;
    SubscriberState state;
  };

  wire::Referral Refer() const;
  void SendTo(const std::function<bool(const Subscriber&)>& chosen, const wire::Body& body);

  const mesh::Mesh& mesh_;
  const std::size_t max_subscribers_;
  std::map<mesh::Connection*, Subscriber> subscribers_;
};

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_PUBLISHER_H_

// SPDX-License-Identifier: Apache-2.0
//
// Pushes what is in force to the proxies that subscribed here: the configuration, the list of backends, and
// how old that knowledge is. Members of the control plane have one, and so have proxies that pass on what
// they were told.
#ifndef KESTRELLINE_DISTRIBUTION_PUBLISHER_H_
#define KESTRELLINE_DISTRIBUTION_PUBLISHER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mesh/mesh.h"
#include "wire/messages.h"

namespace kestrelline::distribution {

// What a publication is made from at one moment.
struct Published {
  std::uint64_t version = 0;                         // 0: there is no configuration yet
  std::shared_ptr<const std::string> configuration;  // as the operator sent it
  std::optional<std::chrono::milliseconds> age;      // since it was known to be the newest; nothing if never
  wire::InstanceListPtr instances;
  std::chrono::milliseconds instances_age{0};
  std::uint32_t proxies = 0;
  std::vector<std::string> control_peers;
  std::uint32_t hops = 0;  // from a member of the control plane
};

class Publisher {
 public:
  // More than `most` subscribers are referred to those who are here.
  Publisher(const mesh::Mesh& mesh, std::size_t most) : mesh_(mesh), most_(most) {}

  // False if there is no room: the subscriber is told whom to ask.
  bool Subscribe(mesh::Connection& connection, const std::string& proxy, const wire::Subscribe& subscribe,
                 const Published& now);
  void Forget(mesh::Connection& connection) { subscribers_.erase(&connection); }
  // To all subscribers; each gets only what it lacks.
  void Publish(const Published& now);
  // The same to all.
  void SendToAll(const wire::Body& body);
  std::size_t subscribers() const { return subscribers_.size(); }

 private:
  struct Subscriber {
    std::weak_ptr<mesh::Connection> connection;
    std::string proxy;
    std::uint64_t version = 0;
    std::uint64_t instances_revision = 0;
  };

  static void Advance(Subscriber& subscriber, const Published& now);
  wire::Publication Compose(const Subscriber& subscriber, const Published& now) const;

  wire::Referral Refer() const;

  const mesh::Mesh& mesh_;
  const std::size_t most_;
  std::map<mesh::Connection*, Subscriber> subscribers_;
};

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_PUBLISHER_H_

// SPDX-License-Identifier: Apache-2.0
//
// Pushes what is in force to the proxies that subscribed here: the configuration, the list of backends, and how old
// that knowledge is.
#ifndef KESTRELLINE_CONTROL_PLANE_PUBLISHER_H_
#define KESTRELLINE_CONTROL_PLANE_PUBLISHER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mesh/mesh.h"
#include "wire/messages.h"

namespace kestrelline::control_plane {

// What a publication is made from at one moment.
struct Published {
  wire::RecordPtr record;  // committed; null before the first
  std::optional<std::chrono::milliseconds> record_age;
  wire::InstanceListPtr instances;
  std::chrono::milliseconds instances_age{0};
  std::uint32_t proxies = 0;
  std::vector<std::string> control_peers;
};

class Publisher {
 public:
  explicit Publisher(const mesh::Mesh& mesh) : mesh_(mesh) {}

  void Subscribe(mesh::Connection& connection, const wire::Subscribe& subscribe, const Published& now);
  void Forget(mesh::Connection& connection) { subscribers_.erase(&connection); }
  // To all subscribers; each gets only what it lacks.
  void Publish(const Published& now);
  // The same to all.
  void SendToAll(const wire::Body& body);
  std::size_t subscribers() const { return subscribers_.size(); }

 private:
  struct Subscriber {
    std::weak_ptr<mesh::Connection> connection;
    std::uint64_t version = 0;
    std::uint64_t instances_revision = 0;
  };

  static void Advance(Subscriber& subscriber, const Published& now);
  wire::Publication Compose(const Subscriber& subscriber, const Published& now) const;

  const mesh::Mesh& mesh_;
  std::map<mesh::Connection*, Subscriber> subscribers_;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_PUBLISHER_H_

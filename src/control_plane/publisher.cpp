// SPDX-License-Identifier: Apache-2.0
#include "control_plane/publisher.h"

#include <algorithm>
#include <utility>

namespace kestrelline::control_plane {

wire::Publication Publisher::Compose(const Subscriber& subscriber, const Published& now) const {
  wire::Publication publication;
  publication.certain = now.record_age.has_value();
  publication.age_ms = static_cast<std::uint32_t>(now.record_age.value_or(std::chrono::milliseconds(0)).count());
  if (now.record) {
    publication.version = now.record->version;
    if (now.record->version > subscriber.version) publication.configuration = now.record->configuration;
  }
  if (now.instances) {
    publication.instances_revision = now.instances->revision;
    publication.instances_age_ms = static_cast<std::uint32_t>(now.instances_age.count());
    if (now.instances->revision > subscriber.instances_revision) publication.instances = now.instances;
  }
  publication.proxies = now.proxies;
  publication.control_peers = now.control_peers;
  return publication;
}

void Publisher::Advance(Subscriber& subscriber, const Published& now) {
  if (now.record) subscriber.version = std::max(subscriber.version, now.record->version);
  if (now.instances) subscriber.instances_revision = std::max(subscriber.instances_revision, now.instances->revision);
}

void Publisher::Subscribe(mesh::Connection& connection, const wire::Subscribe& subscribe, const Published& now) {
  Subscriber& subscriber = subscribers_[&connection];
  subscriber = {connection.weak_from_this(), subscribe.version, subscribe.instances_revision};
  const mesh::Frame frame = mesh_.Encode(Compose(subscriber, now));
  Advance(subscriber, now);
  connection.Send(frame);
}

void Publisher::Publish(const Published& now) {
  // Most subscribers lack the same: each distinct publication is encoded once.
  std::map<std::pair<std::uint64_t, std::uint64_t>, mesh::Frame> frames;
  std::vector<std::pair<mesh::ConnectionPtr, mesh::Frame>> outgoing;
  for (auto& [key, subscriber] : subscribers_) {
    mesh::Frame& frame = frames[{subscriber.version, subscriber.instances_revision}];
    if (!frame) frame = mesh_.Encode(Compose(subscriber, now));
    outgoing.emplace_back(subscriber.connection.lock(), frame);
    Advance(subscriber, now);
  }
  // Sending may end a connection and so change the table: it comes after the walk.
  for (const auto& [connection, frame] : outgoing) {
    if (connection) connection->Send(frame);
  }
}

void Publisher::SendToAll(const wire::Body& body) {
  if (subscribers_.empty()) return;
  const mesh::Frame frame = mesh_.Encode(body);
  std::vector<mesh::ConnectionPtr> connections;
  for (const auto& [key, subscriber] : subscribers_) connections.push_back(subscriber.connection.lock());
  for (const mesh::ConnectionPtr& connection : connections) {
    if (connection) connection->Send(frame);
  }
}

}  // namespace kestrelline::control_plane

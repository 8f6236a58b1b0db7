// SPDX-License-Identifier: Apache-2.0
#include "distribution/publisher.h"

#include <algorithm>
#include <utility>

namespace kestrelline::distribution {

wire::Publication Publisher::Compose(const Subscriber& subscriber, const Published& now) const {
  wire::Publication publication;
  publication.certain = now.age.has_value();
  publication.age_ms = static_cast<std::uint32_t>(now.age.value_or(std::chrono::milliseconds(0)).count());
  publication.version = now.version;
  publication.hops = now.hops;
  if (now.configuration && now.version > subscriber.version) publication.configuration = *now.configuration;
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
  if (now.configuration) subscriber.version = std::max(subscriber.version, now.version);
  if (now.instances)
    subscriber.instances_revision = std::max(subscriber.instances_revision, now.instances->revision);
}

bool Publisher::Subscribe(mesh::Connection& connection, const std::string& proxy,
                          const wire::Subscribe& subscribe, const Published& now) {
  // One that was here before has a new connection; the old one may not have ended yet.
  std::erase_if(subscribers_, [&proxy](const auto& entry) { return entry.second.proxy == proxy; });
  if (subscribers_.size() >= most_) {
    connection.Send(mesh_.Encode(Refer()));
    return false;
  }
  Subscriber& subscriber = subscribers_[&connection];
  subscriber = {connection.weak_from_this(), proxy, subscribe.version, subscribe.instances_revision};
  const mesh::Frame frame = mesh_.Encode(Compose(subscriber, now));
  Advance(subscriber, now);
  connection.Send(frame);
  return true;
}

wire::Referral Publisher::Refer() const {
  constexpr std::size_t kMostNamed = 8;
  wire::Referral referral;
  for (const auto& [key, subscriber] : subscribers_) {
    if (referral.proxies.size() < kMostNamed) referral.proxies.push_back(subscriber.proxy);
  }
  return referral;
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

}  // namespace kestrelline::distribution

// SPDX-License-Identifier: Apache-2.0
#include "distribution/publisher.h"

#include <utility>

namespace kestrelline::distribution {

bool Publisher::Subscribe(mesh::Connection& connection, const std::string& proxy,
                          const wire::Subscribe& subscribe, const Published& now) {
  // One that was here before has a new connection; the old one may not have ended yet.
  std::erase_if(subscribers_, [&proxy](const auto& entry) { return entry.second.proxy == proxy; });
  if (subscribers_.size() >= most_) {
    connection.Send(mesh_.Encode(Refer()));
    return false;
  }
  Subscriber& subscriber = subscribers_[&connection];
  subscriber = {
      connection.weak_from_this(), proxy, {subscribe.version, subscribe.instances_revision, subscribe.probe}};
  const mesh::Frame echo = mesh_.Encode(wire::Echo{subscribe.probe});
  const mesh::Frame publication = mesh_.Encode(Compose(subscriber.state, now));
  Advance(subscriber.state, now);
  // Sending may end the connection and so change the table: the subscriber is not used after it.
  connection.Send(echo);
  connection.Send(publication);
  return true;
}

void Publisher::NoteProbe(mesh::Connection& connection, const wire::Probe& probe) {
  const auto found = subscribers_.find(&connection);
  if (found != subscribers_.end()) found->second.state.probe = probe.value;
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
  struct Outgoing {
    mesh::ConnectionPtr connection;
    mesh::Frame echo;
    mesh::Frame publication;
  };
  // Most subscribers lack the same: each distinct publication is encoded once.
  std::map<std::pair<std::uint64_t, std::uint64_t>, mesh::Frame> frames;
  std::vector<Outgoing> outgoing;
  for (auto& [key, subscriber] : subscribers_) {
    SubscriberState& state = subscriber.state;
    mesh::Frame& frame = frames[{state.version, state.instances_revision}];
    if (!frame) frame = mesh_.Encode(Compose(state, now));
    outgoing.push_back({subscriber.connection.lock(), mesh_.Encode(wire::Echo{state.probe}), frame});
    Advance(state, now);
  }
  // Sending may end a connection and so change the table: it comes after the walk.
  for (const Outgoing& each : outgoing) {
    if (!each.connection) continue;
    each.connection->Send(each.echo);
    each.connection->Send(each.publication);
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

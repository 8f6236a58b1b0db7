// SPDX-License-Identifier: Apache-2.0
#include "distribution/publisher.h"

#include <tuple>
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
  subscriber = {connection.weak_from_this(),
                proxy,
                subscribe.zone,
                {subscribe.version, subscribe.instances_revision, subscribe.probe,
                 subscribe.takes_list_changes, subscribe.takes_configuration_patches}};
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
  std::map<std::tuple<std::uint64_t, std::uint64_t, bool, bool>, mesh::Frame> frames;
  std::vector<Outgoing> outgoing;
  for (auto& [key, subscriber] : subscribers_) {
    SubscriberState& state = subscriber.state;
    mesh::Frame& frame = frames[{state.version, state.instances_revision, state.takes_list_changes,
                                 state.takes_configuration_patches}];
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
  SendTo([](const Subscriber&) { return true; }, body);
}

void Publisher::SendToZone(const std::string& zone, const wire::Body& body) {
  SendTo([&zone](const Subscriber& subscriber) { return subscriber.zone == zone; }, body);
}

std::set<std::string> Publisher::zones() const {
  std::set<std::string> zones;
  for (const auto& [key, subscriber] : subscribers_) zones.insert(subscriber.zone);
  return zones;
}

void Publisher::SendTo(const std::function<bool(const Subscriber&)>& chosen, const wire::Body& body) {
  std::vector<mesh::ConnectionPtr> connections;
  for (const auto& [key, subscriber] : subscribers_) {
    if (chosen(subscriber)) connections.push_back(subscriber.connection.lock());
  }
  if (connections.empty()) return;
  const mesh::Frame frame = mesh_.Encode(body);
  for (const mesh::ConnectionPtr& connection : connections) {
    if (connection) connection->Send(frame);
  }
}

}  // namespace kestrelline::distribution

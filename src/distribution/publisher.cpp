// SPDX-License-Identifier: Apache-2.0
#include "distribution/publisher.h"

#include <tuple>
#include <utility>

namespace kestrelline::distribution {

bool Publisher::Subscribe(mesh::Connection& connection, const std::string& proxy,
                          const wire::Subscribe& subscribe, const PublishedState& now) {
  // A proxy that reconnects replaces its old subscription, whose connection may not have been closed yet.
  std::erase_if(subscribers_, [&proxy](const auto& entry) { return entry.second.proxy == proxy; });
  if (subscribers_.size() >= max_subscribers_) {
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
  // Sending may close the connection and erase the entry, so `subscriber` must not be used from here on.
  connection.Send(echo);
  connection.Send(publication);
  return true;
}

void Publisher::NoteProbe(mesh::Connection& connection, const wire::Probe& probe) {
  const auto found = subscribers_.find(&connection);
  if (found != subscribers_.end()) found->second.state.probe = probe.value;
}

wire::Referral Publisher::Refer() const {
  constexpr std::size_t kMaxReferrals = 8;
  wire::Referral referral;
  for (const auto& [key, subscriber] : subscribers_) {
    if (referral.proxies.size() < kMaxReferrals) referral.proxies.push_back(subscriber.proxy);
  }
  return referral;
}

void Publisher::Publish(const PublishedState& now) {
  struct Outgoing {
    mesh::ConnectionPtr connection;
    mesh::Frame echo;
    mesh::Frame publication;
  };
  // Most subscribers lack the same contents: each distinct publication is encoded once.
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
  // Sending may close a connection and erase its entry, so it must not happen while iterating over the map.
  for (const Outgoing& message : outgoing) {
    if (!message.connection) continue;
    message.connection->Send(message.echo);
    message.connection->Send(message.publication);
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

// SPDX-License-Identifier: Apache-2.0
#include "data_plane/subscriber.h"

#include <random>
#include <utility>

#include "wire/codec.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

milliseconds Now() {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch());
}

}  // namespace

Subscriber::Subscriber(asio::io_context& io, const node::Settings& settings,
                       std::function<HeldState()> held_state, OnPublication on_publication, OnLoads on_loads,
                       std::shared_ptr<mesh::Traffic> traffic)
    : io_(io),
      settings_(settings),
      held_state_(std::move(held_state)),
      on_publication_(std::move(on_publication)),
      on_loads_(std::move(on_loads)),
      traffic_(std::move(traffic)),
      name_(node::ToText(settings.RelayEndpoint())),
      subscription_(name_, settings.SeedIps(), std::random_device{}()) {}

void Subscriber::Start() { ConnectToNextPeer(); }

void Subscriber::Stop() {
  stopped_ = true;
  if (connection_) connection_->Close();
  connection_ = nullptr;
}

void Subscriber::Tick() {
  const milliseconds now = Now();
  if (stopped_ || !subscription_.MayRetry(now)) return;
  if (connecting_) {
    if (subscription_.ConnectTimedOut(now)) ConnectToNextPeer();
    return;
  }
  if (!connection_ || !connection_->open() || subscription_.ShouldLeave(now)) return ConnectToNextPeer();
  if (const auto probe = subscription_.NextProbe(now)) Send(wire::Probe{*probe});
}

void Subscriber::ConnectToNextPeer() {
  if (connection_) connection_->Close();
  connection_ = nullptr;
  error_code ignored;
  if (connecting_) connecting_->close(ignored);
  connecting_ = nullptr;
  const auto peer = subscription_.BeginAttempt(Now());
  if (!peer) return;
  error_code error;
  const node::Endpoint address = EndpointOf(*peer);
  const Tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
  if (error) return;
  const auto socket = std::make_shared<Tcp::socket>(io_);
  connecting_ = socket;
  socket->async_connect(endpoint, [this, socket](const error_code& failed) {
    if (connecting_ != socket) return;
    connecting_ = nullptr;
    if (!failed && !stopped_) OnConnected(std::move(*socket));
  });
}

// Members are named by IP address, relaying proxies by IP:PORT.
node::Endpoint Subscriber::EndpointOf(const std::string& peer) const {
  return node::ParseEndpoint(peer).value_or(node::Endpoint{peer, settings_.first_port});
}

void Subscriber::OnConnected(Tcp::socket socket) {
  mesh::SetOptions(socket);
  const auto on_message = [this](mesh::Connection& connection, wire::Message message) {
    if (&connection != connection_.get()) return;
    if (const auto* publication = std::get_if<wire::Publication>(&message.body))
      HandlePublication(*publication);
    if (const auto* referral = std::get_if<wire::Referral>(&message.body)) return HandleReferral(*referral);
    if (const auto* loads = std::get_if<wire::LoadSummary>(&message.body)) on_loads_(*loads);
  };
  connection_ = std::make_shared<mesh::Connection>(std::move(socket), on_message, nullptr, traffic_);
  connection_->Start();
  const HeldState held_state = held_state_();
  Send(wire::Subscribe{held_state.version, held_state.instances_revision, settings_.zone,
                       subscription_.FirstProbe(Now()), /*takes_list_changes=*/true,
                       /*takes_configuration_patches=*/true});
}

void Subscriber::Send(const wire::Body& body) {
  connection_->Send(std::make_shared<const std::string>(wire::EncodeFrame({name_, body})));
}

void Subscriber::Report(const wire::LoadReport& report) {
  if (connection_ && connection_->open()) Send(report);
}

void Subscriber::HandleReferral(const wire::Referral& referral) {
  subscription_.HandleReferral(referral);
  ConnectToNextPeer();
}

void Subscriber::HandlePublication(const wire::Publication& publication) {
  const auto composed_after = subscription_.ComposedAfter(connection_->echo());
  subscription_.HandlePublication(Now(), publication, composed_after);
  std::optional<steady_clock::time_point> local_composed_after;
  if (composed_after) local_composed_after = steady_clock::time_point(*composed_after);
  on_publication_(publication, local_composed_after);
}

}  // namespace kestrelline::data_plane

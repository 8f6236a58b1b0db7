// SPDX-License-Identifier: Apache-2.0
#include "data_plane/subscriber.h"

#include <algorithm>
#include <random>
#include <utility>

#include "wire/codec.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr milliseconds kConnectPatience{400};
constexpr milliseconds kSilence{900};  // publications come every 300 ms
constexpr milliseconds kOldest{900};   // knowledge older than this is worth asking another member for
constexpr milliseconds kBetweenTries{250};

}  // namespace

Subscriber::Subscriber(asio::io_context& io, const node::Settings& settings, std::function<Have()> have,
                       OnPublication on_publication, OnLoads on_loads)
    : io_(io),
      settings_(settings),
      have_(std::move(have)),
      on_publication_(std::move(on_publication)),
      on_loads_(std::move(on_loads)) {
  for (const node::Endpoint& seed : settings.seeds) peers_.push_back(seed.ip);
  std::shuffle(peers_.begin(), peers_.end(), std::mt19937(std::random_device{}()));
}

void Subscriber::Start() { Next(); }

void Subscriber::Stop() {
  stopped_ = true;
  if (connection_) connection_->Close();
  connection_ = nullptr;
}

void Subscriber::Tick() {
  if (stopped_) return;
  const auto now = steady_clock::now();
  if (now - attempt_began_ < kBetweenTries) return;
  if (connecting_) {
    if (now - attempt_began_ < kConnectPatience) return;
    return Next();
  }
  if (!connection_ || !connection_->open()) return Next();
  const bool silent = now - std::max(heard_at_, attempt_began_) > kSilence;
  const bool stale = !fresh_ && now - attempt_began_ > kSilence;
  if (silent || stale) Next();
}

void Subscriber::Next() {
  attempt_began_ = steady_clock::now();
  fresh_ = false;
  if (connection_) connection_->Close();
  connection_ = nullptr;
  error_code ignored;
  if (connecting_) connecting_->close(ignored);
  connecting_ = nullptr;
  if (peers_.empty()) return;
  const std::string peer = NextPeer();
  error_code error;
  const Tcp::endpoint there(asio::ip::make_address(peer, error), settings_.first_port);
  if (error) return;
  const auto socket = std::make_shared<Tcp::socket>(io_);
  connecting_ = socket;
  socket->async_connect(there, [this, socket](const error_code& failed) {
    if (connecting_ != socket) return;
    connecting_ = nullptr;
    if (!failed && !stopped_) Connected(std::move(*socket));
  });
}

void Subscriber::Connected(Tcp::socket socket) {
  mesh::SetOptions(socket);
  const auto on_message = [this](mesh::Connection& connection, wire::Message message) {
    if (&connection != connection_.get()) return;
    if (const auto* publication = std::get_if<wire::Publication>(&message.body)) Take(*publication);
    if (const auto* referral = std::get_if<wire::Referral>(&message.body)) return Take(*referral);
    if (const auto* loads = std::get_if<wire::LoadSummary>(&message.body)) on_loads_(*loads);
  };
  connection_ = std::make_shared<mesh::Connection>(std::move(socket), on_message, nullptr);
  connection_->Start();
  const Have have = have_();
  const wire::Subscribe subscribe{have.version, have.instances_revision, settings_.zone};
  connection_->Send(std::make_shared<const std::string>(wire::EncodeFrame({settings_.ip, subscribe})));
}

void Subscriber::Report(const wire::LoadReport& report) {
  if (!connection_ || !connection_->open()) return;
  connection_->Send(std::make_shared<const std::string>(wire::EncodeFrame({settings_.ip, report})));
}

// Members in turn; a proxy that passes on once every member had no room.
std::string Subscriber::NextPeer() {
  if (refused_in_a_row_ >= peers_.size() && !relays_.empty()) {
    refused_in_a_row_ = 0;
    const std::string relay = relays_.back();
    relays_.pop_back();
    return relay;
  }
  return peers_[next_peer_++ % peers_.size()];
}

void Subscriber::Take(const wire::Referral& referral) {
  constexpr std::size_t kMostRelays = 16;
  ++refused_in_a_row_;
  for (const std::string& proxy : referral.proxies) {
    if (proxy != settings_.ip && relays_.size() < kMostRelays) relays_.push_back(proxy);
  }
  std::shuffle(relays_.begin(), relays_.end(), std::mt19937(std::random_device{}()));
  Next();
}

void Subscriber::Take(const wire::Publication& publication) {
  refused_in_a_row_ = 0;
  relays_.clear();
  heard_at_ = steady_clock::now();
  fresh_ = publication.certain && milliseconds(publication.age_ms) < kOldest;
  for (const std::string& peer : publication.control_peers) {
    if (std::find(peers_.begin(), peers_.end(), peer) == peers_.end()) peers_.push_back(peer);
  }
  constexpr std::size_t kMostPeers = 32;
  if (peers_.size() > kMostPeers) peers_.resize(kMostPeers);
  on_publication_(publication);
}

}  // namespace kestrelline::data_plane

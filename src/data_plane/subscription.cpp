// SPDX-License-Identifier: Apache-2.0
#include "data_plane/subscription.h"

#include <algorithm>
#include <utility>

#include "safeguards/safeguards.h"

namespace kestrelline::data_plane {

Subscription::Subscription(std::string self, std::vector<std::string> seeds, std::uint64_t seed)
    : self_(std::move(self)), random_(seed), peers_(std::move(seeds)), probes_(random_()) {
  std::shuffle(peers_.begin(), peers_.end(), random_);
}

std::optional<std::string> Subscription::BeginAttempt(Time now) {
  attempt_began_ = now;
  fresh_ = false;
  renew_ = false;
  if (peers_.empty()) return std::nullopt;
  return NextPeer();
}

bool Subscription::ShouldLeave(Time now) const {
  const bool silent = now - std::max(heard_at_, attempt_began_) > kSilence;
  const bool stale = !fresh_ && now - attempt_began_ > kSilence;
  return silent || stale || renew_;
}

std::optional<std::uint64_t> Subscription::NextProbe(Time now) {
  if (now - last_probe_ < kBetweenProbes) return std::nullopt;
  return FirstProbe(now);
}

std::uint64_t Subscription::FirstProbe(Time now) {
  last_probe_ = now;
  return probes_.Send(now);
}

// Members in turn; a proxy that passes on once every member had no room.
std::string Subscription::NextPeer() {
  if (refused_in_a_row_ >= peers_.size() && !relays_.empty()) {
    refused_in_a_row_ = 0;
    std::string relay = std::move(relays_.back());
    relays_.pop_back();
    return relay;
  }
  return peers_[next_peer_++ % peers_.size()];
}

void Subscription::Take(const wire::Referral& referral) {
  ++refused_in_a_row_;
  for (const std::string& proxy : referral.proxies) {
    if (proxy != self_ && relays_.size() < kMostRelays) relays_.push_back(proxy);
  }
  AddPeers(referral.members);
  std::shuffle(relays_.begin(), relays_.end(), random_);
}

void Subscription::HandlePublication(Time now, const wire::Publication& publication,
                                     std::optional<Time> composed_after) {
  refused_in_a_row_ = 0;
  relays_.clear();
  heard_at_ = now;
  const std::optional<Time> dated = Enforced(Safeguard::kDateByProbe) ? composed_after : now;
  fresh_ = dated && publication.certain && now - *dated + Time(publication.age_ms) < kOldest;
  AddPeers(publication.control_peers);
}

// Those that are new come next in turn.
void Subscription::AddPeers(const std::vector<std::string>& peers) {
  for (const std::string& peer : peers) {
    if (std::find(peers_.begin(), peers_.end(), peer) != peers_.end()) continue;
    if (!peers_.empty()) next_peer_ %= peers_.size();
    peers_.insert(peers_.begin() + static_cast<std::ptrdiff_t>(next_peer_), peer);
  }
  if (peers_.size() > kMostPeers) peers_.resize(kMostPeers);
}

bool ConfigurationGate::IsNews(std::uint64_t version) const {
  return version > known_version() || !Enforced(Safeguard::kNeverBack);
}

bool ConfigurationGate::Offer(std::uint64_t version, bool contents, bool fresh) {
  if (contents && IsNews(version)) {
    told_version_ = version;
    waits_ = true;
  }
  if (!waits_) return false;
  const bool proven = (fresh && version == told_version_) || !Enforced(Safeguard::kProofBeforeReady);
  if (version_ == 0 && !proven) return false;
  version_ = told_version_;
  waits_ = false;
  return true;
}

}  // namespace kestrelline::data_plane

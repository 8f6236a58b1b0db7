// SPDX-License-Identifier: Apache-2.0
#include "data_plane/subscription.h"

#include <algorithm>
#include <utility>

#include "safeguards/safeguards.h"

namespace kestrelline::data_plane {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& entry) {
  return std::find(list.begin(), list.end(), entry) != list.end();
}

}  // namespace

Subscription::Subscription(std::string self, std::vector<std::string> seeds, std::uint64_t seed)
    : self_(std::move(self)), random_(seed), seeds_(std::move(seeds)), peers_(seeds_), probes_(random_()) {
  std::shuffle(peers_.begin(), peers_.end(), random_);
}

void Subscription::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
  std::vector<std::string> shuffled = seeds_;
  std::shuffle(shuffled.begin(), shuffled.end(), random_);
  AddPeers(shuffled);
}

std::optional<std::string> Subscription::BeginAttempt(Time now) {
  attempt_started_at_ = now;
  fresh_ = false;
  renew_ = false;
  if (peers_.empty()) return std::nullopt;
  return NextPeer();
}

bool Subscription::ShouldLeave(Time now) const {
  const bool silent = now - std::max(last_publication_at_, attempt_started_at_) > kSilenceTimeout;
  const bool stale = !fresh_ && now - attempt_started_at_ > kSilenceTimeout;
  return silent || stale || renew_;
}

std::optional<std::uint64_t> Subscription::NextProbe(Time now) {
  if (now - last_probe_at_ < kProbeInterval) return std::nullopt;
  return FirstProbe(now);
}

std::uint64_t Subscription::FirstProbe(Time now) {
  last_probe_at_ = now;
  return probes_.Send(now);
}

// Takes the members in turn, or a relaying proxy once all members were at capacity.
std::string Subscription::NextPeer() {
  if (consecutive_referrals_ >= peers_.size() && !relays_.empty()) {
    consecutive_referrals_ = 0;
    std::string relay = std::move(relays_.back());
    relays_.pop_back();
    return relay;
  }
  return peers_[next_peer_++ % peers_.size()];
}

void Subscription::HandleReferral(const wire::Referral& referral) {
  ++consecutive_referrals_;
  for (const std::string& proxy : referral.proxies) {
    if (proxy != self_ && relays_.size() < kMaxRelays) relays_.push_back(proxy);
  }
  AddPeers(referral.members);
  std::shuffle(relays_.begin(), relays_.end(), random_);
}

void Subscription::HandlePublication(Time now, const wire::Publication& publication,
                                     std::optional<Time> composed_after) {
  consecutive_referrals_ = 0;
  relays_.clear();
  last_publication_at_ = now;
  const std::optional<Time> confirmed_at = Enforced(Safeguard::kDateByProbe) ? composed_after : now;
  fresh_ = confirmed_at && publication.certain && now - *confirmed_at + Time(publication.age_ms) < kMaxAge;
  if (fresh_) RemoveFormerMembers(publication.control_peers);
  AddPeers(publication.control_peers);
}

// Inserts unknown peers so that they are tried next. At the limit each replaces the peer whose turn is last.
void Subscription::AddPeers(const std::vector<std::string>& peers) {
  for (const std::string& peer : peers) {
    if (Contains(peers_, peer)) continue;
    if (!peers_.empty()) next_peer_ %= peers_.size();
    if (peers_.size() >= kMaxPeers) RemovePeer((next_peer_ + peers_.size() - 1) % peers_.size());
    peers_.insert(peers_.begin() + static_cast<std::ptrdiff_t>(next_peer_), peer);
  }
}

// Keeps the order in which the others are tried.
void Subscription::RemovePeer(std::size_t index) {
  next_peer_ %= peers_.size();
  peers_.erase(peers_.begin() + static_cast<std::ptrdiff_t>(index));
  if (index < next_peer_) --next_peer_;
}

void Subscription::RemoveFormerMembers(const std::vector<std::string>& members) {
  if (members.empty()) return;
  for (std::size_t index = peers_.size(); index-- > 0;) {
    if (!Contains(members, peers_[index]) && !Contains(seeds_, peers_[index])) RemovePeer(index);
  }
}

bool ConfigurationGate::IsNewer(std::uint64_t version) const {
  return version > known_version() || !Enforced(Safeguard::kNeverBack);
}

bool ConfigurationGate::Offer(std::uint64_t version, bool contents, bool fresh) {
  if (contents && IsNewer(version)) {
    received_version_ = version;
    pending_ = true;
  }
  if (!pending_) return false;
  const bool proven = (fresh && version == received_version_) || !Enforced(Safeguard::kProofBeforeReady);
  if (version_ == 0 && !proven) return false;
  version_ = received_version_;
  pending_ = false;
  return true;
}

}  // namespace kestrelline::data_plane

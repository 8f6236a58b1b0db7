// SPDX-License-Identifier: Apache-2.0
//
// Selects the peer that a proxy subscribes to: the control plane members in turn, or a relaying proxy if they
// are at capacity. Decides when to leave a peer that is silent or out of contact with the leader's quorum,
// and which received configuration may be put in force. No I/O, no clock.
#ifndef KESTRELLINE_DATA_PLANE_SUBSCRIPTION_H_
#define KESTRELLINE_DATA_PLANE_SUBSCRIPTION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "freshness/probe_clock.h"
#include "wire/messages.h"

namespace kestrelline::data_plane {

class Subscription {
 public:
  using Time = std::chrono::milliseconds;  // of a steady clock

  static constexpr Time kConnectTimeout{400};
  static constexpr Time kSilenceTimeout{900};  // publications are sent every 300 ms
  // Beyond this age another member is tried. The age counts from the sending of the probe, which is up to a
  // heartbeat interval and a probe interval before the publication arrived.
  static constexpr Time kMaxAge{1200};
  static constexpr Time kRetryInterval{250};
  static constexpr Time kProbeInterval{150};
  static constexpr std::size_t kMaxPeers = 32;
  static constexpr std::size_t kMaxRelays = 16;

  // `self` is the name of this proxy; `seed` should be random.
  Subscription(std::string self, std::vector<std::string> seeds, std::uint64_t seed);

  // Replaces the seeds, which are tried even if no member reports them. Unknown ones are tried next.
  void SetSeeds(std::vector<std::string> seeds);

  // Starts an attempt: returns the peer to connect to, or nothing if none is known.
  std::optional<std::string> BeginAttempt(Time now);
  // Whether the current connection attempt has timed out.
  bool ConnectTimedOut(Time now) const { return now - attempt_started_at_ >= kConnectTimeout; }
  bool MayRetry(Time now) const { return now - attempt_started_at_ >= kRetryInterval; }
  // Contents sent earlier are needed again: leaves the current peer as soon as a retry is allowed.
  void Renew() { renew_ = true; }
  // Whether to leave the current peer.
  bool ShouldLeave(Time now) const;

  // The value of a probe to send now; empty if the last one was sent recently.
  std::optional<std::uint64_t> NextProbe(Time now);
  // The first probe on a new connection.
  std::uint64_t FirstProbe(Time now);
  // When the probe with this echo was sent. Whatever follows the echo was composed after that time.
  std::optional<Time> ComposedAfter(std::uint64_t echo) const { return probes_.SentAt(echo); }

  void HandlePublication(Time now, const wire::Publication& publication, std::optional<Time> composed_after);
  void HandleReferral(const wire::Referral& referral);

  // Whether the latest publication is proven to be recent.
  bool fresh() const { return fresh_; }

 private:
  std::string NextPeer();
  void AddPeers(const std::vector<std::string>& peers);
  void RemovePeer(std::size_t index);
  // Forgets the peers that are neither seeds nor among `members`.
  void RemoveFormerMembers(const std::vector<std::string>& members);

  const std::string self_;
  std::mt19937_64 random_;
  std::vector<std::string> seeds_;
  std::vector<std::string> peers_;
  std::size_t next_peer_ = 0;
  std::vector<std::string> relays_;  // relaying proxies named by members at capacity
  std::size_t consecutive_referrals_ = 0;
  freshness::ProbeClock probes_;
  Time last_probe_at_{0};
  Time attempt_started_at_{0};
  Time last_publication_at_{0};
  bool fresh_ = false;
  bool renew_ = false;
};

// Decides which configuration is put in force. It never goes back to an older version, and puts the first one
// after a start in force only once it is proven to be recent. Until then the proxy is not ready.
class ConfigurationGate {
 public:
  // Whether the version is newer than all received contents.
  bool IsNewer(std::uint64_t version) const;
  // Processes a publication: the sender's version, whether its contents were included, and whether it is
  // proven to be recent. Returns true if the newest contents are to be put in force now. Unproven contents
  // are kept, as they are not sent twice.
  bool Offer(std::uint64_t version, bool contents, bool fresh);
  // Version in force; 0 before the first.
  std::uint64_t version() const { return version_; }
  // The newest version whose contents were received, in force or not; it need not be sent again.
  std::uint64_t known_version() const { return std::max(version_, received_version_); }

 private:
  std::uint64_t version_ = 0;
  std::uint64_t received_version_ = 0;
  bool pending_ = false;  // the latest contents are not in force yet
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_SUBSCRIPTION_H_

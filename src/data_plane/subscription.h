// SPDX-License-Identifier: Apache-2.0
//
// Decides whom a proxy subscribes to: members of the control plane in turn, where these have no room a proxy
// that passes on what it is told; and when it leaves one that is silent or out of contact with the leader's
// quorum. Then whether a configuration that is told may be put in force. No I/O, no clock.
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

  static constexpr Time kConnectPatience{400};
  static constexpr Time kSilence{900};  // publications come every 300 ms
  // Knowledge older than this is worth asking another member for. Counted from when a probe was sent, which
  // is up to a heartbeat and a probe interval before the publication came.
  static constexpr Time kOldest{1200};
  static constexpr Time kBetweenTries{250};
  static constexpr Time kBetweenProbes{150};
  static constexpr std::size_t kMostPeers = 32;
  static constexpr std::size_t kMostRelays = 16;

  // `self` is this proxy's own name; `seed` should be random.
  Subscription(std::string self, std::vector<std::string> seeds, std::uint64_t seed);

  // Whom to connect to now; nothing if nobody is known. An attempt begins with it.
  std::optional<std::string> BeginAttempt(Time now);
  // While the connection is being made: whether that takes too long.
  bool ConnectingTooLong(Time now) const { return now - attempt_began_ >= kConnectPatience; }
  bool MayRetry(Time now) const { return now - attempt_began_ >= kBetweenTries; }
  // What was told before is needed again: the present subscription is left as soon as another may begin.
  void Renew() { renew_ = true; }
  // The one that is subscribed to.
  bool ShouldLeave(Time now) const;

  // The value of a probe to send now; nothing if the last one is recent.
  std::optional<std::uint64_t> NextProbe(Time now);
  // The first probe on a new connection.
  std::uint64_t FirstProbe(Time now);
  // When the probe was sent that came back with this echo. What follows it was composed after that time.
  std::optional<Time> ComposedAfter(std::uint64_t echo) const { return probes_.SentAt(echo); }

  void HandlePublication(Time now, const wire::Publication& publication, std::optional<Time> composed_after);
  void Take(const wire::Referral& referral);

  // Whether what was told last is proven to be recent.
  bool fresh() const { return fresh_; }

 private:
  std::string NextPeer();
  void AddPeers(const std::vector<std::string>& peers);

  const std::string self_;
  std::mt19937_64 random_;
  std::vector<std::string> peers_;
  std::size_t next_peer_ = 0;
  std::vector<std::string> relays_;  // proxies that members without room named
  std::size_t refused_in_a_row_ = 0;
  freshness::ProbeClock probes_;
  Time last_probe_{0};
  Time attempt_began_{0};
  Time heard_at_{0};
  bool fresh_ = false;
  bool renew_ = false;
};

// Decides which configuration is put in force: never an older one than is in force, and the first of a
// proxy's life only once it is proven to be recent. Until then the proxy is not ready.
class ConfigurationGate {
 public:
  // Whether a version is newer than all that is here.
  bool IsNews(std::uint64_t version) const;
  // Takes what was told: the sender's version, and whether its contents came; `fresh` tells whether that is
  // proven to be recent. True if the newest contents are to be put in force now. Contents that are not proven
  // yet are kept: they are not told twice.
  bool Offer(std::uint64_t version, bool contents, bool fresh);
  // Of the configuration in force; 0 before the first.
  std::uint64_t version() const { return version_; }
  // The newest version whose contents are here, in force or not: what need not be told again.
  std::uint64_t known_version() const { return std::max(version_, told_version_); }

 private:
  std::uint64_t version_ = 0;
  std::uint64_t told_version_ = 0;
  bool waits_ = false;  // the contents told last are not in force yet
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_SUBSCRIPTION_H_

// SPDX-License-Identifier: Apache-2.0
//
// Claims of keyed requests: decides whether an attempt may be sent, by what the proxies have claimed. No I/O,
// no clock.
//
// A claim states that a request with this key may run in this group of servers, which drops repeats of the
// key until the claim expires. It is written before an attempt is sent, and released when all attempts that
// rely on it are known not to have run. All requests of one key at one proxy share one claim per group.
//
// An attempt is sent only to a group that all known claims of its key allow; if two groups are claimed,
// nothing is sent (balancer.h: KeyClaim).
#ifndef KESTRELLINE_REPLICA_CLAIMS_H_
#define KESTRELLINE_REPLICA_CLAIMS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kestrelline/balancer.h"
#include "replica/entry.h"
#include "replica/settings.h"

namespace kestrelline::replica {

// Access to the claims of all proxies, including this one's.
class ClaimRegistry {
 public:
  virtual ~ClaimRegistry() = default;
  struct ActiveClaim {
    std::uint64_t group = 0;
    Time until{};
  };
  // The claims of a key that are held by any proxy.
  virtual std::vector<ActiveClaim> ClaimsOn(std::uint64_t key) const = 0;
  // Writes a claim, which holds from now on. `done` is called once: within this call if no other proxy has to
  // know of the claim first (k = 0), else later, outside of this call. Its argument is true if k others hold
  // the claim and no other confirmed claim of the key can be unknown here; false if that isn't so after
  // `within`.
  virtual void Claim(std::uint64_t key, std::uint64_t group, Span lifetime, int k, Span within,
                     std::function<void(bool)> done) = 0;
  virtual void Release(std::uint64_t key, std::uint64_t group) = 0;
};

// Identifies groups of servers in the same way at all proxies: zones by the hash of their names, because zone
// numbers are local to each proxy.
class Groups {
 public:
  explicit Groups(std::vector<std::string> zones) : zones_(std::move(zones)) {}
  std::uint64_t IdOf(kestrelline::Group kind, int zone, int cell) const;
  // Returns a claim on the group in the balancer's terms.
  kestrelline::KeyClaim Claim(std::uint64_t group) const;

 private:
  // Zones that aren't configured here have numbers from here on, built from the hash of their names as in
  // src/proxy.
  static constexpr int kUnknownZoneBase = 0x10000;
  static constexpr std::uint32_t kZoneMask = 0x3fffffff;
  std::vector<std::string> zones_;
};

// Hash of a request key within its class, the same at all proxies.
std::uint64_t KeyHash(std::string_view request_class, std::string_view key);

class Claims {
 public:
  // `registry` must outlive the object.
  Claims(ClaimRegistry& registry, const Settings& settings, std::vector<std::string> zones)
      : registry_(registry), settings_(settings), groups_(std::move(zones)) {}

  struct Key {
    std::uint64_t hash = 0;
    int mode = 0;  // as RouteLimits::claim
    const kestrelline::ClassSettings* request_class = nullptr;
  };
  // The claim mode (as RouteLimits::claim) of a request of a class under a route; -1: its key isn't claimed.
  int ModeOf(const kestrelline::ClassSettings& request_class, const kestrelline::RouteLimits* limits) const;

  // Maps local time to the balancer's time.
  using ToModule = std::function<kestrelline::TimePoint(Time)>;
  // All claims of a key that are known here, in the balancer's terms and time.
  std::vector<kestrelline::KeyClaim> KnownClaims(const Key& key, const ToModule& to_module) const;

  enum class Decision {
    kSend,
    kOtherGroup,  // the key is claimed for another group: see KnownClaims
    kUnconfirmed  // too few proxies hold the claim, and the settings forbid to send then
  };
  // To be called before an attempt is sent to a server of `group`. `done` is called once, possibly within
  // this call. After kSend, AfterAttempt must follow.
  void BeforeAttempt(const Key& key, std::uint64_t group, std::function<void(Decision)> done);
  void AfterAttempt(const Key& key, std::uint64_t group, bool may_have_run);

  const Groups& groups() const { return groups_; }
  struct Counts {
    std::uint64_t claimed = 0, bound = 0, elsewhere = 0, unmet = 0, released = 0;
  };
  const Counts& counts() const { return counts_; }
  // Counts a request whose key was already claimed when it arrived.
  void CountBound() { ++counts_.bound; }

 private:
  // This proxy's attempts that rely on one claim.
  struct ActiveUse {
    int attempts = 0;
    int known = 0;  // the largest k for which the claim was confirmed
    bool may_have_run = false;
  };
  using UseKey = std::pair<std::uint64_t, std::uint64_t>;  // key, group
  bool HeldByOtherGroup(std::uint64_t key, std::uint64_t group) const;
  Decision OnVerdict(const UseKey& use_key, int requested, bool held);
  void ReleaseUse(const UseKey& use_key);

  ClaimRegistry& registry_;
  Settings settings_;
  Groups groups_;
  boost::unordered_flat_map<UseKey, ActiveUse> uses_;
  Counts counts_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_CLAIMS_H_

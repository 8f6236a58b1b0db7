// SPDX-License-Identifier: Apache-2.0
//
// Claims of keyed requests: what is known of a key before a request is sent, and what is said of it. No I/O,
// no clock.
//
// A claim says: under this key something may run in this group, which drops its repeats until then. It is
// written before an attempt leaves, and taken back when all attempts that stood behind it are known not to
// have run. Requests of one key at one proxy stand behind one claim.
//
// Of what others claim an attempt goes only where all of it allows; where two groups are claimed nothing is
// sent (balancer.h: KeyClaim).
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

// The claims of all, this proxy's own among them.
class ClaimBook {
 public:
  virtual ~ClaimBook() = default;
  struct Held {
    std::uint64_t group = 0;
    Time until{};
  };
  // Those of a key that are held by anybody.
  virtual std::vector<Held> HeldOf(std::uint64_t key) const = 0;
  // Holds from now on. `then` is called once: at once if nobody has to know of it first (k = 0), else from
  // outside of this call; true if k know of it, and no other claim that is acted on can be unknown here.
  virtual void Claim(std::uint64_t key, std::uint64_t group, Span keep, int k, Span within,
                     std::function<void(bool)> then) = 0;
  virtual void Release(std::uint64_t key, std::uint64_t group) = 0;
};

// The group that a server belongs to, as all proxies name it. Zones by their names, since numbers are each
// proxy's own.
class Groups {
 public:
  explicit Groups(std::vector<std::string> zones) : zones_(std::move(zones)) {}
  std::uint64_t Of(kestrelline::Group kind, int zone, int cell) const;
  // A claim on it, as the module takes it.
  kestrelline::KeyClaim Claim(std::uint64_t group) const;

 private:
  // Unknown zones have numbers from here on, made of the hash of their names, as src/proxy gives them.
  static constexpr int kUnknown = 0x10000;
  static constexpr std::uint32_t kZoneMask = 0x3fffffff;
  std::vector<std::string> zones_;
};

std::uint64_t KeyHash(std::string_view request_class, std::string_view key);

class Claims {
 public:
  // `book` must outlive it.
  Claims(ClaimBook& book, const Settings& settings, std::vector<std::string> zones)
      : book_(book), settings_(settings), groups_(std::move(zones)) {}

  struct Key {
    std::uint64_t hash = 0;
    int mode = 0;  // as RouteLimits::claim
    const kestrelline::ClassSettings* of = nullptr;
  };
  // What is done for a request of a class under a route; -1: nothing.
  int ModeOf(const kestrelline::ClassSettings& of, const kestrelline::RouteLimits* limits) const;

  // In the module's time: `to_module` maps.
  using ToModule = std::function<kestrelline::TimePoint(Time)>;
  std::vector<kestrelline::KeyClaim> KnownClaims(const Key& key, const ToModule& to_module) const;

  enum class Decision {
    kSend,
    kOtherGroup,  // others hold another group: see Known
    kUnconfirmed         // too few know of it, and it is not to be sent then
  };
  // Before an attempt at a server of `group` leaves. `then` is called once, maybe at once. After kSend, After
  // must follow.
  void BeforeAttempt(const Key& key, std::uint64_t group, std::function<void(Decision)> then);
  void AfterAttempt(const Key& key, std::uint64_t group, bool may_have_run);

  const Groups& groups() const { return groups_; }
  struct Counts {
    std::uint64_t claimed = 0, bound = 0, elsewhere = 0, unmet = 0, released = 0;
  };
  const Counts& counts() const { return counts_; }
  // Of a request that was known to be bound when it came.
  void CountBound() { ++counts_.bound; }

 private:
  // Attempts of this proxy that stand behind one claim.
  struct Use {
    int attempts = 0;
    int known = 0;  // that many others are known to hold it, and no other that is acted on is unknown here
    bool may_have_run = false;
  };
  using UseKey = std::pair<std::uint64_t, std::uint64_t>;  // key, group
  bool OtherGroup(std::uint64_t key, std::uint64_t group) const;
  Decision OnVerdict(const UseKey& at, int asked, bool held);
  void Leave(const UseKey& at);

  ClaimBook& book_;
  Settings settings_;
  Groups groups_;
  boost::unordered_flat_map<UseKey, Use> uses_;
  Counts counts_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_CLAIMS_H_

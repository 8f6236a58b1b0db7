// SPDX-License-Identifier: Apache-2.0
//
// One proxy's part in dividing the quotas and budgets that all proxies share. No I/O, no clock: the time is a
// parameter of each call, and messages and events are collected with the Take functions. The daemon and the
// simulation run the same code.
//
// A reserve of the whole is divided statically by the number of configured proxies. The rest, the pool, is
// granted by one of them, the allocator, in leases that expire by themselves. To be the allocator a proxy
// needs the support of more than half of the configured proxies, renewed continuously, and a supporter
// promises to support no other for the length of a lease. So there is one allocator at a time, whatever any
// proxy believes about which others live; and since no grant outlasts the support under which it was issued,
// the shares in use never sum up to more than the whole.
//
//   share of a proxy = reserve / configured + granted part, until the grant expires
#ifndef KESTRELLINE_QUOTA_NODE_H_
#define KESTRELLINE_QUOTA_NODE_H_

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peers/node.h"
#include "quota/message.h"
#include "quota/pool.h"
#include "quota/voter.h"

namespace kestrelline::quota {

struct Outgoing {
  peers::Address to;
  Message message;
};

// State changes that are logged and counted for operators.
struct Event {
  enum class Kind {
    kBecameAllocator,
    kLostAllocator,     // this proxy is the allocator no longer
    kFollowsAllocator,  // this proxy gets its grants from `peer` from now on
    kGranted,           // this proxy has a part of the pool again
    kGrantExpired       // its part has expired: no allocator was heard in time
  };
  static constexpr std::size_t kKinds = 5;
  Kind kind;
  std::string peer;
};

class Node {
 public:
  struct Options {
    std::string name{};
    std::uint64_t boot = 0, seed = 0;
    // Index of this proxy among the configured ones. A proxy beyond them has no vote and no reserve.
    std::uint32_t member_index = 0;
    std::uint32_t configured_members = 1;
    Span lease = std::chrono::seconds(2);
    double reserve = 0.25;  // part of the whole that is divided statically, 0 to 1
  };
  // `now`: not before the process was started, and not after others can reach it.
  Node(Options options, Time now);

  void OnPeer(Time now, const peers::Event& event);
  // `boot`: boot number of the sender. Messages of unknown members are ignored.
  void Receive(Time now, std::uint64_t boot, const Message& message);
  void Tick(Time now);
  Time NextDue() const;
  void SetRate(double requests_per_s) { rate_ = requests_per_s; }
  // Another process takes over this proxy's name: from now on this one uses no grant and promises no support.
  void Deactivate(Time now);

  // The share in force: `share` until `until`, and `after` from then on unless another grant arrives.
  struct ShareLease {
    double share = 0;
    Time until{};
    double after = 0;
    bool operator==(const ShareLease&) const = default;
  };
  ShareLease share_lease() const;
  double Share(Time now) const {
    const ShareLease lease = share_lease();
    return now < lease.until ? lease.share : lease.after;
  }
  bool IsAllocator(Time now) const { return candidate_ && now < authority_until_; }
  const Term& term() const { return term_; }  // its own last term as candidate or allocator

  std::vector<Outgoing> TakeOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct Peer {
    std::string name;
    peers::Address address;
    std::uint64_t reply_number = 0;  // of its latest reply; 0: none in this term
    Time replied_at{};
    double rate = 0;
  };
  struct Round {
    std::uint64_t number = 0;
    Time sent{};
    std::set<std::uint32_t> supporters;  // member indices
  };

  std::size_t Majority() const { return options_.configured_members / 2 + 1; }
  bool HasVote() const { return !deactivated_ && options_.member_index < options_.configured_members; }
  double Reserve() const;
  void StartCandidacy(Time now);
  void StepDown(Time now);
  void StartRound(Time now);
  void OnSupport(std::uint64_t round, std::uint32_t member_index);
  void OnClaim(Time now, std::uint64_t boot, const Peer& from, const Message& message);
  void OnReply(Time now, std::uint64_t boot, Peer* from, const Message& message);
  void ScheduleCandidacy(Time now);

  Options options_;
  std::mt19937_64 random_;
  Voter voter_;
  Pool pool_;
  std::map<std::uint64_t, Peer> peers_;  // live members, by boot number
  bool deactivated_ = false;             // another process has this proxy's name
  double rate_ = 0;

  // State of a candidate or allocator.
  bool candidate_ = false, elected_ = false;
  Term term_;
  std::array<Round, 8> rounds_{};
  std::uint64_t round_ = 0;
  Time authority_until_{}, round_due_{}, candidate_since_{};

  Time candidacy_due_{};  // when to stand as a candidate if no allocator is heard until then
  std::uint64_t allocator_boot_ = 0;

  // Replies sent, by number, with the time of sending: a grant starts when the reply it acknowledges was
  // sent.
  std::array<std::pair<std::uint64_t, Time>, 32> replies_{};
  std::uint64_t last_reply_ = 0;
  Term grant_term_;
  Grant grant_;
  Time grant_until_{};
  bool has_grant_ = false;

  std::vector<Outgoing> outgoing_;
  std::vector<Event> events_;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_NODE_H_

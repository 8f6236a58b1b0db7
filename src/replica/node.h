// SPDX-License-Identifier: Apache-2.0
//
// One proxy's replica: sends the entries it writes, merges those it receives, catches up after a start, and
// finds and repairs differences to other copies. No I/O, no clock: the time is a parameter of each call, and
// datagrams, events and verdicts are collected with the Take functions. The daemon and the simulation run the
// same code.
//
// A writer sends its entries to all other members at once if there are at most kMaxDirectRecipients of them,
// else to some random members, which forward them. No backlog is kept for any receiver. A member that missed
// entries, because it is slow, partitioned or new, finds out at the next comparison of summaries (every
// second, with a random member), and requests them in chunks, at its own pace. A member that has just started
// does so at once, and is `current` when it has everything that its donor had at that time.
#ifndef KESTRELLINE_REPLICA_NODE_H_
#define KESTRELLINE_REPLICA_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peers/node.h"
#include "replica/handoff.h"
#include "replica/message.h"
#include "replica/pending_claims.h"
#include "replica/puller.h"
#include "replica/store.h"
#include "replica/wire.h"

namespace kestrelline::replica {

struct Outgoing {
  std::vector<peers::Address> to;
  wire::Bytes body;
};

// State changes that are logged and counted for operators.
struct Event {
  enum class Kind {
    kCurrent,     // has caught up with `peer`; if that is empty, no other member has more
    kCatchingUp,  // has chosen `peer` as its donor
    // Differs from `peer` repeatedly in the entries of `origin` after `after` and up to `upto`.
    kRepeatedDifference,
    kEvicted,        // `count` entries were evicted since the last such event
    kOriginChanged,  // another process uses the same origin
  };
  static constexpr std::size_t kKinds = 5;
  Kind kind;
  std::string peer;
  Origin origin = 0;
  Seq after = 0, upto = 0;
  std::uint64_t count = 0;
};

class Node {
 public:
  struct Times {
    Span update_delay = std::chrono::milliseconds(10);        // maximum, from a write until it is sent
    Span urgent_update_delay = std::chrono::milliseconds(1);  // the same while a request waits
    // From the last update until the own position is announced again, so that receivers notice a lost update.
    Span reannounce_delay = std::chrono::milliseconds(50);
    Span compare_interval = std::chrono::milliseconds(1000);
    Span response_timeout = std::chrono::milliseconds(50);  // for a requested chunk
    // A member that has met no other member for this long after its start counts as current.
    Span alone_timeout = std::chrono::milliseconds(3000);
  };
  struct Options {
    std::string name{}, zone{};
    std::uint64_t seed = 0;
    std::size_t max_entries = 100000;
    std::uint64_t bytes_per_s = 4 << 20;  // send rate; claims that a request waits for may exceed it
    Times times{};
  };
  static constexpr std::size_t kMaxDirectRecipients = 48;  // members that get every update
  static constexpr std::size_t kFanout = 6;                // recipients of an update in larger fleets
  static constexpr std::size_t kMaxChunkDatagrams = 16;    // per pull request
  static constexpr std::size_t kMaxSummaryDatagrams = 4;
  static constexpr std::size_t kDepartureRecipients = 3;  // members that are told of a departure
  static constexpr int kDepartureTries = 20;              // each with times.response_timeout

  Node(Options options, Time now);

  // Membership changes, in the order in which they occur.
  void OnPeer(Time now, const peers::Event& event);
  // `boot`: boot number of the sender, at `from`. From a sender that isn't a known member (a process whose
  // name has gone to its successor, or a new one) only entries are accepted.
  void Receive(Time now, std::uint64_t boot, const peers::Address& from, const Message& message);
  void Tick(Time now);
  Time NextDue() const;

  // Writes an entry that is valid from now on, for `lifetime`: here at once, at other members once the update
  // arrives. Returns 0 if there is no room.
  Seq Write(Time now, const Subject& subject, Span lifetime, std::uint32_t value);
  // The same. The verdict on `id` is available when `k` other members hold the entry, or after `within`. See
  // pending_claims.h.
  void WriteAndWait(Time now, PendingClaims::Id id, const Subject& subject, Span lifetime,
                    std::uint32_t value, std::size_t k, Span within);

  // This process is about to stop: other members are asked to fetch what only it has. To be called again
  // after the last write.
  void Leave(Time now);
  // Another process has taken over this one's name: it gets all entries held here. What this one still writes
  // goes to all members.
  void HandOver(Time now, const peers::Address& successor);
  // After Leave or HandOver: all own entries are held by another process too, or no process fetches them.
  bool MayExit() const;

  std::vector<Outgoing> TakeOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }
  std::vector<std::pair<PendingClaims::Id, PendingClaims::Verdict>> TakeVerdicts() {
    return pending_claims_.TakeVerdicts();
  }

  bool HasVerdicts() const { return pending_claims_.has_verdicts(); }

  // Identifies the member that writes a stream.
  static std::uint64_t OwnerOf(std::string_view name);

  const Store& store() const { return store_; }
  bool current() const { return current_; }
  std::size_t present() const { return present_; }  // other members that are believed to run
  std::size_t members() const;                      // including failed ones and this one
  // Digest of all valid entries, of all origins.
  std::uint64_t Digest(Time now) const;
  struct PeerState {
    std::string name;
    bool present = false, current = false;
    std::uint64_t behind = 0;  // own entries that the peer lacked by its last summary
  };
  std::vector<PeerState> Peers() const;
  std::uint64_t repaired() const { return repaired_; }  // differences found between copies

 private:
  struct Peer {
    std::uint64_t boot = 0;
    std::uint64_t owner = 0;
    std::string zone;
    peers::Address address;
    // consulted: it has been the donor and has sent all its summaries.
    bool present = false, current = false, consulted = false;
    Seq has = 0;  // it has this node's own entries up to here
  };
  using PeerMap = std::map<std::string, Peer, std::less<>>;

  const PeerMap::value_type* FindByBoot(std::uint64_t boot) const;
  // All present members; unless `all` is set, some random ones of many.
  std::vector<peers::Address> Recipients(bool all);
  Message NewMessage(Message::Kind kind, std::uint64_t number = 0) const;
  void Send(std::vector<peers::Address> to, const Message& message, bool urgent = false);
  void SendUpdates(Time now);
  void Reannounce(Time now);
  void AnnounceDeparture(Time now);
  bool OwnEntriesReplicated() const;  // at least one other member has all own entries
  void Acknowledge(Time now, const Message& update, const peers::Address& to);
  RangeDigests DigestsOf(Origin origin, std::uint64_t as_of_ms, Seq after, Seq upto) const;
  void Retransmit(Time now);
  void SendSummaries(Time now, const peers::Address& to, bool wants_reply);
  void RequestMissing(Time now);
  void Compare(Time now, const CopySummary& summary, const PeerMap::value_type& peer);
  void OnRangeDigests(Time now, const RangeDigests& theirs, const PeerMap::value_type& peer);
  void SendExtraEntries(Time now, const Message& ranges, const PeerMap::value_type& peer);
  void MergeInterval(Time now, const Interval& interval, const std::string& from);
  void CatchUp(Time now);
  void OnUnknownSender(Time now, const peers::Address& from, const Message& message);
  void RefillAllowance(Time now);

  Options options_;
  std::mt19937_64 random_;
  Store store_;
  PendingClaims pending_claims_;
  Puller puller_;
  Handoff handoff_;
  std::optional<peers::Address> successor_;
  PeerMap peers_;
  std::map<std::uint64_t, std::string> by_boot_;
  std::size_t present_ = 0;
  Seq announced_upto_ = 0;            // own entries up to here have been sent
  std::map<Origin, Seq> to_forward_;  // in large fleets: entries to forward, from where on
  std::optional<Time> update_due_;
  Time update_sent_{}, compare_due_{}, start_{}, housekeeping_due_{}, refilled_{};
  double byte_allowance_ = 0;
  bool current_ = false;
  std::string donor_;  // the member that this one catches up with
  int donor_requests_ = 0, reannouncements_left_ = 0;
  Time reannounce_due_ = Time::max();
  Time departure_due_ = Time::max();  // max: not departing
  int departure_tries_ = 0;
  std::size_t summary_offset_ = 0;
  std::map<Origin, int> difference_counts_;
  std::uint64_t repaired_ = 0, evictions_reported_ = 0;
  std::vector<Outgoing> outgoing_;
  std::vector<Event> events_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_NODE_H_

// SPDX-License-Identifier: Apache-2.0
//
// The protocol of one proxy among its peers: keeps the membership view, probes members for failures (SWIM
// with Lifeguard's extensions), and spreads updates by gossip and anti-entropy. No I/O, no clock: each call
// passes the time, and callers collect datagrams and events. The same code runs in the daemon and in
// simulations.
//
//   node.Receive(now, message);  node.Tick(now);  // at NextDue(), or later
//   for (auto& out : node.TakeOutgoing()) ...
//   for (auto& event : node.TakeEvents()) ...
#ifndef KESTRELLINE_PEERS_NODE_H_
#define KESTRELLINE_PEERS_NODE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "peers/connectivity.h"
#include "peers/exchange.h"
#include "peers/gossip.h"
#include "peers/message.h"
#include "peers/name_conflict.h"
#include "peers/prober.h"
#include "peers/times.h"
#include "peers/view.h"

namespace kestrelline::peers {

// A change of the view or of this proxy's own standing, to be logged and counted.
struct Event {
  enum class Kind {
    kJoined,     // first heard of this member
    kSuspected,  // did not answer a probe, or is suspected by others
    kCleared,    // refuted the suspicion
    kFailed,
    kReturned,  // back after it had failed or left, or restarted
    kLeaving,
    kLeft,
    kWhole,  // connectivity changed; see Connectivity
    kPart,
    kAlone,
    kAccused,      // others held this proxy for faulty or left; it refutes that
    kNameHeld,     // another process holds this one's name; this one becomes passive
    kNameTaken,    // another process uses this one's name; this one keeps it
    kNameRegained  // the other process is gone. Last value: kKinds depends on it
  };
  static constexpr std::size_t kKinds = static_cast<std::size_t>(Kind::kNameRegained) + 1;
  Kind kind;
  Member member;  // the subject; this proxy if connectivity changed
};
const char* NameOf(Event::Kind kind);

// See the head of this file.
class Node {
 public:
  struct Options {
    std::string name{}, zone{}, version{};
    std::uint64_t boot = 0, seed = 0;
    Address address{};             // where others reach this proxy
    std::vector<Address> seeds{};  // may include this proxy's own address
    std::uint8_t wire = 2;         // the newest datagram format that it writes and reads
    Times times{};
  };

  Node(Options options, Time now);

  // `message` must have been authenticated (authenticator.h).
  void Receive(Time now, const Message& message);
  // Does everything that is due at `now`.
  void Tick(Time now);
  Time NextDue() const;

  void Leave(Time now);         // announces that this proxy drains; it still answers
  void CancelLeave(Time now);   // back to alive
  void AnnounceLeft(Time now);  // announces its end at once, and then stops for good

  std::vector<Outgoing> TakeOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

  const View& view() const { return view_; }
  const Member& self() const { return view_.self(); }
  Connectivity connectivity() const { return connectivity_.current(); }
  // Whether all members heard from within Times::recent_contact report the same view hash as this proxy.
  bool Settled(Time now) const;
  bool displaced() const { return displaced_; }  // whether another process holds its name
  // 0: healthy; see Health.
  int health() const { return prober_.health().score(); }

 private:
  // A ping sent on behalf of another member, whose answer is to be forwarded.
  struct RelayedPing {
    Address to;
    std::uint8_t wire;
    std::uint64_t number;
    std::string target;
    std::uint64_t target_boot;
    Time until;
  };
  static constexpr std::size_t kMaxPendingRelays = 256, kMaxDatagramsPerExchange = 6, kMaxLeaveNotices = 16;

  // Shifts deadlines if this process has not run for a while.
  void HandlePause(Time now);
  void Merge(Time now, const Statement& statement, Source source);
  void OnStatementAboutSelf(Time now, const Member& said, bool direct);
  void EmitEvent(Event::Kind kind, const Member& member) { events_.push_back({kind, member}); }
  void SetSelf(Time now, std::uint64_t incarnation, State state);
  Time SuspicionDeadline(const std::string& name, Time since) const;
  void Suspect(Time now, View::Entry& entry, std::uint32_t accuser);
  void Expire(Time now);
  void Probe(Time now);
  void OnFailed(Time now, const Prober::Step& step);
  void SendDigest(Time now);
  void CheckNameHolder(Time now);
  void ContactAbsentPeers(Time now);
  void UpdateConnectivity(Time now);
  void Ping(const Member& member, std::uint64_t number);

  Message NewMessage(Message::Kind kind) const;
  void Send(const Address& to, std::uint8_t wire, std::string_view name, Message message);
  void SendDatagrams(const Member& to, std::vector<Message> datagrams);
  std::uint32_t OwnHash() const;

  Options options_;
  View view_;
  Gossip gossip_;
  Prober prober_;
  NameConflict conflict_;
  StableConnectivity connectivity_;
  std::map<std::string, Time, std::less<>> suspicions_;  // name -> start of the suspicion
  std::map<std::uint64_t, RelayedPing> relayed_pings_;
  std::vector<Outgoing> outgoing_;
  std::vector<Event> events_;
  Time start_{}, digest_due_{}, contact_due_{}, forget_due_{}, due_{};
  // While displaced: when the holder of the name is contacted next, and how many requests in a row it has
  // left unanswered.
  Time holder_check_due_{};
  int unanswered_holder_checks_ = 0;
  int unanswered_contacts_ = 0;
  bool displaced_ = false, stopped_ = false;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_NODE_H_

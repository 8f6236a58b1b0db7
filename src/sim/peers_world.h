// SPDX-License-Identifier: Apache-2.0
//
// Proxies and their view of each other in virtual time: the code of the daemon, a network with faults, and
// the truth to compare the views with.
//
// Every datagram goes through the bytes of its wire form. Time is that of the world alone.
#ifndef KESTRELLINE_SIM_PEERS_WORLD_H_
#define KESTRELLINE_SIM_PEERS_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peers/node.h"
#include "quota/node.h"
#include "replica/node.h"
#include "sim/kernel.h"
#include "standin/net_faults.h"

namespace kestrelline::sim {

class PeersWorld {
 public:
  struct Options {
    int members = 5;
    int zones = 1;
    int seeds = 2;  // each member knows so many addresses, its own may be among them
    std::uint64_t seed = 1;
    peers::Times times{};
    Microseconds delay{200}, jitter{300};  // of the network when nothing is wrong
    std::uint8_t wire = 2;
    // What they share beside the view; nothing without it. Names, zones and seeds are the members'.
    std::optional<replica::Node::Options> replica{};
    // What they divide; the same.
    std::optional<quota::Node::Options> concert{};
  };
  struct Totals {
    std::uint64_t datagrams = 0, bytes = 0;
    std::uint64_t shared_datagrams = 0, shared_bytes = 0;    // of these, of what is shared
    std::uint64_t divided_datagrams = 0, divided_bytes = 0;  // and of what is divided
    std::uint64_t false_failures = 0;                        // said of a member that ran, and had for 5 s
    double unpaused_member_hours = 0;
  };

  // Within which all of a start begin, and from SIGTERM to the end.
  static constexpr Microseconds kStartsWithin{200000}, kLeaves{500000};

  // In a time of its own, or that of `kernel`, which must outlive it.
  explicit PeersWorld(Options options, Kernel* kernel = nullptr);

  // Starts all of them, within kStartsWithin.
  void StartAll();
  void Start(int member);                 // as a new process: another boot
  void StartAt(int member, int address);  // at an address other than its own
  void Kill(int member);
  void Leave(int member);  // as by SIGTERM: leaving, then gone after kLeaves
  void Pause(int member);
  void Resume(int member);
  void Run(Microseconds lasts);
  // Runs until `test` holds, looking each 10 ms; false if it does not within `most`. How long it took.
  std::optional<Microseconds> RunUntil(const std::function<bool()>& test, Microseconds most);

  // The boot of the next start is one more: a clock that is set back makes it less than an earlier one.
  void SetClock(std::uint64_t boots) { boots_ = boots; }

  // Every running, unpaused member of each group knows as present just those that run in its own group: the
  // truth, given which links are up. Without groups: one of all.
  bool Agree(const std::vector<std::vector<int>>& groups = {}) const;
  bool AllSettled() const;
  // Those that run and are not paused, by whom links in both directions join, if by way of others: each asks
  // the others' help to reach whom it cannot.
  std::vector<std::vector<int>> Parts() const;
  // What each that runs holds, for whoever looks into a failure.
  std::string Told() const;

  standin::NetFaults& net() { return net_; }
  Kernel& kernel() { return kernel_; }
  peers::Node* node(int member) { return members_[static_cast<std::size_t>(member)].node.get(); }
  // To write to it, or look: what it has to say goes out after Flush.
  replica::Node* replica(int member) { return members_[static_cast<std::size_t>(member)].replica.get(); }
  quota::Node* concert(int member) { return members_[static_cast<std::size_t>(member)].concert.get(); }
  bool paused(int member) const { return members_[static_cast<std::size_t>(member)].paused; }
  void Flush(int member);
  bool runs(int member) const { return members_[static_cast<std::size_t>(member)].node != nullptr; }
  peers::Time Now() const { return TimeOf(kernel_.now()); }
  // What members take a moment of the kernel's for, and the last moment that is no later.
  static peers::Time TimeOf(Microseconds at);
  static Microseconds MomentOf(peers::Time at);
  const Totals& totals() const { return totals_; }
  static std::string Name(int member) { return "n" + std::to_string(member); }

  // Of every member, as they come.
  std::function<void(int member, const peers::Event&)> on_event;
  std::function<void(int member, const replica::Event&)> on_shared;
  std::function<void(int member, const quota::Event&)> on_divided;
  std::function<void(int member, const quota::Node::ShareLease&)> on_share_lease;  // each that is another
  std::function<void(int member, replica::PendingClaims::Id, replica::PendingClaims::Verdict)> on_verdict;

 private:
  // What comes to a process: one of them.
  struct Parcel {
    std::shared_ptr<const peers::Message> message{};
    std::shared_ptr<const replica::Message> shared{};
    std::shared_ptr<const quota::Message> divided{};
    std::uint64_t boot = 0;  // of who sent it
    peers::Address from{};   // the same
  };
  struct Process {
    std::unique_ptr<peers::Node> node;
    std::unique_ptr<replica::Node> replica;
    std::unique_ptr<quota::Node> concert;
    quota::Node::ShareLease told{-1, {}, -1};
    std::uint64_t life = 0;  // one more with each start and end: what was meant for another one is void
    int address = 0;
    bool paused = false, ticking = false;
    Microseconds due{0}, resumed{-60000000};
    std::vector<Parcel> waiting;  // while paused
  };

  void Arm(int member);
  void Post(int member, const peers::Address& to, std::size_t bytes, Parcel parcel);
  void Deliver(int member, const Parcel& parcel);
  void Receive(Process& process, const Parcel& parcel);

  Options options_;
  std::unique_ptr<Kernel> own_;
  Kernel& kernel_;
  standin::NetFaults net_;
  std::vector<Process> members_;
  std::map<int, int> at_;  // who is at an address
  std::uint64_t boots_ = 0;
  Totals totals_;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_PEERS_WORLD_H_

// SPDX-License-Identifier: Apache-2.0
//
// A control plane in virtual time: the daemon's own code for replication, orders, publication and
// subscription, with machines whose clocks drift, processes that stand still, disks that are slow, full, torn
// or lost, links that lose, hold and delay, operators whose answers are lost, and proxies that follow. Every
// step is audited. One seed, one history.
#ifndef KESTRELLINE_CONTROL_SIM_WORLD_H_
#define KESTRELLINE_CONTROL_SIM_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control_plane/replica.h"
#include "control_sim/audit.h"
#include "control_sim/simulated_proxy.h"
#include "distribution/publication.h"

namespace kestrelline::control_sim {

using control_plane::Change;
using control_plane::Persist;
using control_plane::PersistentState;
using control_plane::Replica;
using control_plane::ReplicaOptions;
using control_plane::Role;

struct WorldOptions {
  int members = 3;
  int founders = 3;  // named as seeds
  int max_lost_members = 1;
  int proxies = 0;
  std::uint64_t seed = 1;
  double loss = 0;      // of messages between members
  double straggle = 0;  // of these messages, that come up to most_straggle late and out of order
  Duration most_straggle{2500};
  Duration most_delay{4};
  Duration sync{5};
  Duration start_spread{0};       // the machines of the first start come up within this
  double drift = 0;               // most, of a steady clock's rate, either way
  double lost_answers = 0;        // of the answers to operators
  std::ostream* trace = nullptr;  // a line whenever a role, an epoch, a version or a member changes
};

// An operator's order on its way: sent again, to one member after the other, until it has a verdict.
struct OrderInProgress {
  OperatorOrder order;
  std::optional<Outcome> verdict;
  int sends = 0;
};

class World {
 public:
  static constexpr Duration kStep{10};

  explicit World(WorldOptions options);

  // --- machines ---

  static std::string NameOf(int index) { return "10.0.0." + std::to_string(index + 1); }
  const std::vector<std::string>& names() const { return names_; }
  std::vector<std::string> Except(const std::string& one) const;
  // A machine with an empty disk that was not there at the first start.
  std::string AddMachine(bool bootstrap = false);
  void Start(const std::string& name);
  // The process ends. What it had handed to the disk is written if the power stays, else a part of it.
  void Kill(const std::string& name, bool power_stays = true);
  // As Kill, right before or after the machine's next `events` messages and syncs.
  void KillAfterEvents(const std::string& name, int events, bool power_stays);
  void CancelKill(const std::string& name) { machines_[name].kill_after = 0; }
  void Wipe(const std::string& name);
  // Something was stored and can't be read: what Store::Load then says.
  void DamageDisk(const std::string& name);
  // SIGTERM: the process ends when it may.
  void Stop(const std::string& name);
  bool Stopping(const std::string& name) const { return Running(name) && machines_.at(name).stopping; }
  void SetBootstrap(const std::string& name) { machines_[name].bootstrap = true; }
  // The process stands still; its clock goes on, messages and completions wait.
  void Freeze(const std::string& name, Duration span);
  // All that stand still go on.
  void ThawAll();
  bool Running(const std::string& name) const { return machines_.at(name).replica != nullptr; }
  Replica& replica(const std::string& name) { return *machines_[name].replica; }
  const PersistentState& disk(const std::string& name) const { return machines_.at(name).disk; }

  // --- links and disks ---

  void Cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void CutOff(const std::string& name);
  // Messages wait until HealAll and come then, in order.
  void Hold(const std::string& from, const std::string& to) { holds_.insert({from, to}); }
  void HealAll();
  void SetDiskFull(const std::string& name, bool full) { machines_[name].disk_full = full; }
  void SetSync(const std::string& name, Duration sync) { machines_[name].sync = sync; }
  // What that member sends and gets takes this long; 0: no limit.
  void SetLinkRate(const std::string& name, double bytes_per_ms) {
    machines_[name].bytes_per_ms = bytes_per_ms;
  }
  // Bytes of records that were sent to that member so far.
  std::size_t RecordBytesTo(const std::string& name) const;

  // --- time ---

  Time now() const { return now_; }
  void Run(Duration span);
  bool RunUntil(const std::function<bool()>& done, Duration at_most);
  std::string Leader();
  bool RunUntilLed(Duration at_most = Duration(8000));
  // Whether the newest record is committed and on disk at every elector, none of them in a joint electorate.
  bool FullyReplicated();

  // --- operators ---

  // Straight to the leader, if there is one; true if it was sent.
  bool Order(std::uint64_t version, std::uint64_t builds_on, const std::string& body);
  void OrderAt(const std::string& name, std::uint64_t version, std::uint64_t builds_on,
               const std::string& body);
  // Of the newest order of these two that was decided.
  std::optional<Outcome> last_outcome() const { return last_outcome_; }
  // As an operator does it: members in turn, answers that get lost, the same order again.
  std::shared_ptr<OrderInProgress> Submit(const OperatorOrder& order);
  std::uint64_t newest_acknowledged() const { return audit_.newest(); }

  // --- proxies ---

  std::size_t proxies() const { return proxies_.size(); }
  SimulatedProxy& proxy(std::size_t index) { return *proxies_[index].proxy; }
  void RestartProxy(std::size_t index, std::vector<std::string> seeds = {});
  void FreezeProxy(std::size_t index, Duration span) { proxies_[index].frozen_until = now_ + span; }
  void CutProxy(std::size_t index, const std::string& member) {
    Cut(ProxyName(index), member);
    Cut(member, ProxyName(index));
  }
  static std::string ProxyName(std::size_t index) { return "10.1.0." + std::to_string(index + 1); }

  Audit& audit() { return audit_; }
  // What went wrong so far, with the seed; empty if nothing did.
  std::string broken() const;
  // What each member is and holds, in one line.
  std::string State() const;
  std::mt19937_64& random() { return random_; }

 private:
  struct Subscriber {
    std::size_t proxy = 0;
    std::uint64_t connection = 0;
    distribution::SubscriberState state;
  };
  struct Machine {
    bool bootstrap = false;
    std::vector<std::string> seeds;
    std::unique_ptr<Replica> replica;
    PersistentState disk;
    std::vector<Persist> writing;
    bool disk_full = false;
    Duration sync{0};
    Time disk_free_at{0};
    std::uint64_t life = 0;
    std::uint64_t seen_version = 0;  // committed, in this life
    std::uint64_t seen_life = 0;
    double clock_rate = 1;
    Duration clock_offset{0};
    Time frozen_until{0};
    std::deque<std::function<void()>> waiting;  // while it stands still
    int kill_after = 0;                         // events; 0: not to be killed
    bool kill_keeps_power = true;
    bool stopping = false;
    std::map<std::string, Subscriber> subscribers;
    wire::RecordPtr published;
    Time next_publication{0};
    Time last_change_published{-100000};
    std::optional<Time> leading_since;
    Time next_stage_order{0};
    double bytes_per_ms = 0;       // of its link; 0: no limit
    std::size_t record_bytes = 0;  // sent to it
  };
  struct Proxy {
    std::unique_ptr<SimulatedProxy> proxy;
    Time frozen_until{0};
    std::uint64_t life = 0;
    std::deque<std::function<void()>> waiting;
  };
  struct Pending {
    std::string at;
    std::uint64_t number = 0;
    std::uint64_t life = 0;
    OperatorOrder order;
    std::function<void(Outcome)> answer;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  using Pair = std::pair<std::string, std::string>;

  // Whom new settings name as seeds: up to three that serve, else those who founded the system.
  std::vector<std::string> ListedMembers();
  Time LocalTime(const Machine& machine) const;
  // By its own clock; the process runs.
  bool Leads(const Machine& machine) const { return machine.replica->Leads(LocalTime(machine)); }
  // Runs what came while a process stood still, for as long as the process lives.
  static void TakeWaiting(std::deque<std::function<void()>>& waiting);
  void Apply(Machine& machine, const Persist& persist);
  void At(Time at, std::function<void()> run) { events_.push({at, next_event_++, std::move(run)}); }
  void Step();
  void RunEvents(Time until);
  void TickMachine(const std::string& name);
  void TickProxy(std::size_t index);
  // Runs it now, or when the machine goes on; not at all if its process has ended by then.
  void OnMachine(const std::string& name, std::uint64_t life, std::function<void()> run);
  void OnProxy(std::size_t index, std::function<void()> run);
  bool Chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
  Duration Delay(Duration most);

  void Pump(const std::string& name);
  void Transmit(const std::string& from, control_plane::Send send);
  void Deliver(const std::string& from, const std::string& to, const wire::Body& body);
  void WriteLater(const std::string& name, const Persist& persist);
  void CountEvent(const std::string& name);
  void TakeDecision(const std::string& name, const control_plane::ProposalResult& decided);

  void ProposeAt(const std::string& name, const OperatorOrder& order, std::function<void(Outcome)> answer);
  void SendOrder(const std::shared_ptr<OrderInProgress>& progress, const std::string& member, int redirects);
  std::string ListedMember();
  void AskAgain(const std::shared_ptr<OrderInProgress>& progress, int sends_before);
  void ReadSomewhere();

  void Publish(const std::string& name);
  void PublishIfDue(const std::string& name);
  void SendPublication(const std::string& member, const std::string& proxy_name, Subscriber& subscriber,
                       const distribution::PublishedState& published);
  void Connect(std::size_t index);
  void ToMember(std::size_t index, std::function<void(Machine&)> run);
  void GiveStageOrder(const std::string& name);
  void Check();
  void Trace();

  WorldOptions options_;
  std::mt19937_64 random_;
  static constexpr Time kStart{100000};
  Time now_ = kStart;
  std::vector<std::string> names_;
  std::map<std::string, Machine> machines_;
  std::vector<Proxy> proxies_;
  std::uint64_t next_connection_ = 1;
  std::set<Pair> cuts_;
  std::set<Pair> holds_;
  std::map<Pair, std::deque<std::function<void()>>> held_;
  std::map<Pair, Time> link_free_at_;  // where bytes take time
  std::map<Pair, Time> last_arrival_;  // of what goes to and from proxies, in order
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 1;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t next_key_ = 1;
  std::optional<Outcome> last_outcome_;
  Time next_read_{0};
  Audit audit_;
  std::string traced_;
};

}  // namespace kestrelline::control_sim

#endif  // KESTRELLINE_CONTROL_SIM_WORLD_H_

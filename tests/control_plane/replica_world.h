// SPDX-License-Identifier: Apache-2.0
//
// Members of the control plane in virtual time: the replica's own code, with disks, a network and an operator
// that are simulated. The operator's history is checked as it grows.
#ifndef KESTRELLINE_TESTS_CONTROL_PLANE_REPLICA_WORLD_H_
#define KESTRELLINE_TESTS_CONTROL_PLANE_REPLICA_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control_plane/replica.h"

namespace kestrelline::control_plane {

class ReplicaWorld {
 public:
  struct Options {
    int members = 3;
    int founders = 3;  // named as seeds
    int tolerated = 1;
    std::uint64_t seed = 1;
    double loss = 0;      // of messages
    double straggle = 0;  // of messages, that come up to most_straggle late
    Span most_straggle{2500};
    Span most_delay{4};
    Span sync{5};
  };
  static constexpr Span kStep{10};

  explicit ReplicaWorld(Options options) : options_(options), random_(options.seed) {
    for (int i = 0; i < options.members; ++i) AddMachine(true);
    for (const std::string& name : names_) Start(name);
  }

  static std::string NameOf(int index) { return "10.0.0." + std::to_string(index + 1); }
  const std::vector<std::string>& names() const { return names_; }

  std::vector<std::string> Except(const std::string& one) const {
    std::vector<std::string> others;
    for (const std::string& name : names_) {
      if (name != one) others.push_back(name);
    }
    return others;
  }

  // A machine with an empty disk that was not there at the first start.
  std::string AddMachine(bool bootstrap = false) {
    const std::string name = NameOf(static_cast<int>(names_.size()));
    names_.push_back(name);
    machines_[name].bootstrap = bootstrap;
    return name;
  }
  void Start(const std::string& name) {
    Machine& machine = machines_[name];
    ReplicaOptions options;
    options.self = name;
    options.bootstrap = machine.bootstrap;
    options.tolerated = options_.tolerated;
    for (int i = 0; i < options_.founders; ++i) options.seeds.push_back(NameOf(i));
    options.random_seed = random_();
    machine.replica = std::make_unique<Replica>(options, machine.disk, now_);
    machine.bootstrap = false;
    ++machine.life;
  }
  // The process ends; what it had handed to the disk is written if `power` stays.
  void Kill(const std::string& name, bool power_stays = true) {
    Machine& machine = machines_[name];
    machine.replica = nullptr;
    ++machine.life;
    for (const Persist& persist : machine.writing) {
      if (power_stays && !machine.disk_full) Apply(machine, persist);
    }
    machine.writing.clear();
    for (auto& [number, order] : pending_) {
      if (order.at == name) order.lost = true;
    }
  }
  void Wipe(const std::string& name) {
    Kill(name, false);
    machines_[name].disk = {};
  }
  bool Running(const std::string& name) const { return machines_.at(name).replica != nullptr; }
  void Cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void CutOff(const std::string& name) {
    for (const std::string& other : names_) {
      if (other == name) continue;
      Cut(name, other);
      Cut(other, name);
    }
  }
  void HealAll() { cuts_.clear(); }
  void SetDiskFull(const std::string& name, bool full) { machines_[name].disk_full = full; }
  void SetSync(const std::string& name, Span sync) { machines_[name].sync = sync; }
  Replica& replica(const std::string& name) { return *machines_[name].replica; }
  Time now() const { return now_; }

  void Run(Span span) {
    for (const Time until = now_ + span; now_ < until;) Step();
  }
  bool RunUntil(const std::function<bool()>& done, Span at_most) {
    for (const Time until = now_ + at_most; now_ < until;) {
      if (done()) return true;
      Step();
    }
    return done();
  }
  std::string Leader() const {
    for (const auto& [name, machine] : machines_) {
      if (machine.replica && machine.replica->Leads(now_)) return name;
    }
    return "";
  }
  bool RunUntilLed(Span at_most = Span(8000)) {
    return RunUntil([this] { return !Leader().empty(); }, at_most);
  }

  // Sends an order to the leader, if there is one; true if it was sent.
  bool Order(std::uint64_t version, std::uint64_t builds_on, const std::string& body) {
    const std::string leader = Leader();
    if (leader.empty()) return false;
    OrderAt(leader, version, builds_on, body);
    return true;
  }
  std::uint64_t OrderAt(const std::string& name, std::uint64_t version, std::uint64_t builds_on,
                        const std::string& body) {
    Change change{version, builds_on, {std::hash<std::string>{}(body), version}, body};
    const std::uint64_t number = replica(name).Propose(now_, change);
    const std::uint64_t key = next_key_++;
    pending_[key] = {name, number, machines_[name].life, version, builds_on, body, false};
    last_outcome_.reset();
    Pump(name);
    return key;
  }
  // Of the newest order that was decided.
  std::optional<Outcome> last_outcome() const { return last_outcome_; }
  const std::string& last_decided_body() const { return last_body_; }
  std::uint64_t newest_acknowledged() const { return newest_; }
  // What went wrong so far; empty if nothing did.
  const std::string& broken() const { return broken_; }
  std::mt19937_64& random() { return random_; }

 private:
  struct Machine {
    bool bootstrap = false;
    std::unique_ptr<Replica> replica;
    Stored disk;
    std::vector<Persist> writing;
    bool disk_full = false;
    Span sync{0};
    std::uint64_t life = 0;
    std::uint64_t seen_version = 0;  // committed, in this life
    std::uint64_t seen_life = 0;
  };
  struct Pending {
    std::string at;
    std::uint64_t number = 0;
    std::uint64_t life = 0;
    std::uint64_t version = 0;
    std::uint64_t builds_on = 0;
    std::string body;
    bool lost = false;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  static void Apply(Machine& machine, const Persist& persist) {
    machine.disk.promised = persist.promised;
    if (persist.record) machine.disk.record = persist.record;
  }
  void At(Time at, std::function<void()> run) { events_.push({at, next_event_++, std::move(run)}); }

  void Step() {
    const Time until = now_ + kStep;
    while (!events_.empty() && events_.top().at <= until) {
      const auto run = events_.top().run;
      now_ = std::max(now_, events_.top().at);
      events_.pop();
      run();
    }
    now_ = until;
    for (const std::string& name : names_) {
      if (!Running(name)) continue;
      replica(name).Tick(now_);
      Pump(name);
    }
    Check();
  }

  void Pump(const std::string& name) {
    Machine& machine = machines_[name];
    for (Effect& effect : machine.replica->TakeEffects()) {
      if (auto* send = std::get_if<Send>(&effect)) {
        Transmit(name, std::move(*send));
      } else if (auto* persist = std::get_if<Persist>(&effect)) {
        WriteLater(name, std::move(*persist));
      } else if (const auto* decided = std::get_if<Decided>(&effect)) {
        TakeDecision(name, *decided);
      }
    }
  }
  void Transmit(const std::string& from, Send send) {
    if (!machines_.contains(send.to) || std::bernoulli_distribution(options_.loss)(random_)) return;
    const bool late = std::bernoulli_distribution(options_.straggle)(random_);
    const Span most = late ? options_.most_straggle : options_.most_delay;
    const auto delay =
        Span(1 + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most.count())));
    At(now_ + delay, [this, from, send = std::move(send)] {
      if (cuts_.contains({from, send.to}) || !Running(send.to)) return;
      replica(send.to).Receive(now_, from, send.body);
      Pump(send.to);
    });
  }
  void WriteLater(const std::string& name, Persist persist) {
    Machine& machine = machines_[name];
    machine.writing.push_back(persist);
    const Span sync = machine.sync > Span(0) ? machine.sync : options_.sync;
    At(now_ + sync, [this, name, life = machine.life, ticket = persist.ticket] {
      Machine& then = machines_[name];
      if (then.life != life || !then.replica) return;
      const auto found = std::find_if(then.writing.begin(), then.writing.end(),
                                      [ticket](const Persist& entry) { return entry.ticket == ticket; });
      if (found == then.writing.end()) return;
      const bool written = !then.disk_full;
      if (written) Apply(then, *found);
      then.writing.erase(found);
      then.replica->Persisted(now_, ticket, written);
      Pump(name);
    });
  }
  void TakeDecision(const std::string& name, const Decided& decided) {
    const auto found = std::find_if(pending_.begin(), pending_.end(), [&](const auto& entry) {
      return entry.second.at == name && entry.second.number == decided.order &&
             entry.second.life == machines_[name].life;
    });
    if (found == pending_.end()) {
      // Decided while it was being proposed: its entry is made right after.
      last_outcome_ = decided.outcome;
      return;
    }
    const Pending order = found->second;
    pending_.erase(found);
    last_outcome_ = decided.outcome;
    last_body_ = order.body;
    if (decided.outcome == Outcome::kTaken) Acknowledge(order);
    if (decided.outcome == Outcome::kConflict || decided.outcome == Outcome::kOldVersion) Refuse(order);
  }
  void Acknowledge(const Pending& order) {
    const auto same = acknowledged_.find(order.version);
    if (same != acknowledged_.end() && same->second != order.body) Break("two changes under one version");
    const auto base = successor_of_.find(order.builds_on);
    if (base != successor_of_.end() && base->second != order.version)
      Break("two changes built on one version");
    acknowledged_[order.version] = order.body;
    successor_of_[order.builds_on] = order.version;
    newest_ = std::max(newest_, order.version);
  }
  void Refuse(const Pending& order) {
    const auto same = acknowledged_.find(order.version);
    if (same != acknowledged_.end() && same->second == order.body)
      Break("an acknowledged change was refused");
  }

  // After every step: one leader at most; what it shows is not older than what was acknowledged; nobody goes
  // back.
  void Check() {
    int leaders = 0;
    for (auto& [name, machine] : machines_) {
      if (!machine.replica) continue;
      const wire::RecordPtr committed = machine.replica->committed();
      const std::uint64_t version = committed ? committed->version : 0;
      if (machine.replica->Leads(now_)) {
        ++leaders;
        if (version < newest_) Break("the leader shows an older configuration than was acknowledged");
      }
      if (machine.seen_life == machine.life && version < machine.seen_version) Break("a member went back");
      machine.seen_life = machine.life;
      machine.seen_version = version;
      const auto known = acknowledged_.find(version);
      if (known != acknowledged_.end() && committed->configuration != known->second) {
        Break("a version holds something else than what was acknowledged");
      }
    }
    if (leaders > 1) Break("two leaders");
  }
  void Break(const std::string& what) {
    if (broken_.empty())
      broken_ = what + " at " + std::to_string(now_.count()) + " ms, seed " + std::to_string(options_.seed);
  }

  Options options_;
  std::mt19937_64 random_;
  Time now_{1000};
  std::vector<std::string> names_;
  std::map<std::string, Machine> machines_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 1;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t next_key_ = 1;
  std::optional<Outcome> last_outcome_;
  std::string last_body_;
  std::map<std::uint64_t, std::string> acknowledged_;
  std::map<std::uint64_t, std::uint64_t> successor_of_;
  std::uint64_t newest_ = 0;
  std::string broken_;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_TESTS_CONTROL_PLANE_REPLICA_WORLD_H_

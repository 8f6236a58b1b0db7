// SPDX-License-Identifier: Apache-2.0
//
// Machines, links, disks and the steps of time. world_traffic.cpp: operators, publications, stage orders.
#include "control_sim/world.h"

#include <algorithm>

namespace kestrelline::control_sim {
World::World(WorldOptions options) : options_(options), random_(options.seed) {
  for (int i = 0; i < options.members; ++i) AddMachine(true);
  for (const std::string& name : names_) {
    if (options.start_spread == Duration(0)) {
      Start(name);
    } else {
      At(now_ + Delay(options.start_spread), [this, name] { Start(name); });
    }
  }
  for (int i = 0; i < options.proxies; ++i) {
    proxies_.emplace_back();
    RestartProxy(proxies_.size() - 1);
  }
}

std::vector<std::string> World::Except(const std::string& one) const {
  std::vector<std::string> others;
  for (const std::string& name : names_) {
    if (name != one) others.push_back(name);
  }
  return others;
}

std::string World::AddMachine(bool bootstrap) {
  std::string name = NameOf(static_cast<int>(names_.size()));
  names_.push_back(name);
  Machine& machine = machines_[name];
  machine.bootstrap = bootstrap;
  machine.seeds = ListedMembers();
  if (options_.drift > 0) {
    machine.clock_rate = std::uniform_real_distribution(1 - options_.drift, 1 + options_.drift)(random_);
    machine.clock_offset = Duration(static_cast<std::int64_t>(random_() % 1000000));
  }
  return name;
}

std::vector<std::string> World::ListedMembers() {
  constexpr std::size_t kMostSeeds = 3;
  std::vector<std::string> listed;
  for (const std::string& name : names_) {
    const bool serves = Running(name) && replica(name).role() != Role::kLearner;
    if (serves && listed.size() < kMostSeeds) listed.push_back(name);
  }
  if (!listed.empty()) return listed;
  for (int i = 0; i < options_.founders; ++i) listed.push_back(NameOf(i));
  return listed;
}

Time World::LocalTime(const Machine& machine) const {
  const auto passed = static_cast<double>((now_ - kStart).count()) * machine.clock_rate;
  return kStart + machine.clock_offset + Duration(static_cast<std::int64_t>(passed));
}

void World::Start(const std::string& name) {
  Machine& machine = machines_[name];
  ReplicaOptions options;
  options.self = name;
  options.bootstrap = machine.bootstrap;
  options.max_lost_members = options_.max_lost_members;
  options.seeds = machine.seeds;
  options.random_seed = random_();
  machine.replica = std::make_unique<Replica>(options, machine.disk, LocalTime(machine));
  machine.bootstrap = false;
  machine.stopping = false;
  machine.subscribers.clear();
  machine.published = nullptr;
  machine.leading_since.reset();
  machine.waiting.clear();
  machine.frozen_until = Time(0);
  machine.disk_free_at = now_;
  ++machine.life;
}

void World::Apply(Machine& machine, const Persist& persist) {
  machine.disk.promised = persist.promised;
  machine.disk.disk = persist.disk;
  machine.disk.ever_written = true;
  if (persist.record) machine.disk.record = persist.record;
}

void World::Kill(const std::string& name, bool power_stays) {
  Machine& machine = machines_[name];
  if (!machine.replica) return;
  machine.replica = nullptr;
  ++machine.life;
  // Writes are synced in order: at a loss of power the first ones may be there, the later ones are not.
  const std::size_t kept = power_stays ? machine.writing.size() : random_() % (machine.writing.size() + 1);
  for (std::size_t i = 0; i < kept && !machine.disk_full; ++i) Apply(machine, machine.writing[i]);
  machine.writing.clear();
  machine.waiting.clear();
  machine.kill_after = 0;
  std::erase_if(pending_, [&name](const auto& entry) { return entry.second.at == name; });
}

void World::KillAfterEvents(const std::string& name, int events, bool power_stays) {
  machines_[name].kill_after = std::max(1, events);
  machines_[name].kill_keeps_power = power_stays;
}

void World::CountEvent(const std::string& name) {
  Machine& machine = machines_[name];
  if (machine.kill_after == 0 || --machine.kill_after > 0) return;
  Kill(name, machine.kill_keeps_power);
}

void World::Wipe(const std::string& name) {
  Kill(name, false);
  machines_[name].disk = {};
}

void World::DamageDisk(const std::string& name) {
  Kill(name, false);
  machines_[name].disk = {};
  machines_[name].disk.ever_written = true;
}

void World::Stop(const std::string& name) {
  Machine& machine = machines_[name];
  if (!machine.replica) return;
  machine.stopping = true;
  machine.replica->Leave(LocalTime(machine));
  Pump(name);
}

void World::Freeze(const std::string& name, Duration span) { machines_[name].frozen_until = now_ + span; }

void World::ThawAll() {
  for (auto& [name, machine] : machines_) machine.frozen_until = Time(0);
  for (Proxy& proxy : proxies_) proxy.frozen_until = Time(0);
}

void World::CutOff(const std::string& name) {
  for (const std::string& other : names_) {
    if (other == name) continue;
    Cut(name, other);
    Cut(other, name);
  }
}

void World::HealAll() {
  cuts_.clear();
  holds_.clear();
  for (auto& [pair, messages] : std::exchange(held_, {})) {
    for (auto& message : messages) At(now_ + Duration(1), std::move(message));
  }
}

std::size_t World::RecordBytesTo(const std::string& name) const { return machines_.at(name).record_bytes; }

Duration World::Delay(Duration most) {
  return Duration(1 + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most.count())));
}

// --- time ---

void World::Run(Duration span) {
  for (const Time until = now_ + span; now_ < until;) Step();
}

bool World::RunUntil(const std::function<bool()>& done, Duration at_most) {
  for (const Time until = now_ + at_most; now_ < until;) {
    if (done()) return true;
    Step();
  }
  return done();
}

std::string World::Leader() {
  for (const auto& [name, machine] : machines_) {
    if (machine.replica && now_ >= machine.frozen_until && Leads(machine)) return name;
  }
  return "";
}

bool World::RunUntilLed(Duration at_most) {
  return RunUntil([this] { return !Leader().empty(); }, at_most);
}

bool World::FullyReplicated() {
  const std::string leader = Leader();
  if (leader.empty()) return false;
  const wire::RecordPtr newest = replica(leader).committed();
  if (!newest->next_members.empty()) return false;
  return std::all_of(newest->members.begin(), newest->members.end(), [&](const std::string& member) {
    const Machine& machine = machines_.at(member);
    const bool votes = machine.replica && machine.replica->role() != Role::kLearner;
    return votes && machine.disk.record && machine.disk.record->position >= newest->position;
  });
}

void World::RunEvents(Time until) {
  while (!events_.empty() && events_.top().at <= until) {
    const auto run = events_.top().run;
    now_ = std::max(now_, events_.top().at);
    events_.pop();
    run();
  }
  now_ = until;
}

void World::Step() {
  RunEvents(now_ + kStep);
  for (const std::string& name : names_) TickMachine(name);
  for (std::size_t i = 0; i < proxies_.size(); ++i) TickProxy(i);
  ReadSomewhere();
  Check();
  if (options_.trace != nullptr) Trace();
}

// A process that ends on the way has nothing waiting any more.
void World::TakeWaiting(std::deque<std::function<void()>>& waiting) {
  while (!waiting.empty()) {
    const auto run = std::move(waiting.front());
    waiting.pop_front();
    run();
  }
}

void World::TickMachine(const std::string& name) {
  Machine& machine = machines_[name];
  if (!machine.replica || now_ < machine.frozen_until) return;
  // After standing still, what waits in the sockets and the timers come in either order.
  const bool timers_first = machine.waiting.empty() || Chance(0.5);
  if (!timers_first) TakeWaiting(machine.waiting);
  if (!machine.replica) return;
  machine.replica->Tick(LocalTime(machine));
  Pump(name);
  TakeWaiting(machine.waiting);
  if (!machine.replica) return;
  PublishIfDue(name);
  GiveStageOrder(name);
  if (machine.stopping && machine.replica->CanStop(LocalTime(machine))) {
    machine.replica->Resign(LocalTime(machine));
    Pump(name);
    Kill(name);
  }
}

void World::OnMachine(const std::string& name, std::uint64_t life, std::function<void()> run) {
  Machine& machine = machines_[name];
  if (machine.life != life || !machine.replica) return;
  if (now_ < machine.frozen_until || !machine.waiting.empty()) {
    machine.waiting.push_back(std::move(run));
  } else {
    run();
  }
}

// --- links and disks ---

void World::Pump(const std::string& name) {
  Machine& machine = machines_[name];
  if (!machine.replica) return;
  for (control_plane::Effect& effect : machine.replica->TakeEffects()) {
    if (auto* send = std::get_if<control_plane::Send>(&effect)) {
      Transmit(name, std::move(*send));
    } else if (auto* persist = std::get_if<Persist>(&effect)) {
      WriteLater(name, *persist);
    } else if (const auto* decided = std::get_if<control_plane::ProposalResult>(&effect)) {
      TakeDecision(name, *decided);
    }
  }
}

void World::Transmit(const std::string& from, control_plane::Send send) {
  if (!machines_.contains(send.to) || Chance(options_.loss)) return;
  const bool late = Chance(options_.straggle);
  Time at = now_ + Delay(late ? options_.most_straggle : options_.most_delay);
  std::size_t bytes = 0;
  if (const auto* append = std::get_if<wire::Append>(&send.body)) {
    bytes = append->record->configuration.size();
    machines_[send.to].record_bytes += bytes;
  }
  // A slow link carries one thing after the other.
  const double rate = std::max(machines_[from].bytes_per_ms, machines_[send.to].bytes_per_ms);
  if (rate > 0) {
    Time& free_at = link_free_at_[{from, send.to}];
    free_at =
        std::max(free_at, now_) + Duration(static_cast<std::int64_t>(static_cast<double>(bytes) / rate));
    at = std::max(at, free_at);
  }
  At(at, [this, from, to = send.to, body = std::move(send.body)] { Deliver(from, to, body); });
}

void World::Deliver(const std::string& from, const std::string& to, const wire::Body& body) {
  if (cuts_.contains({from, to})) return;
  if (holds_.contains({from, to})) {
    held_[{from, to}].push_back([this, from, to, body] { Deliver(from, to, body); });
    return;
  }
  // What was sent to an earlier life of the process may reach the next one, over another connection.
  const std::uint64_t receiver = machines_[to].life;
  OnMachine(to, receiver, [this, from, to, body] {
    Machine& machine = machines_[to];
    machine.replica->Receive(LocalTime(machine), from, body);
    Pump(to);
    CountEvent(to);
  });
}

void World::WriteLater(const std::string& name, const Persist& persist) {
  Machine& machine = machines_[name];
  machine.writing.push_back(persist);
  const Duration sync = machine.sync > Duration(0) ? machine.sync : options_.sync;
  machine.disk_free_at = std::max(now_, machine.disk_free_at) + sync;
  At(machine.disk_free_at, [this, name, life = machine.life, ticket = persist.ticket] {
    Machine& then = machines_[name];
    if (then.life != life || !then.replica) return;
    const auto found = std::find_if(then.writing.begin(), then.writing.end(),
                                    [ticket](const Persist& entry) { return entry.ticket == ticket; });
    if (found == then.writing.end()) return;
    const bool written = !then.disk_full;
    if (written) Apply(then, *found);
    then.writing.erase(found);
    OnMachine(name, life, [this, name, ticket, written] {
      Machine& machine_now = machines_[name];
      machine_now.replica->Persisted(LocalTime(machine_now), ticket, written);
      Pump(name);
      CountEvent(name);
    });
  });
}

// After every step: one leader at most; nobody goes back; what is shown is what was acknowledged.
void World::Check() {
  int leaders = 0;
  for (auto& [name, machine] : machines_) {
    if (!machine.replica) continue;
    const wire::RecordPtr committed = machine.replica->committed();
    const std::uint64_t version = committed ? committed->version : 0;
    if (now_ >= machine.frozen_until && Leads(machine)) ++leaders;
    if (machine.seen_life == machine.life && version < machine.seen_version) audit_.WentBack(now_, name);
    machine.seen_life = machine.life;
    machine.seen_version = version;
    if (committed) audit_.Shown(now_, *committed);
  }
  if (leaders > 1) audit_.TwoLeaders(now_);
}

std::string World::State() const {
  std::string text;
  for (const auto& [name, machine] : machines_) {
    text += " " + name.substr(name.rfind('.') + 1) + ":";
    if (!machine.replica) {
      text += machine.disk.record ? "down" : "down,empty";
      continue;
    }
    text += control_plane::NameOf(machine.replica->role());
    if (now_ < machine.frozen_until) text += ",frozen";
    if (Leads(machine)) text += ",leads";
    text += " epoch " + std::to_string(machine.replica->epoch()) + " promised " +
            std::to_string(machine.disk.promised);
    if (machine.disk.record) {
      const wire::Record& record = *machine.disk.record;
      text += " holds " + std::to_string(record.position.epoch) + "." +
              std::to_string(record.position.sequence) + " v" + std::to_string(record.version) + " members";
      for (const std::string& member : record.members) text += " " + member.substr(member.rfind('.') + 1);
      if (!record.next_members.empty()) text += " joint";
    }
    text += ";";
  }
  return text;
}

void World::Trace() {
  std::string state = State();
  if (state == traced_) return;
  traced_ = std::move(state);
  *options_.trace << now_.count() << traced_ << '\n';
}

std::string World::broken() const {
  if (audit_.broken().empty()) return "";
  return audit_.broken() + ", seed " + std::to_string(options_.seed);
}

}  // namespace kestrelline::control_sim

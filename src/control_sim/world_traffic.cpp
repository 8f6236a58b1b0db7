// SPDX-License-Identifier: Apache-2.0
//
// What goes on around the replicas: operators and their orders, reads, publications to proxies, stage orders.
#include <algorithm>

#include "control_sim/world.h"
#include "safeguards/safeguards.h"

namespace kestrelline::control_sim {
namespace {

constexpr Duration kPublishEvery{300};
constexpr Duration kBetweenChanges{500};
constexpr Duration kOperatorPatience{1000};
constexpr Duration kOperatorPause{150};
constexpr Duration kOperatorDelay{6};
constexpr int kMostRedirects = 2;
constexpr Duration kReadEvery{200};
constexpr Duration kStageOrderEvery{400};
constexpr Duration kStageOrderMargin{600};  // beyond the lease of the orders before

}  // namespace

// --- operators ---

void World::ProposeAt(const std::string& name, const OperatorOrder& order,
                      std::function<void(Outcome)> answer) {
  Machine& machine = machines_[name];
  Change change{
      order.version, order.builds_on, {std::hash<std::string>{}(order.body), order.version}, order.body};
  // Decided as it is proposed, the number is known only afterwards.
  const std::uint64_t key = next_key_++;
  pending_[key] = {name, 0, machine.life, order, std::move(answer)};
  const std::uint64_t number = machine.replica->Propose(LocalTime(machine), std::move(change));
  pending_[key].number = number;
  Pump(name);
}

void World::TakeDecision(const std::string& name, const control_plane::ProposalResult& decided) {
  const auto found = std::find_if(pending_.begin(), pending_.end(), [&](const auto& entry) {
    return entry.second.at == name && entry.second.number == decided.proposal_id &&
           entry.second.life == machines_[name].life;
  });
  if (found == pending_.end()) return;
  const Pending order = std::move(found->second);
  pending_.erase(found);
  order.answer(decided.outcome);
}

bool World::Order(std::uint64_t version, std::uint64_t builds_on, const std::string& body) {
  const std::string leader = Leader();
  if (leader.empty()) return false;
  OrderAt(leader, version, builds_on, body);
  return true;
}

void World::OrderAt(const std::string& name, std::uint64_t version, std::uint64_t builds_on,
                    const std::string& body) {
  const OperatorOrder order{version, builds_on, body};
  last_outcome_.reset();
  ProposeAt(name, order, [this, order](Outcome outcome) {
    last_outcome_ = outcome;
    audit_.Answered(now_, order, outcome);
  });
}

std::shared_ptr<OrderInProgress> World::Submit(const OperatorOrder& order) {
  auto progress = std::make_shared<OrderInProgress>();
  progress->order = order;
  SendOrder(progress, ListedMember(), 0);
  return progress;
}

// The operator's list lags, but does not name for long who is gone.
std::string World::ListedMember() {
  constexpr double kStillListed = 0.2;
  std::string member = names_[random_() % names_.size()];
  while (!Running(member) && !Chance(kStillListed)) member = names_[random_() % names_.size()];
  return member;
}

// One call: the answer comes, gets lost, or the operator gives up and goes on to another member.
void World::SendOrder(const std::shared_ptr<OrderInProgress>& progress, const std::string& member,
                      int redirects) {
  const int sends = ++progress->sends;
  At(now_ + kOperatorPatience, [this, progress, sends] { AskAgain(progress, sends); });
  const auto answered = [this, progress, sends](Outcome outcome) {
    if (Chance(options_.lost_answers)) return;
    At(now_ + Delay(kOperatorDelay), [this, progress, sends, outcome] {
      const bool clear =
          outcome == Outcome::kCommitted || outcome == Outcome::kConflict || outcome == Outcome::kOldVersion;
      // A call that was given up has no connection left to answer on.
      if (sends != progress->sends || progress->verdict) return;
      if (!clear) return At(now_ + kOperatorPause, [this, progress, sends] { AskAgain(progress, sends); });
      progress->verdict = outcome;
      audit_.Answered(now_, progress->order, outcome);
    });
  };
  At(now_ + Delay(kOperatorDelay), [this, progress, member, redirects, answered, sends] {
    const std::uint64_t life = machines_[member].life;
    OnMachine(member, life, [this, progress, member, redirects, answered, sends] {
      Machine& machine = machines_[member];
      if (Leads(machine)) return ProposeAt(member, progress->order, answered);
      const std::string leader = machine.replica->LeaderWithinLease(LocalTime(machine));
      const bool go_on = !leader.empty() && leader != member && redirects < kMostRedirects;
      if (!go_on || sends != progress->sends) return answered(Outcome::kNotLeader);
      SendOrder(progress, leader, redirects + 1);
    });
  });
}

void World::AskAgain(const std::shared_ptr<OrderInProgress>& progress, int sends_before) {
  if (progress->verdict || progress->sends != sends_before) return;
  SendOrder(progress, ListedMember(), 0);
}

void World::ReadSomewhere() {
  if (now_ < next_read_ || names_.empty()) return;
  next_read_ = now_ + kReadEvery;
  const std::string member = names_[random_() % names_.size()];
  const Time sent = now_;
  At(now_ + Delay(kOperatorDelay), [this, member, sent] {
    OnMachine(member, machines_[member].life, [this, member, sent] {
      const Machine& machine = machines_[member];
      if (!Leads(machine)) return;
      audit_.Read(now_, sent, machine.replica->committed()->version);
    });
  });
}

// --- publications ---

void World::PublishIfDue(const std::string& name) {
  Machine& machine = machines_[name];
  const Time local = LocalTime(machine);
  const bool changed = machine.replica->committed() != machine.published &&
                       local >= machine.last_change_published + kBetweenChanges;
  if (changed) machine.last_change_published = local;
  if (changed || local >= machine.next_publication) Publish(name);
}

void World::Publish(const std::string& name) {
  Machine& machine = machines_[name];
  const Time local = LocalTime(machine);
  machine.next_publication = local + kPublishEvery;
  machine.published = machine.replica->committed();
  distribution::PublishedState published;
  if (machine.published && !machine.published->configuration.empty()) {
    published.version = machine.published->version;
    published.configuration = [record = machine.published] {
      return std::shared_ptr<const std::string>(record, &record->configuration);
    };
  }
  if (const auto certain = machine.replica->committed_confirmed_at(local)) published.age = local - *certain;
  published.control_peers = machine.replica->KnownNodes();
  for (auto& [proxy, subscriber] : machine.subscribers) SendPublication(name, proxy, subscriber, published);
}

// In order after all that was sent before on this connection.
void World::SendPublication(const std::string& member, const std::string& proxy_name, Subscriber& subscriber,
                            const distribution::PublishedState& published) {
  const std::uint64_t echo = subscriber.state.probe;
  const wire::Publication publication = distribution::Compose(subscriber.state, published);
  distribution::Advance(subscriber.state, published);
  Time& last = last_arrival_[{member, proxy_name}];
  last = std::max(last, now_ + Delay(options_.most_delay));
  const auto deliver = [this, member, proxy_name, index = subscriber.proxy,
                        connection = subscriber.connection, publication, echo] {
    OnProxy(index, [this, index, connection, publication, echo] {
      Proxy& proxy = proxies_[index];
      if (proxy.proxy->connection != connection) return;
      if (proxy.proxy->Take(now_, publication, echo)) audit_.Began(now_, proxy.proxy->version());
    });
  };
  At(last, [this, pair = Pair{member, proxy_name}, deliver] {
    if (cuts_.contains(pair)) return;
    if (holds_.contains(pair)) return held_[pair].push_back(deliver);
    deliver();
  });
}

void World::OnProxy(std::size_t index, std::function<void()> run) {
  Proxy& proxy = proxies_[index];
  if (now_ < proxy.frozen_until || !proxy.waiting.empty()) {
    proxy.waiting.push_back([this, index, life = proxy.life, run = std::move(run)] {
      if (proxies_[index].life == life) run();
    });
  } else {
    run();
  }
}

void World::RestartProxy(std::size_t index, std::vector<std::string> seeds) {
  Proxy& proxy = proxies_[index];
  if (seeds.empty()) seeds = ListedMembers();
  const std::uint64_t life = proxy.life + 1;
  proxy = {};
  proxy.life = life;
  proxy.proxy = std::make_unique<SimulatedProxy>(ProxyName(index), std::move(seeds), random_());
}

void World::ToMember(std::size_t index, std::function<void(Machine&)> run) {
  const std::string member = proxies_[index].proxy->peer;
  const std::string self = ProxyName(index);
  Time& last = last_arrival_[{self, member}];
  last = std::max(last, now_ + Delay(options_.most_delay));
  At(last, [this, member, self, run = std::move(run)] {
    if (cuts_.contains({self, member}) || !machines_.contains(member)) return;
    OnMachine(member, machines_[member].life, [this, member, run] { run(machines_[member]); });
  });
}

void World::Connect(std::size_t index) {
  SimulatedProxy& proxy = *proxies_[index].proxy;
  proxy.peer.clear();
  proxy.connection = next_connection_++;
  const auto peer = proxy.subscription().BeginAttempt(now_);
  if (!peer) return;
  proxy.peer = *peer;
  const Subscriber subscriber{
      index, proxy.connection, {proxy.known_version(), 0, proxy.subscription().FirstProbe(now_)}};
  ToMember(index, [this, member = *peer, subscriber](Machine& machine) {
    Subscriber& here = machine.subscribers[ProxyName(subscriber.proxy)];
    here = subscriber;
    Publish(member);
  });
}

void World::TickProxy(std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (now_ < proxy.frozen_until) return;
  if (Chance(0.5)) TakeWaiting(proxy.waiting);
  data_plane::Subscription& subscription = proxy.proxy->subscription();
  const bool may_try = subscription.MayRetry(now_);
  if (proxy.proxy->peer.empty() || (may_try && subscription.ShouldLeave(now_))) {
    Connect(index);
  } else if (const auto probe = subscription.NextProbe(now_)) {
    ToMember(index, [name = ProxyName(index), connection = proxy.proxy->connection,
                     value = *probe](Machine& machine) {
      const auto found = machine.subscribers.find(name);
      if (found != machine.subscribers.end() && found->second.connection == connection) {
        found->second.state.probe = value;
      }
    });
  }
  TakeWaiting(proxy.waiting);
}

// --- stage orders ---

// As ControlNode does it: the fence is the epoch, and the first order of a leader waits until none of the one
// before it can count as taking turns.
void World::GiveStageOrder(const std::string& name) {
  Machine& machine = machines_[name];
  const Time local = LocalTime(machine);
  if (!Leads(machine)) {
    machine.leading_since.reset();
    return;
  }
  if (!machine.leading_since) machine.leading_since = local;
  const Duration wait =
      Enforced(Safeguard::kFenceAfterLease) ? Audit::kOrderLease + kStageOrderMargin : Duration(0);
  if (local - *machine.leading_since < wait || local < machine.next_stage_order) return;
  machine.next_stage_order = local + kStageOrderEvery;
  audit_.Ordered(now_, name, machine.replica->epoch());
}

}  // namespace kestrelline::control_sim

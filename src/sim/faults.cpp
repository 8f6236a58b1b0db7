// SPDX-License-Identifier: Apache-2.0
//
// What goes wrong with the site: the stand-in's faults, in virtual time.
#include "standin/faults.h"

#include <algorithm>
#include <utility>

#include "hashing/mix.h"
#include "sim/simulation.h"

namespace kestrelline::sim {
namespace {

using load::Event;
using standin::Fault;

constexpr Microseconds kComing{600000};        // after SIGTERM, as src/proxy has it
constexpr Microseconds kLongestStop{3700000};  // after which a proxy that was to end is killed
constexpr Microseconds kLeastBack{1000000};

}  // namespace

void Simulation::Apply(const Fault& fault) {
  const standin::FaultKind& kind = standin::KindOf(fault.kind);
  const auto log = [&](const std::string& whom) {
    if (options_.on_log) options_.on_log(kernel_.now(), std::string(kind.name) + " " + whom);
  };
  if (kind.target == standin::Target::kDiscovery) {
    log("discovery");
    bool& state = fault.kind == Fault::Kind::kLateList ? late_list_
                  : fault.kind == Fault::Kind::kGarble ? garbled_
                                                       : discovery_down_;
    state = true;
    kernel_.After(fault.lasts, [this, &state] {
      state = false;
      Changed();
    });
    return;
  }
  if (kind.target == standin::Target::kNetwork) {
    if (peering_) peering_->Apply(fault);
    // Between proxies and servers, what is cut waits, as TCP sends it again, and comes once that is over;
    // what connects meanwhile does not come up. Other faults of the network are for datagrams.
    if (fault.kind != Fault::Kind::kCut) return log(peering_ ? fault.who : "is not played here");
    std::erase_if(cuts_, [this](const Cut& cut) { return cut.until <= kernel_.now(); });
    cuts_.push_back({fault.who, kernel_.now() + fault.lasts});
    return log(fault.who);
  }
  std::vector<standin::Candidate> candidates;
  const bool proxies = kind.target == standin::Target::kProxies;
  if (proxies) {
    for (std::size_t n = 0; n < proxies_.size(); ++n) candidates.push_back({"n" + std::to_string(n), "", 0});
  } else {
    for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
      const auto& spec = scenario_.site.converters[h];
      candidates.push_back({hosts_.id(h), spec.zone, spec.cell});
    }
  }
  for (const std::string& victim : standin::Victims(fault, candidates, scenario_.site.seed)) {
    const auto found =
        std::find_if(candidates.begin(), candidates.end(), [&](const auto& c) { return c.id == victim; });
    const auto at = static_cast<std::uint32_t>(found - candidates.begin());
    log(victim);
    proxies ? ApplyToProxy(at, fault) : ApplyTo(at, fault);
  }
}

void Simulation::ApplyTo(std::uint32_t host, const Fault& fault) {
  using enum Fault::Kind;
  const auto until = [&](auto undo) { kernel_.After(fault.lasts, undo); };
  switch (fault.kind) {
    case kSlow:
      hosts_.SetSlow(host, fault.amount);
      return until([this, host] { hosts_.SetSlow(host, 1); });
    case kStall:
      hosts_.SetStalled(host, true);
      return until([this, host] { hosts_.SetStalled(host, false); });
    case kStallBody:
      hosts_.SetBodyPause(host, Microseconds(static_cast<std::int64_t>(fault.amount * 1000)));
      return until([this, host] { hosts_.SetBodyPause(host, Microseconds(0)); });
    case kReset:
      hosts_.SetResets(host, fault.amount);
      return until([this, host] { hosts_.SetResets(host, 0); });
    case kLose:
      hosts_.SetLoses(host, fault.amount);
      return until([this, host] { hosts_.SetLoses(host, 0); });
    case kMute:
      hosts_.SetMute(host, fault.amount);
      return until([this, host] { hosts_.SetMute(host, 0); });
    case kRefuse:
      hosts_.SetRefusing(host, true);
      return until([this, host] { hosts_.SetRefusing(host, false); });
    case kVanish:
      hosts_.SetVanished(host, true);
      return until([this, host] { hosts_.SetVanished(host, false); });
    case kDrain: {
      hosts_.SetDraining(host, true);
      List(host, ServerState::kDraining, false);
      Changed();
      return until([this, host, id = hosts_.id(host)] {
        if (!hosts_.up(host) || hosts_.id(host) != id) return;
        hosts_.Die(host);
        List(host, ServerState::kGone, false);
        Changed();
      });
    }
    case kRestart:
    case kReplace: {
      std::string id = hosts_.id(host);
      hosts_.Die(host);  // of a restart nobody tells discovery
      if (fault.kind == kReplace) {
        List(host, ServerState::kGone, false);
        Changed();
        id = id.substr(0, id.find('+')) + "+" + std::to_string(++replaced_);
      }
      return until([this, host, id] {
        if (!hosts_.up(host)) Bring(host, id);
      });
    }
    default:
      return;
  }
}

void Simulation::Bring(std::uint32_t host, const std::string& id) {
  const auto& spec = scenario_.site.converters[host];
  if (hosts_.id(host) != id) entry_of_[host] = directory_.Add(id, host, zones_[host], spec.cell);
  hosts_.Start(host, id, true);
  List(host, ServerState::kReady, true);
  Changed();
}

void Simulation::ApplyToProxy(std::uint32_t number, const Fault& fault) {
  Proxy& proxy = proxies_[number];
  if (!proxy.node->up() || proxy.leaving) return;
  switch (fault.kind) {
    case Fault::Kind::kPause:
      if (std::exchange(proxy.paused, true)) return;
      if (peering_) peering_->Pause(number);
      SayOfProxy(Event::Kind::kPaused, number);
      kernel_.After(fault.lasts, [this, number, life = proxy.node->life()] {
        Proxy& then = proxies_[number];
        if (!then.paused || then.node->life() != life) return;
        then.paused = false;
        if (peering_) peering_->Resume(number);
        SayOfProxy(Event::Kind::kResumed, number);
        for (const auto& held : std::exchange(then.held, {})) held();
      });
      return;
    case Fault::Kind::kKill:
      SayOfProxy(Event::Kind::kKilled, number);
      return EndProxy(number, fault.lasts);
    case Fault::Kind::kRestartProxy:
      proxy.leaving = true;
      if (peering_) peering_->Leave(number);
      // Clients that come find no listener any more once it serves nothing new.
      kernel_.After(kComing, [this, number, until = kernel_.now() + kLongestStop, back = fault.lasts] {
        proxies_[number].down_until = kernel_.now() + kLongestStop;
        EndWhenEmpty(number, until, back);
      });
      return;
    default:
      return;
  }
}

void Simulation::EndWhenEmpty(std::uint32_t number, Microseconds until, Microseconds back) {
  if (proxies_[number].node->held() == 0 || kernel_.now() >= until) return EndProxy(number, back);
  kernel_.After(Microseconds(10000), [this, number, until, back] { EndWhenEmpty(number, until, back); });
}

void Simulation::EndProxy(std::uint32_t number, Microseconds back) {
  Proxy& proxy = proxies_[number];
  const bool empty = proxy.node->held() == 0;  // whoever ends by itself has written its answers first
  proxy.node->Die(kernel_.now());
  if (peering_) peering_->Kill(number);
  proxy.held.clear();
  proxy.paused = proxy.leaving = false;
  hosts_.NodeDied(number);
  // Its clients' connections break; what they had asked there they see as failed.
  std::vector<std::shared_ptr<sim::Try>> lost;
  for (const auto& [id, call] : calls_) {
    const auto& open = call->open;
    if (!open || open->over || open->node != number) continue;
    if (open->left.count() >= 0 && (empty || open->left <= kernel_.now())) continue;  // it comes
    lost.push_back(open);
  }
  std::sort(lost.begin(), lost.end(), [](const auto& a, const auto& b) { return a->id < b->id; });
  for (const auto& of : lost) {
    kernel_.After(scenario_.network.client + Jitter(), [this, of] {
      if (of->over) return;
      of->over = true;
      SayOfClient(Event::Kind::kEnded, *of, "", 0);
      End(of->call, load::Outcome::kFailed);
    });
  }
  kernel_.After(std::max(back, kLeastBack), [this, number] { StartProxy(number); });
}

void Simulation::StartProxy(std::uint32_t number) {
  Proxy& proxy = proxies_[number];
  proxy.revision = 0;
  proxy.not_ready.assign(directory_.size(), false);
  proxy.node->Start(
      hashing::Mixed(scenario_.seed ^ (std::uint64_t{number} << 32 | (proxy.node->life() + 1))));
  if (peering_) peering_->Start(number);
  // Until discovery answers it asks again and again; clients come once it is ready.
  proxy.down_until = Microseconds(-1);
  kernel_.After(scenario_.network.list + Jitter(), [this, number] { Deliver(number); });
}

void Simulation::SayOfProxy(Event::Kind kind, std::uint32_t number) {
  Event event;
  event.kind = kind;
  event.at = kernel_.now();
  event.proxy = "n" + std::to_string(number);
  Tell(event);
}

}  // namespace kestrelline::sim

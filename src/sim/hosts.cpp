// SPDX-License-Identifier: Apache-2.0
#include "sim/hosts.h"

#include <algorithm>
#include <utility>

namespace kestrelline::sim {
namespace {

constexpr Microseconds kConnectTimeout{250000};
constexpr double kRepeatWork = 0.0002;  // of a keyed repeat that is dropped, in seconds

}  // namespace

Hosts::Hosts(Kernel& kernel, const Scenario& scenario, Hooks hooks)
    : kernel_(kernel), scenario_(scenario), hooks_(std::move(hooks)), draw_(scenario.seed ^ 0x5e27e25) {
  const auto& site = scenario_.site;
  for (const standin::ConverterSpec& spec : site.converters) {
    hosts_.push_back({spec.id,
                      &spec,
                      {spec.cores, spec.speed, spec.queue, site.cold_from, site.warm_up},
                      {},
                      {},
                      {},
                      {},
                      {},
                      {},
                      {},
                      {},
                      {},
                      Microseconds(-1),
                      {},
                      {},
                      {},
                      {}});
  }
}

void Hosts::Start(std::uint32_t host, const std::string& id, bool cold) {
  Host& h = hosts_[host];
  h.id = id;
  h.up = true, h.draining = h.stalled = h.refusing = h.vanished = false;
  ++h.life;
  h.model.Start(kernel_.now(), cold);
  if (!hooks_.on_event) return;
  load::Event event;
  event.kind = load::Event::Kind::kStarted;
  event.at = kernel_.now();
  event.subject = id;
  event.number = h.spec->cell;
  event.work = h.spec->cores * h.spec->speed;
  event.cold = scenario_.site.cold_from;
  event.span = cold ? scenario_.site.warm_up : Microseconds(0);
  hooks_.on_event(event);
}

void Hosts::Die(std::uint32_t host) {
  Host& h = hosts_[host];
  h.up = false;
  ResetAll(h);
  h.held.clear();
}

void Hosts::SetStalled(std::uint32_t host, bool stalled) {
  Host& h = hosts_[host];
  h.stalled = stalled;
  if (stalled) return;
  for (const auto& then : std::exchange(h.held, {})) then();
}

void Hosts::SetRefusing(std::uint32_t host, bool refusing) {
  hosts_[host].refusing = refusing;
  if (refusing) ResetAll(hosts_[host]);
}

void Hosts::SetVanished(std::uint32_t host, bool vanished) {
  hosts_[host].vanished = vanished;
  if (!vanished) ResetAll(hosts_[host]);
}

// All connections break: who waits hears of it a moment later. What runs runs on, for nobody.
void Hosts::ResetAll(Host& host) {
  ++host.life;
  for (const AttemptPtr& attempt : std::exchange(host.there, {})) {
    if (attempt->job != 0) {
      host.model.Abandon(attempt->job, kernel_.now());
      host.jobs.erase(attempt->job);
      attempt->job = 0;
    }
    Finish(attempt, true);
    attempt->broke = true;
    Tell(attempt, Outcome::kReset, Delay(*attempt));
  }
}

void Hosts::Send(const AttemptPtr& attempt) {
  Host& host = hosts_[attempt->host];
  Idle& idle = idle_[Pair(attempt->node, attempt->host)];
  if (idle.life != host.life) idle = {host.life, 0};
  attempt->host_life = host.life;
  Microseconds way = Delay(*attempt);
  attempt->kept = idle.connections > 0;
  if (attempt->kept) {
    --idle.connections;
  } else if (host.vanished) {
    return Tell(attempt, Outcome::kConnectFailed, kConnectTimeout);
  } else {
    way += Delay(*attempt) + Delay(*attempt);
    if (way > kConnectTimeout) return Tell(attempt, Outcome::kConnectFailed, kConnectTimeout);
  }
  kernel_.After(way, [this, attempt] { Arrive(attempt); });
}

void Hosts::Arrive(const AttemptPtr& attempt) {
  Host& host = hosts_[attempt->host];
  if (!attempt->waited_for) return;  // given up on its way, the connection with it
  if (!attempt->kept && (!host.up || host.refusing))
    return Tell(attempt, Outcome::kConnectFailed, Delay(*attempt));
  // What breaks before the last byte was written never ran, and its proxy knows.
  if ((host.life != attempt->host_life && attempt->kept) || Chance(host.loses)) {
    attempt->broke = true;
    const bool held = attempt->hold > 2 * Delay(*attempt);
    return Tell(attempt, held ? Outcome::kConnectFailed : Outcome::kReset, Delay(*attempt));
  }
  attempt->host_life = host.life;
  if (attempt->hold.count() == 0) return ArriveWhole(attempt);
  kernel_.After(attempt->hold, [this, attempt] {
    Host& then = hosts_[attempt->host];
    if (!attempt->waited_for) return;
    if (then.life == attempt->host_life) return ArriveWhole(attempt);
    attempt->broke = true;
    Tell(attempt, Outcome::kConnectFailed, Delay(*attempt));
  });
}

void Hosts::ArriveWhole(const AttemptPtr& attempt) {
  Host& host = hosts_[attempt->host];
  attempt->written = true;
  host.there.push_back(attempt);
  if (host.vanished) return;  // nothing of it is read, and nobody says so
  if (host.stalled) {
    host.held.push_back([this, attempt] {
      if (attempt->waited_for && attempt->host_life == hosts_[attempt->host].life)
        Work(attempt, hosts_[attempt->host]);
    });
    return;
  }
  Work(attempt, host);
}

// Its last byte has been read.
void Hosts::Work(const AttemptPtr& attempt, Host& host) {
  // Those of the request that their proxy has closed meanwhile are out no more.
  const auto [first, last] = out_.equal_range(attempt->of->id);
  std::vector<AttemptPtr> others;
  for (auto it = first; it != last; ++it) others.push_back(it->second);
  for (const AttemptPtr& other : others) {
    if (!other->waited_for) Finish(other, true);
  }
  const standin::SiteClass& c = scenario_.site.classes[attempt->of->request_class];
  double work = standin::WorkOf(c, scenario_.site.seed, attempt->of->id);
  attempt->began = true;
  out_.emplace(attempt->of->id, attempt);
  Say(load::Event::Kind::kBegan, *attempt, 0, work);
  const auto decline = [&] {
    Finish(attempt, false);
    Reply(attempt, Outcome::kFull, Microseconds(0));
  };
  if (host.draining || host.there.size() > static_cast<std::size_t>(host.spec->connections)) return decline();
  if (c.effect == load::Effect::kKeyed) {
    const int cell = c.all_drop ? -1 : host.spec->cell;
    if (cells_[cell].Seen(std::to_string(attempt->of->key_of_effect), c.window, kernel_.now()))
      work = kRepeatWork, ++dropped_;
  }
  if (!attempt->kept) work += scenario_.network.connection_ms / 1000, ++opened_;
  attempt->job = ++last_job_;
  if (!host.model.Offer(attempt->job, work, kernel_.now())) {
    attempt->job = 0;
    return decline();
  }
  host.jobs.emplace(attempt->job, attempt);
  Wake(attempt->host);
}

void Hosts::Wake(std::uint32_t number) {
  Host& host = hosts_[number];
  const auto next = host.model.Next();
  if (!next || (host.wakes.count() >= 0 && host.wakes <= *next)) return;
  host.wakes = *next;
  kernel_.At(*next, [this, number, at = *next] {
    Host& h = hosts_[number];
    if (h.wakes != at) return;  // an earlier one has taken its place
    h.wakes = Microseconds(-1);
    for (const standin::JobId job : h.model.Advance(kernel_.now())) {
      const auto found = h.jobs.find(job);
      if (found == h.jobs.end()) continue;
      const AttemptPtr attempt = found->second;
      h.jobs.erase(found);
      attempt->job = 0;
      const auto answer = [this, attempt] {
        Host& now = hosts_[attempt->host];
        if (attempt->finished || attempt->host_life != now.life) return;
        // Its work is done, and nobody hears of it until the proxy gives it up.
        if (scenario_.site.classes[attempt->of->request_class].effect == load::Effect::kUnsafe &&
            Chance(now.mute))
          return;
        const bool reset = Chance(now.resets);
        Finish(attempt, true);
        Reply(attempt, reset ? Outcome::kReset : Outcome::kOk, reset ? Microseconds(0) : now.body_pause);
      };
      if (h.stalled || h.vanished) {
        if (h.stalled) h.held.push_back(answer);
      } else {
        answer();
      }
    }
    Wake(number);
  });
}

void Hosts::Reply(const AttemptPtr& attempt, Outcome outcome, Microseconds pause) {
  std::erase(hosts_[attempt->host].there, attempt);
  if (outcome == Outcome::kReset) return Tell(attempt, outcome, Delay(*attempt));
  kernel_.After(pause + Delay(*attempt), [this, attempt, outcome] {
    const bool waited = attempt->waited_for;
    Host& host = hosts_[attempt->host];
    // A kept connection of a life that is over is none.
    if (waited && host.up && host.life == attempt->host_life) {
      Idle& idle = idle_[Pair(attempt->node, attempt->host)];
      if (idle.life != host.life) idle = {host.life, 0};
      ++idle.connections;
    }
    hooks_.ended(attempt, outcome);
  });
}

void Hosts::Tell(const AttemptPtr& attempt, Outcome outcome, Microseconds after) {
  kernel_.After(after, [this, attempt, outcome] { hooks_.ended(attempt, outcome); });
}

// The attempt is not waited for any more; its server learns of it a moment later.
void Hosts::GiveUp(const AttemptPtr& attempt) {
  hooks_.ended(attempt, Outcome::kTimeout);
  if (!attempt->written) return;
  kernel_.After(Delay(*attempt), [this, attempt] {
    Host& host = hosts_[attempt->host];
    std::erase(host.there, attempt);
    if (attempt->job != 0 && attempt->host_life == host.life) {
      host.model.Abandon(attempt->job, kernel_.now());
      host.jobs.erase(attempt->job);
      attempt->job = 0;
      Wake(attempt->host);
    }
    Finish(attempt, true);
  });
}

void Hosts::NodeDied(std::uint32_t node) {
  for (Host& host : hosts_) {
    std::vector<AttemptPtr> its;
    for (const AttemptPtr& attempt : host.there) {
      if (attempt->node == node) its.push_back(attempt);
    }
    for (const AttemptPtr& attempt : its) {
      attempt->waited_for = false;
      std::erase(host.there, attempt);
      if (attempt->job != 0) {
        host.model.Abandon(attempt->job, kernel_.now());
        host.jobs.erase(std::exchange(attempt->job, 0));
      }
      Finish(attempt, true);
    }
  }
  erase_if(idle_, [node](const auto& idle) { return idle.first >> 32 == node; });
}

void Hosts::CloseIdle(std::uint32_t node, std::uint32_t host) { idle_.erase(Pair(node, host)); }

void Hosts::Finish(const AttemptPtr& attempt, bool ran) {
  if (!attempt->began || std::exchange(attempt->finished, true)) return;
  const auto [first, last] = out_.equal_range(attempt->of->id);
  for (auto it = first; it != last; ++it) {
    if (it->second != attempt) continue;
    out_.erase(it);
    break;
  }
  Say(load::Event::Kind::kFinished, *attempt, ran ? 1 : 0, 0);
}

void Hosts::Say(load::Event::Kind kind, const Attempt& attempt, int number, double work) {
  if (!hooks_.on_event) return;
  load::Event event;
  event.kind = kind;
  event.at = kernel_.now();
  event.request = attempt.of->id;
  event.proxy = "n" + std::to_string(attempt.node);
  event.subject = hosts_[attempt.host].id;
  event.number = number;
  event.work = work;
  hooks_.on_event(event);
}

}  // namespace kestrelline::sim

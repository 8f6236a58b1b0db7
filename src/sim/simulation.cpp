// SPDX-License-Identifier: Apache-2.0
#include "sim/simulation.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "config.h"
#include "hashing/fnv.h"
#include "hashing/mix.h"
#include "standin/faults.h"

namespace kestrelline::sim {
namespace {

using load::Event;
using standin::Fault;

constexpr Microseconds kSecond{1000000};
constexpr Microseconds kPassedOver{1000000};  // a proxy that could not be reached

// What the daemon makes of the configuration that the stand-in site gives it: its own parser, not a copy.
kestrelline::Settings SettingsOf(const Scenario& scenario, std::uint32_t node) {
  auto json = standin::ProxyConfig(scenario.site, static_cast<int>(node), "127.0.0.1:1", "127.0.0.1:1");
  for (const auto& [path, text] : scenario.config) {
    std::string pointer = "/settings/" + path;
    std::replace(pointer.begin(), pointer.end(), '.', '/');
    const nlohmann::json::json_pointer at(pointer);
    // Keys that nobody knows are ignored by who reads them: a slip of the pen would change nothing.
    if (!json.contains(at)) throw kestrelline::proxy::ConfigError("there is no settings." + path);
    json[at] = nlohmann::json::parse(text);
  }
  auto settings = kestrelline::proxy::ParseConfig(json.dump(), [](const char*) -> const char* {
                    return nullptr;
                  }).settings;
  if (scenario.adjust) scenario.adjust(&settings);
  return settings;
}

// Where the plan's classes stand in the site: whoever makes a Scenario has seen that all of them do.
std::vector<std::uint32_t> SiteClasses(const Scenario& scenario) {
  std::string missing;
  auto classes = load::IndicesOf(load::ClassNames(scenario.plan), scenario.site.classes, &missing);
  if (!classes) throw std::invalid_argument("the plan's class '" + missing + "' is none of the site");
  return std::move(*classes);
}

}  // namespace

bool ConfigIsValid(const Scenario& scenario, std::string* why) {
  try {
    SettingsOf(scenario, 0);
    Peering::ConcertOf(scenario.site);
    return true;
  } catch (const std::exception& error) {  // ConfigError, or of JSON
    *why = error.what();
    return false;
  }
}

Simulation::Simulation(const Scenario& scenario, Options options)
    : scenario_(scenario),
      options_(std::move(options)),
      kernel_(scenario.seed),
      draw_(hashing::Mixed(scenario.seed + 1)),
      figures_(scenario.site.Rules()),
      ledger_(figures_),
      hosts_(kernel_, scenario,
             {[this](const AttemptPtr& attempt, kestrelline::Outcome outcome) {
                if (outcome == kestrelline::Outcome::kTimeout) {  // the proxy's own doing: no message
                  proxies_[attempt->node].node->Ended(attempt, outcome, kernel_.now());
                  return;
                }
                AtProxy(attempt->node, [this, attempt, outcome] {
                  proxies_[attempt->node].node->Ended(attempt, outcome, kernel_.now());
                });
              },
              [this](std::uint32_t node, std::uint32_t host) { return Delay(node, host); },
              [this](const Event& event) { Tell(event); }}),
      site_class_(SiteClasses(scenario)),
      arrivals_(scenario.plan.mixture, scenario.plan.seed),
      report_(load::ClassNames(scenario.plan)) {
  const auto& site = scenario_.site;
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    const auto& spec = site.converters[h];
    zones_.push_back(
        static_cast<int>(std::find(site.zones.begin(), site.zones.end(), spec.zone) - site.zones.begin()));
    entry_of_.push_back(directory_.Add(spec.id, h, zones_.back(), spec.cell));
  }
  report_.tenants.resize(scenario_.plan.tenants.size());
  proxies_.resize(static_cast<std::size_t>(std::max(1, site.proxies)));
  for (std::uint32_t n = 0; n < proxies_.size(); ++n) {
    Node::Hooks hooks;
    hooks.answer = [this](std::shared_ptr<const sim::Try> of, Answer answer) {
      if (const auto call = calls_.find(of->call); call != calls_.end() && call->second->open == of)
        call->second->open->left = kernel_.now() + scenario_.network.proxy;
      kernel_.After(scenario_.network.proxy + scenario_.network.client + Jitter(),
                    [this, of = std::move(of), answer = std::move(answer)] { OnAnswer(of, answer); });
    };
    hooks.send = [this](const AttemptPtr& attempt) {
      ++report_.attempts;
      attempt->host = directory_[directory_.NumberOf(attempt->server)].host;
      const std::string& id = directory_[directory_.NumberOf(attempt->server)].id;
      // Another id is at its place now: nobody listens for the old one.
      if (hosts_.id(attempt->host) != id) {
        kernel_.After(Delay(attempt->node, attempt->host), [this, attempt] {
          proxies_[attempt->node].node->Ended(attempt, kestrelline::Outcome::kConnectFailed, kernel_.now());
        });
        return;
      }
      hosts_.Send(attempt);
    };
    hooks.give_up = [this](const AttemptPtr& attempt) { hosts_.GiveUp(attempt); };
    hooks.close_idle = [this, n](kestrelline::ServerId server) {
      hosts_.CloseIdle(n, directory_[directory_.NumberOf(server)].host);
    };
    hooks.at = [this, n](Microseconds at, std::function<void(Microseconds)> then) {
      kernel_.At(at, [this, n, then = std::move(then)] {
        // A process that does not run hears of its timers when it runs again.
        if (proxies_[n].paused) {
          proxies_[n].held.push_back([this, then] { then(kernel_.now()); });
        } else {
          then(kernel_.now());
        }
      });
    };
    if (options_.on_decision) {
      hooks.decided = [this, n](const kestrelline::Event& event,
                                const std::vector<kestrelline::Action>& actions) {
        options_.on_decision(n, kernel_.now(), event, actions);
      };
    }
    hooks.tamper_with_event = options_.tamper_with_event;
    hooks.tamper_with_actions = options_.tamper_with_actions;
    proxies_[n].node = std::make_unique<Node>(n, SettingsOf(scenario_, n), scenario_.hold, std::move(hooks),
                                              scenario_.memory_survives);
  }
  if (!site.peers) return;
  peering_ = std::make_unique<Peering>(kernel_, site, hashing::Mixed(scenario_.seed + 2),
                                       [this](std::uint32_t n, const kestrelline::Share& share) {
                                         if (proxies_[n].node->up())
                                           proxies_[n].node->Shared(share, kernel_.now());
                                       });
}

Simulation::~Simulation() = default;

Report Simulation::Run() {
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    hosts_.Start(h, scenario_.site.converters[h].id, false);
    List(h, ServerState::kReady, false);
  }
  for (std::uint32_t n = 0; n < proxies_.size(); ++n) StartProxy(n);
  // Load and faults begin when all is up, as on sockets.
  const Microseconds begin = kSecond;
  for (const Fault& fault : scenario_.site.faults)
    kernel_.At(begin + fault.at, [this, fault] { Apply(fault); });
  kernel_.At(begin, [this] { Pull(); });
  for (Microseconds until = kSecond; !breached_; until += kSecond) {
    if (options_.until.count() >= 0) until = std::min(until, options_.until);
    while (!breached_ && kernel_.Step(until)) {
    }
    if (until == options_.until) break;
    if (options_.on_progress) options_.on_progress(kernel_.now());
    if (arrivals_over_ && calls_.empty()) break;
  }
  report_.took = kernel_.now();
  report_.history = history_;
  report_.events = kernel_.events();
  report_.connections = hosts_.opened();
  report_.repeats_dropped = hosts_.dropped();
  report_.stopped = breached_;
  if (options_.audit) report_.verdict = ledger_.Finish(kernel_.now());
  return std::move(report_);
}

Simulation::State Simulation::Look() const {
  State state;
  for (const Proxy& proxy : proxies_)
    state.proxies.push_back({proxy.node->up(), proxy.paused, proxy.revision, proxy.node->held()});
  for (std::uint32_t h = 0; h < hosts_.size(); ++h)
    state.servers.push_back(
        {hosts_.id(h), hosts_.up(h), hosts_.there(h), hosts_.running(h), hosts_.queued(h)});
  state.history = history_;
  return state;
}

Microseconds Simulation::Jitter() {
  const auto most = static_cast<std::uint64_t>(scenario_.network.jitter.count());
  return Microseconds(static_cast<std::int64_t>(draw_() % (most + 1)));
}

int Simulation::ZoneOf(std::uint32_t node) const {
  return static_cast<int>(node % scenario_.site.zones.size());  // as ProxyConfig deals them out
}

Microseconds Simulation::Delay(std::uint32_t node, std::uint32_t host) {
  const Network& net = scenario_.network;
  const Microseconds parted = cuts_.empty() ? Microseconds(0) : Parted(node, host);
  return parted + net.server + (zones_[host] == ZoneOf(node) ? Microseconds(0) : net.across) + Jitter();
}

Microseconds Simulation::Parted(std::uint32_t node, std::uint32_t host) const {
  const auto& zones = scenario_.site.zones;
  const std::vector<standin::Candidate> ends{
      {"n" + std::to_string(node), zones[static_cast<std::size_t>(ZoneOf(node))], 0},
      {hosts_.id(host), zones[static_cast<std::size_t>(zones_[host])], 0}};
  Microseconds parted{0};
  for (const Cut& cut : cuts_) {
    if (!standin::Links(cut.who, ends).empty()) parted = std::max(parted, cut.until - kernel_.now());
  }
  return parted;
}

void Simulation::Tell(const Event& event) {
  history_ = hashing::Mixed(history_ ^ static_cast<std::uint64_t>(event.at.count()));
  for (const std::string* text : {&event.request, &event.proxy, &event.subject})
    history_ = hashing::Fnv1a(*text, history_);
  history_ = hashing::Mixed(history_ + static_cast<std::uint64_t>(event.kind) * 31 +
                            static_cast<std::uint64_t>(event.number));
  if (options_.on_event) options_.on_event(event);
  if (!options_.audit) return;
  load::Tell(ledger_, figures_, event);
  if (options_.stop_at_breach && ledger_.broken()) breached_ = true;
}

void Simulation::AtProxy(std::uint32_t node, std::function<void()> then) {
  kernel_.After(scenario_.network.proxy, [this, node, then = std::move(then)] {
    if (proxies_[node].paused) {
      proxies_[node].held.push_back(then);
    } else {
      then();
    }
  });
}

// ---- clients --------------------------------------------------------------------------------------------

void Simulation::Pull() {
  std::optional<load::Arrival> arrival;
  if (!scenario_.trace) {
    arrival = arrivals_.Next();
  } else if (next_of_trace_ < scenario_.trace->size()) {
    arrival = (*scenario_.trace)[next_of_trace_++];
  }
  if (!arrival) {
    arrivals_over_ = true;
    return;
  }
  kernel_.At(kSecond + arrival->at, [this, arrival = *arrival] {
    const std::uint64_t number = ++last_call_;
    auto call = std::make_unique<Call>();
    call->arrival = arrival;
    const auto& c = scenario_.plan.classes[arrival.request_class];
    call->request_class = site_class_[arrival.request_class];
    call->due = kernel_.now() + c.deadline;
    calls_.emplace(number, std::move(call));
    Try(number, 0);
    Pull();
  });
}

void Simulation::Try(std::uint64_t number, std::size_t unreached) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return;
  Call& call = *found->second;
  if (kernel_.now() >= call.due)
    return End(number, call.sent.count() < 0 ? load::Outcome::kUnsent : load::Outcome::kGaveUp);
  if (unreached >= 2 * proxies_.size()) return End(number, load::Outcome::kFailed);
  std::uint32_t target = 0;
  for (std::size_t k = 0; k < proxies_.size(); ++k) {
    target = static_cast<std::uint32_t>(next_target_++ % proxies_.size());
    if (proxies_[target].down_until <= kernel_.now()) break;
  }
  Proxy& proxy = proxies_[target];
  if (!proxy.node->up() || proxy.revision == 0) {  // refused, or not ready, after the way there and back
    proxy.down_until = kernel_.now() + kPassedOver;
    kernel_.After(2 * scenario_.network.client, [this, number, unreached] { Try(number, unreached + 1); });
    return;
  }
  auto made = std::make_shared<sim::Try>();
  char id[24];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(scenario_.plan.seed << 32 | ++last_try_));
  made->id = id;
  made->key_of_effect = number;
  made->request_class = call.request_class;
  made->tenant = call.arrival.tenant, made->object = call.arrival.key;
  made->node = target;
  made->again = ++call.tries > 1;
  made->call = number;
  made->due = call.due;
  if (scenario_.hints)
    made->work_s =
        standin::WorkOf(scenario_.site.classes[made->request_class], scenario_.site.seed, made->id);
  if (call.sent.count() < 0) call.sent = kernel_.now();
  call.open = made;
  SayOfClient(Event::Kind::kSent, *made, "", 0);
  const std::uint64_t life = proxy.node->life();
  const Microseconds way = scenario_.network.client + Jitter();
  kernel_.After(way, [this, made, life] {
    AtProxy(made->node, [this, made, life] {
      Node& node = *proxies_[made->node].node;
      if (!node.up() || node.life() != life || made->over) return;
      if (peering_) peering_->Arrived(made->node);
      node.Arrived(made, kernel_.now());
    });
  });
  // A moment longer, so that an answer that the rules hold to be in time is seen.
  kernel_.At(call.due + figures_.slack, [this, made] {
    if (made->over) return;
    made->over = true;
    SayOfClient(Event::Kind::kGaveUp, *made, "", 0);
    AtProxy(made->node, [this, made] {
      Node& node = *proxies_[made->node].node;
      if (node.up()) node.ClientGone(*made, kernel_.now());
    });
    End(made->call, load::Outcome::kGaveUp);
  });
}

void Simulation::OnAnswer(const std::shared_ptr<const sim::Try>& of, const Answer& answer) {
  SayOfClient(Event::Kind::kAnswered, *of, answer.made_for, static_cast<int>(answer.kind));
  const auto found = calls_.find(of->call);
  if (found == calls_.end() || found->second->open != of || of->over) return;
  Call& call = *found->second;
  call.open->over = true;
  const bool refused = answer.kind == load::Answer::kRefused;
  if (refused && call.tries <= scenario_.plan.retries) {
    const Microseconds pause =
        answer.retry_after.count() > 0 ? answer.retry_after : scenario_.plan.retry_pause;
    if (kernel_.now() + pause < call.due) {
      kernel_.After(pause, [this, number = of->call] { Try(number, 0); });
      return;
    }
  }
  const bool late = kernel_.now() > call.due;
  End(of->call, late                                   ? load::Outcome::kGaveUp
                : answer.kind == load::Answer::kServed ? load::Outcome::kServed
                : refused                              ? load::Outcome::kRefused
                                                       : load::Outcome::kFailed);
}

void Simulation::End(std::uint64_t number, load::Outcome outcome) {
  const auto found = calls_.find(number);
  const Call& call = *found->second;
  const Microseconds intended = kSecond + call.arrival.at, now = kernel_.now();
  const Microseconds sent = call.sent.count() < 0 ? now : call.sent;
  report_.results.Add(call.arrival.request_class, outcome, {call.arrival.at, sent - kSecond, now - kSecond});
  const auto& c = scenario_.site.classes[call.request_class];
  report_.worth_asked += 1;
  if (call.arrival.tenant < report_.tenants.size()) {
    Report::Tenant& tenant = report_.tenants[call.arrival.tenant];
    ++tenant.asked;
    tenant.served += outcome == load::Outcome::kServed;
  }
  if (outcome == load::Outcome::kServed) report_.worth_earned += now - intended <= c.deadline / 2 ? 1 : 0.5;
  calls_.erase(found);
}

void Simulation::SayOfClient(Event::Kind kind, const sim::Try& of, const std::string& subject, int number) {
  Event event;
  event.kind = kind;
  event.at = kernel_.now();
  event.request = of.id;
  event.proxy = "n" + std::to_string(of.node);
  event.subject = kind == Event::Kind::kSent ? scenario_.site.classes[of.request_class].name : subject;
  event.number = number;
  if (kind == Event::Kind::kSent) event.span = of.due - kernel_.now();
  Tell(event);
}

// ---- discovery ------------------------------------------------------------------------------------------

void Simulation::List(std::uint32_t host, ServerState state, bool started) {
  const std::uint32_t number = entry_of_[host];
  ServerEntry entry = directory_[number].entry;
  entry.state = state;
  if (started) entry.up_since = Node::TimeOf(kernel_.now());
  directory_.Put(number, entry);
}

void Simulation::Changed() {
  if (late_list_ || discovery_down_) return;
  for (std::uint32_t n = 0; n < proxies_.size(); ++n) {
    if (!proxies_[n].node->up()) continue;
    kernel_.After(scenario_.network.list + Jitter(), [this, n, life = proxies_[n].node->life()] {
      if (proxies_[n].node->life() == life) AtProxy(n, [this, n] { Deliver(n); });
    });
  }
}

void Simulation::Deliver(std::uint32_t number) {
  Proxy& proxy = proxies_[number];
  if (!proxy.node->up() || discovery_down_ || (late_list_ && proxy.revision > 0)) return;
  if (proxy.revision == directory_.revision()) return;
  ListUpdate list;
  if (garbled_) {  // whole or not at all
    list.kind = ListKind::kFailed;
    return proxy.node->Listed(std::move(list), kernel_.now());
  }
  list.kind = proxy.revision == 0 ? ListKind::kFull : ListKind::kDelta;
  const auto changed = directory_.Since(proxy.revision);
  proxy.revision = directory_.revision();
  proxy.not_ready.resize(directory_.size());
  for (const std::uint32_t n : changed) {
    const Directory::Entry& entry = directory_[n];
    list.entries.push_back(entry.entry);
    const bool ready = entry.entry.state == ServerState::kReady;
    // Ready is what the ledger takes a server for that it was told nothing of.
    if (!ready || proxy.not_ready[n]) {
      Event event;
      event.kind = Event::Kind::kTold;
      event.at = kernel_.now();
      event.proxy = "n" + std::to_string(number);
      event.subject = entry.id;
      event.number = static_cast<int>(ready                                         ? load::Listed::kReady
                                      : entry.entry.state == ServerState::kDraining ? load::Listed::kDraining
                                                                                    : load::Listed::kGone);
      Tell(event);
    }
    proxy.not_ready[n] = !ready;
  }
  proxy.node->Listed(std::move(list), kernel_.now());
}

}  // namespace kestrelline::sim

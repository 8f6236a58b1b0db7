// SPDX-License-Identifier: Apache-2.0
#include "standin/fleet.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace kestrelline::standin {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;
using load::Listed;

// A planned stop: the longest deadline and some.
constexpr std::chrono::milliseconds kStopGrace{3700};

double UnixNowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Shown(Microseconds us) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(us.count()) / 1e6);
  return text;
}

}  // namespace

Fleet::Fleet(asio::io_context& io, SiteSpec site, Options options)
    : io_(io),
      site_(std::move(site)),
      options_(std::move(options)),
      floor_{io, site_, options_.on_event, {}, {}},
      discovery_(io, membership_, static_cast<std::size_t>(site_.proxies), options_.on_event),
      children_(io) {
  for (const ConverterSpec& spec : site_.converters) {
    auto& doors = addresses_.emplace_back();
    for (int i = 0; i < site_.proxies; ++i) doors.push_back(std::make_unique<HeldAddress>(io));
    converters_.push_back(std::make_unique<Converter>(floor_, spec, doors));
  }
  if (options_.program.empty()) return;
  for (int i = 0; i < site_.proxies; ++i) {
    const std::string name = "n" + std::to_string(i), at = options_.directory + "/" + name;
    ProxyProcess::Options process_options{name, options_.program, at + ".json", at + ".log", {}};
    std::unique_ptr<HeldAddress> door;
    if (site_.peers) {
      door = std::make_unique<HeldAddress>(io);
      process_options.arguments = {"--operator", at + ".toml"};
      WritePeers(i);
    }
    auto process = std::make_unique<ProxyProcess>(io, std::move(process_options));
    auto config =
        ProxyConfig(site_, i, process->address().text(), discovery_address(static_cast<std::size_t>(i)));
    if (door) config["mgmt"] = door->text();
    std::ofstream file(at + ".json", std::ios::trunc);
    file << config.dump(2) << '\n';
    if (!file.flush()) throw std::runtime_error(at + ".json: cannot be written");
    proxies_.push_back({std::move(process), false, false, Microseconds(0), nullptr, std::move(door)});
  }
}

Fleet::~Fleet() { timers_.clear(); }

std::string Fleet::operator_file(std::size_t proxy) const {
  return options_.directory + "/n" + std::to_string(proxy) + ".toml";
}

// The first two are seeds; all have one key.
void Fleet::WritePeers(int proxy) {
  const std::string key = options_.directory + "/peers.key";
  if (!network_) {
    network_ = std::make_unique<Switchboard>(io_, site_.proxies, site_.seed);
    char secret[40];
    std::snprintf(secret, sizeof secret, "%016llx%016llx", static_cast<unsigned long long>(site_.seed),
                  static_cast<unsigned long long>(~site_.seed));
    std::ofstream(key, std::ios::trunc) << "1 " << secret << '\n';
    std::filesystem::permissions(key,
                                 std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  }
  std::ofstream file(operator_file(static_cast<std::size_t>(proxy)), std::ios::trunc);
  file << "version = 1\n[peers]\nlisten = \"" << network_->listens(proxy) << "\"\nadvertise = \""
       << network_->advertised(proxy) << "\"\nseeds = [\"" << network_->advertised(0) << "\", \""
       << network_->advertised(std::min(1, site_.proxies - 1)) << "\"]\nkey_file = \"peers.key\"\n";
  if (site_.replica) file << "[replica]\n" << *site_.replica << '\n';
  if (site_.concert) file << "[concert]\n" << *site_.concert << '\n';
  file << site_.partition << '\n';
  if (!file.flush()) throw std::runtime_error(options_.directory + ": a proxy's file cannot be written");
}

std::vector<std::string> Fleet::proxy_addresses() const {
  std::vector<std::string> all;
  for (const Proxy& proxy : proxies_) all.push_back(proxy.process->address().text());
  return all;
}

void Fleet::Log(const std::string& text) {
  if (!options_.on_log) return;
  const Microseconds at = start_ == Steady::time_point()
                              ? Microseconds(0)
                              : std::chrono::duration_cast<Microseconds>(Steady::now() - start_);
  options_.on_log(Shown(at) + "  " + text);
}

void Fleet::Tell(load::Event::Kind kind, const std::string& proxy) {
  if (!options_.on_event) return;
  load::Event event;
  event.kind = kind;
  event.at = load::EventTime(Steady::now());
  event.proxy = proxy;
  options_.on_event(event);
}

void Fleet::After(Microseconds pause, std::function<void()> then) {
  const std::uint64_t id = ++last_timer_;
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::duration_cast<Steady::duration>(pause));
  timers_.emplace(id, timer);
  timer->async_wait([this, id, then = std::move(then)](const Error& cancelled) {
    if (cancelled) return;
    timers_.erase(id);
    then();
  });
}

void Fleet::Start(std::function<void()> ready) {
  for (std::size_t i = 0; i < converters_.size(); ++i) {
    converters_[i]->Start(converters_[i]->spec().id, false);
    List(i, Listed::kReady, 0);
  }
  discovery_.Changed();
  if (proxies_.empty()) return asio::post(io_, std::move(ready));
  AwaitChildren();
  const auto left = std::make_shared<std::size_t>(proxies_.size());
  for (Proxy& proxy : proxies_)
    StartProxy(proxy, [left, ready] {
      if (--*left == 0) ready();
    });
}

void Fleet::PlaySchedule() {
  start_ = Steady::now();
  for (const Fault& fault : site_.faults)
    After(fault.at, [this, fault] {
      const std::string why = Apply(fault);
      if (!why.empty()) Log(why);
    });
}

std::string Fleet::Apply(const Fault& fault) {
  const FaultKind& kind = KindOf(fault.kind);
  if (stopping_) return "the site is stopping";
  std::string amount;
  if (!kind.amount.empty()) {
    char text[32];
    std::snprintf(text, sizeof text, " by %g", fault.amount);
    amount = text;
  }
  const auto log = [&](const std::string& whom) {
    Log(std::string(kind.name) + " " + whom + amount + ", " + Shown(fault.lasts));
  };
  if (kind.target == Target::kDiscovery) {
    log("discovery");
    if (fault.kind == Fault::Kind::kLateList) {
      discovery_.SetLate(true);
      After(fault.lasts, [this] { discovery_.SetLate(false); });
    } else if (fault.kind == Fault::Kind::kGarble) {
      discovery_.SetGarbled(true);
      After(fault.lasts, [this] { discovery_.SetGarbled(false); });
    } else {
      discovery_.SetDown(true);
      After(fault.lasts, [this] { discovery_.SetDown(false); });
    }
    return "";
  }
  std::vector<Candidate> candidates;
  if (kind.target == Target::kProxies || kind.target == Target::kNetwork) {
    for (int i = 0; i < static_cast<int>(proxies_.size()); ++i)
      candidates.push_back({proxies_[static_cast<std::size_t>(i)].process->name(), site_.ZoneOf(i), 0});
  } else {
    for (const auto& c : converters_) candidates.push_back({c->spec().id, c->spec().zone, c->spec().cell});
  }
  if (kind.target == Target::kNetwork) {
    if (!network_) return std::string(kind.name) + ": the proxies are no peers";
    const auto links = Links(fault.who, candidates);
    if (links.empty()) return std::string(kind.name) + ": there is no link '" + fault.who + "'";
    log(fault.who);
    for (const auto& link : links) ApplyTo(link, fault);
    return "";
  }
  const auto victims = Victims(fault, candidates, site_.seed);
  if (victims.empty()) return std::string(kind.name) + ": there is no '" + fault.who + "'";
  for (const std::string& victim : victims) {
    const auto at =
        static_cast<std::size_t>(std::find_if(candidates.begin(), candidates.end(),
                                              [&](const Candidate& c) { return c.id == victim; }) -
                                 candidates.begin());
    log(victim);
    if (kind.target == Target::kProxies) {
      ApplyTo(proxies_[at], fault);
    } else {
      ApplyTo(at, fault);
    }
  }
  return "";
}

void Fleet::List(std::size_t converter, Listed state, double up_since_unix_ms) {
  const ConverterSpec& spec = converters_[converter]->spec();
  ListedMember member;
  if (const ListedMember* listed = membership_.Find(spec.id)) member = *listed;
  member.id = spec.id, member.zone = spec.zone, member.kind = spec.kind, member.cell = spec.cell;
  member.state = state;
  member.addresses.clear();
  for (const auto& address : addresses_[converter]) member.addresses.push_back(address->text());
  if (up_since_unix_ms >= 0) member.up_since_unix_ms = up_since_unix_ms;
  membership_.Put(member);
}

// A converter that ends, and is listed as gone.
void Fleet::Leave(std::size_t converter) {
  converters_[converter]->Die();
  List(converter, Listed::kGone, -1);
  discovery_.Changed();
}

// A converter that starts, cold, and is listed once it listens.
void Fleet::Bring(std::size_t converter, const std::string& id) {
  if (stopping_) return;
  converters_[converter]->Start(id, true);
  List(converter, Listed::kReady, UnixNowMs());
  discovery_.Changed();
  Log(id + " is back, cold");
}

void Fleet::ApplyTo(std::size_t converter, const Fault& fault) {
  using enum Fault::Kind;
  Converter& c = *converters_[converter];
  // Each is undone by its own end, unless the converter has died meanwhile and is another one.
  const auto until = [&](auto undo) { After(fault.lasts, [&c, undo] { undo(c); }); };
  switch (fault.kind) {
    case kSlow:
      c.SetSlow(fault.amount);
      return until([](Converter& x) { x.SetSlow(1); });
    case kStall:
      c.SetStalled(true);
      return until([](Converter& x) { x.SetStalled(false); });
    case kStallBody:
      c.SetBodyPause(Microseconds(static_cast<std::int64_t>(fault.amount * 1000)));
      return until([](Converter& x) { x.SetBodyPause(Microseconds(0)); });
    case kReset:
      c.SetResets(fault.amount);
      return until([](Converter& x) { x.SetResets(0); });
    case kLose:
      c.SetLoses(fault.amount);
      return until([](Converter& x) { x.SetLoses(0); });
    case kMute:
      c.SetMute(fault.amount);
      return until([](Converter& x) { x.SetMute(0); });
    case kRefuse:
      c.SetRefusing(true);
      return until([](Converter& x) { x.SetRefusing(false); });
    case kVanish:
      c.SetVanished(true);
      return until([](Converter& x) { x.SetVanished(false); });
    case kDrain: {
      c.SetDraining(true);
      List(converter, Listed::kDraining, -1);
      discovery_.Changed();
      const std::string id = c.spec().id;
      return After(fault.lasts, [this, converter, id] {
        Converter& drained = *converters_[converter];
        if (!drained.up() || drained.spec().id != id) return;
        Leave(converter);
        Log(id + " has drained");
      });
    }
    case kRestart:
    case kReplace: {
      const std::string old = c.spec().id;
      std::string id = old;
      if (fault.kind == kReplace) {
        Leave(converter);
        id = old.substr(0, old.find('+')) + "+" + std::to_string(++replaced_);
      } else {
        c.Die();  // nobody has told discovery
      }
      return After(fault.lasts, [this, converter, id] {
        if (!converters_[converter]->up()) Bring(converter, id);
      });
    }
    default:
      return;
  }
}

// Each part of a link's state is undone by its own end.
void Fleet::ApplyTo(std::pair<int, int> link, const Fault& fault) {
  network_->faults().Begin(link, fault);
  After(fault.lasts, [this, link, kind = fault.kind] { network_->faults().End(link, kind); });
}

void Fleet::ApplyTo(Proxy& proxy, const Fault& fault) {
  using load::Event;
  ProxyProcess& process = *proxy.process;
  if (process.pid() <= 0) return Log(process.name() + " is down already");
  switch (fault.kind) {
    case Fault::Kind::kPause: {
      Tell(Event::Kind::kPaused, process.name());
      process.Signal(SIGSTOP);
      const pid_t of = process.pid();
      return After(fault.lasts, [this, &proxy, of] {
        if (proxy.process->pid() != of) return;
        proxy.process->Signal(SIGCONT);
        Tell(Event::Kind::kResumed, proxy.process->name());
      });
    }
    case Fault::Kind::kKill:
      // From before the signal on, so that what breaks before its end is seen has its reason.
      Tell(Event::Kind::kPaused, process.name());
      proxy.meant = proxy.killed = true;
      proxy.back = fault.lasts;
      return process.Signal(SIGKILL);
    case Fault::Kind::kRestartProxy: {
      proxy.meant = true;
      proxy.back = fault.lasts;
      process.Signal(SIGTERM);
      const pid_t of = process.pid();
      return After(kStopGrace, [this, &proxy, of] {
        if (proxy.process->pid() != of) return;
        Log(proxy.process->name() + " did not end by itself");
        proxy.process->Signal(SIGKILL);
      });
    }
    default:
      return;
  }
}

void Fleet::StartProxy(Proxy& proxy, std::function<void()> ready) {
  proxy.meant = false;
  proxy.back = Microseconds(0);
  proxy.process->Start(std::move(ready));
}

void Fleet::AwaitChildren() {
  Error ignored;
  children_.add(SIGCHLD, ignored);
  children_.async_wait([this](const Error& cancelled, int) {
    if (cancelled) return;
    Reap();
    AwaitChildren();
  });
}

void Fleet::Reap() {
  for (Proxy& proxy : proxies_) {
    int status = 0;
    if (!proxy.process->Reap(&status)) continue;
    const std::string& name = proxy.process->name();
    // A planned stop and a crash excuse nothing.
    if (std::exchange(proxy.killed, false)) Tell(load::Event::Kind::kKilled, name);
    if (!proxy.meant) {
      ++crashes_;
      Log(name + " ended though nobody had asked it to; its log: " + options_.directory + "/" + name +
          ".log");
    } else {
      Log(name + " has ended");
    }
    if (proxy.ended) std::exchange(proxy.ended, nullptr)();
    if (!stopping_ && (proxy.back.count() > 0 || !proxy.meant))
      After(std::max(proxy.back, Microseconds(1000)), [this, &proxy] {
        if (stopping_ || proxy.process->pid() > 0) return;
        StartProxy(proxy, [this, &proxy] { Log(proxy.process->name() + " is back"); });
      });
  }
}

void Fleet::Stop(std::function<void()> done) {
  stopping_ = true;
  timers_.clear();
  const auto left = std::make_shared<std::size_t>(1);
  // Not from within Reap: `done` may end this.
  const auto one = [this, left, done = std::move(done)] {
    if (--*left == 0) asio::post(io_, done);
  };
  for (Proxy& proxy : proxies_) {
    if (proxy.process->pid() <= 0) continue;
    ++*left;
    proxy.meant = true;
    proxy.ended = one;
    proxy.process->Signal(SIGCONT);
    proxy.process->Signal(SIGTERM);
    const pid_t of = proxy.process->pid();
    After(kStopGrace, [&proxy, of] {
      if (proxy.process->pid() == of) proxy.process->Signal(SIGKILL);
    });
  }
  asio::post(io_, one);
}

}  // namespace kestrelline::standin

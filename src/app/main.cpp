// SPDX-License-Identifier: Apache-2.0
//
// Starts the proxy, or does what the command line asks for instead.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "app/cli.h"
#include "app/operator_config.h"
#include "app/peers_command.h"
#include "app/plugins.h"
#include "app/replica_command.h"
#include "concert/link.h"
#include "concert/partition_link.h"
#include "config.h"
#include "peers/link.h"
#include "proxy.h"
#include "replica/link.h"

namespace {

// A fault in one handler costs what that handler was about, not the proxy.
void Run(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "kestrelline: %s\n", error.what());
    }
  }
}

const char* Environment(const char* name) { return std::getenv(name); }

namespace app = kestrelline::app;
namespace plugin = kestrelline::plugin;

void Say(const kestrelline::operator_file::Diagnostics& diagnostics) {
  for (const std::string& line : diagnostics.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
}

// What SIGHUP does: both files and all plug-ins are taken over, or none of them.
class Reloads {
 public:
  // `signals`: SIGHUP, caught for so long that none is missed. `peers`: null for none.
  Reloads(boost::asio::signal_set& signals, kestrelline::proxy::Proxy& proxy, plugin::Host& host,
          kestrelline::peers::Link* peers, std::string file)
      : signals_(signals), proxy_(proxy), host_(host), peers_(peers), file_(std::move(file)) {
    Await();
  }

 private:
  void Await() {
    signals_.async_wait([this](const boost::system::error_code& failed, int) {
      if (failed) return;
      Await();
      try {
        Begin(kestrelline::proxy::ReloadConfig(Environment));
      } catch (const kestrelline::proxy::ConfigError& error) {
        OldOneStays(error.what());
      }
    });
  }

  void Begin(const kestrelline::proxy::Config& config) {
    if (file_.empty()) return proxy_.Reload(config);
    kestrelline::operator_file::Diagnostics diagnostics(file_);
    const auto loaded = app::LoadOperatorFile(file_, proxy_.config(), app::Keep::kOutcome, &diagnostics);
    Say(diagnostics);
    if (!loaded) return OldOneStays("the operator's file is refused");
    // Meanwhile the old one serves. A reload that comes before this one is done takes its place, also one
    // that has no plug-in to wait for.
    host_.Load(loaded->plugins, [this, config, loaded = *loaded](auto tagger, const auto& problems) {
      kestrelline::operator_file::Diagnostics found(file_);
      app::Report(problems, &found);
      Say(found);
      if (!tagger) return OldOneStays("the operator's file is refused");
      TakeOver(config, loaded, std::move(tagger));
    });
  }

  void TakeOver(const kestrelline::proxy::Config& config, const app::OperatorConfig& loaded,
                std::shared_ptr<plugin::Tagger> tagger) {
    proxy_.Reload(config);
    const std::size_t plugins = loaded.plugins->plugins().size();
    // The keys are taken over; the rest of [peers] holds from the next start on.
    if (peers_ && loaded.peers) peers_->SetKeys(loaded.peers->keys);
    proxy_.SetRoutes(loaded.routes, plugins > 0 ? std::move(tagger) : nullptr);
    std::fprintf(stderr, "kestrelline: %s: %zu routes%s hold from now on\n", file_.c_str(),
                 loaded.routes->routes().size(),
                 plugins > 0 ? (" and " + std::to_string(plugins) + " plug-ins").c_str() : "");
  }

  static void OldOneStays(const char* why) {
    std::fprintf(stderr, "kestrelline: the old configuration stays: %s\n", why);
  }

  boost::asio::signal_set& signals_;
  kestrelline::proxy::Proxy& proxy_;
  plugin::Host& host_;
  kestrelline::peers::Link* peers_;
  std::string file_;
};

// What it has of the other proxies.
struct Fleet {
  std::unique_ptr<kestrelline::peers::Link> peers;      // null: it knows of none
  std::unique_ptr<kestrelline::replica::Link> replica;  // null: nothing is shared
  std::unique_ptr<kestrelline::replica::Claims> claims;
  std::unique_ptr<kestrelline::concert::Link> concert;  // null: what all have is divided as configured
  std::unique_ptr<kestrelline::concert::PartitionLink> partition;  // null: classes are served as ever
};

Fleet JoinPeers(boost::asio::io_context& io, kestrelline::proxy::Proxy& proxy,
                const app::OperatorConfig& loaded) {
  const auto& shared = loaded.replica;
  const auto& divided = loaded.concert;
  using kestrelline::peers::Link;
  const auto& config = proxy.config();
  const auto zone = static_cast<std::size_t>(config.settings.zone);
  Link::Who who{config.name, zone < config.zones.size() ? config.zones[zone] : "", KESTRELLINE_VERSION,
                config.seed,
                /*may_wait=*/config.inherited_listener >= 0};
  const auto say = [](const std::string& line) { std::fprintf(stderr, "kestrelline: %s\n", line.c_str()); };
  Fleet fleet;
  fleet.peers = std::make_unique<Link>(io, *loaded.peers, std::move(who), say);
  Link* l = fleet.peers.get();
  kestrelline::proxy::Proxy::Peers hooks{[l] { return l->Report(); },
                                         [l] { return l->FiguresText(); },
                                         {},
                                         [l] { l->Leave(); },
                                         [l] { l->Stay(); },
                                         [l] { l->Gone(); },
                                         [l] { l->HandOver(); },
                                         [](const auto& done) { done(); }};
  if (shared) {
    fleet.replica = std::make_unique<kestrelline::replica::Link>(io, *l, *shared, say);
    fleet.claims = std::make_unique<kestrelline::replica::Claims>(*fleet.replica, *shared, config.zones);
    auto* r = fleet.replica.get();
    auto* c = fleet.claims.get();
    proxy.SetClaims(c);
    hooks.replica = [r] { return r->Report(); };
    hooks.figures = [l, r, c] { return l->FiguresText() + r->FiguresText(c->counts()); };
    hooks.leave = [l, r] { r->Leave(), l->Leave(); };
    hooks.hand_over = [l, r] { r->Leave(), l->HandOver(), r->HandOver(); };
    hooks.await_handover = [r](auto done) { r->WhenHeldElsewhere(std::move(done)); };
    if (config.await_replica) r->WhenCurrent(shared->ready_within, [&proxy] { proxy.OnReplicaReady(); });
  }
  if (divided) {
    const kestrelline::concert::Link::Who place{config.settings.me, config.settings.balancers, config.seed};
    fleet.concert = std::make_unique<kestrelline::concert::Link>(
        io, *l, *divided, place,
        kestrelline::concert::Link::Hooks{
            [&proxy] { return proxy.requests(); },
            [&proxy](const auto& s) { proxy.OnShare(s.share, s.until, s.after); }, say});
    auto* c = fleet.concert.get();
    hooks.figures = [before = hooks.figures, c] { return before() + c->FiguresText(); };
    hooks.hand_over = [before = hooks.hand_over, c] { c->HandOver(), before(); };
  }
  if (!loaded.partition.empty()) {
    fleet.partition = std::make_unique<kestrelline::concert::PartitionLink>(
        *l, config.settings.balancers, loaded.partition, config.classes,
        kestrelline::concert::PartitionLink::Hooks{
            [&proxy](int request_class, double per_s) { proxy.OnClassLimit(request_class, per_s); }, say});
    auto* p = fleet.partition.get();
    hooks.figures = [before = hooks.figures, p] { return before() + p->FiguresText(); };
  }
  proxy.SetPeers(std::move(hooks));
  return fleet;
}

int Serve(const app::Command& command) {
  try {
    boost::asio::io_context io(1);
    // Caught from before the configuration is read: one that is ready must not die of a signal, and a reload
    // that comes while it starts holds too.
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), reload(io, SIGHUP);
    auto config = kestrelline::proxy::LoadConfig(Environment);
    plugin::Host host(io, {command.plugin_worker, [](const std::string& line) {
                             std::fprintf(stderr, "kestrelline: %s\n", line.c_str());
                           }});
    kestrelline::proxy::Proxy::Routes routes;
    std::shared_ptr<plugin::Tagger> tagger;
    std::optional<app::OperatorConfig> loaded;
    if (!command.operator_file.empty()) {
      kestrelline::operator_file::Diagnostics diagnostics(command.operator_file);
      loaded = app::LoadOperatorFile(command.operator_file, config, app::Keep::kOutcome, &diagnostics);
      if (loaded && !loaded->plugins->plugins().empty()) {
        tagger = app::LoadAndWait(io, host, *loaded, &diagnostics);
        config.sockets -= static_cast<int>(loaded->plugins->plugins().size() * plugin::kDescriptorsEach);
      }
      Say(diagnostics);
      if (!diagnostics.ok()) return 1;
      routes = loaded->routes;
      // One that takes over from another process gets what that one holds, once it is ready.
      config.await_replica =
          loaded->replica && loaded->replica->ready_within.count() > 0 && config.inherited_listener < 0;
      if (loaded->peers) config.sockets -= kestrelline::peers::Link::kDescriptors;
    }
    kestrelline::proxy::Proxy proxy(io, std::move(config), std::move(routes), std::move(tagger));
    const Fleet fleet = loaded && loaded->peers ? JoinPeers(io, proxy, *loaded) : Fleet();
    ends.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) proxy.Stop([&] { io.stop(); });
    });
    const Reloads reloads(reload, proxy, host, fleet.peers.get(), command.operator_file);
    Run(io);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "kestrelline: %s\n", error.what());
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
  using kestrelline::app::Command;
  const Command command = kestrelline::app::ParseArguments(argc, argv);
  switch (command.what) {
    case Command::What::kServe:
      return Serve(command);
    case Command::What::kCheck:
      return kestrelline::app::Check(command, std::cout, std::cerr);
    case Command::What::kExplain:
      return kestrelline::app::Explain(command, std::cout, std::cerr);
    case Command::What::kPeers:
      return kestrelline::app::ShowPeers(command, std::cout, std::cerr);
    case Command::What::kReplica:
      return kestrelline::app::ShowReplica(command, std::cout, std::cerr);
    case Command::What::kExit:
      break;
  }
  return command.exit_code;
}

// SPDX-License-Identifier: Apache-2.0
//
// The program: runs the proxy or one of the subcommands.
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
#include "config.h"
#include "peers/link.h"
#include "proxy.h"
#include "quota/link.h"
#include "quota/partition_link.h"
#include "replica/link.h"

namespace {

// An exception in one handler must not end the proxy: it is logged and the loop goes on.
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

void Log(const kestrelline::operator_file::Diagnostics& diagnostics) {
  for (const std::string& line : diagnostics.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
}

// Reloads on SIGHUP: applies both configuration files and all plug-ins, or none of them.
class ReloadHandler {
 public:
  // `signals`: SIGHUP, registered before the configuration is loaded so that no signal is missed.
  // `peers`: null if peers are disabled. `file`: the operator's file; empty: none.
  ReloadHandler(boost::asio::signal_set& signals, kestrelline::proxy::Proxy& proxy, plugin::Host& host,
                kestrelline::peers::Link* peers, std::string file)
      : signals_(signals), proxy_(proxy), host_(host), peers_(peers), file_(std::move(file)) {
    AwaitSignal();
  }

 private:
  void AwaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& failed, int) {
      if (failed) return;
      AwaitSignal();
      try {
        Load(kestrelline::proxy::ReloadConfig(Environment));
      } catch (const kestrelline::proxy::ConfigError& error) {
        LogRejected(error.what());
      }
    });
  }

  void Load(const kestrelline::proxy::Config& config) {
    if (file_.empty()) return proxy_.Reload(config);
    kestrelline::operator_file::Diagnostics diagnostics(file_);
    const auto loaded = app::LoadOperatorFile(file_, proxy_.config(), app::Keep::kOutcome, &diagnostics);
    Log(diagnostics);
    if (!loaded) return LogRejected("the operator's file is rejected");
    // The old configuration stays in use while the plug-ins load. A later reload supersedes this one if it is
    // not complete, also if the later one has no plug-ins to load.
    host_.Load(loaded->plugins, [this, config, loaded = *loaded](auto tagger, const auto& problems) {
      kestrelline::operator_file::Diagnostics plugin_diagnostics(file_);
      app::Report(problems, &plugin_diagnostics);
      Log(plugin_diagnostics);
      if (!tagger) return LogRejected("the operator's file is rejected");
      Apply(config, loaded, std::move(tagger));
    });
  }

  void Apply(const kestrelline::proxy::Config& config, const app::OperatorConfig& loaded,
             std::shared_ptr<plugin::Tagger> tagger) {
    proxy_.Reload(config);
    const std::size_t plugins = loaded.plugins->plugins().size();
    // Of [peers], a reload applies only the keys; the rest takes effect at the next start.
    if (peers_ && loaded.peers) peers_->SetKeys(loaded.peers->keys);
    proxy_.SetRoutes(loaded.routes, plugins > 0 ? std::move(tagger) : nullptr);
    std::fprintf(stderr, "kestrelline: %s: %zu routes%s hold from now on\n", file_.c_str(),
                 loaded.routes->routes().size(),
                 plugins > 0 ? (" and " + std::to_string(plugins) + " plug-ins").c_str() : "");
  }

  static void LogRejected(const char* why) {
    std::fprintf(stderr, "kestrelline: the old configuration stays: %s\n", why);
  }

  boost::asio::signal_set& signals_;
  kestrelline::proxy::Proxy& proxy_;
  plugin::Host& host_;
  kestrelline::peers::Link* peers_;
  std::string file_;
};

// The links to the other proxies.
struct PeerLinks {
  std::unique_ptr<kestrelline::peers::Link> peers;      // null: peers are disabled
  std::unique_ptr<kestrelline::replica::Link> replica;  // null: replication is disabled
  std::unique_ptr<kestrelline::replica::Claims> claims;
  std::unique_ptr<kestrelline::quota::Link> concert;  // null: shared limits are divided as configured
  std::unique_ptr<kestrelline::quota::PartitionLink> partition;  // null: class limits are as configured
};

PeerLinks JoinPeers(boost::asio::io_context& io, kestrelline::proxy::Proxy& proxy,
                    const app::OperatorConfig& loaded) {
  const auto& replica_settings = loaded.replica;
  const auto& concert_settings = loaded.concert;
  using kestrelline::peers::Link;
  const auto& config = proxy.config();
  const auto zone = static_cast<std::size_t>(config.settings.zone);
  Link::Identity who{config.name, zone < config.zones.size() ? config.zones[zone] : "", KESTRELLINE_VERSION,
                     config.seed,
                     /*wait_for_address=*/config.inherited_listener >= 0};
  const auto log = [](const std::string& line) { std::fprintf(stderr, "kestrelline: %s\n", line.c_str()); };
  PeerLinks links;
  links.peers = std::make_unique<Link>(io, *loaded.peers, std::move(who), log);
  Link* link = links.peers.get();
  kestrelline::proxy::Proxy::Peers hooks{[link] { return link->Report(); },
                                         [link] { return link->MetricsText(); },
                                         {},
                                         [link] { link->Leave(); },
                                         [link] { link->CancelLeave(); },
                                         [link] { link->AnnounceLeft(); },
                                         [link] { link->HandOver(); },
                                         [](const auto& done) { done(); }};
  if (replica_settings) {
    links.replica = std::make_unique<kestrelline::replica::Link>(io, *link, *replica_settings, log);
    links.claims =
        std::make_unique<kestrelline::replica::Claims>(*links.replica, *replica_settings, config.zones);
    auto* replica = links.replica.get();
    auto* claims = links.claims.get();
    proxy.SetClaims(claims);
    hooks.replica = [replica] { return replica->Report(); };
    hooks.figures = [link, replica, claims] {
      return link->MetricsText() + replica->MetricsText(claims->counts());
    };
    hooks.leave = [link, replica] { replica->Leave(), link->Leave(); };
    hooks.hand_over = [link, replica] { replica->Leave(), link->HandOver(), replica->HandOver(); };
    hooks.await_handover = [replica](auto done) { replica->WhenReplicated(std::move(done)); };
    if (config.await_replica)
      replica->WhenCurrent(replica_settings->ready_within, [&proxy] { proxy.OnReplicaReady(); });
  }
  if (concert_settings) {
    const kestrelline::quota::Link::Identity place{config.settings.me, config.settings.balancers,
                                                   config.seed};
    links.concert = std::make_unique<kestrelline::quota::Link>(
        io, *link, *concert_settings, place,
        kestrelline::quota::Link::Hooks{
            [&proxy] { return proxy.requests(); },
            [&proxy](const auto& share) { proxy.OnShare(share.share, share.until, share.after); }, log});
    auto* concert = links.concert.get();
    hooks.figures = [before = hooks.figures, concert] { return before() + concert->MetricsText(); };
    hooks.hand_over = [before = hooks.hand_over, concert] { concert->HandOver(), before(); };
  }
  if (!loaded.partition.empty()) {
    links.partition = std::make_unique<kestrelline::quota::PartitionLink>(
        *link, config.settings.balancers, loaded.partition, config.classes,
        kestrelline::quota::PartitionLink::Hooks{
            [&proxy](int request_class, double per_s) { proxy.OnClassLimit(request_class, per_s); }, log});
    auto* partition = links.partition.get();
    hooks.figures = [before = hooks.figures, partition] { return before() + partition->MetricsText(); };
  }
  proxy.SetPeers(std::move(hooks));
  return links;
}

int Serve(const app::Command& command) {
  try {
    boost::asio::io_context io(1);
    // Signals are handled from before the configuration is read: a proxy that is ready must not be killed by
    // one, and a reload that is requested during startup must take effect.
    boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT), reload_signals(io, SIGHUP);
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
      Log(diagnostics);
      if (!diagnostics.ok()) return 1;
      routes = loaded->routes;
      // A process that takes over from another does not wait here: it receives its predecessor's data once it
      // is ready.
      config.await_replica =
          loaded->replica && loaded->replica->ready_within.count() > 0 && config.inherited_listener < 0;
      if (loaded->peers) config.sockets -= kestrelline::peers::Link::kDescriptors;
    }
    kestrelline::proxy::Proxy proxy(io, std::move(config), std::move(routes), std::move(tagger));
    const PeerLinks links = loaded && loaded->peers ? JoinPeers(io, proxy, *loaded) : PeerLinks();
    stop_signals.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) proxy.Stop([&] { io.stop(); });
    });
    const ReloadHandler reload_handler(reload_signals, proxy, host, links.peers.get(), command.operator_file);
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
  switch (command.action) {
    case Command::Action::kServe:
      return Serve(command);
    case Command::Action::kCheck:
      return kestrelline::app::Check(command, std::cout, std::cerr);
    case Command::Action::kExplain:
      return kestrelline::app::Explain(command, std::cout, std::cerr);
    case Command::Action::kPeers:
      return kestrelline::app::ShowPeers(command, std::cout, std::cerr);
    case Command::Action::kReplica:
      return kestrelline::app::ShowReplica(command, std::cout, std::cerr);
    case Command::Action::kExit:
      break;
  }
  return command.exit_code;
}

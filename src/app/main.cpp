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
#include <string>
#include <utility>

#include "app/cli.h"
#include "app/operator_config.h"
#include "app/plugins.h"
#include "config.h"
#include "proxy.h"

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
  Reloads(boost::asio::io_context& io, brackenspoke::proxy::Proxy& proxy, plugin::Host& host,
          std::string file)
      : signals_(io, SIGHUP), proxy_(proxy), host_(host), file_(std::move(file)) {
    Await();
  }

 private:
  void Await() {
    signals_.async_wait([this](const boost::system::error_code& failed, int) {
      if (failed) return;
      Await();
      try {
        Begin(brackenspoke::proxy::ReloadConfig(Environment));
      } catch (const brackenspoke::proxy::BadConfig& error) {
        OldOneStays(error.what());
      }
    });
  }

  void Begin(const brackenspoke::proxy::Config& config) {
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

  void TakeOver(const brackenspoke::proxy::Config& config, const app::OperatorConfig& loaded,
                std::shared_ptr<plugin::Tagger> tagger) {
    proxy_.Reload(config);
    const std::size_t plugins = loaded.plugins->plugins().size();
    proxy_.SetRoutes(loaded.routes, plugins > 0 ? std::move(tagger) : nullptr);
    std::fprintf(stderr, "kestrelline: %s: %zu routes%s hold from now on\n", file_.c_str(),
                 loaded.routes->routes().size(),
                 plugins > 0 ? (" and " + std::to_string(plugins) + " plug-ins").c_str() : "");
  }

  static void OldOneStays(const char* why) {
    std::fprintf(stderr, "kestrelline: the old configuration stays: %s\n", why);
  }

  boost::asio::signal_set signals_;
  brackenspoke::proxy::Proxy& proxy_;
  plugin::Host& host_;
  std::string file_;
};

int Serve(const app::Command& command) {
  try {
    boost::asio::io_context io(1);
    // Caught from before the proxy listens: one that is ready must not die of a signal.
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), held(io, SIGHUP);
    auto config = brackenspoke::proxy::LoadConfig(Environment);
    plugin::Host host(io, {command.plugin_worker, [](const std::string& line) {
                             std::fprintf(stderr, "kestrelline: %s\n", line.c_str());
                           }});
    brackenspoke::proxy::Proxy::Routes routes;
    std::shared_ptr<plugin::Tagger> tagger;
    if (!command.operator_file.empty()) {
      kestrelline::operator_file::Diagnostics diagnostics(command.operator_file);
      const auto loaded =
          app::LoadOperatorFile(command.operator_file, config, app::Keep::kOutcome, &diagnostics);
      if (loaded && !loaded->plugins->plugins().empty()) {
        tagger = app::LoadAndWait(io, host, *loaded, &diagnostics);
        config.sockets -= static_cast<int>(loaded->plugins->plugins().size() * plugin::kDescriptorsEach);
      }
      Say(diagnostics);
      if (!diagnostics.ok()) return 1;
      routes = loaded->routes;
    }
    brackenspoke::proxy::Proxy proxy(io, std::move(config), std::move(routes), std::move(tagger));
    ends.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) proxy.Stop([&] { io.stop(); });
    });
    const Reloads reloads(io, proxy, host, command.operator_file);
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
    case Command::What::kExit:
      break;
  }
  return command.exit_code;
}

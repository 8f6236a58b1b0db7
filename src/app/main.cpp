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
#include <string>

#include "app/cli.h"
#include "app/operator_config.h"
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

using Routes = std::shared_ptr<const kestrelline::routing::RouteTable>;

// Of the operator's file, for a platform as it is in force. False if it is refused, which is logged.
bool LoadRoutes(const std::string& file, const brackenspoke::proxy::Config& platform, Routes* routes) {
  if (file.empty()) return true;
  kestrelline::operator_file::Diagnostics diagnostics(file);
  const auto loaded =
      kestrelline::app::LoadOperatorFile(file, platform, kestrelline::app::Keep::kOutcome, &diagnostics);
  for (const std::string& line : diagnostics.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
  if (loaded) *routes = loaded->routes;
  return loaded.has_value();
}

// Both files are taken over, or neither.
void ReloadAtSignal(boost::asio::signal_set& signals, brackenspoke::proxy::Proxy& proxy,
                    const std::string& operator_file) {
  signals.async_wait([&](const boost::system::error_code& failed, int) {
    if (failed) return;
    ReloadAtSignal(signals, proxy, operator_file);
    try {
      const auto config = brackenspoke::proxy::ReloadConfig(Environment);
      Routes routes;
      if (!LoadRoutes(operator_file, proxy.config(), &routes))
        throw brackenspoke::proxy::BadConfig("the operator's file is refused");
      proxy.Reload(config);
      if (routes)
        std::fprintf(stderr, "kestrelline: %s: %zu routes hold from now on\n", operator_file.c_str(),
                     routes->routes().size());
      proxy.SetRoutes(std::move(routes));
    } catch (const brackenspoke::proxy::BadConfig& error) {
      std::fprintf(stderr, "kestrelline: the old configuration stays: %s\n", error.what());
    }
  });
}

int Serve(const std::string& operator_file) {
  try {
    boost::asio::io_context io(1);
    // Caught from before the proxy listens: one that is ready must not die of a signal.
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    auto config = brackenspoke::proxy::LoadConfig(Environment);
    Routes routes;
    if (!LoadRoutes(operator_file, config, &routes)) return 1;
    brackenspoke::proxy::Proxy proxy(io, std::move(config), std::move(routes));
    ends.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) proxy.Stop([&] { io.stop(); });
    });
    ReloadAtSignal(reloads, proxy, operator_file);
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
      return Serve(command.operator_file);
    case Command::What::kCheck:
      return kestrelline::app::Check(command, std::cout, std::cerr);
    case Command::What::kExplain:
      return kestrelline::app::Explain(command, std::cout, std::cerr);
    case Command::What::kExit:
      break;
  }
  return command.exit_code;
}

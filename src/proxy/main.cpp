// SPDX-License-Identifier: Apache-2.0
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

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

void ReloadAtSignal(boost::asio::signal_set& signals, brackenspoke::proxy::Proxy& proxy) {
  signals.async_wait([&](const boost::system::error_code& failed, int) {
    if (failed) return;
    ReloadAtSignal(signals, proxy);
    try {
      proxy.Reload(brackenspoke::proxy::ReloadConfig(Environment));
    } catch (const brackenspoke::proxy::BadConfig& error) {
      std::fprintf(stderr, "kestrelline: the old configuration stays: %s\n", error.what());
    }
  });
}

}  // namespace

int main() {
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
  try {
    boost::asio::io_context io(1);
    // Caught from before the proxy listens: one that is ready must not die of a signal.
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    brackenspoke::proxy::Proxy proxy(io, brackenspoke::proxy::LoadConfig(Environment));
    ends.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) proxy.Stop([&] { io.stop(); });
    });
    ReloadAtSignal(reloads, proxy);
    Run(io);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "kestrelline: %s\n", error.what());
    return 1;
  }
  return 0;
}

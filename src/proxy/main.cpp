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

}  // namespace

int main() {
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
  try {
    boost::asio::io_context io(1);
    brackenspoke::proxy::Proxy proxy(io, brackenspoke::proxy::LoadConfig([](const char* name) -> const char* {
                                       return std::getenv(name);
                                     }));
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& failed, int) {
      if (!failed) proxy.Stop([&] { io.stop(); });
    });
    Run(io);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "kestrelline: %s\n", error.what());
    return 1;
  }
  return 0;
}

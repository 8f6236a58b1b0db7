// SPDX-License-Identifier: Apache-2.0
//
// Instructions that the program spends on one request, by callgrind: PROGRAM [ARGUMENT ...] serves requests
// of three classes on one connection. Needs valgrind.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "measured_process.h"
#include "standin/address.h"
#include "support/backend.h"
#include "support/client.h"
#include "support/discovery.h"
#include "support/running_proxy.h"

namespace {

using namespace kestrelline::testing;

void WaitUntilReady(const Tcp::endpoint& address) {
  for (;;) {
    try {
      Client client(address);
      if (client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int() == 200) return;
    } catch (const boost::system::system_error&) {
    }
    std::this_thread::yield();
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s PROGRAM [ARGUMENT ...]\n", argv[0]);
    return 2;
  }
  Backend backend;
  FakeDiscovery discovery;
  asio::io_context io;
  const kestrelline::standin::HeldAddress address(io);
  const kestrelline::bench::TemporaryFile config(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const double instructions = kestrelline::bench::InstructionsARequest(
      {argv + 1, argv + argc}, {"ROUTER_CONFIG=" + config.path, "ROUTER_LISTEN=" + address.text()},
      [&](int requests) {
        WaitUntilReady(address.endpoint());
        Client client(address.endpoint());
        for (int i = 0; i < requests; ++i) {
          const std::string id = std::to_string(i);
          if (client.Ask(WithId(i % 3 == 0   ? Look()
                                : i % 3 == 1 ? Change()
                                             : Book(),
                                id))
                  .result_int() == 200)
            continue;
          std::fprintf(stderr, "request %d was not served\n", i);
          std::exit(1);
        }
      });
  std::printf("%.0f instructions a request\n", instructions);
  return 0;
}

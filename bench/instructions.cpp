// SPDX-License-Identifier: Apache-2.0
//
// Instructions that the program spends on one request, by callgrind: PROGRAM [ARGUMENT ...] serves 1,000 and
// then 5,000 requests on one connection, and the difference is divided. Start-up and end cancel out. Needs
// valgrind.
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "support/backend.h"
#include "support/client.h"
#include "support/discovery.h"
#include "support/running_proxy.h"

namespace {

using namespace brackenspoke::testing;

// What callgrind collected over `requests`.
double Collected(const std::vector<std::string>& command, int requests) {
  Backend backend;
  FakeDiscovery discovery;
  char config[] = "/tmp/kestrelline-bench-XXXXXX";
  close(mkstemp(config));
  std::ofstream(config)
      << ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump();
  Tcp::endpoint address;
  {
    asio::io_context io;
    address = Tcp::acceptor(io, kAnyPort).local_endpoint();
  }
  int ends[2];
  if (pipe(ends) != 0) std::exit(1);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDERR_FILENO);
    setenv("ROUTER_CONFIG", config, 1);
    setenv("ROUTER_LISTEN", ("127.0.0.1:" + std::to_string(address.port())).c_str(), 1);
    std::vector<std::string> all{"valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null"};
    all.insert(all.end(), command.begin(), command.end());
    std::vector<char*> argv;
    for (std::string& argument : all) argv.push_back(argument.data());
    argv.push_back(nullptr);
    execvp("valgrind", argv.data());
    _exit(127);
  }
  close(ends[1]);
  for (;;) {
    try {
      Client client(address);
      if (client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int() == 200) break;
    } catch (const boost::system::system_error&) {
    }
    std::this_thread::yield();
  }
  {
    Client client(address);
    for (int i = 0; i < requests; ++i) {
      const std::string id = std::to_string(i);
      if (client.Ask(WithId(i % 3 == 0 ? Look() : i % 3 == 1 ? Change() : Book(), id)).result_int() != 200) {
        std::fprintf(stderr, "request %d was not served\n", i);
        std::exit(1);
      }
    }
  }
  kill(child, SIGTERM);
  std::string text;
  char piece[4096];
  for (ssize_t n; (n = read(ends[0], piece, sizeof piece)) > 0;)
    text.append(piece, static_cast<std::size_t>(n));
  close(ends[0]);
  waitpid(child, nullptr, 0);
  unlink(config);
  const std::size_t at = text.find("Collected : ");
  if (at == std::string::npos) {
    std::fprintf(stderr, "%s\n", text.c_str());
    std::exit(1);
  }
  return std::strtod(text.c_str() + at + std::strlen("Collected : "), nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s PROGRAM [ARGUMENT ...]\n", argv[0]);
    return 2;
  }
  constexpr int kFew = 1000, kMany = 5000;
  const std::vector<std::string> command(argv + 1, argv + argc);
  const double few = Collected(command, kFew), many = Collected(command, kMany);
  std::printf("%.0f instructions a request\n", (many - few) / (kMany - kFew));
  return 0;
}

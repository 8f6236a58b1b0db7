// SPDX-License-Identifier: Apache-2.0
//
// A stand-in site on loopback: converters, discovery, proxies, and the faults that meet them.
//
//   kestrelfleet SITE.toml [--proxy PROGRAM] [--directory DIR] [--events FILE]
//                [--record-network FILE] [--replay-network FILE] [-- COMMAND ...]
//
// With a COMMAND it starts that once every proxy is ready, its KESTRELLOAD_TARGET naming them, plays the
// site's faults meanwhile, and ends when the command does. Without one it shows its addresses, plays the
// faults, takes more of them as lines of standard input ("slow s-03 10s 3"), and ends at Ctrl-C.
//
// Exit codes: the command's; 0; 1 if the file is refused or something cannot be started or written; 2 for
// wrong arguments; 5 if a proxy ended though nobody had asked it to.
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <istream>
#include <memory>
#include <optional>

#include "load/events.h"
#include "operator/read_file.h"
#include "standin/fleet.h"
#include "standin/net_trace.h"

namespace {

namespace asio = boost::asio;
using namespace kestrelline;
using Error = boost::system::error_code;

constexpr int kBad = 1, kCrashed = 5;
constexpr std::size_t kMostCommandLine = 1024;
constexpr std::chrono::seconds kReadyWithin{30};

struct Arguments {
  std::string site, proxy, directory = ".", events, record, replay;
  std::vector<std::string> command;
};

std::optional<standin::SiteSpec> LoadSite(const std::string& path) {
  operator_file::Diagnostics diagnostics(path);
  const auto text = operator_file::ReadFileSnapshot(path, operator_file::kMaxFileBytes, &diagnostics);
  auto site = text ? standin::ReadSite(*text, &diagnostics) : std::nullopt;
  for (const auto& line : diagnostics.Lines()) std::fprintf(stderr, "%s\n", line.c_str());
  return site;
}

// Converters hold a connection for each that the proxies open.
void TakeAllDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

pid_t Spawn(const std::vector<std::string>& command, const std::vector<std::string>& targets) {
  std::string joined;
  for (const std::string& target : targets) joined += (joined.empty() ? "" : ",") + target;
  std::vector<char*> argv;
  for (const std::string& word : command) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid != 0) return pid;
  close_range(STDERR_FILENO + 1, ~0U, 0);
  setenv("KESTRELLOAD_TARGET", joined.c_str(), 1);
  execvp(argv[0], argv.data());
  std::fprintf(stderr, "kestrelfleet: %s: %s\n", argv[0], std::strerror(errno));
  _exit(127);
}

// Lines of standard input, each a fault.
class Console {
 public:
  Console(asio::io_context& io, standin::Fleet& fleet)
      : input_(io, dup(STDIN_FILENO)), buffer_(kMostCommandLine), fleet_(fleet) {
    Read();
  }

 private:
  void Read() {
    asio::async_read_until(input_, buffer_, '\n', [this](const Error& failed, std::size_t) {
      if (failed) return;  // its end, or a line without one
      std::istream in(&buffer_);
      std::string line, why;
      std::getline(in, line);
      if (!line.empty()) {
        const auto fault = standin::ParseCommand(line, &why);
        if (fault) why = fleet_.Apply(*fault);
        if (!why.empty()) std::fprintf(stderr, "kestrelfleet: %s\n", why.c_str());
      }
      Read();
    });
  }
  asio::posix::stream_descriptor input_;
  asio::streambuf buffer_;
  standin::Fleet& fleet_;
};

int Run(const Arguments& arguments) {
  auto site = LoadSite(arguments.site);
  if (!site) return kBad;
  TakeAllDescriptors();
  const load::RuleFigures rules = site->Rules();
  std::ofstream file;
  std::unique_ptr<load::EventWriter> events;
  if (!arguments.events.empty()) {
    file.open(arguments.events, std::ios::trunc);
    events = std::make_unique<load::EventWriter>(file, &rules);
  }
  asio::io_context io(1);
  standin::Fleet::Options options;
  options.program = arguments.proxy;
  options.directory = arguments.directory;
  if (events) options.on_event = [&](const load::Event& event) { events->Add(event); };
  options.on_log = [](const std::string& line) { std::fprintf(stderr, "fleet  %s\n", line.c_str()); };
  standin::Fleet fleet(io, std::move(*site), std::move(options));
  std::ofstream trace;
  if (!arguments.record.empty() || !arguments.replay.empty()) {
    if (!fleet.has_network()) {
      std::fprintf(stderr, "%s: a network to record or replay needs peers = \"on\" in [site]\n",
                   arguments.site.c_str());
      return kBad;
    }
    if (!arguments.replay.empty() && !standin::LoadTrace(arguments.replay, &fleet.network().faults()))
      return kBad;
    if (!arguments.record.empty()) {
      trace.open(arguments.record, std::ios::trunc);
      standin::WriteTrace(&fleet.network().faults(), trace);
    }
  }
  std::unique_ptr<Console> console;
  pid_t command = -1;
  int code = 0;
  const auto stop = [&] { fleet.Stop([&] { io.stop(); }); };
  asio::signal_set ends(io, SIGINT, SIGTERM), children(io, SIGCHLD);
  // A command gets Ctrl-C too, and its end is waited for.
  std::function<void()> await_end = [&] {
    ends.async_wait([&](const Error& failed, int signal) {
      if (failed) return;
      if (command <= 0) return stop();
      if (signal == SIGTERM) kill(command, SIGTERM);
      await_end();
    });
  };
  std::function<void()> await_child = [&] {
    children.async_wait([&](const Error& failed, int) {
      if (failed) return;
      int status = 0;
      if (command > 0 && waitpid(command, &status, WNOHANG) == command) {
        command = -1;
        code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        return stop();
      }
      await_child();
    });
  };
  await_end();
  await_child();
  asio::steady_timer too_long(io, kReadyWithin);
  too_long.async_wait([&](const Error& cancelled) {
    if (cancelled) return;
    std::fprintf(stderr, "kestrelfleet: not every proxy was ready in time; their logs are in %s\n",
                 arguments.directory.c_str());
    code = kBad;
    stop();
  });
  fleet.Start([&] {
    too_long.cancel();
    fleet.PlaySchedule();
    if (!arguments.command.empty()) {
      command = Spawn(arguments.command, fleet.proxy_addresses());
      return;
    }
    for (int i = 0; i < fleet.site().proxies; ++i)
      std::printf("n%d discovery %s\n", i, fleet.discovery_address(static_cast<std::size_t>(i)).c_str());
    for (std::size_t i = 0; i < fleet.proxy_addresses().size(); ++i)
      std::printf("n%zu listens %s\n", i, fleet.proxy_addresses()[i].c_str());
    std::fflush(stdout);
    console = std::make_unique<Console>(io, fleet);
  });
  io.run();
  if (events) {
    events->Close();
    file.close();
    if (!file) {
      std::fprintf(stderr, "%s: cannot be written\n", arguments.events.c_str());
      return kBad;
    }
  }
  if (trace.is_open() && !trace.flush()) {
    std::fprintf(stderr, "%s: cannot be written\n", arguments.record.c_str());
    return kBad;
  }
  return fleet.crashes() > 0 ? kCrashed : code;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  CLI::App app{"A stand-in site on loopback: converters, discovery, proxies and faults."};
  app.add_option("SITE", arguments.site)->required();
  app.add_option("--proxy", arguments.proxy, "The program of the proxies; none are started without it");
  app.add_option("--directory", arguments.directory,
                 "For the proxies' configurations and logs; . without it");
  app.add_option("--events", arguments.events, "What happened, for kestrelload report --events");
  app.add_option("--record-network", arguments.record, "What became of each datagram between proxies");
  app.add_option("--replay-network", arguments.replay, "Does to each datagram what was recorded");
  app.add_option("COMMAND", arguments.command, "Runs while the site does; after --");
  try {
    app.parse(argc, argv);
    return Run(arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "kestrelfleet: %s\n", error.what());
    return kBad;
  }
}

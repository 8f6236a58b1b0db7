// SPDX-License-Identifier: Apache-2.0
//
// The fleet's program: one process of the control plane or of the data plane, by subcommand.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "configuration/configuration.h"
#include "control_plane/control_gateway.h"
#include "control_plane/control_node.h"
#include "data_plane/edge_node.h"
#include "fleet_main/operator_client.h"
#include "node/settings.h"
#include "node/settings_watcher.h"

namespace {

namespace options = boost::program_options;
using kestrelline::node::Settings;
using std::chrono::milliseconds;

constexpr const char* kSettingsVariable = "KESTRELLINE_NODE_FILE";
constexpr int kUsage = 2;
constexpr int kFailure = 1;

struct Arguments {
  std::string command;
  std::string file;
  bool json = false;
  bool help = false;
};

options::options_description DescribeOptions() {
  options::options_description description("Options");
  description.add_options()("help,h", "print this help")(
      "command", options::value<std::string>(), "the command")("json", "print the JSON of the response")(
      "file", options::value<std::string>(), "the settings file");
  return description;
}

void PrintUsage(std::ostream& out) {
  out << "kestrelline-fleet COMMAND [FILE]\n"
         "  edge           runs a proxy for client requests (data plane)\n"
         "  core           runs a member that keeps the configuration and the list of backends (control "
         "plane)\n"
         "  check [FILE]   checks a settings file\n"
         "  version        prints the version\n"
         "  members, leader, history ADDRESS   queries a member of the control plane (IP:PORT)\n"
         "  config-show ADDRESS                prints the configuration in force\n"
         "  leave ADDRESS                      stops that member after a waiting one has replaced it\n"
         "FILE: the settings file; by default the path in "
      << kSettingsVariable << "\n";
}

Arguments Parse(int count, char** values) {
  options::positional_options_description positions;
  positions.add("command", 1).add("file", 1);
  options::variables_map found;
  options::store(
      options::command_line_parser(count, values).options(DescribeOptions()).positional(positions).run(),
      found);
  Arguments arguments;
  arguments.help = found.count("help") > 0;
  arguments.json = found.count("json") > 0;
  if (found.count("command")) arguments.command = found["command"].as<std::string>();
  if (found.count("file")) arguments.file = found["file"].as<std::string>();
  if (arguments.file.empty()) {
    const char* path = std::getenv(kSettingsVariable);
    if (path != nullptr) arguments.file = path;
  }
  return arguments;
}

void SetUpLog(const std::string& name) {
  auto logger = std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(std::move(logger));
}

// The settings of this process, and the file that they were read from.
struct LoadedSettings {
  std::string path;
  std::string text;
  Settings settings;
};

// Gives the seeds of changed settings to `node`.
template <typename Node>
kestrelline::node::SettingsWatcher WatcherFor(boost::asio::io_context& io, const LoadedSettings& loaded,
                                              Node& node) {
  return {io, loaded.path, loaded.text, [&node](const Settings& changed) {
            spdlog::info("settings changed seeds={}", changed.seeds.size());
            node.UpdateSeeds(changed);
          }};
}

// Blocks or unblocks the signals that this program handles, for this thread and the threads that it starts
// later.
void SetSignalsBlocked(bool blocked) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, signal);
  pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

// Handles signals as long as `io` runs. The destructors of the signal sets restore the default actions, so
// that a signal during the exit would end the process; the callers block signals before they start threads.
void RunEventLoop(boost::asio::io_context& io) {
  SetSignalsBlocked(false);
  io.run();
  SetSignalsBlocked(true);
}

// Retries for a while, since the disk may fail at the start.
std::unique_ptr<kestrelline::control_plane::Store> OpenStore(const std::string& directory) {
  constexpr int kMaxAttempts = 60;
  constexpr milliseconds kPause{500};
  std::error_code error;
  for (int i = 0; i < kMaxAttempts; ++i) {
    auto store = kestrelline::control_plane::Store::Open(directory, error);
    if (store) return store;
    spdlog::warn("store directory={} error={}", directory, error.message());
    std::this_thread::sleep_for(kPause);
  }
  return nullptr;
}

// A machine without a disk can't be a member: it redirects callers to the members.
int RunGateway(const LoadedSettings& loaded) {
  const Settings& settings = loaded.settings;
  SetSignalsBlocked(true);
  boost::asio::io_context io(1);
  boost::asio::signal_set termination_signals(io, SIGTERM, SIGINT);
  kestrelline::control_plane::ControlGateway gateway(io, settings);
  if (const std::error_code error = gateway.Start()) {
    spdlog::critical("cannot start: {}", error.message());
    return kFailure;
  }
  termination_signals.async_wait(
      [&](const boost::system::error_code&, int) { gateway.Leave([&io] { io.stop(); }); });
  auto watcher = WatcherFor(io, loaded, gateway);
  watcher.Start();
  spdlog::info("started role=gateway zone={}", settings.zone);
  RunEventLoop(io);
  return 0;
}

int RunCore(const LoadedSettings& loaded) {
  const Settings& settings = loaded.settings;
  if (settings.data_dir.empty()) return RunGateway(loaded);
  spdlog::info("starting role=core zone={}", settings.zone);
  auto store = OpenStore(settings.data_dir);
  if (!store) return kFailure;
  spdlog::info("store opened directory={}", settings.data_dir);
  SetSignalsBlocked(true);
  boost::asio::io_context io(1);
  kestrelline::control_plane::ControlNode node(io, settings, std::move(store));
  if (const std::error_code error = node.Start()) {
    spdlog::critical("cannot start: {}", error.message());
    return kFailure;
  }
  boost::asio::signal_set termination_signals(io, SIGTERM, SIGINT);
  const auto leave = [&] { node.Leave([&io] { io.stop(); }); };
  termination_signals.async_wait([&](const boost::system::error_code&, int) { leave(); });
  node.OnLeaveRequested(leave);
  auto watcher = WatcherFor(io, loaded, node);
  watcher.Start();
  spdlog::info("started role=core zone={} bootstrap={}", settings.zone, settings.bootstrap);
  RunEventLoop(io);
  return 0;
}

int RunEdge(const LoadedSettings& loaded) {
  const Settings& settings = loaded.settings;
  SetSignalsBlocked(true);
  boost::asio::io_context io(1);
  boost::asio::signal_set termination_signals(io, SIGTERM, SIGINT);  // before the first connection can come
  kestrelline::data_plane::EdgeNode node(io, settings, std::random_device{}());
  if (const std::error_code error = node.Start()) {
    spdlog::critical("cannot start: {}", error.message());
    return kFailure;
  }
  termination_signals.async_wait(
      [&](const boost::system::error_code&, int) { node.Drain([&io] { io.stop(); }); });
  auto watcher = WatcherFor(io, loaded, node);
  watcher.Start();
  spdlog::info("started role=edge zone={}", settings.zone);
  RunEventLoop(io);
  return 0;
}

int Run(const Arguments& arguments) {
  if (arguments.command == "version") {
    std::cout << "kestrelline-fleet " << KESTRELLINE_VERSION << '\n';
    return 0;
  }
  if (const auto command = kestrelline::fleet_main::ParseMemberCommand(arguments.command)) {
    return kestrelline::fleet_main::RunMemberCommand(*command, arguments.file, arguments.json, std::cout,
                                                     std::cerr);
  }
  const bool is_known =
      arguments.command == "edge" || arguments.command == "core" || arguments.command == "check";
  if (!is_known) {
    PrintUsage(std::cerr);
    return kUsage;
  }
  if (arguments.file.empty()) {
    std::cerr << "no settings file: name one, or set " << kSettingsVariable << '\n';
    return kUsage;
  }
  const auto result = kestrelline::node::ReadSettings(arguments.file);
  if (!result.settings) {
    std::cerr << result.error << '\n';
    return kFailure;
  }
  if (arguments.command == "check") {
    std::cout << arguments.file << ": good\n";
    return 0;
  }
  SetUpLog(result.settings->node_name);
  const LoadedSettings loaded{arguments.file, result.text, *result.settings};
  return arguments.command == "core" ? RunCore(loaded) : RunEdge(loaded);
}

}  // namespace

int main(int argument_count, char** argument_values) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until SettingsWatcher handles it
  try {
    const Arguments arguments = Parse(argument_count, argument_values);
    if (arguments.help) {
      PrintUsage(std::cout);
      return 0;
    }
    return Run(arguments);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return kUsage;
  }
}

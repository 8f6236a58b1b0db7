// SPDX-License-Identifier: Apache-2.0
//
// cost_bench PROXY RELAY: what the proxy costs a request, in one run and against a floor. A direct
// connection, a relay of bytes, and the proxy before 1, 5 and 15 stand-in converters that work for a
// microsecond: CPU and latency at an open loop of 2,000 requests a second, and instructions (of user space)
// by callgrind over 1,000 and 5,000 requests on one connection, of which the difference is divided. Needs
// valgrind. Figures: docs/design/load.md.
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "load/engine.h"
#include "standin/fleet.h"

extern char** environ;

namespace {

using namespace kestrelline;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr double kRate = 2000, kSeconds = 10;
constexpr int kFew = 1000, kMany = 5000;

standin::SiteSpec SiteOf(int converters) {
  standin::SiteSpec site;
  site.proxies = 1;
  site.zones = {"a"};
  for (const auto& [name, effect] : {std::pair{"look", load::Effect::kSafe},
                                     {"change", load::Effect::kKeyed},
                                     {"book", load::Effect::kUnsafe}}) {
    standin::SiteClass c;
    c.name = name, c.effect = effect, c.work_s = 1e-6, c.spread = 0, c.deadline = load::Microseconds(5000000);
    site.classes.push_back(c);
  }
  for (int i = 0; i < converters; ++i) {
    standin::ConverterSpec c;
    c.id = "s-" + std::to_string(i), c.zone = "a", c.kind = "m", c.cores = 8;
    site.converters.push_back(c);
  }
  return site;
}

// Converters and discovery, on a thread of their own.
class Site {
 public:
  explicit Site(int converters) : io_(1), fleet_(io_, SiteOf(converters), {}) {
    std::promise<void> ready;
    fleet_.Start([&] { ready.set_value(); });
    thread_ = std::thread([this] {
      const auto work = asio::make_work_guard(io_);
      io_.run();
    });
    ready.get_future().wait();
    converter_ = fleet_.membership().Find("s-0")->addresses[0];
  }
  ~Site() {
    asio::post(io_, [this] { io_.stop(); });
    thread_.join();
  }
  std::string discovery() const { return fleet_.discovery_address(0); }
  const std::string& converter() const { return converter_; }
  const standin::SiteSpec& spec() const { return fleet_.site(); }

 private:
  asio::io_context io_;
  standin::Fleet fleet_;
  std::thread thread_;
  std::string converter_;
};

Tcp::endpoint EndpointOf(const std::string& text) {
  return {asio::ip::address_v4::loopback(),
          static_cast<unsigned short>(std::atoi(text.c_str() + text.rfind(':') + 1))};
}

class Process {
 public:
  Process(std::vector<std::string> command, const std::string& config) {
    char name[] = "/tmp/kestrelline-cost-XXXXXX";
    close(mkstemp(name));
    log_ = name;
    std::vector<std::string> environment;
    for (char** entry = environ; *entry; ++entry) environment.emplace_back(*entry);
    environment.push_back("ROUTER_CONFIG=" + config);
    std::vector<char*> argv, env;
    for (auto& word : command) argv.push_back(word.data());
    for (auto& entry : environment) env.push_back(entry.data());
    argv.push_back(nullptr), env.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, name, O_WRONLY | O_TRUNC, 0600);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (posix_spawnp(&pid_, argv[0], &actions, nullptr, argv.data(), env.data()) != 0) {
      std::fprintf(stderr, "%s cannot be started\n", argv[0]);
      std::exit(1);
    }
    posix_spawn_file_actions_destroy(&actions);
  }
  ~Process() {
    End();
    unlink(log_.c_str());
  }
  void End() {
    if (pid_ <= 0) return;
    kill(pid_, SIGTERM);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Of its one thread, in microseconds.
  double CpuUs() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
    double ns = 0;
    file >> ns;
    return ns / 1000;
  }
  std::string Log() const {
    std::ifstream file(log_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  pid_t pid_ = -1;
  std::string log_;
};

// One request and its answer; the status, or 0.
class OneConnection {
 public:
  explicit OneConnection(const Tcp::endpoint& to) : socket_(io_) { socket_.connect(to); }
  int Ask(const std::string& request) {
    boost::system::error_code failed;
    asio::write(socket_, asio::buffer(request), failed);
    std::string got;
    char piece[4096];
    while (!failed) {
      got.append(piece, socket_.read_some(asio::buffer(piece), failed));
      const auto head = got.find("\r\n\r\n");
      const auto length = got.find("Content-Length: ");
      if (head == std::string::npos || length == std::string::npos) continue;
      if (got.size() >= head + 4 + static_cast<std::size_t>(std::atoi(got.c_str() + length + 16)))
        return std::atoi(got.c_str() + 9);
    }
    return 0;
  }

 private:
  asio::io_context io_;
  Tcp::socket socket_;
};

std::string Request(int i) {
  const char* kind = i % 3 == 0 ? "look" : i % 3 == 1 ? "change" : "book";
  std::string text = std::string(i % 3 == 0 ? "GET /" : "POST /") + kind +
                     " HTTP/1.1\r\nHost: x\r\nReq-Id: " + std::to_string(i) + "\r\nReq-Kind: " + kind +
                     "\r\nReq-Deadline-Ms: 5000\r\n";
  if (i % 3 == 1) text += "Idempotency-Key: " + std::to_string(i) + "\r\n";
  return text + (i % 3 == 0 ? "\r\n" : "Content-Length: 200\r\n\r\n" + std::string(200, 'x'));
}

void WaitUntilServes(const Tcp::endpoint& address) {
  for (int i = 0;; ++i) {
    try {
      if (OneConnection(address).Ask(Request(900000 + 3 * i)) == 200) return;
    } catch (const boost::system::system_error&) {
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

struct Subject {
  std::string name;
  std::vector<std::string> command;  // empty: a direct connection
  std::string config;
  Tcp::endpoint address;
};

struct Figures {
  double cpu_us = 0, instructions = 0, p50_us = 0, p99_us = 0, served = 0;
};

void PlayOpenLoop(const Subject& subject, Figures* figures) {
  std::unique_ptr<Process> process;
  if (!subject.command.empty()) process = std::make_unique<Process>(subject.command, subject.config);
  WaitUntilServes(subject.address);
  load::Plan plan;
  plan.classes = {{"look", load::Effect::kSafe, load::Microseconds(5000000)},
                  {"change", load::Effect::kKeyed, load::Microseconds(5000000)},
                  {"book", load::Effect::kUnsafe, load::Microseconds(5000000)}};
  plan.mixture.shapes = {load::Constant{kRate}};
  plan.mixture.classes = {{"look", 1, 0, 0}, {"change", 1, 200, 200}, {"book", 1, 200, 200}};
  plan.mixture.seconds = kSeconds;
  plan.connections = 64;
  load::Results results({"look", "change", "book"});
  load::Arrivals arrivals(plan.mixture, 1);
  asio::io_context io(1);
  load::Engine engine(
      io, plan, {subject.address}, [&] { return arrivals.Next(); },
      [&](const load::Arrival& a, load::Outcome o, const load::Timing& t) {
        results.Add(a.request_class, o, t);
      });
  const double before = process ? process->CpuUs() : 0;
  engine.Start([&] { io.stop(); });
  io.run();
  figures->served = static_cast<double>(results.Count(load::Outcome::kServed));
  if (process) figures->cpu_us = (process->CpuUs() - before) / figures->served;
  const auto latencies = results.Served(true);
  figures->p50_us = static_cast<double>(latencies.Quantile(0.5).count());
  figures->p99_us = static_cast<double>(latencies.Quantile(0.99).count());
}

double Collected(const Subject& subject, int requests) {
  std::vector<std::string> command{"valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null"};
  command.insert(command.end(), subject.command.begin(), subject.command.end());
  Process process(command, subject.config);
  WaitUntilServes(subject.address);
  {
    OneConnection connection(subject.address);
    for (int i = 0; i < requests; ++i) {
      if (connection.Ask(Request(i)) == 200) continue;
      std::fprintf(stderr, "%s: request %d was not served\n", subject.name.c_str(), i);
      std::exit(1);
    }
  }
  process.End();
  const std::string log = process.Log();
  const auto at = log.find("Collected : ");
  if (at == std::string::npos) {
    std::fprintf(stderr, "%s\n", log.c_str());
    std::exit(1);
  }
  return std::strtod(log.c_str() + at + std::strlen("Collected : "), nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s PROXY RELAY\n", argv[0]);
    return 2;
  }
  asio::io_context io;
  const standin::HeldAddress relay(io), proxy(io);
  std::printf("%-22s %8s %12s %14s %14s %10s %10s %18s\n", "", "served", "CPU us each", "latency p50 us",
              "p99 us", "p50 added", "p99 added", "instructions each");
  double direct50 = 0, direct99 = 0;
  Figures floor;
  for (const int converters : {1, 5, 15}) {
    Site site(converters);
    char config[] = "/tmp/kestrelline-cost-XXXXXX";
    close(mkstemp(config));
    std::ofstream(config) << standin::ProxyConfig(site.spec(), 0, proxy.text(), site.discovery());
    std::vector<Subject> subjects;
    if (converters == 1) {
      subjects.push_back({"direct connection", {}, "", EndpointOf(site.converter())});
      subjects.push_back({"relay of bytes",
                          {argv[2], std::to_string(relay.endpoint().port()),
                           site.converter().substr(site.converter().rfind(':') + 1)},
                          "",
                          relay.endpoint()});
    }
    subjects.push_back(
        {"proxy, converters: " + std::to_string(converters), {argv[1]}, config, proxy.endpoint()});
    for (const Subject& subject : subjects) {
      Figures f;
      PlayOpenLoop(subject, &f);
      if (!subject.command.empty())
        f.instructions = (Collected(subject, kMany) - Collected(subject, kFew)) / (kMany - kFew);
      if (subject.command.empty()) direct50 = f.p50_us, direct99 = f.p99_us;
      if (converters == 1 && subject.command.size() > 1) floor = f;
      std::printf("%-22s %8.0f %12.1f %14.0f %14.0f %10.0f %10.0f %18.0f\n", subject.name.c_str(), f.served,
                  f.cpu_us, f.p50_us, f.p99_us, f.p50_us - direct50, f.p99_us - direct99, f.instructions);
      if (subject.command.size() == 1)
        std::printf("%-22s %8s %11.1fx %14s %14s %9.1fx %9.1fx %17.1fx\n", "  against the relay", "",
                    f.cpu_us / floor.cpu_us, "", "", (f.p50_us - direct50) / (floor.p50_us - direct50),
                    (f.p99_us - direct99) / (floor.p99_us - direct99), f.instructions / floor.instructions);
      std::fflush(stdout);
    }
    unlink(config);
  }
  return 0;
}

// SPDX-License-Identifier: Apache-2.0
//
// cost_bench PROXY RELAY: what the proxy costs a request, in one run and against a floor. A direct
// connection, a relay of bytes, and the proxy before 1, 5 and 15 stand-in converters that work for a
// microsecond: CPU and latency at an open loop of 2,000 requests a second, and instructions (of user space)
// by callgrind over 1,000 and 5,000 requests on one connection, of which the difference is divided. Needs
// valgrind. Figures: docs/design/load.md.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "load/engine.h"
#include "measured_process.h"
#include "running_site.h"
#include "support/client.h"

namespace {

using namespace kestrelline;
using kestrelline::testing::Client;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr double kRate = 2000, kSeconds = 10;

Tcp::endpoint EndpointOf(const std::string& text) {
  return {asio::ip::address_v4::loopback(),
          static_cast<unsigned short>(std::atoi(text.c_str() + text.rfind(':') + 1))};
}

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
      if (Client(address).Ask(Request(900000 + 3 * i)).result_int() == 200) return;
    } catch (const boost::system::system_error&) {
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

struct Subject {
  std::string name;
  std::vector<std::string> command;  // empty: a direct connection
  std::vector<std::string> environment;
  Tcp::endpoint address;
};

struct Figures {
  double cpu_us = 0, instructions = 0, p50_us = 0, p99_us = 0, served = 0;
};

void PlayOpenLoop(const Subject& subject, Figures* figures) {
  std::unique_ptr<bench::MeasuredProcess> process;
  if (!subject.command.empty())
    process = std::make_unique<bench::MeasuredProcess>(subject.command, subject.environment);
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

void PlayOneByOne(const Subject& subject, int requests) {
  WaitUntilServes(subject.address);
  Client client(subject.address);
  for (int i = 0; i < requests; ++i) {
    if (client.Ask(Request(i)).result_int() == 200) continue;
    std::fprintf(stderr, "%s: request %d was not served\n", subject.name.c_str(), i);
    std::exit(1);
  }
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
    const bench::RunningSite running(bench::QuickSite(converters));
    const standin::Fleet& site = running.fleet();
    const bench::TemporaryFile config(
        standin::ProxyConfig(site.site(), 0, proxy.text(), site.discovery_address(0)).dump());
    std::vector<Subject> subjects;
    if (converters == 1) {
      const std::string converter = site.membership().Find("s-00")->addresses[0];
      subjects.push_back({"direct connection", {}, {}, EndpointOf(converter)});
      subjects.push_back(
          {"relay of bytes",
           {argv[2], std::to_string(relay.endpoint().port()), converter.substr(converter.rfind(':') + 1)},
           {},
           relay.endpoint()});
    }
    subjects.push_back({"proxy, converters: " + std::to_string(converters),
                        {argv[1]},
                        {"ROUTER_CONFIG=" + config.path},
                        proxy.endpoint()});
    for (const Subject& subject : subjects) {
      Figures f;
      PlayOpenLoop(subject, &f);
      if (!subject.command.empty())
        f.instructions = bench::InstructionsARequest(subject.command, subject.environment,
                                                     [&](int requests) { PlayOneByOne(subject, requests); });
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
  }
  return 0;
}

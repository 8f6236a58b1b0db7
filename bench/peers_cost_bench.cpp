// SPDX-License-Identifier: Apache-2.0
//
// peers_cost_bench PROXY: what the view of the fleet costs real processes. A site of 5, 16 and 32 proxies
// with peers off and on, in turn: CPU of the idle proxies, and CPU and latency of requests at one of them.
// peers_cost_bench PROXY claims: the same of keyed requests at one of 5 proxies, by what others know of a
// key.
// peers_cost_bench PROXY catchup: latency of requests at one of 2 proxies, second by second, while both catch
// up with 100,000 claims of a third member.
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "load/engine.h"
#include "measured_process.h"
#include "peers/link.h"
#include "replica/link.h"
#include "running_site.h"
#include "support/client.h"
#include "support/management_client.h"
#include "support/temporary.h"

namespace {

using namespace kestrelline;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr double kRate = 1500, kSeconds = 8;
constexpr int kEntries = 100000;

Tcp::endpoint EndpointOf(const std::string& at) {
  return {asio::ip::make_address(at.substr(0, at.rfind(':'))),
          static_cast<unsigned short>(std::stoi(at.substr(at.rfind(':') + 1)))};
}

struct Figures {
  double idle = 0;  // shares of a core a proxy
  double cpu_us = 0, p50_us = 0, p99_us = 0, served = 0;
};

Figures Play(const char* program, int proxies, bool peers, const char* claim = nullptr) {
  standin::SiteSpec spec = bench::QuickSite(5);
  spec.proxies = proxies, spec.peers = peers;
  if (claim) {
    spec.classes[0].effect = load::Effect::kKeyed;
    spec.replica = std::string("claim = \"") + claim + "\"\nentries = 100000\n";
  }
  const load::Effect effect = spec.classes[0].effect;
  const testing::TemporaryFolder folder;
  standin::Fleet::Options options;
  options.program = program, options.directory = folder / "";
  const bench::RunningSite site(std::move(spec), std::move(options));
  const standin::Fleet& fleet = site.fleet();
  std::this_thread::sleep_for(std::chrono::seconds(4));  // all have joined
  std::vector<pid_t> pids;
  for (int i = 0; i < proxies; ++i) pids.push_back(fleet.process(static_cast<std::size_t>(i)).pid());
  const auto all = [&] {
    double us = 0;
    for (const pid_t pid : pids) us += bench::CpuUs(pid);
    return us;
  };
  Figures f;
  const double before = all();
  std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
  f.idle = (all() - before) / 1e6 / kSeconds / proxies;

  load::Plan plan;
  plan.classes = {{"look", effect, load::Microseconds(5000000)}};
  plan.mixture.shapes = {load::Constant{kRate}};
  plan.mixture.classes = {{"look", 1, 0, 0}};
  plan.mixture.seconds = kSeconds;
  plan.connections = 32;
  load::Results results({"look"});
  load::Arrivals arrivals(plan.mixture, 1);
  asio::io_context clients(1);
  const Tcp::endpoint target = EndpointOf(fleet.proxy_addresses()[0]);
  load::Engine engine(
      clients, plan, {target}, [&] { return arrivals.Next(); },
      [&](const load::Arrival& a, load::Outcome o, const load::Timing& t) {
        results.Add(a.request_class, o, t);
      });
  const double then = bench::CpuUs(pids[0]);
  engine.Start([&] { clients.stop(); });
  clients.run();
  f.served = static_cast<double>(results.Count(load::Outcome::kServed));
  f.cpu_us = (bench::CpuUs(pids[0]) - then) / f.served;
  f.p50_us = static_cast<double>(results.Served(true).Quantile(0.5).count());
  f.p99_us = static_cast<double>(results.Served(true).Quantile(0.99).count());
  return f;
}

// In the place of a proxy that was killed: a member that has written kEntries claims before it joins.
class Writer {
 public:
  Writer(const std::string& folder, standin::Switchboard& network, int place) {
    peers::Settings settings;
    settings.listen = *peers::ParseAddress(network.listens(place));
    settings.advertise = *peers::ParseAddress(network.advertised(place));
    settings.seeds = {*peers::ParseAddress(network.advertised(0))};
    std::string why;
    settings.keys = peers::ReadKeys(folder + "peers.key", &why).value();
    peers_.emplace(io_, settings, peers::Link::Who{"n" + std::to_string(place), "w", "1", 1, false}, nullptr);
    replica::Settings shared;
    shared.entries = 2 * kEntries;
    replica_.emplace(io_, *peers_, shared, [](const std::string&) {});
    for (int k = 0; k < kEntries; ++k)
      replica_->Claim(hashing::Mixed(static_cast<std::uint64_t>(k)), 1, std::chrono::minutes(10), 0, {},
                      [](bool) {});
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Writer() {
    io_.stop();
    thread_.join();
  }

 private:
  asio::io_context io_{1};
  std::optional<peers::Link> peers_;
  std::optional<replica::Link> replica_;
  std::thread thread_;
};

int CatchUp(const char* program) {
  standin::SiteSpec spec = bench::QuickSite(5);
  spec.proxies = 3, spec.peers = true;
  spec.replica = "claim = \"tell\"\nentries = " + std::to_string(2 * kEntries) + "\n";
  const load::Effect effect = spec.classes[0].effect;
  const testing::TemporaryFolder folder;
  standin::Fleet::Options options;
  options.program = program, options.directory = folder / "";
  bench::RunningSite site(std::move(spec), std::move(options));
  const auto door = EndpointOf(site.fleet().door_address(0));
  const auto entries = [&] {
    const std::string said = kestrelline::testing::Call(door, "replica\n");
    return said.starts_with("ACK ") ? nlohmann::json::parse(said.substr(4)).value("entries", 0) : 0;
  };
  load::Plan plan;
  plan.classes = {{"look", effect, load::Microseconds(5000000)}};
  plan.mixture.shapes = {load::Constant{kRate}};
  plan.mixture.classes = {{"look", 1, 0, 0}};
  plan.mixture.seconds = 14;
  plan.connections = 32;
  load::Results results({"look"});
  load::Arrivals arrivals(plan.mixture, 1);
  asio::io_context clients(1);
  load::Engine engine(
      clients, plan, {EndpointOf(site.fleet().proxy_addresses()[0])}, [&] { return arrivals.Next(); },
      [&](const load::Arrival& a, load::Outcome o, const load::Timing& t) {
        results.Add(a.request_class, o, t);
      });
  site.Apply("kill n2 10m");
  const auto start = std::chrono::steady_clock::now();
  const auto since = [&] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  engine.Start([&] { clients.stop(); });
  std::thread load([&] { clients.run(); });
  std::this_thread::sleep_until(start + std::chrono::seconds(6));
  const Writer writer(folder / "", site.network(), 2);
  std::vector<std::pair<double, int>> held{{since(), entries()}};
  while (held.back().second < kEntries && since() < 14) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    held.emplace_back(since(), entries());
  }
  load.join();
  double first = 0;
  for (const auto& [at, n] : held)
    if (n == 0) first = at;
  std::printf("%d entries held, the first after %.2f s, the last after %.2f s\n", held.back().second, first,
              held.back().first);
  std::printf("second   p50 us    p99 us\n");
  for (std::size_t s = 0; s < results.seconds().size(); ++s)
    std::printf("%6zu  %7lld  %8lld\n", s,
                static_cast<long long>(results.seconds()[s].latencies.Quantile(0.5).count()),
                static_cast<long long>(results.seconds()[s].latencies.Quantile(0.99).count()));
  return held.back().second == kEntries ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc == 3 ? argv[2] : "";
  if (argc < 2 || argc > 3 || (argc == 3 && what != "claims" && what != "catchup")) {
    std::fprintf(stderr, "usage: %s PROXY [claims | catchup]\n", argv[0]);
    return 2;
  }
  if (what == "catchup") return CatchUp(argv[1]);
  if (argc == 3) {
    std::printf("claim   served   CPU us a request    p50 us    p99 us\n");
    for (const char* claim : {"none", "tell", "wait 1", "none", "tell", "wait 1"}) {
      const Figures f = Play(argv[1], 5, true, claim);
      std::printf("%-6s  %6.0f  %17.1f  %8.0f  %8.0f\n", claim, f.served, f.cpu_us, f.p50_us, f.p99_us);
      std::fflush(stdout);
    }
    return 0;
  }
  std::printf("proxies  peers  idle, %% of a core   served   CPU us a request    p50 us    p99 us\n");
  for (const int proxies : {5, 16, 32}) {
    for (const bool peers : {false, true, false, true}) {
      const Figures f = Play(argv[1], proxies, peers);
      std::printf("%7d  %5s  %18.3f  %7.0f  %17.1f  %8.0f  %8.0f\n", proxies, peers ? "on" : "off",
                  f.idle * 100, f.served, f.cpu_us, f.p50_us, f.p99_us);
      std::fflush(stdout);
    }
  }
  return 0;
}

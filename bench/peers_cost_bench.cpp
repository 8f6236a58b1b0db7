// SPDX-License-Identifier: Apache-2.0
//
// What the membership view costs real processes.
//
//   peers_cost_bench PROXY
//       Sites of 5, 16 and 32 proxies with peers off and on in turn: CPU of the idle proxies, and CPU and
//       latency of requests at one of them.
//   peers_cost_bench PROXY claims
//       The same for keyed requests at one of 5 proxies, by claim setting.
//   peers_cost_bench PROXY catchup
//       Latency of requests at one of 2 proxies, second by second, while both catch up with 100,000 claims of
//       a third member.
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
  double idle = 0;  // share of a core per proxy
  double cpu_us = 0, p50_us = 0, p99_us = 0, served = 0;
};

Figures Measure(const char* program, int proxies, bool peers, const char* claim = nullptr) {
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
  std::this_thread::sleep_for(std::chrono::seconds(4));  // until all have joined
  std::vector<pid_t> pids;
  for (int i = 0; i < proxies; ++i) pids.push_back(fleet.process(static_cast<std::size_t>(i)).pid());
  const auto total_cpu_us = [&] {
    double us = 0;
    for (const pid_t pid : pids) us += bench::CpuUs(pid);
    return us;
  };
  Figures figures;
  const double before = total_cpu_us();
  std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
  figures.idle = (total_cpu_us() - before) / 1e6 / kSeconds / proxies;

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
  const double cpu_before = bench::CpuUs(pids[0]);
  engine.Start([&] { clients.stop(); });
  clients.run();
  figures.served = static_cast<double>(results.Count(load::Outcome::kServed));
  figures.cpu_us = (bench::CpuUs(pids[0]) - cpu_before) / figures.served;
  figures.p50_us = static_cast<double>(results.Served(true).Quantile(0.5).count());
  figures.p99_us = static_cast<double>(results.Served(true).Quantile(0.99).count());
  return figures;
}

// A member that replaces a killed proxy, and has written kEntries claims before it joins.
class ClaimWriter {
 public:
  ClaimWriter(const std::string& folder, standin::Switchboard& network, int index) {
    peers::Settings settings;
    settings.listen = *peers::ParseAddress(network.listens(index));
    settings.advertise = *peers::ParseAddress(network.advertised(index));
    settings.seeds = {*peers::ParseAddress(network.advertised(0))};
    std::string why;
    settings.keys = peers::ReadKeys(folder + "peers.key", &why).value();
    peers_.emplace(io_, settings, peers::Link::Identity{"n" + std::to_string(index), "w", "1", 1, false},
                   nullptr);
    replica::Settings replica_settings;
    replica_settings.entries = 2 * kEntries;
    replica_.emplace(io_, *peers_, replica_settings, [](const std::string&) {});
    for (int k = 0; k < kEntries; ++k)
      replica_->Claim(hashing::Mixed(static_cast<std::uint64_t>(k)), 1, std::chrono::minutes(10), 0, {},
                      [](bool) {});
    thread_ = std::thread([this] { io_.run(); });
  }
  ~ClaimWriter() {
    io_.stop();
    thread_.join();
  }

 private:
  asio::io_context io_{1};
  std::optional<peers::Link> peers_;
  std::optional<replica::Link> replica_;
  std::thread thread_;
};

int MeasureCatchUp(const char* program) {
  standin::SiteSpec spec = bench::QuickSite(5);
  spec.proxies = 3, spec.peers = true;
  spec.replica = "claim = \"tell\"\nentries = " + std::to_string(2 * kEntries) + "\n";
  const load::Effect effect = spec.classes[0].effect;
  const testing::TemporaryFolder folder;
  standin::Fleet::Options options;
  options.program = program, options.directory = folder / "";
  bench::RunningSite site(std::move(spec), std::move(options));
  const auto management = EndpointOf(site.fleet().door_address(0));
  const auto entries = [&] {
    const std::string response = kestrelline::testing::Call(management, "replica\n");
    return response.starts_with("ACK ") ? nlohmann::json::parse(response.substr(4)).value("entries", 0) : 0;
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
  const auto elapsed = [&] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  engine.Start([&] { clients.stop(); });
  std::thread load([&] { clients.run(); });
  std::this_thread::sleep_until(start + std::chrono::seconds(6));
  const ClaimWriter writer(folder / "", site.network(), 2);
  std::vector<std::pair<double, int>> progress{{elapsed(), entries()}};
  while (progress.back().second < kEntries && elapsed() < 14) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    progress.emplace_back(elapsed(), entries());
  }
  load.join();
  double first = 0;
  for (const auto& [at, n] : progress)
    if (n == 0) first = at;
  std::printf("%d entries held, the first after %.2f s, the last after %.2f s\n", progress.back().second,
              first, progress.back().first);
  std::printf("second   p50 us    p99 us\n");
  for (std::size_t s = 0; s < results.seconds().size(); ++s)
    std::printf("%6zu  %7lld  %8lld\n", s,
                static_cast<long long>(results.seconds()[s].latencies.Quantile(0.5).count()),
                static_cast<long long>(results.seconds()[s].latencies.Quantile(0.99).count()));
  return progress.back().second == kEntries ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc == 3 ? argv[2] : "";
  if (argc < 2 || argc > 3 || (argc == 3 && what != "claims" && what != "catchup")) {
    std::fprintf(stderr, "usage: %s PROXY [claims | catchup]\n", argv[0]);
    return 2;
  }
  if (what == "catchup") return MeasureCatchUp(argv[1]);
  if (argc == 3) {
    std::printf("claim   served   CPU us a request    p50 us    p99 us\n");
    for (const char* claim : {"none", "tell", "wait 1", "none", "tell", "wait 1"}) {
      const Figures figures = Measure(argv[1], 5, true, claim);
      std::printf("%-6s  %6.0f  %17.1f  %8.0f  %8.0f\n", claim, figures.served, figures.cpu_us,
                  figures.p50_us, figures.p99_us);
      std::fflush(stdout);
    }
    return 0;
  }
  std::printf("proxies  peers  idle, %% of a core   served   CPU us a request    p50 us    p99 us\n");
  for (const int proxies : {5, 16, 32}) {
    for (const bool peers : {false, true, false, true}) {
      const Figures figures = Measure(argv[1], proxies, peers);
      std::printf("%7d  %5s  %18.3f  %7.0f  %17.1f  %8.0f  %8.0f\n", proxies, peers ? "on" : "off",
                  figures.idle * 100, figures.served, figures.cpu_us, figures.p50_us, figures.p99_us);
      std::fflush(stdout);
    }
  }
  return 0;
}

// SPDX-License-Identifier: Apache-2.0
//
// A site in virtual time: the proxies' own decisions, the stand-in's servers and faults, the generator's
// arrivals, clients with their patience and retries, discovery, and the four rules audited as it runs.
//
// One scenario has one history: the same on every machine, whatever else runs beside it.
#ifndef KESTRELLINE_SIM_SIMULATION_H_
#define KESTRELLINE_SIM_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "load/events.h"
#include "load/ledger.h"
#include "load/results.h"
#include "sim/directory.h"
#include "sim/hosts.h"
#include "sim/kernel.h"
#include "sim/node.h"
#include "sim/peering.h"
#include "sim/scenario.h"

namespace kestrelline::sim {

struct Report {
  explicit Report(const std::vector<std::string>& classes) : results(classes) {}

  load::Results results;
  load::Ledger::Verdict verdict;  // nothing is broken where nothing was audited
  std::uint64_t events = 0, attempts = 0, connections = 0, repeats_dropped = 0;
  std::uint64_t history = 0;  // a hash of all that was told to the ledger, in its order
  Microseconds took{0};       // virtual time
  bool stopped = false;       // at a breach
  struct Tenant {
    std::uint64_t asked = 0, served = 0;
  };
  std::vector<Tenant> tenants;  // of the plan, in its order
  double worth_asked = 0,
         worth_earned = 0;  // by the classes' worth of a served answer, halved past half its time
  double service() const { return worth_asked > 0 ? worth_earned / worth_asked : 1; }
};

class Simulation {
 public:
  struct Options {
    bool audit = true, stop_at_breach = true;
    load::OnEvent on_event;  // all that the ledger is told; may be empty
    std::function<void(std::uint32_t node, Microseconds at, const kestrelline::Event&,
                       const std::vector<kestrelline::Action>&)>
        on_decision;
    std::function<void(Microseconds at, const std::string&)> on_log;  // faults
    // Guards taken away, to see that the audit finds it: what a module is told, and what it wants done.
    std::function<void(kestrelline::Event*)> tamper_with_event;
    std::function<void(std::vector<kestrelline::Action>*)> tamper_with_actions;
    std::function<void(Microseconds at)> on_progress;  // each virtual second
    Microseconds until{-1};                            // ends there; below 0: at the end
  };

  // The state at the moment at which Run came back.
  struct State {
    struct Proxy {
      bool up = false, paused = false;
      std::uint64_t revision = 0;  // of its list
      std::size_t held = 0;        // requests without an answer, or with an attempt out
      bool operator==(const Proxy&) const = default;
    };
    struct Server {
      std::string id;
      bool up = false;
      std::size_t attempts = 0;
      int running = 0, queued = 0;
      bool operator==(const Server&) const = default;
    };
    std::vector<Proxy> proxies;
    std::vector<Server> servers;
    std::uint64_t history = 0;
    bool operator==(const State&) const = default;
  };

  // `scenario` must outlive it.
  Simulation(const Scenario& scenario, Options options);
  ~Simulation();

  Report Run();
  State Look() const;

 private:
  struct Call {
    load::Arrival arrival;
    Microseconds sent{-1}, due{0};
    std::uint32_t request_class = 0;  // of the site
    int tries = 0;
    std::shared_ptr<sim::Try> open;  // the last
  };
  struct Proxy {
    std::unique_ptr<Node> node;
    std::uint64_t revision = 0;
    bool paused = false, leaving = false;
    Microseconds down_until{-1};              // passed over by clients
    std::vector<std::function<void()>> held;  // while it is paused
    std::vector<bool> not_ready;              // by directory entry: told so last
  };

  Microseconds Jitter();
  Microseconds Delay(std::uint32_t node, std::uint32_t host);
  // Until nothing is cut between the two any more.
  Microseconds Parted(std::uint32_t node, std::uint32_t host) const;
  int ZoneOf(std::uint32_t node) const;
  void Tell(const load::Event& event);
  void AtProxy(std::uint32_t node, std::function<void()> then);

  // Clients.
  void Pull();
  void Try(std::uint64_t call, std::size_t unreached);
  void OnAnswer(const std::shared_ptr<const sim::Try>& of, const Answer& answer);
  void End(std::uint64_t call, load::Outcome outcome);
  void SayOfClient(load::Event::Kind kind, const sim::Try& of, const std::string& subject, int number);

  // Discovery.
  void Changed();
  void Deliver(std::uint32_t node);
  void List(std::uint32_t host, kestrelline::ServerState state, bool started);

  // Faults.
  void Apply(const standin::Fault& fault);
  void ApplyTo(std::uint32_t host, const standin::Fault& fault);
  void ApplyToProxy(std::uint32_t node, const standin::Fault& fault);
  void Bring(std::uint32_t host, const std::string& id);
  void StartProxy(std::uint32_t node);
  void EndProxy(std::uint32_t node, Microseconds back);
  void EndWhenEmpty(std::uint32_t node, Microseconds until, Microseconds back);
  void SayOfProxy(load::Event::Kind kind, std::uint32_t node);

  const Scenario& scenario_;
  Options options_;
  Kernel kernel_;
  std::mt19937_64 draw_;
  load::RuleFigures figures_;
  load::Ledger ledger_;
  Hosts hosts_;
  Directory directory_;
  std::vector<std::uint32_t> entry_of_;  // by host: of the directory
  std::vector<Proxy> proxies_;
  std::unique_ptr<Peering> peering_;       // nothing where the site's proxies are no peers
  std::vector<int> zones_;                 // by host
  std::vector<std::uint32_t> site_class_;  // by the plan's
  load::Arrivals arrivals_;
  std::size_t next_of_trace_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls_;
  std::uint64_t last_call_ = 0, last_try_ = 0, next_target_ = 0, replaced_ = 0;
  bool late_list_ = false, discovery_down_ = false, garbled_ = false, arrivals_over_ = false,
       breached_ = false;
  struct Cut {
    std::string who;
    Microseconds until;
  };
  std::vector<Cut> cuts_;  // between proxies and servers; those that are over are dropped by the next
  std::uint64_t history_ = 0;
  Report report_;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_SIMULATION_H_

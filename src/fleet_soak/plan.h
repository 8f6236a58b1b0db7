// SPDX-License-Identifier: Apache-2.0
//
// What befalls a fleet during a soak run: drawn from a seed, without I/O or clock. The same seed and sizes
// give the same plan.
#ifndef KESTRELLINE_FLEET_SOAK_PLAN_H_
#define KESTRELLINE_FLEET_SOAK_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kestrelline::fleet_soak {

using Time = std::chrono::milliseconds;  // since the start of the run

enum class Trouble {
  // Planned work.
  kTermProxy,    // SIGTERM, to the gateway beside it too; started again `length` after its end
  kHangupProxy,  // SIGHUP
  kTermCore,     // as kTermProxy
  kChange,       // a configuration on top of the newest
  kRace,         // two different ones on top of the same
  kInvalid,      // one that must be refused
  kRepeat,       // the newest acknowledged one again, at another member
  // What nobody plans.
  kKillProxy,   // SIGKILL; started again after `length`
  kPauseProxy,  // SIGSTOP for `length`
  kCutClients,  // the relay before a proxy drops bytes for `length`, then resets its connections
  kKillCore,
  kPauseCore,
  kCutOperator,    // as kCutClients, before a member of the control plane
  kLoseAnswers,    // the next `count` answers of that member to an operator
  kBackendBreaks,  // the next `count` requests at a backend: closed unanswered, or in the middle of a stream
  kBackendHangs,
  kBackendRefuses,
  kBackendGarbles,  // garbage in the next `count` answers of a backend, drawn by `variant`
  kKillAll,         // every process at once; started again after `length`
};

const char* NameOf(Trouble trouble);

struct Action {
  Time at{};
  Trouble trouble{};
  int target = 0;  // index of the proxy, member or backend
  Time length{};
  int count = 1;
  int variant = 0;
  bool operator==(const Action&) const = default;
};

// How many processes and backends there are.
struct Sizes {
  int cores = 3;
  int edges = 4;
  int prefill = 1;
  int decode = 4;
  int plain = 4;
  int gateways = 0;  // control processes without a disk, beside the first proxies
  bool operator==(const Sizes&) const = default;
  int backends() const { return prefill + decode + plain; }
  // Members that may be down at once while the others take orders.
  int tolerance() const { return (cores - 1) / 2; }
};

// What the caller asks for; what is left open is drawn.
struct Wanted {
  std::optional<int> cores, edges, prefill, decode, plain, gateways;
  std::optional<bool> planned_work_alone;
  Time length{60000};
};

struct Plan {
  std::uint64_t seed = 0;
  Sizes sizes;
  Time length{};
  bool planned_work_alone = false;  // nothing that nobody plans
  std::vector<Action> actions;      // by time
};

Plan DrawPlan(std::uint64_t seed, const Wanted& wanted);
// One line for each action.
std::string Describe(const Plan& plan);

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_PLAN_H_

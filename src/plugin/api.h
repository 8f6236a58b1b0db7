// SPDX-License-Identifier: Apache-2.0
//
// What passes between the daemon and a plug-in: a request as a plug-in sees it, the tags that it returns, and
// how a call may end. Contract and examples: docs/operating/plugins.md.
//
// A plug-in reads a request and tags it. It has no socket, no file, no clock, no chance and no say in who
// serves or whether: what it returns is checked here, never trusted.
#ifndef KESTRELLINE_PLUGIN_API_H_
#define KESTRELLINE_PLUGIN_API_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kestrelline/balancer.h"

namespace kestrelline::plugin {

// The number that a plug-in says it is written for: `api = 1`.
inline constexpr int kApiVersion = 1;

// The longest that all plug-ins together may hold a request. No setting widens it.
inline constexpr Duration kMostWall{5};

// Bounds of the view. What is beyond is left out, and `cut` says so.
inline constexpr std::size_t kMostViewBytes = 24 * 1024;
inline constexpr std::size_t kMostFormBytes = 4 * 1024;
inline constexpr std::size_t kMostHeaders = 128;
// A text that a plug-in returns: a class, a tenant, a key, a route tag.
inline constexpr std::size_t kMostTagBytes = 256;
inline constexpr double kMostCostMs = 1e9;

// Views, valid during the call only.
struct RequestView {
  std::string_view method, target;
  std::string_view request_class, tenant;  // names of the platform's; the tenant may be empty
  double deadline_ms = 0;                  // what is left of it
  double now_ms = 0;                       // Unix time when the request was read: time is data
  std::string_view form;                   // the body, if it is a form of at most kMostFormBytes
  bool cut = false;
  std::vector<std::pair<std::string_view, std::string_view>> headers;  // as sent, in order
};

// What is absent is left as it is.
struct Tags {
  std::optional<std::string> request_class, tenant, key, route;
  std::optional<double> cost_ms;

  bool operator==(const Tags&) const = default;
  bool empty() const { return *this == Tags{}; }
};

// Why a call, or a worker, failed.
enum class Fault {
  kNone,
  kError,      // the script raised an error
  kFuel,       // more instructions than it may
  kMemory,     // more memory than it may
  kOutput,     // more, or other, than may be returned
  kTimeout,    // no answer within the wall time: a loop, or a call that blocks
  kLate,       // its turn did not come, or end, within the request's time
  kCrash,      // the worker ended: a signal, or an exit
  kProtocol,   // the worker said what no worker says
  kForbidden,  // a tag that the platform or the operator does not allow
  kFull,       // too many calls wait already
  kSuspended,  // the breaker is open
  kLoad,       // it could not be loaded
};
std::string_view Name(Fault fault);

struct Outcome {
  Fault fault = Fault::kNone;
  Tags tags;         // of kNone
  std::string text;  // of a fault: what the worker said; at most kMostFaultText
  std::uint64_t fuel = 0;
};
inline constexpr std::size_t kMostFaultText = 200;

// Budgets of one plug-in.
struct Budgets {
  Duration wall{4};              // from the request to its tags; leaves a millisecond to the event loop
  std::uint64_t fuel = 200000;   // instructions of the script, in one call
  std::size_t memory = 4 << 20;  // bytes that the script may hold
  std::size_t output = 1024;     // bytes that one call may return
  Duration load{1000};           // to load, check and warm
  std::uint64_t load_fuel = 5'000'000;

  bool operator==(const Budgets&) const = default;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_API_H_

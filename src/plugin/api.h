// SPDX-License-Identifier: Apache-2.0
//
// The interface between the proxy and a plug-in: the request as a plug-in sees it, the tags that it returns,
// and the outcomes of a call. Contract and examples: docs/operating/plugins.md.
//
// A plug-in reads a request and tags it. It has no access to sockets, files, clocks or random numbers, and
// does not decide which backend serves the request or whether it is served. The proxy validates everything
// that it returns.
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

// The API version that a plug-in declares: `api = 1`.
inline constexpr int kApiVersion = 1;

// The longest time that all plug-ins together may delay a request. No setting can raise it.
inline constexpr Duration kMaxWall{5};

// Limits of the view. Anything beyond them is left out and `cut` is set.
inline constexpr std::size_t kMaxViewBytes = 24 * 1024;
inline constexpr std::size_t kMaxFormBytes = 4 * 1024;
inline constexpr std::size_t kMaxHeaders = 128;
// Limits of a returned text (class, tenant, key or route tag) and of a returned cost.
inline constexpr std::size_t kMaxTagBytes = 256;
inline constexpr double kMaxCostMs = 1e9;

// The request as a plug-in sees it. The views are valid during the call only.
struct RequestView {
  std::string_view method, target;
  std::string_view request_class, tenant;  // names from the platform configuration; the tenant may be empty
  double deadline_ms = 0;                  // time left until the request's deadline
  double now_ms = 0;                       // Unix time at which the request was read; plug-ins have no clock
  std::string_view form;                   // the body, if it is a form of at most kMaxFormBytes
  bool cut = false;                        // some of the request was left out
  std::vector<std::pair<std::string_view, std::string_view>> headers;  // in the order of the request
};

// The tags that a plug-in returned. An absent tag leaves the request as it is.
struct Tags {
  std::optional<std::string> request_class, tenant, key, route;
  std::optional<double> cost_ms;

  bool operator==(const Tags&) const = default;
  bool empty() const { return *this == Tags{}; }
};

// Why a call or a worker failed.
enum class Fault {
  kNone,
  kError,      // the script raised an error
  kFuel,       // the instruction budget was exceeded
  kMemory,     // the memory budget was exceeded
  kOutput,     // the returned value is invalid or too large
  kTimeout,    // no reply within the wall time, as from a loop or a blocking call
  kLate,       // the call was not finished within the time of its request
  kCrash,      // the worker was killed by a signal or exited
  kProtocol,   // the worker sent an invalid message
  kForbidden,  // a tag is not allowed by the platform or the operator
  kFull,       // too many calls are waiting
  kSuspended,  // the circuit breaker is open
  kLoad,       // the script could not be loaded
};
std::string_view Name(Fault fault);

// The result of one call.
struct Outcome {
  Fault fault = Fault::kNone;
  Tags tags;               // set only without a fault
  std::string text;        // of a fault: the worker's message, at most kMaxFaultTextBytes bytes
  std::uint64_t fuel = 0;  // instructions used
};
inline constexpr std::size_t kMaxFaultTextBytes = 200;

// Resource limits of one plug-in.
struct Budgets {
  Duration wall{4};              // from the request to its tags; leaves 1 ms of kMaxWall to the event loop
  std::uint64_t fuel = 200000;   // Lua instructions in one call
  std::size_t memory = 4 << 20;  // bytes that the script may have allocated
  std::size_t output = 1024;     // bytes that one call may return
  Duration load{1000};           // time to load, check and warm up the script
  std::uint64_t load_fuel = 5'000'000;

  bool operator==(const Budgets&) const = default;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_API_H_

// SPDX-License-Identifier: Apache-2.0
//
// Resolves the limits that apply to a route and a request class, records where each comes from, and checks
// them against the rules of the platform: retries that may run twice, second copies, deadlines and the window
// in which repeats of keyed requests are dropped.
#ifndef KESTRELLINE_ROUTING_LIMITS_H_
#define KESTRELLINE_ROUTING_LIMITS_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kestrelline/balancer.h"
#include "operator/diagnostics.h"
#include "routing/spec.h"

namespace kestrelline::routing {

// Where a limit is set, from the least to the most specific.
enum class Origin { kPlatform, kDefaults, kClass, kRoute };

template <typename T>
struct ResolvedLimit {
  const T* value = nullptr;  // null: the value of the platform applies
  Origin origin = Origin::kPlatform;
  Position at;  // position in the operator's file
};

// The limits in effect for one route and class. Points into the Spec, which must outlive it.
struct EffectiveLimits {
  ResolvedLimit<Duration> attempt_timeout, patience, pause, second_copy_after;
  ResolvedLimit<std::int64_t> max_attempts, max_in_flight;
  ResolvedLimit<std::string> affinity, claim;
  ResolvedLimit<double> load_bound;
  ResolvedLimit<Names> retry_on, retry_budgets;

  bool empty() const;  // every limit is that of the platform
};

class LimitsResolver {
 public:
  // Validates budgets, and the names of classes and budgets. `spec` and `site` must outlive this object.
  LimitsResolver(const Spec& spec, const Site& site, operator_file::Diagnostics* diagnostics);

  // Returns the limits of a route for requests of a class, or, if `route` is null, of requests of that class
  // that match no route. `class_index` is an index into Site::classes.
  EffectiveLimits Resolve(const RouteSpec* route, std::size_t class_index) const;

  // Reports limits that the rules or the platform forbid.
  void Check(const EffectiveLimits& limits, std::size_t class_index,
             operator_file::Diagnostics* diagnostics) const;

  // Converts limits to the form that the decision module takes. Requests with the same `id` share counters,
  // such as the number in flight.
  kestrelline::RouteLimits Compile(const EffectiveLimits& limits, std::uint64_t id) const;

 private:
  void CheckRepeats(const EffectiveLimits& limits, std::size_t class_index,
                    operator_file::Diagnostics* diagnostics) const;
  void CheckTimes(const EffectiveLimits& limits, std::size_t class_index,
                  operator_file::Diagnostics* diagnostics) const;
  void CheckCopies(const EffectiveLimits& limits, std::size_t class_index,
                   operator_file::Diagnostics* diagnostics) const;
  int MaxAttempts(const EffectiveLimits& limits) const;

  const Spec& spec_;
  const Site& site_;
  std::vector<const LimitsSpec*> by_class_;  // null if the file has no section for the class
  std::unordered_map<std::string_view, const BudgetSpec*> budgets_;
};

// The share of the deduplication window within which the decision module repeats a keyed request
// (kWindowMargin there). The rest is a margin for attempts that are slow to arrive.
inline constexpr double kWindowMargin = 0.9;

// Accepted values of `affinity`.
inline constexpr std::string_view kAffinityValues[] = {"key", "none"};
// Default of `load_bound`: the maximum load of a server relative to its even share.
inline constexpr double kLoadBound = 1.25;

// Highest number of acknowledgements that `claim` may wait for.
inline constexpr int kMaxAcknowledgements = 8;
// Parses "none", "tell" or "wait K", K from 1 to kMaxAcknowledgements, into the value of RouteLimits::claim.
// Returns nullopt for any other text.
std::optional<int> ParseClaim(std::string_view text);

// Returns an id for a name in the file. It is the same at every proxy and after every reload.
std::uint64_t IdOf(std::string_view kind, std::string_view name);

// An accepted value of `retry_on` and the outcome of an attempt that it stands for.
struct RetryCondition {
  std::string_view name;
  kestrelline::Outcome outcome;
  bool may_have_run;  // whether the server may have executed the request
};
inline constexpr RetryCondition kRetryConditions[] = {
    {"refused", kestrelline::Outcome::kFull, false},
    {"connect", kestrelline::Outcome::kConnectFailed, false},
    {"error", kestrelline::Outcome::kError, true},
    {"reset", kestrelline::Outcome::kReset, true},
    {"timeout", kestrelline::Outcome::kTimeout, true},
};

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_LIMITS_H_

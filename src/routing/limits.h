// SPDX-License-Identifier: Apache-2.0
//
// The limits that hold for a route and a class, where each comes from, and whether the four rules allow them.
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

enum class Origin { kPlatform, kDefaults, kClass, kRoute };

template <typename T>
struct Chosen {
  const T* value = nullptr;  // null: the platform's
  Origin origin = Origin::kPlatform;
  Position at;
};

// Points into the Spec, which must outlive it.
struct Effective {
  Chosen<Duration> attempt_timeout, patience, pause, second_copy_after;
  Chosen<std::int64_t> max_attempts, max_in_flight;
  Chosen<std::string> affinity, claim;
  Chosen<double> load_bound;
  Chosen<Names> retry_on, retry_budgets;

  bool empty() const;  // all of it is the platform's
};

class LimitsBook {
 public:
  // Checks budgets, and names of classes and budgets. `spec` and `site` must outlive it.
  LimitsBook(const Spec& spec, const Site& site, operator_file::Diagnostics* diagnostics);

  // Of a route, or of a class's requests that no route matches. `class_index` is one of the site's.
  Effective Of(const RouteSpec* route, std::size_t class_index) const;

  // Reports what the four rules or the platform forbid.
  void Check(const Effective& limits, std::size_t class_index, operator_file::Diagnostics* diagnostics) const;

  // As the decision module takes them; `id` is that under which requests are counted together.
  kestrelline::RouteLimits Compile(const Effective& limits, std::uint64_t id) const;

 private:
  void CheckRepeats(const Effective& limits, std::size_t class_index,
                    operator_file::Diagnostics* diagnostics) const;
  void CheckTimes(const Effective& limits, std::size_t class_index,
                  operator_file::Diagnostics* diagnostics) const;
  void CheckCopies(const Effective& limits, std::size_t class_index,
                   operator_file::Diagnostics* diagnostics) const;
  int MostAttempts(const Effective& limits) const;

  const Spec& spec_;
  const Site& site_;
  std::vector<const LimitsSpec*> by_class_;  // null: the file says nothing of it
  std::unordered_map<std::string_view, const BudgetSpec*> budgets_;
};

// The decision module repeats a keyed request only this far into the window (kWindowMargin there): the rest
// is for attempts that take their time to arrive.
inline constexpr double kWindowMargin = 0.9;

// Words of affinity, and the bound on load without one of the file's own.
inline constexpr std::string_view kAffinityWords[] = {"key", "none"};
inline constexpr double kLoadBound = 1.25;

// "none", "tell", "wait K" with K from 1 to kMostAcknowledgements, as RouteLimits::claim has it.
inline constexpr int kMostAcknowledgements = 8;
std::optional<int> ParseClaim(std::string_view text);

// A number for a name of the file: the same at every proxy and after every reload.
std::uint64_t IdOf(std::string_view kind, std::string_view name);

// Words of retry_on, and the outcomes they stand for.
struct RetryWord {
  std::string_view word;
  kestrelline::Outcome outcome;
  bool may_have_run;
};
inline constexpr RetryWord kRetryWords[] = {
    {"refused", kestrelline::Outcome::kFull, false},
    {"connect", kestrelline::Outcome::kConnectFailed, false},
    {"error", kestrelline::Outcome::kError, true},
    {"reset", kestrelline::Outcome::kReset, true},
    {"timeout", kestrelline::Outcome::kTimeout, true},
};

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_LIMITS_H_

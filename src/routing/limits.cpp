// SPDX-License-Identifier: Apache-2.0
#include "routing/limits.h"

#include <algorithm>
#include <initializer_list>

#include "hashing/fnv.h"
#include "operator/values.h"

namespace kestrelline::routing {
namespace {

using operator_file::Diagnostics;
using operator_file::FormatDuration;

constexpr std::size_t kMaxBudgets = 4;  // per route

// Returns the most specific value of a limit.
template <typename T>
ResolvedLimit<T> Choose(const Maybe<T> LimitsSpec::*member, const LimitsSpec* route,
                        const LimitsSpec* class_limits, const LimitsSpec& defaults) {
  const std::pair<const LimitsSpec*, Origin> order[] = {
      {route, Origin::kRoute}, {class_limits, Origin::kClass}, {&defaults, Origin::kDefaults}};
  for (const auto& [limits, origin] : order) {
    if (limits && (limits->*member)) return {&(limits->*member)->value, origin, (limits->*member)->at};
  }
  return {};
}

// Where to report a rule that several limits violate together: at the most specific one.
Position MostSpecific(std::initializer_list<std::pair<Origin, Position>> limits) {
  return std::max(limits, [](const auto& a, const auto& b) { return a < b; }).second;
}
template <typename T>
std::pair<Origin, Position> OriginAndPosition(const ResolvedLimit<T>& limit) {
  return {limit.origin, limit.at};
}

// Null if `name` is not an accepted value of `retry_on`.
const RetryCondition* FindRetryCondition(std::string_view name) {
  const auto* const match =
      std::find_if(std::begin(kRetryConditions), std::end(kRetryConditions),
                   [&](const RetryCondition& condition) { return condition.name == name; });
  return match == std::end(kRetryConditions) ? nullptr : match;
}

void CheckKeywords(const LimitsSpec& limits, Diagnostics* diagnostics) {
  if (limits.affinity && std::find(std::begin(kAffinityValues), std::end(kAffinityValues),
                                   limits.affinity->value) == std::end(kAffinityValues)) {
    diagnostics->Add(limits.affinity->at, "affinity",
                     "affinity is '" + limits.affinity->value + "'; accepted are " +
                         operator_file::JoinNames({std::begin(kAffinityValues), std::end(kAffinityValues)}));
  }
  if (limits.claim && !ParseClaim(limits.claim->value)) {
    diagnostics->Add(limits.claim->at, "claim",
                     "claim is '" + limits.claim->value + "'; accepted are none, tell, and wait 1 to wait " +
                         std::to_string(kMaxAcknowledgements));
  }
  if (!limits.retry_on) return;
  for (const auto& word : limits.retry_on->value) {
    if (FindRetryCondition(word.value)) continue;
    std::vector<std::string_view> accepted;
    for (const RetryCondition& condition : kRetryConditions) accepted.push_back(condition.name);
    const std::string nearest = diagnostics->Nearest(word.value, accepted);
    diagnostics->Add(word.at, "retry-on",
                     "'" + word.value + "' is not a retry condition; accepted are " +
                         operator_file::JoinNames(accepted) +
                         (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
  }
}

}  // namespace

std::optional<int> ParseClaim(std::string_view text) {
  if (text == "none") return -1;
  if (text == "tell") return 0;
  constexpr std::string_view kWait = "wait ";
  if (!text.starts_with(kWait) || text.size() != kWait.size() + 1) return std::nullopt;
  const int acknowledgements = text.back() - '0';
  return acknowledgements >= 1 && acknowledgements <= kMaxAcknowledgements ? std::optional(acknowledgements)
                                                                           : std::nullopt;
}

std::uint64_t IdOf(std::string_view kind, std::string_view name) {
  std::uint64_t hash = hashing::kFnvOffsetBasis;
  for (const std::string_view part : {kind, std::string_view("\0", 1), name})
    hash = hashing::Fnv1a(part, hash);
  return hash;
}

bool EffectiveLimits::empty() const {
  return !attempt_timeout.value && !patience.value && !pause.value && !second_copy_after.value &&
         !max_attempts.value && !max_in_flight.value && !affinity.value && !load_bound.value &&
         !retry_on.value && !retry_budgets.value && !claim.value;
}

LimitsResolver::LimitsResolver(const Spec& spec, const Site& site, Diagnostics* diagnostics)
    : spec_(spec), site_(site), by_class_(site.classes.size()) {
  for (const BudgetSpec& budget : spec_.budgets) budgets_.emplace(budget.name.value, &budget);
  std::vector<std::string_view> class_names(site.classes.begin(), site.classes.end()), budget_names;
  for (const BudgetSpec& budget : spec_.budgets) budget_names.push_back(budget.name.value);

  for (const ClassSpec& request_class : spec_.classes) {
    const auto known = std::find(site.classes.begin(), site.classes.end(), request_class.name.value);
    if (known != site.classes.end()) {
      by_class_[static_cast<std::size_t>(known - site.classes.begin())] = &request_class.limits;
      continue;
    }
    diagnostics->Add(request_class.name.at, "unknown-class",
                     "the platform has no class '" + request_class.name.value + "'; it has " +
                         operator_file::JoinNames(class_names));
  }

  const auto check = [&](const LimitsSpec& limits) {
    CheckKeywords(limits, diagnostics);
    if (limits.max_attempts && limits.max_attempts->value > site_.settings.max_attempts)
      diagnostics->Add(limits.max_attempts->at, "attempts",
                       "max_attempts is " + std::to_string(limits.max_attempts->value) +
                           "; the platform allows " + std::to_string(site_.settings.max_attempts) +
                           " at most");
    if (!limits.retry_budgets) return;
    double total_share = 0;
    std::vector<std::string_view> seen;
    for (const auto& name : limits.retry_budgets->value) {
      const auto budget = budgets_.find(name.value);
      if (budget == budgets_.end()) {
        const std::string nearest = diagnostics->Nearest(name.value, budget_names);
        diagnostics->Add(name.at, "unknown-budget",
                         "there is no [budget." + name.value + "]; " +
                             (nearest.empty() ? "there are " + operator_file::JoinNames(budget_names)
                                              : "did you mean '" + nearest + "'?"));
        continue;
      }
      if (std::find(seen.begin(), seen.end(), name.value) != seen.end()) {
        diagnostics->Add(name.at, "duplicate", "budget '" + name.value + "' is named twice");
        continue;
      }
      seen.push_back(name.value);
      total_share += budget->second->share;
    }
    if (total_share > 1 + 1e-9)  // tolerates rounding
      diagnostics->Add(limits.retry_budgets->at, "budget-sum",
                       "budgets " + operator_file::JoinNames(seen) + " together allow " +
                           std::to_string(static_cast<int>(total_share * 100 + 0.5)) +
                           " repeats for 100 first attempts; 100 at most are accepted");
    if (seen.size() > kMaxBudgets)
      diagnostics->Add(
          limits.retry_budgets->at, "bound",
          std::to_string(seen.size()) + " budgets; " + std::to_string(kMaxBudgets) + " at most are accepted");
  };
  check(spec_.defaults);
  for (const ClassSpec& request_class : spec_.classes) check(request_class.limits);
  for (const RouteSpec& route : spec_.routes) check(route.limits);
}

EffectiveLimits LimitsResolver::Resolve(const RouteSpec* route, std::size_t class_index) const {
  const LimitsSpec* route_limits = route ? &route->limits : nullptr;
  const LimitsSpec* class_limits = by_class_[class_index];
  const LimitsSpec& defaults = spec_.defaults;
  EffectiveLimits limits;
  limits.attempt_timeout = Choose(&LimitsSpec::attempt_timeout, route_limits, class_limits, defaults);
  limits.patience = Choose(&LimitsSpec::patience, route_limits, class_limits, defaults);
  limits.pause = Choose(&LimitsSpec::pause, route_limits, class_limits, defaults);
  limits.second_copy_after = Choose(&LimitsSpec::second_copy_after, route_limits, class_limits, defaults);
  limits.max_attempts = Choose(&LimitsSpec::max_attempts, route_limits, class_limits, defaults);
  limits.max_in_flight = Choose(&LimitsSpec::max_in_flight, route_limits, class_limits, defaults);
  limits.affinity = Choose(&LimitsSpec::affinity, route_limits, class_limits, defaults);
  limits.load_bound = Choose(&LimitsSpec::load_bound, route_limits, class_limits, defaults);
  limits.retry_on = Choose(&LimitsSpec::retry_on, route_limits, class_limits, defaults);
  limits.retry_budgets = Choose(&LimitsSpec::retry_budgets, route_limits, class_limits, defaults);
  limits.claim = Choose(&LimitsSpec::claim, route_limits, class_limits, defaults);
  return limits;
}

int LimitsResolver::MaxAttempts(const EffectiveLimits& limits) const {
  if (limits.retry_on.value && limits.retry_on.value->empty()) return 1;
  const int platform = site_.settings.max_attempts;
  return limits.max_attempts.value
             ? static_cast<int>(std::clamp<std::int64_t>(*limits.max_attempts.value, 1, platform))
             : platform;
}

void LimitsResolver::Check(const EffectiveLimits& limits, std::size_t class_index,
                           Diagnostics* diagnostics) const {
  CheckRepeats(limits, class_index, diagnostics);
  CheckTimes(limits, class_index, diagnostics);
  CheckCopies(limits, class_index, diagnostics);
}

void LimitsResolver::CheckRepeats(const EffectiveLimits& limits, std::size_t class_index,
                                  Diagnostics* diagnostics) const {
  const ClassSettings& class_settings = site_.settings.classes[class_index];
  const std::string& name = site_.classes[class_index];
  if (class_settings.effect == Effect::kUnsafe && limits.retry_on.value) {
    for (const auto& word : *limits.retry_on.value) {
      const RetryCondition* condition = FindRetryCondition(word.value);
      if (!condition || !condition->may_have_run) continue;
      diagnostics->Add(word.at, "unsafe-repeat",
                       "retry_on '" + word.value + "' would repeat class " + name +
                           ", which must never run twice, after an attempt that may have run; accepted are "
                           "'refused' and 'connect'");
    }
  }
  if (class_settings.effect != Effect::kKeyed && limits.claim.value && limits.claim.origin == Origin::kClass)
    diagnostics->Add(limits.claim.at, "claim",
                     "class " + name + " has no keys; only keyed requests are claimed");
  if (class_settings.effect != Effect::kKeyed) return;
  // The last attempt must begin while the group of servers still remembers the key and drops repeats.
  const int attempts = MaxAttempts(limits);
  const Duration timeout = limits.attempt_timeout.value ? *limits.attempt_timeout.value : Duration(0);
  const Duration pause = limits.pause.value ? *limits.pause.value : Duration(0);
  const Duration last_start = (timeout + pause) * (attempts - 1),
                 max_start = class_settings.window * kWindowMargin;
  if (!(last_start > max_start)) return;
  diagnostics->Add(MostSpecific({OriginAndPosition(limits.attempt_timeout), OriginAndPosition(limits.pause),
                                 OriginAndPosition(limits.max_attempts)}),
                   "window",
                   "class " + name + ": attempt " + std::to_string(attempts) + " would begin " +
                       FormatDuration(last_start) + " after the first, but its group drops repeats for " +
                       FormatDuration(class_settings.window) + "; up to " + FormatDuration(max_start) +
                       " is accepted");
}

void LimitsResolver::CheckTimes(const EffectiveLimits& limits, std::size_t class_index,
                                Diagnostics* diagnostics) const {
  const Duration deadline = site_.settings.classes[class_index].deadline;
  const std::string& name = site_.classes[class_index];
  const auto client_deadline = "class " + name + "'s clients wait " + FormatDuration(deadline);
  if (limits.patience.value && *limits.patience.value > deadline) {
    diagnostics->Add(limits.patience.at, "deadline",
                     "patience is " + FormatDuration(*limits.patience.value) + ", but " + client_deadline +
                         "; no more than that is accepted");
    return;
  }
  const bool has_patience = limits.patience.value != nullptr;
  const Duration max_total = has_patience ? *limits.patience.value : deadline;
  const Duration timeout = limits.attempt_timeout.value ? *limits.attempt_timeout.value : Duration(0);
  const Duration pause = limits.pause.value ? *limits.pause.value : Duration(0);
  if (!limits.attempt_timeout.value && !limits.pause.value) return;
  const int attempts = MaxAttempts(limits);
  const Duration total = timeout * attempts + pause * (attempts - 1);
  if (total <= max_total) return;
  const Position at =
      MostSpecific({OriginAndPosition(limits.attempt_timeout), OriginAndPosition(limits.pause),
                    OriginAndPosition(limits.max_attempts), OriginAndPosition(limits.patience)});
  std::string text = std::to_string(attempts) + (attempts == 1 ? " attempt" : " attempts") +
                     (limits.max_attempts.value ? "" : " (the platform's)");
  if (timeout.count() > 0) text += " of " + FormatDuration(timeout);
  if (attempts > 1 && pause.count() > 0) text += " and pauses of " + FormatDuration(pause);
  text += " add up to " + FormatDuration(total) + ", but " +
          (has_patience ? "patience is " + FormatDuration(max_total) + " (" + client_deadline + ")"
                        : client_deadline);
  int accepted = 0;
  while (accepted < attempts && timeout * (accepted + 1) + pause * accepted <= max_total) ++accepted;
  diagnostics->Add(at, "deadline",
                   text + (accepted > 0 ? "; max_attempts = " + std::to_string(accepted) + " is accepted"
                                        : "; an attempt_timeout of " + FormatDuration(max_total) +
                                              " or less is accepted"));
}

void LimitsResolver::CheckCopies(const EffectiveLimits& limits, std::size_t class_index,
                                 Diagnostics* diagnostics) const {
  if (!limits.second_copy_after.value) return;
  const ClassSettings& class_settings = site_.settings.classes[class_index];
  const std::string& name = site_.classes[class_index];
  const Position at = limits.second_copy_after.at;
  if (class_settings.effect != Effect::kSafe) {
    diagnostics->Add(
        at, "second-copy",
        "asks for a second copy of class " + name + ", which " +
            (class_settings.effect == Effect::kUnsafe ? "must never run twice"
                                                      : "is keyed: two copies at once are two effects") +
            "; accepted only for classes that are safe to repeat");
  } else if (!site_.settings.parallel_tries) {
    diagnostics->Add(at, "second-copy",
                     "asks for a second copy of class " + name +
                         ", but the platform allows none (permissions.parallelTries is false); remove "
                         "second_copy_after");
  } else if (MaxAttempts(limits) < 2) {
    diagnostics->Add(at, "second-copy",
                     "class " + name + " has one attempt: a second copy needs max_attempts = 2 or more");
  } else {
    const Duration timeout =
        limits.attempt_timeout.value ? *limits.attempt_timeout.value : class_settings.deadline;
    if (*limits.second_copy_after.value < timeout) return;
    diagnostics->Add(at, "second-copy",
                     "class " + name + ": a second copy after " +
                         FormatDuration(*limits.second_copy_after.value) +
                         " is never sent, because an attempt ends after " + FormatDuration(timeout) +
                         "; less than that is accepted");
  }
}

RouteLimits LimitsResolver::Compile(const EffectiveLimits& limits, std::uint64_t id) const {
  const auto duration_or_zero = [](const ResolvedLimit<Duration>& limit) {
    return limit.value ? *limit.value : Duration(0);
  };
  RouteLimits compiled;
  compiled.route = id;
  compiled.patience = duration_or_zero(limits.patience);
  compiled.attempt_timeout = duration_or_zero(limits.attempt_timeout);
  compiled.pause = duration_or_zero(limits.pause);
  compiled.second_copy_after = duration_or_zero(limits.second_copy_after);
  compiled.max_attempts = limits.max_attempts.value ? static_cast<int>(*limits.max_attempts.value) : 0;
  compiled.max_in_flight = limits.max_in_flight.value ? static_cast<int>(*limits.max_in_flight.value) : 0;
  if (limits.affinity.value && *limits.affinity.value == "key")
    compiled.affinity_bound = limits.load_bound.value ? *limits.load_bound.value : kLoadBound;
  if (limits.claim.value) compiled.claim = ParseClaim(*limits.claim.value);
  if (limits.retry_on.value) {
    // kMoot is always included: the attempt could not begin here for lack of room, so there is no server's
    // answer to which `retry_on` could apply.
    compiled.retry_on = RouteLimits::RetryAfter(Outcome::kMoot);
    for (const auto& word : *limits.retry_on.value) {
      if (const RetryCondition* condition = FindRetryCondition(word.value))
        compiled.retry_on |= RouteLimits::RetryAfter(condition->outcome);
    }
  }
  if (limits.retry_budgets.value) {
    for (const auto& name : *limits.retry_budgets.value) {
      const auto known = budgets_.find(name.value);
      if (known == budgets_.end()) continue;
      const BudgetSpec& budget = *known->second;
      compiled.budgets.push_back(
          {IdOf("budget", name.value), budget.share, budget.window, static_cast<int>(budget.at_least)});
    }
  }
  return compiled;
}

}  // namespace kestrelline::routing

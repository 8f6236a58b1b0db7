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

constexpr std::size_t kMostBudgets = 4;  // that one route draws on

template <typename T>
Chosen<T> Choose(const Maybe<T> LimitsSpec::*member, const LimitsSpec* route, const LimitsSpec* of_class,
                 const LimitsSpec& defaults) {
  const std::pair<const LimitsSpec*, Origin> order[] = {
      {route, Origin::kRoute}, {of_class, Origin::kClass}, {&defaults, Origin::kDefaults}};
  for (const auto& [limits, origin] : order) {
    if (limits && (limits->*member)) return {&(limits->*member)->value, origin, (limits->*member)->at};
  }
  return {};
}

// Where a rule that several limits break together is reported: at the one nearest to the route.
Position Blame(std::initializer_list<std::pair<Origin, Position>> limits) {
  return std::max(limits, [](const auto& a, const auto& b) { return a < b; }).second;
}
template <typename T>
std::pair<Origin, Position> Place(const Chosen<T>& chosen) {
  return {chosen.origin, chosen.at};
}

const RetryWord* WordOf(std::string_view word) {
  const auto* const found = std::find_if(std::begin(kRetryWords), std::end(kRetryWords),
                                         [&](const RetryWord& w) { return w.word == word; });
  return found == std::end(kRetryWords) ? nullptr : found;
}

void CheckWords(const LimitsSpec& limits, Diagnostics* diagnostics) {
  if (limits.affinity && std::find(std::begin(kAffinityWords), std::end(kAffinityWords),
                                   limits.affinity->value) == std::end(kAffinityWords)) {
    diagnostics->Add(limits.affinity->at, "affinity",
                     "affinity is '" + limits.affinity->value + "'; accepted are " +
                         operator_file::JoinNames({std::begin(kAffinityWords), std::end(kAffinityWords)}));
  }
  if (limits.claim && !ParseClaim(limits.claim->value)) {
    diagnostics->Add(limits.claim->at, "claim",
                     "claim is '" + limits.claim->value + "'; accepted are none, tell, and wait 1 to wait " +
                         std::to_string(kMostAcknowledgements));
  }
  if (!limits.retry_on) return;
  for (const auto& word : limits.retry_on->value) {
    if (WordOf(word.value)) continue;
    std::vector<std::string_view> words;
    for (const RetryWord& w : kRetryWords) words.push_back(w.word);
    const std::string nearest = diagnostics->Nearest(word.value, words);
    diagnostics->Add(word.at, "retry-on",
                     "'" + word.value + "' is nothing to repeat after; accepted are " +
                         operator_file::JoinNames(words) +
                         (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
  }
}

}  // namespace

std::optional<int> ParseClaim(std::string_view text) {
  if (text == "none") return -1;
  if (text == "tell") return 0;
  constexpr std::string_view kWait = "wait ";
  if (!text.starts_with(kWait) || text.size() != kWait.size() + 1) return std::nullopt;
  const int k = text.back() - '0';
  return k >= 1 && k <= kMostAcknowledgements ? std::optional(k) : std::nullopt;
}

std::uint64_t IdOf(std::string_view kind, std::string_view name) {
  std::uint64_t hash = hashing::kFnvStart;
  for (const std::string_view part : {kind, std::string_view("\0", 1), name})
    hash = hashing::Fnv1a(part, hash);
  return hash;
}

bool Effective::empty() const {
  return !attempt_timeout.value && !patience.value && !pause.value && !second_copy_after.value &&
         !max_attempts.value && !max_in_flight.value && !affinity.value && !load_bound.value &&
         !retry_on.value && !retry_budgets.value && !claim.value;
}

LimitsBook::LimitsBook(const Spec& spec, const Site& site, Diagnostics* diagnostics)
    : spec_(spec), site_(site), by_class_(site.classes.size()) {
  for (const BudgetSpec& budget : spec_.budgets) budgets_.emplace(budget.name.value, &budget);
  std::vector<std::string_view> class_names(site.classes.begin(), site.classes.end()), budget_names;
  for (const BudgetSpec& budget : spec_.budgets) budget_names.push_back(budget.name.value);

  for (const ClassSpec& c : spec_.classes) {
    const auto found = std::find(site.classes.begin(), site.classes.end(), c.name.value);
    if (found != site.classes.end()) {
      by_class_[static_cast<std::size_t>(found - site.classes.begin())] = &c.limits;
      continue;
    }
    diagnostics->Add(
        c.name.at, "unknown-class",
        "the platform has no class '" + c.name.value + "'; it has " + operator_file::JoinNames(class_names));
  }

  const auto check = [&](const LimitsSpec& limits) {
    CheckWords(limits, diagnostics);
    if (limits.max_attempts && limits.max_attempts->value > site_.settings.max_attempts)
      diagnostics->Add(limits.max_attempts->at, "attempts",
                       "max_attempts is " + std::to_string(limits.max_attempts->value) +
                           "; the platform allows " + std::to_string(site_.settings.max_attempts) +
                           " at most");
    if (!limits.retry_budgets) return;
    double sum = 0;
    std::vector<std::string_view> seen;
    for (const auto& name : limits.retry_budgets->value) {
      const auto found = budgets_.find(name.value);
      if (found == budgets_.end()) {
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
      sum += found->second->share;
    }
    if (sum > 1 + 1e-9)
      diagnostics->Add(limits.retry_budgets->at, "budget-sum",
                       "budgets " + operator_file::JoinNames(seen) + " together allow " +
                           std::to_string(static_cast<int>(sum * 100 + 0.5)) +
                           " repeats for 100 first attempts; 100 at most are accepted");
    if (seen.size() > kMostBudgets)
      diagnostics->Add(limits.retry_budgets->at, "bound",
                       std::to_string(seen.size()) + " budgets; " + std::to_string(kMostBudgets) +
                           " at most are accepted");
  };
  check(spec_.defaults);
  for (const ClassSpec& c : spec_.classes) check(c.limits);
  for (const RouteSpec& r : spec_.routes) check(r.limits);
}

Effective LimitsBook::Of(const RouteSpec* route, std::size_t class_index) const {
  const LimitsSpec* r = route ? &route->limits : nullptr;
  const LimitsSpec* c = by_class_[class_index];
  const LimitsSpec& d = spec_.defaults;
  Effective e;
  e.attempt_timeout = Choose(&LimitsSpec::attempt_timeout, r, c, d);
  e.patience = Choose(&LimitsSpec::patience, r, c, d);
  e.pause = Choose(&LimitsSpec::pause, r, c, d);
  e.second_copy_after = Choose(&LimitsSpec::second_copy_after, r, c, d);
  e.max_attempts = Choose(&LimitsSpec::max_attempts, r, c, d);
  e.max_in_flight = Choose(&LimitsSpec::max_in_flight, r, c, d);
  e.affinity = Choose(&LimitsSpec::affinity, r, c, d);
  e.load_bound = Choose(&LimitsSpec::load_bound, r, c, d);
  e.retry_on = Choose(&LimitsSpec::retry_on, r, c, d);
  e.retry_budgets = Choose(&LimitsSpec::retry_budgets, r, c, d);
  e.claim = Choose(&LimitsSpec::claim, r, c, d);
  return e;
}

int LimitsBook::MostAttempts(const Effective& limits) const {
  if (limits.retry_on.value && limits.retry_on.value->empty()) return 1;
  const int platform = site_.settings.max_attempts;
  return limits.max_attempts.value
             ? static_cast<int>(std::clamp<std::int64_t>(*limits.max_attempts.value, 1, platform))
             : platform;
}

void LimitsBook::Check(const Effective& limits, std::size_t class_index, Diagnostics* diagnostics) const {
  CheckRepeats(limits, class_index, diagnostics);
  CheckTimes(limits, class_index, diagnostics);
  CheckCopies(limits, class_index, diagnostics);
}

void LimitsBook::CheckRepeats(const Effective& limits, std::size_t class_index,
                              Diagnostics* diagnostics) const {
  const ClassSettings& c = site_.settings.classes[class_index];
  const std::string& name = site_.classes[class_index];
  if (c.effect == Effect::kUnsafe && limits.retry_on.value) {
    for (const auto& word : *limits.retry_on.value) {
      const RetryWord* known = WordOf(word.value);
      if (!known || !known->may_have_run) continue;
      diagnostics->Add(word.at, "unsafe-repeat",
                       "retry_on '" + word.value + "' would repeat class " + name +
                           ", which must never run twice, after an attempt that may have run; accepted are "
                           "'refused' and 'connect'");
    }
  }
  if (c.effect != Effect::kKeyed && limits.claim.value && limits.claim.origin == Origin::kClass)
    diagnostics->Add(limits.claim.at, "claim",
                     "class " + name + " has no keys; only keyed requests are claimed");
  if (c.effect != Effect::kKeyed) return;
  const int n = MostAttempts(limits);
  const Duration timeout = limits.attempt_timeout.value ? *limits.attempt_timeout.value : Duration(0);
  const Duration pause = limits.pause.value ? *limits.pause.value : Duration(0);
  const Duration last = (timeout + pause) * (n - 1), remembered = c.window * kWindowMargin;
  if (!(last > remembered)) return;
  diagnostics->Add(Blame({Place(limits.attempt_timeout), Place(limits.pause), Place(limits.max_attempts)}),
                   "window",
                   "class " + name + ": attempt " + std::to_string(n) + " would begin " +
                       FormatDuration(last) + " after the first, but its group drops repeats for " +
                       FormatDuration(c.window) + "; up to " + FormatDuration(remembered) + " is accepted");
}

void LimitsBook::CheckTimes(const Effective& limits, std::size_t class_index,
                            Diagnostics* diagnostics) const {
  const Duration deadline = site_.settings.classes[class_index].deadline;
  const std::string& name = site_.classes[class_index];
  const auto waits = "class " + name + "'s clients wait " + FormatDuration(deadline);
  if (limits.patience.value && *limits.patience.value > deadline) {
    diagnostics->Add(limits.patience.at, "deadline",
                     "patience is " + FormatDuration(*limits.patience.value) + ", but " + waits +
                         "; no more than that is accepted");
    return;
  }
  const bool own = limits.patience.value != nullptr;
  const Duration most = own ? *limits.patience.value : deadline;
  const Duration timeout = limits.attempt_timeout.value ? *limits.attempt_timeout.value : Duration(0);
  const Duration pause = limits.pause.value ? *limits.pause.value : Duration(0);
  if (!limits.attempt_timeout.value && !limits.pause.value) return;
  const int n = MostAttempts(limits);
  const Duration sum = timeout * n + pause * (n - 1);
  if (sum <= most) return;
  const Position at = Blame({Place(limits.attempt_timeout), Place(limits.pause), Place(limits.max_attempts),
                             Place(limits.patience)});
  std::string text = std::to_string(n) + (n == 1 ? " attempt" : " attempts") +
                     (limits.max_attempts.value ? "" : " (the platform's)");
  if (timeout.count() > 0) text += " of " + FormatDuration(timeout);
  if (n > 1 && pause.count() > 0) text += " and pauses of " + FormatDuration(pause);
  text += " add up to " + FormatDuration(sum) + ", but " +
          (own ? "patience is " + FormatDuration(most) + " (" + waits + ")" : waits);
  int fits = 0;
  while (fits < n && timeout * (fits + 1) + pause * fits <= most) ++fits;
  diagnostics->Add(
      at, "deadline",
      text + (fits > 0 ? "; max_attempts = " + std::to_string(fits) + " is accepted"
                       : "; an attempt_timeout of " + FormatDuration(most) + " or less is accepted"));
}

void LimitsBook::CheckCopies(const Effective& limits, std::size_t class_index,
                             Diagnostics* diagnostics) const {
  if (!limits.second_copy_after.value) return;
  const ClassSettings& c = site_.settings.classes[class_index];
  const std::string& name = site_.classes[class_index];
  const Position at = limits.second_copy_after.at;
  if (c.effect != Effect::kSafe) {
    diagnostics->Add(at, "second-copy",
                     "asks for a second copy of class " + name + ", which " +
                         (c.effect == Effect::kUnsafe ? "must never run twice"
                                                      : "is keyed: two copies at once are two effects") +
                         "; accepted for classes that are safe to repeat alone");
  } else if (!site_.settings.parallel_tries) {
    diagnostics->Add(at, "second-copy",
                     "asks for a second copy of class " + name +
                         ", but the platform allows none (permissions.parallelTries is false); accepted is "
                         "no second_copy_after");
  } else if (MostAttempts(limits) < 2) {
    diagnostics->Add(at, "second-copy",
                     "class " + name + " has one attempt: a second copy needs max_attempts = 2 at the least");
  } else {
    const Duration timeout = limits.attempt_timeout.value ? *limits.attempt_timeout.value : c.deadline;
    if (*limits.second_copy_after.value < timeout) return;
    diagnostics->Add(at, "second-copy",
                     "class " + name + ": a second copy after " +
                         FormatDuration(*limits.second_copy_after.value) +
                         " never goes out, as an attempt ends after " + FormatDuration(timeout) +
                         "; less than that is accepted");
  }
}

RouteLimits LimitsBook::Compile(const Effective& limits, std::uint64_t id) const {
  const auto time = [](const Chosen<Duration>& chosen) { return chosen.value ? *chosen.value : Duration(0); };
  RouteLimits out;
  out.route = id;
  out.patience = time(limits.patience);
  out.attempt_timeout = time(limits.attempt_timeout);
  out.pause = time(limits.pause);
  out.second_copy_after = time(limits.second_copy_after);
  out.max_attempts = limits.max_attempts.value ? static_cast<int>(*limits.max_attempts.value) : 0;
  out.max_in_flight = limits.max_in_flight.value ? static_cast<int>(*limits.max_in_flight.value) : 0;
  if (limits.affinity.value && *limits.affinity.value == "key")
    out.affinity_bound = limits.load_bound.value ? *limits.load_bound.value : kLoadBound;
  if (limits.claim.value) out.claim = ParseClaim(*limits.claim.value);
  if (limits.retry_on.value) {
    // An attempt that could not begin here for want of room is nobody's answer to repeat after or not.
    out.retry_on = RouteLimits::RetryAfter(Outcome::kMoot);
    for (const auto& word : *limits.retry_on.value) {
      if (const RetryWord* known = WordOf(word.value))
        out.retry_on |= RouteLimits::RetryAfter(known->outcome);
    }
  }
  if (limits.retry_budgets.value) {
    for (const auto& name : *limits.retry_budgets.value) {
      const auto found = budgets_.find(name.value);
      if (found == budgets_.end()) continue;
      const BudgetSpec& b = *found->second;
      out.budgets.push_back({IdOf("budget", name.value), b.share, b.window, static_cast<int>(b.at_least)});
    }
  }
  return out;
}

}  // namespace kestrelline::routing

// SPDX-License-Identifier: Apache-2.0
//
// Whether a request may have another attempt, the timeout of an attempt, and the proxy's retry budget.
#ifndef KESTRELLINE_SRC_POLICY_ATTEMPTS_H_
#define KESTRELLINE_SRC_POLICY_ATTEMPTS_H_

#include "policy/state.h"

namespace kestrelline {

constexpr double kRetryRatio = 0.1;  // retries earned by a first attempt: bounds a retry storm to a tenth
constexpr double kRetryBurst = 20;   // capacity of the retry budget
constexpr double kTimeoutDeviations = 4;  // timeout: mean + 4 deviations, as in RFC 6298
constexpr double kUsableWindow = 0.9;     // usable fraction of the deduplication window

class Attempts {
 public:
  explicit Attempts(State& state) : state_(state) {}

  // The only place that decides whether a request may be dispatched (again) or refused.
  Permission Permitted(const Request& r) const { return Permitted(r, state_.now); }
  Permission Permitted(const Request& r, TimePoint at) const {
    Permission may;
    if (r.finished || r.streaming) return may;
    const ClassSettings& c = state_.settings.classes[r.cls];
    const Attempt* first_run = nullptr;
    for (const Attempt& a : r.attempts) {
      if (a.may_have_run && !first_run) first_run = &a;
    }
    const int outstanding = r.outstanding();
    const bool is_copy = r.copying && state_.settings.parallel_tries && c.effect == Effect::kSafe;
    may.dispatch = at < r.due && !r.body_dropped && static_cast<int>(r.attempts.size()) < MaxAttempts(r) &&
                   outstanding <= static_cast<int>(is_copy);
    may.refuse = true;
    if ((!first_run && !r.claims) || c.effect == Effect::kSafe) return may;
    may.refuse = c.effect == Effect::kKeyed && c.group == Group::kAll;
    if (first_run) may.valid_until = first_run->sent_at + c.window * kUsableWindow;
    if (c.effect == Effect::kUnsafe || at > may.valid_until) may.dispatch = false;
    // A claim by another try of the key restricts it as its own attempts do: all of them must permit it.
    const Location location = first_run ? state_.LocationOf(first_run->server)
                                        : Location{r.claims->front().zone, r.claims->front().cell};
    for (std::size_t i = 0; r.claims && i < r.claims->size(); ++i) {
      const KeyClaim& claim = (*r.claims)[i];
      may.valid_until = std::min(may.valid_until, claim.until);
      may.dispatch &= at < claim.until && SameGroup(c.group, location, {claim.zone, claim.cell});
    }
    if (may.dispatch) may.group_of = location;
    return may;
  }

  // Timeout of an attempt at `s`. Zero: until the client gives up.
  Duration TimeoutOf(const Request& r, const Server& s) const {
    return LimitedByRoute(SilenceTimeout(r, s), r);
  }

  // Token bucket of retries that add load, filled by first attempts.
  bool MayRetry() const { return tokens_ >= 1; }
  void Sent(bool first) {
    tokens_ = first ? std::min(kRetryBurst, tokens_ + kRetryRatio) : std::max(0.0, tokens_ - 1);
  }

 private:
  // Only a silent server gets a timeout shorter than the client's: one with requests in flight that has not
  // answered for longer than mean + kTimeoutDeviations deviations of the class. Timing out attempts that were
  // merely late doubled the work at every site. Zero also where no retry is permitted or could be in time.
  Duration SilenceTimeout(const Request& r, const Server& s) const {
    const ClassSettings& c = state_.settings.classes[r.cls];
    const MeanDeviation& seen = state_.classes[r.cls].latency;
    if (c.effect == Effect::kUnsafe || seen.samples < 10 || s.own_count == 0 || !MayRetry())
      return Duration(0);
    if (static_cast<int>(r.attempts.size()) + 1 >= MaxAttempts(r)) return Duration(0);
    if (r.limits && !(r.limits->retry_on & RouteLimits::RetryAfter(Outcome::kTimeout))) return Duration(0);
    const double scale = state_.LatencyScale(r);
    const Duration retry_time((seen.mean + seen.deviation) * scale);
    const Duration unlikely_after((seen.mean + kTimeoutDeviations * seen.deviation) * scale);
    if (state_.now - s.quiet_since < unlikely_after || state_.now + unlikely_after + retry_time > r.due)
      return Duration(0);
    return unlikely_after;
  }

  int MaxAttempts(const Request& r) const {
    const int route_limit = r.limits ? r.limits->max_attempts : 0;
    return route_limit > 0 ? std::min(route_limit, state_.settings.max_attempts)
                           : state_.settings.max_attempts;
  }

  // The minimum of `timeout` (0: none) and the route's limits.
  Duration LimitedByRoute(Duration timeout, const Request& r) const {
    if (!r.limits) return timeout;
    const auto narrow = [&](Duration limit) {
      if (limit.count() > 0 && (timeout.count() <= 0 || limit < timeout)) timeout = limit;
    };
    narrow(r.limits->attempt_timeout);
    if (r.limits->patience.count() > 0) narrow(r.due - state_.now);
    return timeout;
  }

  State& state_;
  double tokens_ = kRetryBurst;
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_ATTEMPTS_H_

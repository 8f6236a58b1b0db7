// SPDX-License-Identifier: Apache-2.0
//
// Whether a request may have another attempt, how long one may take, and the budget of repeats.
#ifndef KESTRELLINE_SRC_POLICY_ATTEMPTS_H_
#define KESTRELLINE_SRC_POLICY_ATTEMPTS_H_

#include "policy/state.h"

namespace kestrelline {

constexpr double kRetryRatio = 0.1;    // repeats a first send earns: bounds a storm to a tenth
constexpr double kRetryBurst = 20;     // repeats in store
constexpr double kDeviations = 4;      // time-out: mean + 4 deviations, as RFC 6298
constexpr double kWindowMargin = 0.9;  // of the window in which a keyed repeat is dropped

class Attempts {
 public:
  explicit Attempts(State& state) : state_(state) {}

  // The one place that decides whether a request may be dispatched (again) or refused.
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
    const bool copy = r.copying && state_.settings.parallel_tries && c.effect == Effect::kSafe;
    may.dispatch = at < r.due && !r.bound && static_cast<int>(r.attempts.size()) < MostAttempts(r) &&
                   outstanding <= static_cast<int>(copy);
    may.refuse = true;
    if ((!first_run && !r.claims) || c.effect == Effect::kSafe) return may;
    may.refuse = c.effect == Effect::kKeyed && c.group == Group::kAll;
    if (first_run) may.by = first_run->sent_at + c.window * kWindowMargin;
    if (c.effect == Effect::kUnsafe || at > may.by) may.dispatch = false;
    // Where another try of its key may have run binds it as what it ran itself: only what all of it permits.
    const Location place = first_run ? state_.LocationOf(first_run->server)
                                     : Location{r.claims->front().zone, r.claims->front().cell};
    for (std::size_t i = 0; r.claims && i < r.claims->size(); ++i) {
      const KeyClaim& claim = (*r.claims)[i];
      may.by = std::min(may.by, claim.until);
      may.dispatch &= at < claim.until && InGroup(c.group, place, {claim.zone, claim.cell});
    }
    if (may.dispatch) may.group_of = place;
    return may;
  }

  // Zero: until the client gives up.
  Duration TimeoutOf(const Request& r, const Server& s) const { return Narrowed(OwnTimeout(r, s), r); }

  // Repeats that add load are paid for by first sends.
  bool MayRepeat() const { return tokens_ >= 1; }
  void Sent(bool first) {
    tokens_ = first ? std::min(kRetryBurst, tokens_ + kRetryRatio) : std::max(0.0, tokens_ - 1);
  }

 private:
  // Only a server that has gone silent gets a time-out short of the client's own: it owes answers, and has
  // owed them for longer than this class takes by mean + kDeviations deviations. Timing out what was merely
  // late doubled its work on every site. Zero also where no repeat is permitted or would come in time.
  Duration OwnTimeout(const Request& r, const Server& s) const {
    const ClassSettings& c = state_.settings.classes[r.cls];
    const Spread& seen = state_.classes[r.cls].latency;
    if (c.effect == Effect::kUnsafe || seen.samples < 10 || s.own_count == 0 || !MayRepeat())
      return Duration(0);
    if (static_cast<int>(r.attempts.size()) + 1 >= MostAttempts(r)) return Duration(0);
    if (r.limits && !(r.limits->retry_on & RouteLimits::RetryAfter(Outcome::kTimeout))) return Duration(0);
    const double scale = state_.WorkScale(r);
    const Duration repeat((seen.mean + seen.deviation) * scale);
    const Duration unlikely((seen.mean + kDeviations * seen.deviation) * scale);
    if (state_.now - s.quiet_since < unlikely || state_.now + unlikely + repeat > r.due) return Duration(0);
    return unlikely;
  }

  // What the operator's file allows a request comes with it and only ever narrows what is decided elsewhere.
  int MostAttempts(const Request& r) const {
    const int most = r.limits ? r.limits->max_attempts : 0;
    return most > 0 ? std::min(most, state_.settings.max_attempts) : state_.settings.max_attempts;
  }

  // The shortest of the attempt's own time-out (0: none) and what the route gives it.
  Duration Narrowed(Duration timeout, const Request& r) const {
    if (!r.limits) return timeout;
    const auto narrow = [&](Duration at_most) {
      if (at_most.count() > 0 && (timeout.count() <= 0 || at_most < timeout)) timeout = at_most;
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

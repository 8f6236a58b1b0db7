// SPDX-License-Identifier: Apache-2.0
#include "peers/prober.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::peers {
namespace {

using Action = Prober::Step::Action;

constexpr double kMinPingTimeout = 0.01;  // seconds; timers and schedulers are no more precise

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }
Span InSpan(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

}  // namespace

Prober::Prober(const Times& times, std::uint64_t seed, Time now) : times_(times), random_(seed) {
  // A random offset, so that proxies started together do not probe in step.
  period_end_ = now + InSpan(Seconds(times.period) * std::uniform_real_distribution<double>(0, 1)(random_));
}

Time Prober::Due() const {
  return phase_ == Phase::kDirect ? std::min(retry_due_, period_end_) : period_end_;
}

// The smoothed round trip and four deviations (RFC 6298), at most a third of the period; a third of the
// period while no round trip is known.
Span Prober::PingTimeout(const View::Entry& entry) const {
  const double max_timeout = Seconds(times_.period) / 3;
  if (entry.deviation == 0) return health_.Scaled(InSpan(max_timeout), times_.health_step);
  return health_.Scaled(InSpan(std::clamp(entry.round_trip + 4 * entry.deviation,
                                          std::min(kMinPingTimeout, max_timeout), max_timeout)),
                        times_.health_step);
}

void Prober::StartRound(const View& view) {
  round_.clear();
  for (const auto& [name, entry] : view.entries())
    if (Present(entry.member.state) && name != view.self().name) round_.push_back(name);
  std::shuffle(round_.begin(), round_.end(), random_);
}

Prober::Step Prober::Next(Time now, const View& view) {
  if (phase_ == Phase::kDirect && now >= retry_due_ && now < period_end_) {
    phase_ = Phase::kIndirect;
    const View::Entry* entry = view.Find(name_);
    if (!entry) return {};
    Step step{Action::kRelay, name_, boot_, number_, PickRelays(view, entry->member)};
    relays_asked_ = step.relays.size();
    return step;
  }
  if (now < period_end_) return {};
  const bool failed = phase_ == Phase::kDirect || phase_ == Phase::kIndirect;
  phase_ = Phase::kIdle;
  if (!failed) return Begin(now, view);
  // Live relays send a nack if the target did not answer them either. If none does, this proxy itself may be
  // the one that is slow or cut off.
  if (relays_asked_ > 0 && nacks_ == 0) health_.Degrade();
  return {Action::kFailed, name_, boot_, number_, {}};
}

Prober::Step Prober::Begin(Time now, const View& view) {
  const double jitter = std::uniform_real_distribution<double>(0.9, 1.1)(random_);
  period_end_ = now + InSpan(Seconds(health_.Scaled(times_.period, times_.health_step)) * jitter);
  for (bool refilled = false;;) {
    if (round_.empty()) {
      if (refilled) return {};
      StartRound(view);
      refilled = true;
      continue;
    }
    name_ = std::move(round_.back());
    round_.pop_back();
    const View::Entry* entry = view.Find(name_);
    if (!entry || !Present(entry->member.state)) continue;
    boot_ = entry->member.boot;
    number_ = NextNumber();
    sent_ = now;
    retry_due_ = now + PingTimeout(*entry);
    relays_asked_ = nacks_ = 0;
    phase_ = Phase::kDirect;
    return {Action::kPing, name_, boot_, number_, {}};
  }
}

// One relay from the zone of the target and one from this proxy's own, since they use different parts of the
// network; the rest are drawn from all members. Members never heard from are left out: they may not exist,
// and their missing nacks would lower the local health score.
std::vector<std::string> Prober::PickRelays(const View& view, const Member& target) {
  std::vector<const Member*> all;
  for (const auto& [name, entry] : view.entries())
    if (entry.member.state == State::kAlive && entry.last_heard != Time() && name != target.name)
      all.push_back(&entry.member);
  std::vector<std::string> chosen;
  const auto draw = [&](auto fits) {
    // Takes the first match from a random start: uniform enough, without collecting all matches.
    if (all.empty() || chosen.size() >= kRelays) return;
    const std::size_t from = random_() % all.size();
    for (std::size_t i = 0; i < all.size(); ++i) {
      const Member* m = all[(from + i) % all.size()];
      if (!fits(*m) || std::find(chosen.begin(), chosen.end(), m->name) != chosen.end()) continue;
      return chosen.push_back(m->name);
    }
  };
  draw([&](const Member& m) { return m.zone == target.zone; });
  draw([&](const Member& m) { return m.zone == view.self().zone; });
  while (chosen.size() < std::min(kRelays, all.size())) draw([](const Member&) { return true; });
  return chosen;
}

bool Prober::OnAck(Time now, std::uint64_t number, const std::string& name, std::uint64_t boot, bool direct,
                   View* view) {
  if (number != number_ || name != name_ || boot != boot_) return false;
  if (phase_ != Phase::kDirect && phase_ != Phase::kIndirect) return false;
  // Only unambiguous round trips count: after a second ping the ack could answer either (Karn's algorithm).
  if (View::Entry* entry = view->Find(name); entry && direct && phase_ == Phase::kDirect) {
    const double took = Seconds(now - sent_);
    if (entry->deviation == 0) {
      entry->round_trip = took;
      entry->deviation = std::max(took / 2, 1e-6);
    } else {
      entry->deviation += 0.25 * (std::abs(took - entry->round_trip) - entry->deviation);
      entry->round_trip += 0.125 * (took - entry->round_trip);
    }
  }
  phase_ = Phase::kAnswered;
  health_.Improve();
  return true;
}

void Prober::OnNack(std::uint64_t number) {
  if (number == number_ && phase_ == Phase::kIndirect) ++nacks_;
}

void Prober::OnGap(Time now) {
  phase_ = Phase::kIdle;
  period_end_ = now;
  health_.Degrade();
}

}  // namespace kestrelline::peers

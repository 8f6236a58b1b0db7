// SPDX-License-Identifier: Apache-2.0
#include "peers/prober.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::peers {
namespace {

using What = Prober::Step::What;

constexpr double kShortestPatience = 0.01;  // seconds; timers and schedulers are no finer

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }
Span InSpan(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

}  // namespace

Prober::Prober(const Times& times, std::uint64_t seed, Time now) : times_(times), random_(seed) {
  // Those that start together do not ask together.
  end_ = now + InSpan(Seconds(times.period) * std::uniform_real_distribution<double>(0, 1)(random_));
}

Time Prober::Due() const { return phase_ == Phase::kDirect ? std::min(again_, end_) : end_; }

// RFC 6298: a smoothed round trip and four deviations. A third of the period where none is known, or at most.
Span Prober::Patience(const View::Entry& entry) const {
  const double most = Seconds(times_.period) / 3;
  if (entry.deviation == 0) return health_.Allowing(InSpan(most), times_.health_step);
  return health_.Allowing(
      InSpan(std::clamp(entry.round_trip + 4 * entry.deviation, std::min(kShortestPatience, most), most)),
      times_.health_step);
}

void Prober::Refill(const View& view) {
  order_.clear();
  for (const auto& [name, entry] : view.entries())
    if (Present(entry.member.state) && name != view.self().name) order_.push_back(name);
  std::shuffle(order_.begin(), order_.end(), random_);
}

Prober::Step Prober::Next(Time now, const View& view) {
  if (phase_ == Phase::kDirect && now >= again_ && now < end_) {
    phase_ = Phase::kIndirect;
    const View::Entry* entry = view.Find(name_);
    if (!entry) return {};
    Step step{What::kRelay, name_, boot_, number_, Relays(view, entry->member)};
    asked_ = step.relays.size();
    return step;
  }
  if (now < end_) return {};
  const bool failed = phase_ == Phase::kDirect || phase_ == Phase::kIndirect;
  phase_ = Phase::kIdle;
  if (!failed) return Begin(now, view);
  // Relays that live say that they had no answer either. Where not one says so, the silence may be this
  // proxy's own.
  if (asked_ > 0 && nacks_ == 0) health_.Worse();
  return {What::kFailed, name_, boot_, number_, {}};
}

Prober::Step Prober::Begin(Time now, const View& view) {
  const double jitter = std::uniform_real_distribution<double>(0.9, 1.1)(random_);
  end_ = now + InSpan(Seconds(health_.Allowing(times_.period, times_.health_step)) * jitter);
  for (bool refilled = false;;) {
    if (order_.empty()) {
      if (refilled) return {};
      Refill(view);
      refilled = true;
      continue;
    }
    name_ = std::move(order_.back());
    order_.pop_back();
    const View::Entry* entry = view.Find(name_);
    if (!entry || !Present(entry->member.state)) continue;
    boot_ = entry->member.boot;
    number_ = NextNumber();
    sent_ = now;
    again_ = now + Patience(*entry);
    asked_ = nacks_ = 0;
    phase_ = Phase::kDirect;
    return {What::kPing, name_, boot_, number_, {}};
  }
}

// One that stands near the target and one that stands near this proxy see other parts of the network; the
// rest are drawn from all. Whoever has never been heard here may not exist: its silence would count as one's
// own.
std::vector<std::string> Prober::Relays(const View& view, const Member& target) {
  std::vector<const Member*> all;
  for (const auto& [name, entry] : view.entries())
    if (entry.member.state == State::kAlive && entry.heard != Time() && name != target.name)
      all.push_back(&entry.member);
  std::vector<std::string> chosen;
  const auto draw = [&](auto fits) {
    // Starts anywhere, and takes the first that fits: even enough, and no list of those that do.
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
  // After a second ping nobody knows which one this answers (Karn).
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
  health_.Better();
  return true;
}

void Prober::OnNack(std::uint64_t number) {
  if (number == number_ && phase_ == Phase::kIndirect) ++nacks_;
}

void Prober::OnGap(Time now) {
  phase_ = Phase::kIdle;
  end_ = now;
  health_.Worse();
}

}  // namespace kestrelline::peers

// SPDX-License-Identifier: Apache-2.0
//
// Schedules probes and detects members that do not answer: SWIM's failure detector with Lifeguard's awareness
// of local slowness. No I/O, no clock.
//
// One probe runs at a time. It starts with a ping. If there is no ack within the timeout derived from this
// member's round trips, a second ping follows, along with pings through relays. If there is no ack by the end
// of the period, the member has failed the probe.
#ifndef KESTRELLINE_PEERS_PROBER_H_
#define KESTRELLINE_PEERS_PROBER_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "peers/times.h"
#include "peers/view.h"

namespace kestrelline::peers {

// Lifeguard's local health score: how likely it is that missing acks are due to this process being slow, from
// 0 (healthy) to kMaxScore. Timeouts grow with it.
class Health {
 public:
  static constexpr int kMaxScore = 4;
  void Improve() { score_ = std::max(score_ - 1, 0); }
  void Degrade() { score_ = std::min(score_ + 1, kMaxScore); }
  int score() const { return score_; }
  // `wait`, lengthened by `step` times itself for each point of the score.
  Span Scaled(Span wait, double step) const {
    return wait + std::chrono::duration_cast<Span>(wait * (step * score_));
  }

 private:
  int score_ = 0;
};

// See the head of this file.
class Prober {
 public:
  // What the caller has to do next.
  struct Step {
    enum class Action {
      kNothing,
      kPing,   // ping `name` with `number`
      kRelay,  // ping `name` again, and ask `relays` to ping it
      kFailed  // `name` has not answered anyone in time
    };
    Action action = Action::kNothing;
    std::string name;
    std::uint64_t boot = 0, number = 0;
    std::vector<std::string> relays;
  };

  Prober(const Times& times, std::uint64_t seed, Time now);

  // The next step due at `now`. Callers repeat this until it returns kNothing.
  Step Next(Time now, const View& view);
  Time Due() const;

  // Handles an ack for probe `number` of `name` and `boot`; `direct`: it did not come through a relay.
  // Returns whether it answers the current probe.
  bool OnAck(Time now, std::uint64_t number, const std::string& name, std::uint64_t boot, bool direct,
             View* view);
  void OnNack(std::uint64_t number);
  // This process did not run for a while, so that the current probe says nothing about the member: drops it.
  void OnGap(Time now);

  Health& health() { return health_; }
  const Health& health() const { return health_; }
  // A number that no probe has used.
  std::uint64_t NextNumber() { return ++last_number_; }
  std::mt19937_64& random() { return random_; }

 private:
  enum class Phase { kIdle, kDirect, kIndirect, kAnswered };

  Step Begin(Time now, const View& view);
  Span PingTimeout(const View::Entry& entry) const;
  std::vector<std::string> PickRelays(const View& view, const Member& target);
  void StartRound(const View& view);

  const Times& times_;
  std::mt19937_64 random_;
  Health health_;
  std::vector<std::string> round_;  // members left to probe in this round; the last is next
  Phase phase_ = Phase::kIdle;
  std::string name_;
  std::uint64_t boot_ = 0, number_ = 0, last_number_ = 0;
  Time sent_{}, retry_due_{}, period_end_{};
  std::size_t relays_asked_ = 0, nacks_ = 0;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_PROBER_H_

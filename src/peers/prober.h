// SPDX-License-Identifier: Apache-2.0
//
// Whom to ask, when, and what silence means: SWIM's probes with Lifeguard's regard for one's own slowness.
// No I/O, no clock.
//
// One probe at a time: a ping; without an answer in the time that round trips to this member take, another
// one and pings by relays; without any by the end of the period, the member has failed the probe.
#ifndef KESTRELLINE_PEERS_PROBER_H_
#define KESTRELLINE_PEERS_PROBER_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "peers/times.h"
#include "peers/view.h"

namespace kestrelline::peers {

// How far one's own silence may be one's own fault: 0, healthy, to kMost. Waits grow with it.
class Health {
 public:
  static constexpr int kMost = 4;
  void Better() { score_ = std::max(score_ - 1, 0); }
  void Worse() { score_ = std::min(score_ + 1, kMost); }
  int score() const { return score_; }
  Span Allowing(Span wait, double step) const {
    return wait + std::chrono::duration_cast<Span>(wait * (step * score_));
  }

 private:
  int score_ = 0;
};

class Prober {
 public:
  struct Step {
    enum class What {
      kNothing,
      kPing,   // `member`, by `number`
      kRelay,  // ping once more, and have `relays` ping
      kFailed  // `member` has answered nobody
    };
    What what = What::kNothing;
    std::string name;
    std::uint64_t boot = 0, number = 0;
    std::vector<std::string> relays;
  };

  Prober(const Times& times, std::uint64_t seed, Time now);

  // What is due by now; to be called until there is nothing.
  Step Next(Time now, const View& view);
  Time Due() const;

  // An answer to probe `number` from `name` under `boot`. `direct`: from itself. True if it was one.
  bool OnAck(Time now, std::uint64_t number, const std::string& name, std::uint64_t boot, bool direct,
             View* view);
  void OnNack(std::uint64_t number);
  // Time has passed in which this process did not run: what was under way says nothing.
  void OnGap(Time now);

  Health& health() { return health_; }
  const Health& health() const { return health_; }
  // A number of no probe that is under way.
  std::uint64_t NextNumber() { return ++last_number_; }
  std::mt19937_64& random() { return random_; }

 private:
  enum class Phase { kIdle, kDirect, kIndirect, kAnswered };

  Step Begin(Time now, const View& view);
  Span Patience(const View::Entry& entry) const;
  std::vector<std::string> Relays(const View& view, const Member& target);
  void Refill(const View& view);

  const Times& times_;
  std::mt19937_64 random_;
  Health health_;
  std::vector<std::string> order_;  // those left of this round, the next at the end
  Phase phase_ = Phase::kIdle;
  std::string name_;
  std::uint64_t boot_ = 0, number_ = 0, last_number_ = 0;
  Time sent_{}, again_{}, end_{};
  std::size_t asked_ = 0, nacks_ = 0;
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_PROBER_H_

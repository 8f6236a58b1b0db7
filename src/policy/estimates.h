// SPDX-License-Identifier: Apache-2.0
//
// Estimates from answers and arrivals: how crowded servers are, rates, the timeout that clients use. Averages
// only; decisions are made elsewhere.
#ifndef KESTRELLINE_SRC_POLICY_ESTIMATES_H_
#define KESTRELLINE_SRC_POLICY_ESTIMATES_H_

#include <algorithm>
#include <cmath>

#include "measures.h"

namespace kestrelline {

constexpr double kSameTimeoutTolerance = 0.04;  // relative difference up to which two timeouts count as equal
constexpr int kMinVotes = 10;                   // below, an estimate is not used: clients may differ widely
constexpr int kMaxVotes = 50;                   // upper bound of the votes for a usual timeout
constexpr double kCrowdingGain = 0.1;           // EWMA gain of one answer
constexpr Duration kCrowdingMemory{8000};       // time constant with which crowding decays if not confirmed
constexpr double kMaxCrowdingSample = 16;       // one answer counts as no slower than this
constexpr double kStretchGain = 0.01;  // EWMA gain of a slower answer; a faster one has ten times as much
constexpr Duration kAnswerRateMemory{1500};  // averaging of the answer rate, for the concurrency limit
constexpr Duration kRateMemory{8000};        // averaging of the offered and the served work

// The timeout that clients of a class usually set for one try, found by majority vote.
class UsualTimeout {
 public:
  // Estimates how much of `deadline` has passed when a try with timeout `left` arrives. A client's last try
  // has what is left of its deadline as timeout; all others of a class have the same timeout.
  Duration EstimateElapsed(Duration left, Duration deadline, bool client_retry) {
    const bool as_usual = std::abs((left - time_).count()) <= kSameTimeoutTolerance * time_.count();
    if (as_usual) {
      votes_ = std::min(kMaxVotes, votes_ + 1);
    } else if (!client_retry && --votes_ < 0) {
      time_ = left;
      votes_ = 0;
    }
    if (votes_ < kMinVotes) return Duration(0);
    const Duration max_elapsed = std::max(Duration(0), deadline - left);
    return !as_usual ? max_elapsed : client_retry ? max_elapsed * 0.5 : Duration(0);
  }

 private:
  Duration time_{0};
  int votes_ = 0;
};

// Estimates for a class.
struct ClassState {
  MeanDeviation latency, work;  // response time divided by State::LatencyScale; hinted work
  UsualTimeout usual_timeout;
};

// How crowded servers are, judged by response times.
struct Crowding {
  double target_fraction = 0;  // mean fraction of their target time that answers take
  double slowdown = 3;         // mean response time over the uncrowded response time
  int stretch_samples = 0;
  double stretch = 0;  // uncrowded response time per unit of work: low quantile over large requests

  // Adds an answer, or a timeout (`ok` false), that took `took` ms for `work`; `mean` is the mean work.
  void Add(double took, bool ok, double work, double mean, double aim) {
    if (!(took > 0)) return;
    if (stretch > 0) {
      const double usual = std::min(stretch * std::max(work, mean / 2), 0.5 * aim);
      slowdown += kCrowdingGain * (std::min(took / usual, kMaxCrowdingSample) - slowdown);
      target_fraction += kCrowdingGain * (std::min(took / aim, kMaxCrowdingSample) - target_fraction);
    }
    if (!ok || work < mean) return;
    const double time_per_work = took / work;
    const double gain = time_per_work < stretch ? 10 * kStretchGain : kStretchGain;
    stretch += (++stretch_samples <= kMinVotes ? 1.0 / stretch_samples : gain) * (time_per_work - stretch);
  }
  void Decay(double elapsed) {
    const double decayed = std::min(1.0, elapsed / kCrowdingMemory.count());
    slowdown += decayed * (1 - slowdown);
    target_fraction -= decayed * target_fraction;
  }
};

// Rates per ms: answers, work served, work offered.
class Rates {
 public:
  double answers() const { return answers_; }
  double served() const { return served_; }
  double offered() const { return offered_; }

  void Offered(double work) { offered_work_ += work; }
  void Served(double work) { served_work_ += work, ++answered_; }
  // A new proxy starts from zero and weights its first samples more: one that floods the fleet when it starts
  // leaves queues that take far longer to drain than the startup took.
  void Sample(double elapsed) {
    const double trust = 1.0 / ++samples_;
    answers_ += std::min(1.0, std::max(elapsed / kAnswerRateMemory.count(), trust)) *
                (answered_ / elapsed - answers_);
    const double gain = std::min(1.0, std::max(elapsed / kRateMemory.count(), trust));
    served_ += gain * (served_work_ / elapsed - served_);
    offered_ += gain * (offered_work_ / elapsed - offered_);
    answered_ = served_work_ = offered_work_ = 0;
  }

 private:
  int samples_ = 0;
  double answered_ = 0, served_work_ = 0, offered_work_ = 0;  // since the last sample
  double answers_ = 0, served_ = 0, offered_ = 0;
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_ESTIMATES_H_

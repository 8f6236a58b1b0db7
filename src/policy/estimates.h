// SPDX-License-Identifier: Apache-2.0
//
// What the module takes from answers and arrivals: how crowded servers are, rates, the time that clients
// give. Averages, no decisions.
#ifndef KESTRELLINE_SRC_POLICY_ESTIMATES_H_
#define KESTRELLINE_SRC_POLICY_ESTIMATES_H_

#include <algorithm>
#include <cmath>

#include "measures.h"

namespace kestrelline {

constexpr double kSameTime = 0.04;         // part by which times of tries may differ and still be the same
constexpr int kFirmVotes = 10;             // below, nothing is made of it: clients may differ widely
constexpr int kMostVotes = 50;             // for the usual time of a try
constexpr double kCrowdingGain = 0.1;      // of one answer
constexpr Duration kCrowdingMemory{8000};  // what is not confirmed is forgotten
constexpr double kMostCrowding = 16;       // one answer counts as no slower than this
constexpr double kStretchGain = 0.01;      // of a slower answer; a faster one counts ten times as much
constexpr Duration kGoodMemory{1500};      // averaging of the answers, for the limit of the whole proxy
constexpr Duration kRateMemory{8000};      // averaging of work asked for, and served by warm servers

// How long clients of a class give a try, found by vote.
class UsualTime {
 public:
  // What has passed of `deadline` when a try comes that has `left`. A client's last try has what is left of
  // its deadline, all others of a class have the same time.
  Duration Elapsed(Duration left, Duration deadline, bool client_retry) {
    const bool as_usual = std::abs((left - time_).count()) <= kSameTime * time_.count();
    if (as_usual) {
      votes_ = std::min(kMostVotes, votes_ + 1);
    } else if (!client_retry && --votes_ < 0) {
      time_ = left;
      votes_ = 0;
    }
    if (votes_ < kFirmVotes) return Duration(0);
    const Duration at_most = std::max(Duration(0), deadline - left);
    return !as_usual ? at_most : client_retry ? at_most * 0.5 : Duration(0);
  }

 private:
  Duration time_{0};
  int votes_ = 0;
};

// What this proxy has seen of a class.
struct ClassState {
  Spread latency, work;  // time over WorkScale; hinted work
  UsualTime usual_time;
};

// How crowded servers are, by the times of answers.
struct Crowding {
  double of_aim = 0;  // share of their aims that answers take
  double times = 3;   // time of answers over what they take uncrowded
  int stretch_votes = 0;
  double stretch = 0;  // time over work that large requests take at the least

  // An answer, or a time-out (`ok` false), after `took` ms to `work`, `mean` being that of requests.
  void Add(double took, bool ok, double work, double mean, double aim) {
    if (!(took > 0)) return;
    if (stretch > 0) {
      const double usual = std::min(stretch * std::max(work, mean / 2), 0.5 * aim);
      times += kCrowdingGain * (std::min(took / usual, kMostCrowding) - times);
      of_aim += kCrowdingGain * (std::min(took / aim, kMostCrowding) - of_aim);
    }
    if (!ok || work < mean) return;
    const double x = took / work;
    const double gain = x < stretch ? 10 * kStretchGain : kStretchGain;
    stretch += (++stretch_votes <= kFirmVotes ? 1.0 / stretch_votes : gain) * (x - stretch);
  }
  void Forget(double elapsed) {
    const double forgotten = std::min(1.0, elapsed / kCrowdingMemory.count());
    times += forgotten * (1 - times);
    of_aim -= forgotten * of_aim;
  }
};

// Answers, and work served and asked for, a ms.
class Rates {
 public:
  double answers() const { return answers_; }
  double served() const { return served_; }
  double asked() const { return asked_; }

  void Asked(double work) { asked_work_ += work; }
  void Served(double work) { served_work_ += work, ++answered_; }
  // A new proxy starts from little and trusts its first samples: one that floods the fleet at its start
  // leaves queues that take far longer to drain than the start took.
  void Sample(double elapsed) {
    const double trust = 1.0 / ++samples_;
    answers_ +=
        std::min(1.0, std::max(elapsed / kGoodMemory.count(), trust)) * (answered_ / elapsed - answers_);
    const double gain = std::min(1.0, std::max(elapsed / kRateMemory.count(), trust));
    served_ += gain * (served_work_ / elapsed - served_);
    asked_ += gain * (asked_work_ / elapsed - asked_);
    answered_ = served_work_ = asked_work_ = 0;
  }

 private:
  int samples_ = 0;
  double answered_ = 0, served_work_ = 0, asked_work_ = 0;  // since the last sample
  double answers_ = 0, served_ = 0, asked_ = 0;
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_ESTIMATES_H_

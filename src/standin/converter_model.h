// SPDX-License-Identifier: Apache-2.0
//
// What one stand-in converter does with its work: cores, a queue, a cold start, keyed repeats that its cell
// drops. Events in, decisions out, with the time passed in: no I/O, no clock.
//
// Jobs run first come, first served. A job's time is set when it starts, by the speed of then: full speed
// after the warm-up, `cold_from` of it at the start, and in between in a line.
#ifndef KESTRELLINE_STANDIN_CONVERTER_MODEL_H_
#define KESTRELLINE_STANDIN_CONVERTER_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "standin/site.h"

namespace kestrelline::standin {

// The keys that the converters of a cell have seen, each for its class's window.
class CellMemory {
 public:
  static constexpr std::size_t kMostKeys = 100000;  // past it the oldest is forgotten, and may run again

  // True if `key` was seen within its window; otherwise it is from now on.
  bool Seen(const std::string& key, Microseconds window, Microseconds now);
  std::size_t size() const { return until_.size(); }

 private:
  void Forget(Microseconds now);

  std::unordered_map<std::string, Microseconds> until_;
  std::deque<std::pair<Microseconds, std::string>> order_;  // by when they were seen
};

using JobId = std::uint64_t;

class ConverterModel {
 public:
  ConverterModel(int cores, double speed, int queue, double cold_from, Microseconds warm_up)
      : cores_(cores), queue_(queue), speed_(speed), cold_from_(cold_from), warm_up_(warm_up) {}

  // Empty, and cold unless it has been up for long.
  void Start(Microseconds now, bool cold);
  void SlowDown(double times) { slower_ = times; }  // 1: not at all

  // Work in seconds of a core of speed 1. False: declined, the queue is full.
  bool Offer(JobId job, double work_s, Microseconds now);
  // Nobody waits for it any more. What has started runs to its end all the same.
  void Abandon(JobId job, Microseconds now);

  // When Advance has something to do; nothing while no job runs.
  std::optional<Microseconds> Next() const;
  // Jobs that are done by `now`, in the order of their ends.
  std::vector<JobId> Advance(Microseconds now);

  int running() const { return static_cast<int>(running_.size()); }
  int queued() const { return static_cast<int>(waiting_.size()); }
  double Share(Microseconds now) const;  // of its full speed that it can do now, without SlowDown

 private:
  struct Waiting {
    JobId job = 0;
    double work_s = 0;
  };
  void Begin(Microseconds now);

  int cores_, queue_;
  double speed_, cold_from_, slower_ = 1;
  Microseconds warm_up_, started_{0};
  bool cold_ = false;
  std::multimap<Microseconds, JobId> running_;  // by their ends
  std::deque<Waiting> waiting_;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_CONVERTER_MODEL_H_

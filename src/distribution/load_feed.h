// SPDX-License-Identifier: Apache-2.0
//
// Selects the backend load updates to send to a group of receivers, which all get the same messages. Traffic
// stays within a budget of bytes per second whatever the number of backends: the largest changes are sent
// first, and the rest later with the values current by then. Performs no I/O and reads no clock.
#ifndef KESTRELLINE_DISTRIBUTION_LOAD_FEED_H_
#define KESTRELLINE_DISTRIBUTION_LOAD_FEED_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <vector>

#include "distribution/load_mirror.h"
#include "wire/messages.h"

namespace kestrelline::distribution {

using BackendSet = std::unordered_set<std::uint64_t>;  // hashes of backend ids

class LoadFeed {
 public:
  using Time = std::chrono::milliseconds;  // on a steady clock

  // Upper bound on the encoded size of one load, with its key and length.
  static constexpr double kLoadBytes = 18;
  // Overhead of one message, in bytes.
  static constexpr double kMessageBytes = 40;

  struct Options {
    double bytes_per_s = 0;
    double burst_bytes = 0;
    // For links that may lose messages: every load is repeated in turn within this time, as far as the budget
    // allows. 0 disables repeats.
    Time repeat_within{0};
  };

  explicit LoadFeed(Options options) : options_(options), allowance_(options.burst_bytes) {}

  // Returns the updates to send now. `loads` holds the current load of every busy backend, in ascending order
  // of backends. Updates of backends in `nearby`, which matter more to the receivers, get a higher weight. A
  // backend that has become idle is sent with a load of 0.
  std::vector<wire::BackendLoad> Next(Time now, const std::vector<wire::BackendLoad>& loads,
                                      const BackendSet& nearby = {});
  // The state that up-to-date receivers hold, for a new receiver. Does not count against the budget.
  wire::LoadSummary FullSummary() const { return sent_.FullSummary(); }

 private:
  struct Change {
    double weight = 0;
    wire::BackendLoad load;
  };

  void Refill(Time now);
  // Number of loads that fit into a message within the budget now.
  std::size_t MessageCapacity() const;
  std::vector<Change> Changes(const std::vector<wire::BackendLoad>& loads, const BackendSet& nearby) const;
  void AddRepeats(Time now, const std::vector<wire::BackendLoad>& loads,
                  std::vector<wire::BackendLoad>& chosen);

  Options options_;
  double allowance_;  // bytes
  Time refilled_{0};
  bool started_ = false;
  LoadMirror sent_;             // the state of the receivers
  double repeats_due_ = 0;      // number of loads
  std::uint64_t repeated_ = 0;  // backend of the last repeated load
  Time repeats_counted_{0};     // when repeats_due_ was last updated
};

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_LOAD_FEED_H_

// SPDX-License-Identifier: Apache-2.0
//
// The changes of the configuration of late, so that a receiver that has one of its versions is told only what
// changed since. No I/O, no clock.
#ifndef KESTRELLINE_DISTRIBUTION_CONFIGURATION_HISTORY_H_
#define KESTRELLINE_DISTRIBUTION_CONFIGURATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace kestrelline::distribution {

class ConfigurationHistory {
 public:
  static constexpr std::size_t kMostSteps = 32;

  // The newest version is `to`, and `patch` leads to it from `from`. A step that does not follow the last one
  // begins the history anew.
  void Add(std::uint64_t from, std::uint64_t to, std::string patch);
  // Nothing leads to the newest version.
  void Clear() { steps_.clear(); }
  // The patches that lead from that version to the newest one, in order; nothing if it is not here or they
  // come to more than `most_bytes`.
  std::optional<std::vector<std::string>> Since(std::uint64_t version, std::size_t most_bytes) const;

 private:
  struct Step {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::string patch;
  };
  std::deque<Step> steps_;  // each begins where the one before it ends
};

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_CONFIGURATION_HISTORY_H_

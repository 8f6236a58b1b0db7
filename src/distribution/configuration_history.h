// SPDX-License-Identifier: Apache-2.0
//
// Keeps the most recent configuration patches, so that a receiver with a recent version is sent only the
// changes since then. Performs no I/O and reads no clock.
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
  static constexpr std::size_t kMaxPatches = 32;  // patches kept

  // Records `patch`, which turns version `from` into the newest version `to`. Discards the history if `from`
  // is not the version that was newest before.
  void Add(std::uint64_t from, std::uint64_t to, std::string patch);
  // Discards the history, for a new version that no patch leads to.
  void Clear() { steps_.clear(); }
  // Returns the patches that lead from `version` to the newest version, in order. Returns nullopt if
  // `version` is not in the history or the patches exceed `max_bytes` in total.
  std::optional<std::vector<std::string>> Since(std::uint64_t version, std::size_t max_bytes) const;

 private:
  struct Step {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::string patch;
  };
  std::deque<Step> steps_;  // contiguous: each `from` equals the preceding `to`
};

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_CONFIGURATION_HISTORY_H_

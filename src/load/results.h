// SPDX-License-Identifier: Apache-2.0
//
// What a run of load came to: latencies by class and outcome, outcomes by second, the generator's own
// lateness. Adds up over files, and is shown as a table, as JSON and as one page of HTML that needs nothing
// else.
#ifndef KESTRELLINE_LOAD_RESULTS_H_
#define KESTRELLINE_LOAD_RESULTS_H_

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "load/latency.h"

namespace kestrelline::load {

// kUnsent: it was due, and the generator had no connection for it until its client would have gone.
enum class Outcome { kServed, kRefused, kFailed, kGaveUp, kUnsent };
inline constexpr std::size_t kOutcomes = 5;
std::string_view NameOf(Outcome outcome);

class BadResults : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Results {
 public:
  // Later seconds count in the last row: a table of all would have no bound.
  static constexpr std::size_t kMostSeconds = 3600;
  static constexpr double kSecondError = 0.05;  // relative, of the latencies by second

  struct Second {
    std::array<std::uint64_t, kOutcomes> outcomes{};
    Latencies latencies{kSecondError};  // of all that were answered, by their intended second
  };
  struct Class {
    std::string name;
    std::array<Latencies, kOutcomes> open, closed;  // from the intended time, and from the send
  };

  explicit Results(const std::vector<std::string>& classes);

  void Add(std::size_t request_class, Outcome outcome, const Timing& timing);
  // Of runs of the same classes; throws BadResults otherwise.
  Results& operator+=(const Results& other);

  std::uint64_t Count(Outcome outcome) const;
  std::uint64_t total() const;
  Latencies Served(bool open_loop) const;  // over all classes
  const std::vector<Class>& classes() const { return classes_; }
  const std::vector<Second>& seconds() const { return seconds_; }
  const Latencies& lateness() const { return lateness_; }

  nlohmann::json ToJson() const;
  static Results FromJson(const nlohmann::json& json);  // throws BadResults

  std::string Table() const;
  // `rules`: what the audit of the four rules said, shown as it is.
  std::string Html(const std::string& title, const std::string& rules = "") const;

 private:
  std::vector<Class> classes_;
  std::vector<Second> seconds_;
  Latencies lateness_;
};

// Ratios of two runs, b to a, second by second, each with its standard error; "noise" where one error
// reaches 1.
std::string Compare(const Results& a, const Results& b);

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_RESULTS_H_

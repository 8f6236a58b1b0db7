// SPDX-License-Identifier: Apache-2.0
//
// What a run of load came to: latencies by class and outcome, outcomes by second, the generator's own
// lateness and the want of connections. Adds up over files, and is shown as a table, as JSON, as charts and
// as one page of HTML that needs nothing else.
#ifndef KESTRELLINE_LOAD_RESULTS_H_
#define KESTRELLINE_LOAD_RESULTS_H_

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "charts/chart.h"
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
  // What the machine took too long for: from the intended time until the generator got to it.
  const Latencies& lateness() const { return lateness_; }
  // From then until a connection was free; of those that were sent.
  const Latencies& waited() const { return waited_; }
  // Another run than the one that was planned: for want of time here, or of connections.
  bool outrun() const;
  bool short_of_connections() const;

  nlohmann::json ToJson() const;
  static Results FromJson(const nlohmann::json& json);  // throws BadResults

  std::string Table() const;
  // `spans`: what explains a peak, marked on the axis of time.
  std::vector<charts::Chart> Charts(const std::vector<charts::Span>& spans) const;
  // `drawn`: those charts as SVG, or why there is none. `rules`: what the audit of the four rules said.
  std::string Html(const std::string& title, const std::vector<std::string>& drawn,
                   const std::string& rules = "") const;

 private:
  std::vector<Class> classes_;
  std::vector<Second> seconds_;
  Latencies lateness_, waited_;
};

// p0 to p99.99, evenly in nines: the quantile at each tenth of a nine, and the names of whole ones.
inline constexpr int kStepsOfNines = 40;
std::vector<Microseconds> ByNines(const Latencies& latencies);
std::vector<std::pair<double, std::string>> NamesOfNines();

// Ratios of two runs, b to a, second by second, each with its standard error; "noise" where one error
// reaches 1.
std::string Compare(const Results& a, const Results& b);

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_RESULTS_H_

// SPDX-License-Identifier: Apache-2.0
//
// An experiment in a file: which site and load, which factors at which levels, on how many days, and what is
// looked at. TOML, `version = 1`, read by the rules of the operator's file. No I/O, no clock.
//
// A factor is any value that a file can set. Where one is named that does not exist, or a level makes no
// valid site, this is said before anything is played.
#ifndef KESTRELLINE_LAB_EXPERIMENT_H_
#define KESTRELLINE_LAB_EXPERIMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/halving.h"
#include "operator/diagnostics.h"
#include "sim/scenario.h"

namespace kestrelline::lab {

// Bounds: a file of a few lines must not ask for a year of runs.
inline constexpr std::size_t kMostFactors = 12, kMostLevels = 32, kMostVariants = 4096, kMostBlocks = 1000;
inline constexpr std::size_t kMostRuns = 100000;

// What is measured of each run. `more`: more of it is better.
struct Response {
  std::string_view name;
  bool more;
  std::string_view doc;
};
enum class Measure {
  kService,
  kServed,
  kRefused,
  kFailed,
  kGaveUp,
  kP50,
  kP90,
  kP99,
  kP999,
  kAttempts,
  kConnections
};
inline constexpr std::size_t kMeasures = 11;
extern const std::array<Response, kMeasures> kResponses;

struct Level {
  std::string text;   // as TOML writes the value
  std::string label;  // in tables and charts
};

struct Factor {
  enum class Of { kSite, kPlan, kConfig, kNetwork, kRun };
  std::string name;
  Of of = Of::kPlan;
  std::string path;           // "shape[0].rate", "rules.fallMultiple", "across"
  std::vector<Level> levels;  // the first is the base
  operator_file::Position at;
};

enum class Design { kFull, kOneAtATime, kSearch };

struct Experiment {
  std::string name;
  std::string site_file, plan_file;  // as they stand in the file
  Design design = Design::kFull;
  Measure response = Measure::kService;
  double confidence = 0.95;
  std::uint64_t first_seed = 1;
  std::size_t blocks = 8;    // days: each variant is played on each
  std::size_t held_out = 0;  // days after those, which a search never sees
  Halving::Options halving;
  std::vector<Factor> factors;

  // Of each variant, the level of each factor. Variant 0 is the base: all first levels.
  std::vector<std::vector<std::size_t>> Variants() const;
  std::string NameOf(const std::vector<std::size_t>& variant) const;  // "rate=300 cells=2"
  // A search plays fewer.
  std::size_t MostRunsOf() const;
};

// Nothing, and why in `diagnostics`, unless all of it is right. Whether its levels make valid scenarios is
// seen by Scenarios.
std::optional<Experiment> ReadExperiment(std::string_view text, operator_file::Diagnostics* diagnostics);

// The scenarios of an experiment's variants, from the texts of its site and plan.
class Scenarios {
 public:
  Scenarios(const Experiment& experiment, std::string site_text, std::string plan_text);

  // Without its seeds. Nothing, and in `why` all that is wrong with it, a line each.
  std::optional<sim::Scenario> Of(const std::vector<std::size_t>& variant, std::string* why) const;
  // All variants. Says in `diagnostics` what is wrong, by factor and level where one alone is to blame, and
  // then gives nothing.
  std::vector<sim::Scenario> All(operator_file::Diagnostics* diagnostics) const;

 private:
  const Experiment& experiment_;
  std::string site_, plan_;
};

// The day of a block: the order of events, arrivals, faults and work. The same for all variants.
void SetDay(sim::Scenario* scenario, std::uint64_t day);

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_EXPERIMENT_H_

// SPDX-License-Identifier: Apache-2.0
//
// What the runs of an experiment say: what is to be played next, and once it was, means, effects and how sure
// they are. No I/O, no clock: a report is the same each time.
#ifndef KESTRELLINE_LAB_ANALYSIS_H_
#define KESTRELLINE_LAB_ANALYSIS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/record.h"
#include "lab/statistics.h"

namespace kestrelline::lab {

// The cells that may be played now, in order, `records` being all that there is; none once it is over. A
// search waits at the end of each round. Blocks from `experiment.blocks` on are held out.
std::vector<Cell> NextCells(const Experiment& experiment, const std::vector<Record>& records);
std::uint64_t DayOf(const Experiment& experiment, std::size_t block);

struct VariantRow {
  std::size_t variant = 0;
  Estimate response;
  Difference to_base;       // on the days that both were played on
  std::size_t broken = 0;   // runs in which a rule was broken
  std::string broken_rule;  // the first
};
// Of one level of a factor, against its first: the mean over all variants that differ in nothing else.
struct MainEffect {
  std::size_t factor = 0, level = 0;
  Difference difference;
};
// What two factors do together beyond what each does alone: last levels against first ones.
struct Interaction {
  std::size_t first = 0, second = 0;
  Difference difference;
};
struct Search {
  std::size_t rounds = 0;
  bool over = false;
  std::vector<std::size_t> left;  // the best first
  std::optional<std::size_t> winner;
  std::optional<Difference> held_out;  // winner against base, on days that the search never saw
};

struct Analysis {
  std::size_t runs = 0, wanted = 0;  // played, and to be played still (of a search: at the most)
  std::vector<VariantRow> variants;  // by variant; of a search those that were played at all
  std::vector<MainEffect> effects;
  std::vector<Interaction> interactions;
  std::optional<Search> search;
  // The variant with the best mean, of those that broke no rule and were played on all days; the base if no
  // other is better.
  std::size_t best = 0;
};

Analysis Analyse(const Experiment& experiment, const std::vector<Record>& records);

// "better", "worse", "not significant", "too few days to tell"; by what the response wants.
std::string VerdictOf(const Difference& difference, Measure response);

// As text: the tables of the report.
std::string Table(const Experiment& experiment, const Analysis& analysis);

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_ANALYSIS_H_

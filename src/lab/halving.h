// SPDX-License-Identifier: Apache-2.0
//
// Which variant is best, without playing all of them on all days: successive halving (Jamieson and Talwalkar,
// Non-stochastic Best Arm Identification and Hyperparameter Optimization, 2016). All candidates are played on
// a few blocks, the better share goes on to more blocks, until one is left. No I/O, no clock, no chance:
// blocks are the same for all, so that a lucky day is lucky for each.
//
// The base goes on to the end whatever it reaches: the winner is compared with it.
#ifndef KESTRELLINE_LAB_HALVING_H_
#define KESTRELLINE_LAB_HALVING_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace kestrelline::lab {

struct Cell {
  std::size_t variant = 0, block = 0;
  auto operator<=>(const Cell&) const = default;
};

class Halving {
 public:
  struct Options {
    std::size_t first_blocks = 3;  // of the first round
    std::size_t most_blocks = 12;  // of any
    double keep = 1.0 / 3;         // of the candidates; blocks grow by its inverse
  };

  // Candidates are 0 (the base) to `variants` - 1.
  Halving(std::size_t variants, Options options);

  // Those of the present round that have no result yet, in order of block: no candidate is ahead of another
  // by more than one. Empty once it is over.
  std::vector<Cell> Wanted() const;
  // More is better. Nothing: a rule was broken, or it could not be played: it is out for good. Results of a
  // cell that is not wanted, or known already, change nothing.
  void Give(Cell cell, std::optional<double> response);

  bool over() const { return over_; }
  std::size_t round() const { return round_; }
  const std::vector<std::size_t>& left() const { return left_; }  // the best first once a round has ended
  // The best of those that were not out; nothing where all are.
  std::optional<std::size_t> winner() const;
  // What it would play in all, were every candidate to stay whole.
  static std::size_t MostRuns(std::size_t variants, Options options);

 private:
  void EndRoundIfPlayed();
  double MeanOf(std::size_t variant) const;

  Options options_;
  std::vector<std::size_t> left_;
  std::vector<bool> out_;
  std::map<Cell, double> known_;
  std::size_t blocks_, round_ = 1;
  bool over_ = false;
};

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_HALVING_H_

// SPDX-License-Identifier: Apache-2.0
#include "lab/halving.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace kestrelline::lab {
namespace {

// At least one goes, at least one stays.
std::size_t Kept(std::size_t of, double share) {
  const auto kept = static_cast<std::size_t>(std::ceil(share * static_cast<double>(of)));
  return std::clamp<std::size_t>(kept, 1, of > 1 ? of - 1 : 1);
}

std::size_t MoreBlocks(std::size_t blocks, const Halving::Options& options) {
  const double grown = static_cast<double>(blocks) / options.keep;
  return std::max(blocks, std::min(options.most_blocks, static_cast<std::size_t>(std::ceil(grown))));
}

}  // namespace

Halving::Halving(std::size_t variants, Options options)
    : options_(options),
      left_(variants),
      out_(variants),
      blocks_(std::min(options.first_blocks, options.most_blocks)) {
  std::iota(left_.begin(), left_.end(), std::size_t{0});
  over_ = variants < 2 || blocks_ == 0;
}

std::vector<Cell> Halving::Wanted() const {
  std::vector<Cell> wanted;
  if (over_) return wanted;
  for (std::size_t block = 0; block < blocks_; ++block) {
    for (const std::size_t variant : left_) {
      if (!out_[variant] && !known_.contains({variant, block})) wanted.push_back({variant, block});
    }
  }
  return wanted;
}

void Halving::Give(Cell cell, std::optional<double> response) {
  if (over_ || cell.variant >= out_.size() || out_[cell.variant] || cell.block >= options_.most_blocks)
    return;
  if (!response || !std::isfinite(*response)) {
    out_[cell.variant] = true;
  } else {
    known_.emplace(cell, *response);
  }
  EndRoundIfPlayed();
}

void Halving::EndRoundIfPlayed() {
  while (!over_ && Wanted().empty()) {
    std::erase_if(left_, [&](std::size_t variant) { return out_[variant]; });
    std::stable_sort(left_.begin(), left_.end(),
                     [&](std::size_t a, std::size_t b) { return MeanOf(a) > MeanOf(b); });
    const std::size_t candidates = left_.size() - std::count(left_.begin(), left_.end(), std::size_t{0});
    // What is left of the candidates has been played on all blocks there are.
    if (left_.size() < 2 || (candidates == 1 && blocks_ >= options_.most_blocks)) {
      over_ = true;
      return;
    }
    if (candidates > 1) {
      std::size_t place = 0;
      const std::size_t kept = Kept(candidates, options_.keep);
      std::erase_if(left_, [&](std::size_t variant) { return variant != 0 && place++ >= kept; });
    }
    blocks_ = MoreBlocks(blocks_, options_);
    ++round_;
  }
}

std::optional<std::size_t> Halving::winner() const {
  std::optional<std::size_t> best;
  for (const std::size_t variant : left_) {
    if (!out_[variant] && (!best || MeanOf(variant) > MeanOf(*best))) best = variant;
  }
  return best;
}

std::size_t Halving::MostRuns(std::size_t variants, Options options) {
  if (variants < 2) return 0;
  std::size_t blocks = std::min(options.first_blocks, options.most_blocks), candidates = variants - 1;
  std::size_t runs = variants * blocks;
  while (candidates > 1 || blocks < options.most_blocks) {
    if (candidates > 1) candidates = Kept(candidates, options.keep);
    const std::size_t next = MoreBlocks(blocks, options);
    if (next == blocks && candidates == 1) break;
    runs += (candidates + 1) * (next - blocks);
    blocks = next;
  }
  return runs;
}

double Halving::MeanOf(std::size_t variant) const {
  double sum = 0;
  std::size_t n = 0;
  for (auto it = known_.lower_bound({variant, 0}); it != known_.end() && it->first.variant == variant; ++it)
    sum += it->second, ++n;
  return n > 0 ? sum / static_cast<double>(n) : -std::numeric_limits<double>::infinity();
}

}  // namespace kestrelline::lab

// SPDX-License-Identifier: Apache-2.0
//
// Index that finds the member with the least score
//
//   work + asked * slow
//
// for any `asked` without scanning all members; `asked * slow` is what a request loses at a slow member.
// Exact: the result is the one of a scan, and ties are broken uniformly at random. The owner sets work and
// slow, and decides which members may be picked.
//
// The index is a tree with a fan-out of 16. Each node stores the minimum score below it for a few values of
// `asked`. The minimum of straight lines is concave, so the chord between two of these values is a lower
// bound for all values between them, and a node whose bound is no less than the best score found is skipped.
// Bounds may be too low, never too high: they are not raised when a key rises, but by the next search that
// visits the node. An update therefore costs only a walk to the root.
//
// Memory: 16 bytes per member, and 4.3 for the nodes. Only Resize allocates.
#ifndef KESTRELLINE_FLEET_LEAST_WORK_H_
#define KESTRELLINE_FLEET_LEAST_WORK_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace kestrelline::fleet {

class LeastWork {
 public:
  using Position = std::uint32_t;
  static constexpr Position kNoPosition = ~Position{0};
  static constexpr double kNone = 1e300;  // above all scores

  struct Found {
    Position at = kNoPosition;
    double score = kNone;
  };

  // Sets the number of positions; new ones are empty, those past the end are dropped.
  void Resize(std::size_t members);
  std::size_t size() const { return keys_.size(); }

  // Sets the key of a position; `work` and `slow` must be finite.
  void Put(Position at, double work, double slow);
  void Remove(Position at);
  bool Holds(Position at) const { return keys_[at].work < kNone; }

  // Multiplies every `slow` by `factor`, and makes the bounds tightest for `asked` near `usual` (> 0). Linear
  // in the number of members.
  void Rescale(double factor, double usual);

  double Score(Position at, double asked) const { return keys_[at].work + asked * keys_[at].slow; }

  // Returns the position with the least score below `less_than` for which `fits(position)` is true. `fits` is
  // called only for positions that would be picked, and may take them out. `below(n)` returns a random
  // integer from 0 to n - 1. `asked` must be 0 or more.
  template <typename Fits, typename Below>
  Found Least(double asked, double less_than, Fits&& fits, Below&& below) {
    Search search{WeightsOf(asked), {kNoPosition, less_than}};
    if (!levels_.empty()) SearchNodes(levels_.size() - 1, 0, levels_.back().size(), search, fits, below);
    if (search.crowded) DrawEvenly(search, fits, below);
    return search.best;
  }

  // For tests: checks that every bound is at most what it bounds. Linear in the number of members.
  bool IsConsistent() const;

 private:
  static constexpr std::size_t kFanOut = 16;
  static constexpr std::size_t kColumns = 7;  // `asked` = 0, usual / 4, then doubling; the last: `slow` alone
  static constexpr int kManyTies = 64, kDraws = 64;
  static constexpr double kRounding = 1e-12;

  struct Key {
    double work = kNone, slow = 0;
  };
  // Interpolation between two columns.
  struct Weights {
    std::size_t low = 0, high = 0;
    double of_low = 1, of_high = 0;
    double asked = 0;
  };
  struct Node {
    double idle_slow = kNone;
    std::array<double, kColumns> busy{};
    double Bound(const Weights& w) const {
      return std::min(w.asked * idle_slow, w.of_low * busy[w.low] + w.of_high * busy[w.high]);
    }
    void Clear() { idle_slow = kNone, busy.fill(kNone); }
    void TakeLower(const Node& other);
  };
  struct Search {
    Weights weights;
    Found best;
    int ties = 0;
    bool crowded = false;  // too many ties to visit each of them

    bool Passes(double bound) const {
      return crowded || best.at == kNoPosition ? bound >= best.score
                                               : bound > best.score + std::abs(best.score) * kRounding;
    }
  };

  struct Level {
    std::vector<Node> nodes;
    std::vector<std::uint8_t> loose;  // by node: its bound may be lower than necessary
    std::size_t size() const { return nodes.size(); }
  };

  Weights WeightsOf(double asked) const;
  static std::size_t Lowest(const std::vector<Node>& nodes, std::size_t from, std::size_t to,
                            const Weights& w);
  Node NodeOf(const Key& key) const;
  void Tighten(std::size_t level, std::size_t node);

  // Searches nodes `from` to `to` of a level, the one with the lowest bound first.
  template <typename Fits, typename Below>
  void SearchNodes(std::size_t level, std::size_t from, std::size_t to, Search& search, Fits& fits,
                   Below& below) {
    const std::vector<Node>& nodes = levels_[level].nodes;
    const std::size_t first = Lowest(nodes, from, to, search.weights);
    if (first == to) return;
    SearchNode(level, first, search, fits, below);
    for (std::size_t n = from; n < to; ++n) {
      if (n != first && !search.Passes(nodes[n].Bound(search.weights)))
        SearchNode(level, n, search, fits, below);
    }
  }

  template <typename Fits, typename Below>
  void SearchNode(std::size_t level, std::size_t node, Search& search, Fits& fits, Below& below) {
    if (level == 0) return SearchBlock(node, search, fits, below);
    const std::size_t from = node * kFanOut, to = std::min(levels_[level - 1].size(), from + kFanOut);
    SearchNodes(level - 1, from, to, search, fits, below);
    if (levels_[level].loose[node]) Tighten(level, node);
  }

  template <typename Fits, typename Below>
  void SearchBlock(std::size_t block, Search& search, Fits& fits, Below& below) {
    const std::size_t from = block * kFanOut, to = std::min(keys_.size(), from + kFanOut);
    for (std::size_t i = from; i < to; ++i) {
      const auto at = static_cast<Position>(i);
      const double score = Score(at, search.weights.asked);
      if (score > search.best.score || score >= kNone) continue;
      const bool tie = score == search.best.score;
      if (tie && (search.crowded || search.best.at == kNoPosition)) continue;
      if (!fits(at)) continue;
      search.ties = tie ? search.ties + 1 : 1;
      if (search.ties > kManyTies) search.crowded = true;
      if (!tie || below(static_cast<std::uint64_t>(search.ties)) == 0) search.best = {at, score};
    }
    if (levels_[0].loose[block]) Tighten(0, block);
  }

  // Breaks a tie of many by rejection sampling from all members, which is uniform. If no draw hits one of
  // them, they are few among all members, and each is visited.
  template <typename Fits, typename Below>
  void DrawEvenly(Search& search, Fits& fits, Below& below) {
    for (int draw = 0; draw < kDraws; ++draw) {
      const auto at = static_cast<Position>(below(keys_.size()));
      if (Score(at, search.weights.asked) != search.best.score || !fits(at)) continue;
      search.best.at = at;
      return;
    }
    std::uint64_t ties = 0;
    for (std::size_t b = 0; b < levels_[0].size(); ++b) {
      if (levels_[0].nodes[b].Bound(search.weights) >
          search.best.score + std::abs(search.best.score) * kRounding)
        continue;
      const std::size_t to = std::min(keys_.size(), (b + 1) * kFanOut);
      for (std::size_t i = b * kFanOut; i < to; ++i) {
        const auto at = static_cast<Position>(i);
        if (Score(at, search.weights.asked) == search.best.score && fits(at) && below(++ties) == 0)
          search.best.at = at;
      }
    }
  }

  double usual_ = 1;
  std::vector<Key> keys_;
  std::vector<Level> levels_;  // from the blocks of members up to the root
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_LEAST_WORK_H_

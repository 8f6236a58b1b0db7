// SPDX-License-Identifier: Apache-2.0
//
// Which member has the least work, counting what a request would lose at a slow one: the least of
//
//   work + asked * slow
//
// for any `asked`, without a look at every member. Exact: the pick is the one a scan would make, and among
// equal ones each has the same chance. An index only: what work and slow are, and who may be picked, the
// owner says.
//
// Members stand in blocks of 16, these in blocks of 16 of the next level, and so on up to one of at most 16.
// A block knows the least of that sum for a few values of `asked`. As the least of straight lines is concave,
// the chord between two of these values is a bound from below for all between them: a block whose bound is no
// less than the best found is not looked into. A bound may be too low, never too high: a key that rises
// leaves it, and the next pick that looks into the block puts it right, so that a change costs the same
// whatever the number of members.
//
// Bounds: 16 bytes a member and 4.3 of bounds. No allocation but in Resize.
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
  static constexpr Position kNowhere = ~Position{0};
  static constexpr double kNone = 1e300;  // a score that nobody has

  struct Found {
    Position at = kNowhere;
    double score = kNone;
  };

  // Places for `members`; new ones are empty, those past the end are dropped.
  void Resize(std::size_t members);
  std::size_t size() const { return keys_.size(); }

  // `work` and `slow` are finite; what is put stands until it is put again or taken out.
  void Put(Position at, double work, double slow);
  void TakeOut(Position at);
  bool Holds(Position at) const { return keys_[at].work < kNone; }

  // Multiplies every `slow`, and centres the bounds on requests of `usual` (> 0). Looks at every member.
  void Rescale(double factor, double usual);

  double Score(Position at, double asked) const { return keys_[at].work + asked * keys_[at].slow; }

  // The least of those below `less_than` for which `fits(position)` is true; it is asked only of those that
  // would be picked, and may take them out. `below(n)` draws evenly from 0 to n - 1. `asked` is 0 or more.
  template <typename Fits, typename Below>
  Found Least(double asked, double less_than, Fits&& fits, Below&& below) {
    Search search{WeightsOf(asked), {kNowhere, less_than}};
    if (!levels_.empty()) SearchNodes(levels_.size() - 1, 0, levels_.back().size(), search, fits, below);
    if (search.crowded) DrawEvenly(search, fits, below);
    return search.best;
  }

  // Every bound is at most what it bounds. For tests: looks at every member.
  bool Sound() const;

 private:
  static constexpr std::size_t kWide = 16;
  static constexpr std::size_t kColumns = 7;  // asked 0, then usual / 4 and its doubles, then `slow` alone
  static constexpr int kManyTies = 64, kDraws = 64;
  static constexpr double kRounding = 1e-12;

  struct Key {
    double work = kNone, slow = 0;
  };
  // The chord between two columns.
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
    bool crowded = false;  // ties were too many to look at each

    bool Passes(double bound) const {
      return crowded || best.at == kNowhere ? bound >= best.score
                                            : bound > best.score + std::abs(best.score) * kRounding;
    }
  };

  struct Level {
    std::vector<Node> nodes;
    std::vector<std::uint8_t> loose;  // a bound may be lower than it has to be
    std::size_t size() const { return nodes.size(); }
  };

  Weights WeightsOf(double asked) const;
  static std::size_t Lowest(const std::vector<Node>& nodes, std::size_t from, std::size_t to,
                            const Weights& w);
  Node NodeOf(const Key& key) const;
  void Tighten(std::size_t level, std::size_t node);

  // Of a level's nodes, the most promising first.
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
    const std::size_t from = node * kWide, to = std::min(levels_[level - 1].size(), from + kWide);
    SearchNodes(level - 1, from, to, search, fits, below);
    if (levels_[level].loose[node]) Tighten(level, node);
  }

  template <typename Fits, typename Below>
  void SearchBlock(std::size_t block, Search& search, Fits& fits, Below& below) {
    const std::size_t from = block * kWide, to = std::min(keys_.size(), from + kWide);
    for (std::size_t i = from; i < to; ++i) {
      const auto at = static_cast<Position>(i);
      const double score = Score(at, search.weights.asked);
      if (score > search.best.score || score >= kNone) continue;
      const bool tie = score == search.best.score;
      if (tie && (search.crowded || search.best.at == kNowhere)) continue;
      if (!fits(at)) continue;
      search.ties = tie ? search.ties + 1 : 1;
      if (search.ties > kManyTies) search.crowded = true;
      if (!tie || below(static_cast<std::uint64_t>(search.ties)) == 0) search.best = {at, score};
    }
    if (levels_[0].loose[block]) Tighten(0, block);
  }

  // Many share the best score. A draw from all members, taken if it is one of them, is even among these;
  // where draws find none they are few, and each is looked at.
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
      const std::size_t to = std::min(keys_.size(), (b + 1) * kWide);
      for (std::size_t i = b * kWide; i < to; ++i) {
        const auto at = static_cast<Position>(i);
        if (Score(at, search.weights.asked) == search.best.score && fits(at) && below(++ties) == 0)
          search.best.at = at;
      }
    }
  }

  double usual_ = 1;
  std::vector<Key> keys_;
  std::vector<Level> levels_;  // the first bounds blocks of members
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_LEAST_WORK_H_

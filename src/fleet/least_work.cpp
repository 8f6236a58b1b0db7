// SPDX-License-Identifier: Apache-2.0
#include "fleet/least_work.h"

#include <algorithm>

namespace kestrelline::fleet {
void LeastWork::Resize(std::size_t members) {
  const std::size_t old = std::min(keys_.size(), members);
  keys_.resize(members);
  std::size_t below = members, changed = old;
  for (std::size_t level = 0; below > 0; ++level) {
    if (level == levels_.size()) levels_.emplace_back(), changed = 0;
    below = (below + kFanOut - 1) / kFanOut, changed /= kFanOut;
    levels_[level].nodes.resize(below);
    levels_[level].loose.resize(below, 1);
    for (std::size_t node = changed; node < below; ++node) Tighten(level, node);
    if (below <= kFanOut) {
      levels_.resize(level + 1);
      return;
    }
  }
  levels_.clear();
}

void LeastWork::Put(Position at, double work, double slow) {
  keys_[at] = {work, slow};
  const Node bounds = NodeOf(keys_[at]);
  std::size_t node = at;
  for (Level& level : levels_) {
    node /= kFanOut;
    level.nodes[node].TakeLower(bounds);
    level.loose[node] = 1;
  }
}

void LeastWork::Remove(Position at) {
  keys_[at] = Key();
  std::size_t node = at;
  for (Level& level : levels_) level.loose[node /= kFanOut] = 1;
}

void LeastWork::Rescale(double factor, double usual) {
  usual_ = std::max(usual, 1e-9);
  for (Key& key : keys_) key.slow *= factor;
  for (std::size_t level = 0; level < levels_.size(); ++level) {
    for (std::size_t node = 0; node < levels_[level].size(); ++node) Tighten(level, node);
  }
}

bool LeastWork::IsConsistent() const {
  const auto bounds = [](const Node& node, const Node& what) {
    if (node.idle_slow > what.idle_slow) return false;
    for (std::size_t c = 0; c < kColumns; ++c) {
      if (node.busy[c] > what.busy[c]) return false;
    }
    return true;
  };
  for (std::size_t i = 0; i < keys_.size(); ++i) {
    if (!bounds(levels_[0].nodes[i / kFanOut], NodeOf(keys_[i]))) return false;
  }
  for (std::size_t level = 1; level < levels_.size(); ++level) {
    for (std::size_t n = 0; n < levels_[level - 1].size(); ++n) {
      if (!bounds(levels_[level].nodes[n / kFanOut], levels_[level - 1].nodes[n])) return false;
    }
  }
  return true;
}

LeastWork::Weights LeastWork::WeightsOf(double asked) const {
  const double first = usual_ / 4;
  double low = 0, high = first;
  std::size_t column = 0;
  while (asked > high && column + 2 < kColumns - 1) ++column, low = high, high *= 2;
  // Beyond the last column, extrapolates with the least `slow`.
  if (asked > high) return {column + 1, kColumns - 1, 1, asked - high, asked};
  const double part = (asked - low) / (high - low);
  return {column, column + 1, 1 - part, part, asked};
}

std::size_t LeastWork::Lowest(const std::vector<Node>& nodes, std::size_t from, std::size_t to,
                              const Weights& w) {
  std::size_t lowest = to;
  double least = kNone;
  for (std::size_t i = from; i < to; ++i) {
    const double bound = nodes[i].Bound(w);
    if (bound < least) least = bound, lowest = i;
  }
  return lowest;
}

void LeastWork::Node::TakeLower(const Node& other) {
  idle_slow = std::min(idle_slow, other.idle_slow);
  for (std::size_t c = 0; c < kColumns; ++c) busy[c] = std::min(busy[c], other.busy[c]);
}

LeastWork::Node LeastWork::NodeOf(const Key& key) const {
  Node node;
  node.Clear();
  if (key.work == 0) {
    node.idle_slow = key.slow;
  } else if (key.work < kNone) {
    node.busy[0] = key.work;
    double asked = usual_ / 4;
    for (std::size_t c = 1; c + 1 < kColumns; ++c, asked *= 2) node.busy[c] = key.work + asked * key.slow;
    node.busy[kColumns - 1] = key.slow;
  }
  return node;
}

void LeastWork::Tighten(std::size_t level, std::size_t node) {
  Node& tight = levels_[level].nodes[node];
  tight.Clear();
  bool loose = false;
  const std::size_t from = node * kFanOut;
  if (level == 0) {
    for (std::size_t i = from; i < std::min(keys_.size(), from + kFanOut); ++i)
      tight.TakeLower(NodeOf(keys_[i]));
  } else {
    const Level& below = levels_[level - 1];
    for (std::size_t n = from; n < std::min(below.size(), from + kFanOut); ++n) {
      tight.TakeLower(below.nodes[n]);
      loose |= below.loose[n] != 0;
    }
  }
  levels_[level].loose[node] = loose;
  if (level + 1 < levels_.size() && node / kFanOut < levels_[level + 1].size())
    levels_[level + 1].loose[node / kFanOut] = 1;
}

}  // namespace kestrelline::fleet

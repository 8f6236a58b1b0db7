// SPDX-License-Identifier: Apache-2.0
#include "fleet/least_work.h"

#include <algorithm>

namespace kestrelline::fleet {
void LeastWork::Resize(std::size_t members) {
  const std::size_t old = keys_.size();
  keys_.resize(members);
  blocks_.resize((members + kWide - 1) / kWide);
  groups_.resize((blocks_.size() + kWide - 1) / kWide);
  block_loose_.resize(blocks_.size(), 1);
  group_loose_.resize(groups_.size(), 1);
  const std::size_t from = std::min(old, members) / kWide;
  for (std::size_t b = from; b < blocks_.size(); ++b) Tighten(b);
  for (std::size_t g = from / kWide; g < groups_.size(); ++g) TightenGroup(g);
}

void LeastWork::Put(Position at, double work, double slow) {
  keys_[at] = {work, slow};
  const std::size_t block = at / kWide, group = block / kWide;
  const Node node = NodeOf(keys_[at]);
  blocks_[block].TakeLower(node);
  groups_[group].TakeLower(node);
  block_loose_[block] = group_loose_[group] = 1;
}

void LeastWork::TakeOut(Position at) {
  keys_[at] = Key();
  block_loose_[at / kWide] = group_loose_[at / kWide / kWide] = 1;
}

void LeastWork::Rescale(double factor, double usual) {
  usual_ = std::max(usual, 1e-9);
  for (Key& key : keys_) key.slow *= factor;
  for (std::size_t b = 0; b < blocks_.size(); ++b) Tighten(b);
  for (std::size_t g = 0; g < groups_.size(); ++g) TightenGroup(g);
}

bool LeastWork::Sound() const {
  const auto bounds = [](const Node& node, const Node& what) {
    if (node.idle_slow > what.idle_slow) return false;
    for (std::size_t c = 0; c < kColumns; ++c) {
      if (node.busy[c] > what.busy[c]) return false;
    }
    return true;
  };
  for (std::size_t i = 0; i < keys_.size(); ++i) {
    const Node& block = blocks_[i / kWide];
    if (!bounds(block, NodeOf(keys_[i])) || !bounds(groups_[i / kWide / kWide], block)) return false;
  }
  return true;
}

LeastWork::Weights LeastWork::WeightsOf(double asked) const {
  const double first = usual_ / 4;
  double low = 0, high = first;
  std::size_t column = 0;
  while (asked > high && column + 2 < kColumns - 1) ++column, low = high, high *= 2;
  // Past the last value the bound goes on with the least slope that there is.
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

void LeastWork::Tighten(std::size_t block) {
  Node& node = blocks_[block];
  node.Clear();
  const std::size_t to = std::min(keys_.size(), (block + 1) * kWide);
  for (std::size_t i = block * kWide; i < to; ++i) node.TakeLower(NodeOf(keys_[i]));
  block_loose_[block] = 0;
  group_loose_[block / kWide] = 1;
}

void LeastWork::TightenGroup(std::size_t group) {
  Node& node = groups_[group];
  node.Clear();
  bool loose = false;
  for (std::size_t b = group * kWide; b < BlocksEnd(group); ++b) {
    node.TakeLower(blocks_[b]);
    loose |= block_loose_[b] != 0;
  }
  group_loose_[group] = loose;
}

}  // namespace kestrelline::fleet

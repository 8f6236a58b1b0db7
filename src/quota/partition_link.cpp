// SPDX-License-Identifier: Apache-2.0
#include "quota/partition_link.h"

#include <cstdio>
#include <utility>

#include "management/metrics.h"

namespace kestrelline::quota {

PartitionLink::PartitionLink(peers::Link& peers, int configured, std::vector<ClassPartition> classes,
                             std::vector<std::string> names, Hooks hooks)
    : peers_(peers),
      configured_(configured),
      classes_(std::move(classes)),
      names_(std::move(names)),
      hooks_(std::move(hooks)) {
  peers_.OnEvent([this](const peers::Event&) { Update(); });
  Update();
}

void PartitionLink::Update() {
  const peers::Node& node = peers_.node();
  const std::size_t present = node.view().present();
  const PartitionState now = PartitionStateOf(node.connectivity(), present, configured_);
  const PartitionState before = std::exchange(state_, now);
  if (now == before) return;
  std::string line = std::string("partition: ") + NameOf(now) + " (" + std::to_string(present) + " of " +
                     std::to_string(configured_) + ")";
  for (const ClassPartition& partition : classes_) {
    const double limit = LimitOf(partition, now);
    if (limit != LimitOf(partition, before)) hooks_.on_limit(partition.request_class, limit);
    char text[48] = " is served";
    if (limit == 0) std::snprintf(text, sizeof text, " is refused");
    if (limit > 0) std::snprintf(text, sizeof text, " has its part of %.6g a second", limit);
    line += "; " + names_[static_cast<std::size_t>(partition.request_class)] + text;
  }
  hooks_.log(line);
}

std::string PartitionLink::MetricsText() const {
  std::string text = "proxy_partition_situation " + std::to_string(static_cast<int>(state_)) + "\n";
  for (const ClassPartition& partition : classes_) {
    char line[48];
    std::snprintf(line, sizeof line, "\"} %.6g\n", LimitOf(partition, state_));
    text += "proxy_partition_limit{class=\"" +
            management::EscapeLabel(names_[static_cast<std::size_t>(partition.request_class)]) + line;
  }
  return text;
}

}  // namespace kestrelline::quota

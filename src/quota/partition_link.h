// SPDX-License-Identifier: Apache-2.0
//
// Applies the [[partition]] limits in the proxy's event loop: follows the peers' view, and passes each change
// of a limit to the balancer, the log and the figures. Single-threaded.
#ifndef KESTRELLINE_QUOTA_PARTITION_LINK_H_
#define KESTRELLINE_QUOTA_PARTITION_LINK_H_

#include <functional>
#include <string>
#include <vector>

#include "peers/link.h"
#include "quota/partition.h"

namespace kestrelline::quota {

class PartitionLink {
 public:
  struct Hooks {
    std::function<void(int request_class, double per_s)> on_limit;  // negative: unlimited
    std::function<void(const std::string&)> log;
  };

  // `names`: the names of all classes, by index. `peers` must outlive the link.
  PartitionLink(peers::Link& peers, int configured, std::vector<ClassPartition> classes,
                std::vector<std::string> names, Hooks hooks);
  PartitionLink(const PartitionLink&) = delete;
  PartitionLink& operator=(const PartitionLink&) = delete;

  std::string MetricsText() const;

 private:
  void Update();

  peers::Link& peers_;
  int configured_;
  std::vector<ClassPartition> classes_;
  std::vector<std::string> names_;
  Hooks hooks_;
  PartitionState state_ = PartitionState::kWhole;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_PARTITION_LINK_H_

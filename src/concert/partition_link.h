// SPDX-License-Identifier: Apache-2.0
//
// [[partition]] in the proxy's one thread: it follows the peers' view, and tells the module, the log and the
// figures of each change.
#ifndef KESTRELLINE_CONCERT_PARTITION_LINK_H_
#define KESTRELLINE_CONCERT_PARTITION_LINK_H_

#include <functional>
#include <string>
#include <vector>

#include "concert/partition.h"
#include "peers/link.h"

namespace kestrelline::concert {

class PartitionLink {
 public:
  struct Hooks {
    std::function<void(int request_class, double per_s)> on_limit;  // below 0: none
    std::function<void(const std::string&)> log;
  };

  // `names`: of all classes. `peers` must outlive it.
  PartitionLink(peers::Link& peers, int configured, std::vector<ClassPartition> classes,
                std::vector<std::string> names, Hooks hooks);
  PartitionLink(const PartitionLink&) = delete;
  PartitionLink& operator=(const PartitionLink&) = delete;

  std::string MetricsText() const;

 private:
  void Follow();

  peers::Link& peers_;
  int configured_;
  std::vector<ClassPartition> classes_;
  std::vector<std::string> names_;
  Hooks hooks_;
  Situation situation_ = Situation::kWhole;
};

}  // namespace kestrelline::concert

#endif  // KESTRELLINE_CONCERT_PARTITION_LINK_H_

// SPDX-License-Identifier: Apache-2.0
//
// Limits per request class during a network partition: the [[partition]] sections of the operator's file,
// their validation, and which limit follows from a membership view. No I/O, no clock.
//
// Each side of a partition sees a part of the fleet. The number of configured proxies decides which side goes
// on: at most one of two sides has more than half of them. A view lags behind by the time that it takes to
// detect a partition. So a view alone can't rule out that both sides run something at once; that needs the
// leases of the shares (node.h), by which the rates here are divided.
#ifndef KESTRELLINE_QUOTA_PARTITION_H_
#define KESTRELLINE_QUOTA_PARTITION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "operator/document.h"
#include "peers/connectivity.h"

namespace kestrelline::quota {

// How much of the configured fleet a proxy sees.
enum class PartitionState {
  kWhole,     // no proxy is missing
  kMajority,  // some are missing; it sees more than half of those configured
  kMinority,  // it sees half or less
  kIsolated   // it sees no other proxy
};
inline constexpr std::size_t kPartitionStates = 4;
const char* NameOf(PartitionState state);

// `present`: the number of proxies seen, including this one.
PartitionState PartitionStateOf(peers::Connectivity reading, std::size_t present, int configured);

// What happens to the requests of a class.
enum class PartitionRule {
  kServe,   // all are served
  kWithin,  // a rate limit over all proxies applies, of which this proxy has its share
  kRefuse   // all are refused
};

struct ClassPartition {
  int request_class = 0;
  double per_s = 0;  // for kWithin: requests per second over all proxies
  PartitionRule rules[kPartitionStates] = {};
};

// Limit of a class in requests per second over all proxies; negative: unlimited.
double LimitOf(const ClassPartition& partition, PartitionState state);

// The sections as written, before validation.
struct PartitionSpec {
  struct Row {
    operator_file::Position at;
    std::optional<operator_file::Located<std::string>> name, part, minority, alone;
    std::optional<operator_file::Located<double>> per_s;
  };
  std::vector<Row> rows;
};
inline constexpr double kMaxRequestsPerSecond = 1e6;

operator_file::Section PartitionSection(PartitionSpec* spec);

// What the validation needs to know of the rest of the configuration.
struct PartitionContext {
  bool peers = false;  // the file has a valid [peers] section
  std::vector<std::string> classes;
};
// Returns at most one entry for each class. If anything is invalid, the result is empty and the errors are
// added to `diagnostics`.
std::vector<ClassPartition> Build(const PartitionSpec& spec, const PartitionContext& context,
                                  operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_PARTITION_H_

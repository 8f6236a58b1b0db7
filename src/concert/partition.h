// SPDX-License-Identifier: Apache-2.0
//
// What each class may do while proxies are missing: [[partition]] of the operator's file, what is checked
// before it holds, and what follows from a view. No I/O, no clock.
//
// Both sides of a cut see a part of the fleet. Which of them goes on is told by the number of those
// configured: of two parts one at most has more than half. A view is late by what it takes to notice a cut:
// what must never run on both sides at once needs the shares' leases, which rates here are divided by.
#ifndef KESTRELLINE_CONCERT_PARTITION_H_
#define KESTRELLINE_CONCERT_PARTITION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "operator/document.h"
#include "peers/reading.h"

namespace kestrelline::concert {

// Of a proxy: nobody is missing; some are, and it sees more than half of those configured; half or less;
// nobody.
enum class Situation { kWhole, kPart, kMinority, kAlone };
inline constexpr std::size_t kSituations = 4;
const char* NameOf(Situation situation);

// `present`: those seen, this one included.
Situation SituationOf(peers::Reading reading, std::size_t present, int configured);

// What a class may do: all; so many requests a second as all proxies may take together, this one its part
// (Share); nothing.
enum class Leave { kServe, kWithin, kRefuse };

struct ClassPartition {
  int request_class = 0;
  double per_s = 0;  // of kWithin, over all proxies
  Leave leave[kSituations] = {};
};

// The requests of a class that all proxies may take together, a second; below 0: any number.
double LimitOf(const ClassPartition& c, Situation situation);

// As worded.
struct PartitionSpec {
  struct Row {
    operator_file::Position at;
    std::optional<operator_file::Located<std::string>> name, part, minority, alone;
    std::optional<operator_file::Located<double>> per_s;
  };
  std::vector<Row> rows;
};
inline constexpr double kMostPerSecond = 1e6;

operator_file::Section PartitionSection(PartitionSpec* spec);

struct PartitionAround {
  bool peers = false;  // there is a [peers]
  std::vector<std::string> classes;
};
// By class, one at most for each. With the reasons in `diagnostics`, empty where something is not right.
std::vector<ClassPartition> Build(const PartitionSpec& spec, const PartitionAround& around,
                                  operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::concert

#endif  // KESTRELLINE_CONCERT_PARTITION_H_

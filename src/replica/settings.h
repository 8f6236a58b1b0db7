// SPDX-License-Identifier: Apache-2.0
//
// [replica] of the operator's file, and what is checked before it holds.
#ifndef KESTRELLINE_REPLICA_SETTINGS_H_
#define KESTRELLINE_REPLICA_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "operator/document.h"
#include "replica/entry.h"

namespace kestrelline::replica {

// Some bytes that an entry takes, all that finds it included.
inline constexpr std::size_t kEntryBytes = 320;

struct Settings {
  int claim = -1;  // of keyed requests whose route says nothing; as RouteLimits::claim
  Span within = std::chrono::milliseconds(20);  // a claim that waits
  bool send_unmet = false;      // what a claim was not known widely enough for is sent all the same
  Span ready_within = Span(0);  // a start waits for so long for what others know, at most; 0: not at all
  std::size_t entries = 100000;
  std::uint64_t bytes_per_s = 4 << 20;
};

// As worded.
struct Spec {
  bool there = false;
  operator_file::Position at;
  std::optional<operator_file::Located<std::string>> claim, unmet;
  std::optional<operator_file::Located<operator_file::Milliseconds>> within, ready_within;
  std::optional<operator_file::Located<std::int64_t>> entries, bytes_per_s;
};

operator_file::Section ReplicaSection(Spec* spec);

struct Around {
  bool peers = false;                              // there is a [peers]
  std::optional<operator_file::Position> claimed;  // where a route, a class or the defaults say `claim`
  double memory_mb = 0;                            // of the process
};
// Nothing where there is no section, or, with the reasons in `diagnostics`, where it is not right.
std::optional<Settings> Build(const Spec& spec, const Around& around,
                              operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_SETTINGS_H_

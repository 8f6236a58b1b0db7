// SPDX-License-Identifier: Apache-2.0
//
// The [replica] section of the operator's file: its settings and their validation.
#ifndef KESTRELLINE_REPLICA_SETTINGS_H_
#define KESTRELLINE_REPLICA_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "operator/document.h"
#include "replica/entry.h"

namespace kestrelline::replica {

// Approximate memory of one entry in bytes, including its indexes.
inline constexpr std::size_t kEntryBytes = 320;

struct Settings {
  // Mode of keyed requests whose route has none of its own; as RouteLimits::claim.
  int claim = -1;
  Span within = std::chrono::milliseconds(20);  // timeout of a claim that waits for confirmation
  bool send_unmet = false;  // send requests whose claim was not confirmed in time, instead of refusing them
  // How long a starting proxy waits to catch up with the others before it reports ready; 0: not at all.
  Span ready_within = Span(0);
  std::size_t entries = 100000;         // maximum number of entries held
  std::uint64_t bytes_per_s = 4 << 20;  // maximum rate of bytes sent, apart from claims that wait
};

// The section as written, before validation.
struct Spec {
  bool present = false;
  operator_file::Position at;
  std::optional<operator_file::Located<std::string>> claim, unmet;
  std::optional<operator_file::Located<operator_file::Milliseconds>> within, ready_within;
  std::optional<operator_file::Located<std::int64_t>> entries, bytes_per_s;
};

operator_file::Section ReplicaSection(Spec* spec);

// What the validation needs to know of the rest of the configuration.
struct BuildContext {
  bool peers = false;  // the file has a valid [peers] section
  // Position of a `claim` setting of a route, a class or the defaults.
  std::optional<operator_file::Position> claim_position;
  double memory_mb = 0;  // memory limit of the process; 0: unknown
};
// Returns nothing if there is no section, or if it is invalid; the errors are added to `diagnostics` then.
std::optional<Settings> Build(const Spec& spec, const BuildContext& context,
                              operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_SETTINGS_H_

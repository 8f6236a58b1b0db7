// SPDX-License-Identifier: Apache-2.0
#include "replica/settings.h"

#include <algorithm>
#include <array>

#include "operator/values.h"
#include "routing/limits.h"

namespace kestrelline::replica {
namespace {

using operator_file::Diagnostics;
using operator_file::Kind;
using operator_file::TableReader;

constexpr std::array kKeys{
    operator_file::Key{
        "claim", Kind::kText,
        "What others know of a keyed request before it is sent: none, tell, or wait K; routes go "
        "first."},
    operator_file::Key{"claim_within", Kind::kDuration,
                       "For how long a request waits for that; 20ms without it."},
    operator_file::Key{"claim_unmet", Kind::kText,
                       "What becomes of one that waited in vain: refuse, or send; refuse without it."},
    operator_file::Key{"ready_within", Kind::kDuration,
                       "For how long a start says no until it has what others know; not at all without it."},
    operator_file::Key{"entries", Kind::kWhole,
                       "The most entries held; 100000 without it, and an eighth of the memory at most."},
    operator_file::Key{"bytes_per_second", Kind::kWhole,
                       "The most sent, claims that wait apart; 4194304 without it."},
};

constexpr operator_file::Milliseconds kLeastWithin{1}, kMostWithin{1000};
constexpr operator_file::Milliseconds kLeastReady{100}, kMostReady{20000};  // platforms give a start 30 s
constexpr std::int64_t kLeastEntries = 1000, kMostEntries = 4000000;
constexpr double kMostOfMemory = 0.5, kOfMemory = 0.125;  // the latter where nothing is said

// Of two words the second is meant by true.
bool Chosen(const std::optional<operator_file::At<std::string>>& text, const char* no, const char* yes,
            bool otherwise, Diagnostics* d) {
  if (!text) return otherwise;
  if (text->value != no && text->value != yes)
    d->Add(text->at, "replica", "'" + text->value + "' is neither " + no + " nor " + yes);
  return text->value == yes;
}

}  // namespace

operator_file::Section ReplicaSection(Spec* spec) {
  return {{"replica", Kind::kTable, "What proxies share: [replica]; needs [peers]."},
          [spec](const TableReader& top, Diagnostics* diagnostics) {
            const toml::table* table = top.Table("replica");
            if (!table) return;
            const TableReader reader(*table, "replica", kKeys, diagnostics);
            spec->there = true;
            spec->at = reader.at();
            spec->claim = reader.Text("claim");
            spec->within = reader.Duration("claim_within");
            spec->ready_within = reader.Duration("ready_within");
            spec->unmet = reader.Text("claim_unmet");
            spec->entries = reader.Whole("entries", kLeastEntries, kMostEntries);
            spec->bytes_per_s = reader.Whole("bytes_per_second", 10000, 1 << 30);
          }};
}

std::optional<Settings> Build(const Spec& spec, const Around& around, Diagnostics* d) {
  if (!spec.there) {
    if (around.claimed) d->Add(*around.claimed, "replica", "claim needs a [replica], which is not there");
    return std::nullopt;
  }
  if (!around.peers) d->Add(spec.at, "replica", "[replica] needs [peers], which is not there or not right");
  Settings s;
  if (spec.claim) {
    const auto claim = routing::ParseClaim(spec.claim->value);
    if (!claim)
      d->Add(spec.claim->at, "claim",
             "claim is '" + spec.claim->value + "'; accepted are none, tell, and wait 1 to wait " +
                 std::to_string(routing::kMaxAcknowledgements));
    s.claim = claim.value_or(-1);
  }
  if (spec.within) {
    if (spec.within->value < kLeastWithin || spec.within->value > kMostWithin)
      d->Add(spec.within->at, "range", "1ms to 1s is accepted");
    s.within = std::chrono::duration_cast<Span>(spec.within->value);
  }
  if (spec.ready_within) {
    if (spec.ready_within->value < kLeastReady || spec.ready_within->value > kMostReady)
      d->Add(spec.ready_within->at, "range", "100ms to 20s is accepted");
    s.ready_within = std::chrono::duration_cast<Span>(spec.ready_within->value);
  }
  s.send_unmet = Chosen(spec.unmet, "refuse", "send", s.send_unmet, d);
  if (spec.entries) {
    s.entries = static_cast<std::size_t>(spec.entries->value);
  } else if (around.memory_mb > 0) {
    s.entries =
        std::min(s.entries, static_cast<std::size_t>(kOfMemory * around.memory_mb * 1e6 / kEntryBytes));
  }
  if (spec.bytes_per_s) s.bytes_per_s = static_cast<std::uint64_t>(spec.bytes_per_s->value);
  const double needed = static_cast<double>(s.entries * kEntryBytes) / 1e6;
  if (around.memory_mb > 0 && needed > kMostOfMemory * around.memory_mb)
    d->Add(
        spec.entries ? spec.entries->at : spec.at, "memory",
        std::to_string(s.entries) + " entries take up to " + std::to_string(static_cast<int>(needed)) +
            " MB, over half of this process's memory; " +
            std::to_string(static_cast<std::size_t>(kMostOfMemory * around.memory_mb * 1e6 / kEntryBytes)) +
            " are accepted");
  if (!d->ok()) return std::nullopt;
  return s;
}

}  // namespace kestrelline::replica

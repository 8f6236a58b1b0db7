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
        "What other proxies are told of a keyed request before it is sent: none, tell, or wait K; a "
        "route's own setting takes precedence."},
    operator_file::Key{"claim_within", Kind::kDuration, "Timeout of a claim that waits; default 20ms."},
    operator_file::Key{"claim_unmet", Kind::kText,
                       "What to do with a request whose claim timed out: refuse, or send; default refuse."},
    operator_file::Key{"ready_within", Kind::kDuration,
                       "How long a starting proxy is not ready until it has caught up; default not at all."},
    operator_file::Key{"entries", Kind::kInteger,
                       "Maximum number of entries; default 100000, within an eighth of the memory."},
    operator_file::Key{"bytes_per_second", Kind::kInteger,
                       "Maximum bytes sent per second, apart from claims that wait; default 4194304."},
};

constexpr operator_file::Milliseconds kMinWithin{1}, kMaxWithin{1000};
constexpr operator_file::Milliseconds kMinReady{100}, kMaxReady{20000};  // platforms allow 30 s for a start
constexpr std::int64_t kMinEntries = 1000, kMaxEntries = 4000000;
constexpr double kMaxMemoryPart = 0.5,
                 kDefaultMemoryPart = 0.125;  // the latter applies without an `entries` setting

// Reads one of two values, of which `yes` means true.
bool ParseChoice(const std::optional<operator_file::Located<std::string>>& text, const char* no,
                 const char* yes, bool otherwise, Diagnostics* diagnostics) {
  if (!text) return otherwise;
  if (text->value != no && text->value != yes)
    diagnostics->Add(text->at, "replica", "'" + text->value + "' is neither " + no + " nor " + yes);
  return text->value == yes;
}

}  // namespace

operator_file::Section ReplicaSection(Spec* spec) {
  return {{"replica", Kind::kTable, "Replication of request claims among proxies: [replica]; needs [peers]."},
          [spec](const TableReader& top, Diagnostics* diagnostics) {
            const toml::table* table = top.Table("replica");
            if (!table) return;
            const TableReader reader(*table, "replica", kKeys, diagnostics);
            spec->present = true;
            spec->at = reader.at();
            spec->claim = reader.Text("claim");
            spec->within = reader.Duration("claim_within");
            spec->ready_within = reader.Duration("ready_within");
            spec->unmet = reader.Text("claim_unmet");
            spec->entries = reader.Integer("entries", kMinEntries, kMaxEntries);
            spec->bytes_per_s = reader.Integer("bytes_per_second", 10000, 1 << 30);
          }};
}

std::optional<Settings> Build(const Spec& spec, const BuildContext& context, Diagnostics* diagnostics) {
  if (!spec.present) {
    if (context.claim_position)
      diagnostics->Add(*context.claim_position, "replica", "claim needs a [replica], which is missing");
    return std::nullopt;
  }
  if (!context.peers)
    diagnostics->Add(spec.at, "replica", "[replica] needs [peers], which is missing or invalid");
  Settings settings;
  if (spec.claim) {
    const auto claim = routing::ParseClaim(spec.claim->value);
    if (!claim)
      diagnostics->Add(spec.claim->at, "claim",
                       "claim is '" + spec.claim->value + "'; accepted are none, tell, and wait 1 to wait " +
                           std::to_string(routing::kMaxAcknowledgements));
    settings.claim = claim.value_or(-1);
  }
  if (spec.within) {
    if (spec.within->value < kMinWithin || spec.within->value > kMaxWithin)
      diagnostics->Add(spec.within->at, "range", "1ms to 1s is accepted");
    settings.within = std::chrono::duration_cast<Span>(spec.within->value);
  }
  if (spec.ready_within) {
    if (spec.ready_within->value < kMinReady || spec.ready_within->value > kMaxReady)
      diagnostics->Add(spec.ready_within->at, "range", "100ms to 20s is accepted");
    settings.ready_within = std::chrono::duration_cast<Span>(spec.ready_within->value);
  }
  settings.send_unmet = ParseChoice(spec.unmet, "refuse", "send", settings.send_unmet, diagnostics);
  if (spec.entries) {
    settings.entries = static_cast<std::size_t>(spec.entries->value);
  } else if (context.memory_mb > 0) {
    settings.entries =
        std::min(settings.entries,
                 static_cast<std::size_t>(kDefaultMemoryPart * context.memory_mb * 1e6 / kEntryBytes));
  }
  if (spec.bytes_per_s) settings.bytes_per_s = static_cast<std::uint64_t>(spec.bytes_per_s->value);
  const double needed = static_cast<double>(settings.entries * kEntryBytes) / 1e6;
  if (context.memory_mb > 0 && needed > kMaxMemoryPart * context.memory_mb)
    diagnostics->Add(
        spec.entries ? spec.entries->at : spec.at, "memory",
        std::to_string(settings.entries) + " entries take up to " + std::to_string(static_cast<int>(needed)) +
            " MB, over half of this process's memory; " +
            std::to_string(static_cast<std::size_t>(kMaxMemoryPart * context.memory_mb * 1e6 / kEntryBytes)) +
            " are accepted");
  if (!diagnostics->ok()) return std::nullopt;
  return settings;
}

}  // namespace kestrelline::replica

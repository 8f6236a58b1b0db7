// SPDX-License-Identifier: Apache-2.0
#include "quota/partition.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "operator/values.h"

namespace kestrelline::quota {
namespace {

using operator_file::Diagnostics;
using operator_file::Kind;
using operator_file::Located;
using operator_file::Position;
using operator_file::TableReader;

constexpr std::array kKeys{
    operator_file::Key{"class", Kind::kText, "The class, by its name in the platform's settings.", true},
    operator_file::Key{"part", Kind::kText,
                       "While some proxies are missing and this one sees more than half: serve, within or "
                       "refuse; default serve."},
    operator_file::Key{"minority", Kind::kText, "While it sees half or less; default as part."},
    operator_file::Key{"alone", Kind::kText, "While it sees no other proxy; default as minority."},
    operator_file::Key{"rate", Kind::kNumber,
                       "For within: requests per second over all proxies; each takes its share."},
};

PartitionRule RuleOf(const std::optional<Located<std::string>>& text, PartitionRule otherwise,
                     Diagnostics* diagnostics) {
  constexpr const char* kRuleNames[] = {"serve", "within", "refuse"};
  if (!text) return otherwise;
  const auto name = std::find(std::begin(kRuleNames), std::end(kRuleNames), text->value);
  if (name != std::end(kRuleNames)) return static_cast<PartitionRule>(name - std::begin(kRuleNames));
  diagnostics->Add(text->at, "partition",
                   "'" + text->value + "' is no rule; accepted are serve, within and refuse");
  return otherwise;
}

}  // namespace

const char* NameOf(PartitionState state) {
  constexpr const char* kNames[kPartitionStates] = {"whole", "part", "minority", "alone"};
  return kNames[static_cast<std::size_t>(state)];
}

PartitionState PartitionStateOf(peers::Connectivity reading, std::size_t present, int configured) {
  if (reading == peers::Connectivity::kWhole) return PartitionState::kWhole;
  if (reading == peers::Connectivity::kAlone || present <= 1) return PartitionState::kIsolated;
  return 2 * present > static_cast<std::size_t>(std::max(configured, 0)) ? PartitionState::kMajority
                                                                         : PartitionState::kMinority;
}

double LimitOf(const ClassPartition& partition, PartitionState state) {
  const PartitionRule rule = partition.rules[static_cast<std::size_t>(state)];
  return rule == PartitionRule::kServe ? -1 : rule == PartitionRule::kWithin ? partition.per_s : 0;
}

operator_file::Section PartitionSection(PartitionSpec* spec) {
  return {{"partition", Kind::kTables,
           "Limits of a class while proxies are missing: [[partition]]; needs [peers]."},
          [spec](const TableReader& top, Diagnostics* diagnostics) {
            top.Tables("partition", [&](const toml::table& table, Position) {
              const TableReader reader(table, "partition", kKeys, diagnostics);
              spec->rows.push_back({reader.at(), reader.Text("class"), reader.Text("part"),
                                    reader.Text("minority"), reader.Text("alone"),
                                    reader.Number("rate", 0, kMaxRequestsPerSecond)});
            });
          }};
}

std::vector<ClassPartition> Build(const PartitionSpec& spec, const PartitionContext& context,
                                  Diagnostics* diagnostics) {
  std::vector<ClassPartition> all;
  for (const PartitionSpec::Row& row : spec.rows) {
    if (!context.peers)
      diagnostics->Add(row.at, "partition", "[[partition]] needs [peers], which is missing or invalid");
    if (!row.name) continue;
    const auto found = std::find(context.classes.begin(), context.classes.end(), row.name->value);
    if (found == context.classes.end()) {
      diagnostics->Add(row.name->at, "class", "there is no class '" + row.name->value + "'");
      continue;
    }
    ClassPartition partition;
    partition.request_class = static_cast<int>(found - context.classes.begin());
    if (std::any_of(all.begin(), all.end(),
                    [&](const auto& other) { return other.request_class == partition.request_class; }))
      diagnostics->Add(row.name->at, "partition", "'" + row.name->value + "' has a [[partition]] already");
    PartitionRule rule = PartitionRule::kServe;  // a state without a rule has that of the milder state
    const std::optional<Located<std::string>>* texts[] = {&row.part, &row.minority, &row.alone};
    bool within = false;
    for (std::size_t i = 0; i < std::size(texts); ++i) {
      rule = RuleOf(*texts[i], rule, diagnostics);
      within |= rule == PartitionRule::kWithin;
      partition.rules[i + 1] = rule;
    }
    if (within && !row.per_s) diagnostics->Add(row.at, "partition", "within needs a rate");
    if (!within && row.per_s)
      diagnostics->Add(row.per_s->at, "partition", "a rate has no effect without within");
    if (row.per_s) partition.per_s = row.per_s->value;
    all.push_back(partition);
  }
  return diagnostics->ok() ? all : std::vector<ClassPartition>();
}

}  // namespace kestrelline::quota

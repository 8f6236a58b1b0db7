// SPDX-License-Identifier: Apache-2.0
#include "concert/partition.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "operator/values.h"

namespace kestrelline::concert {
namespace {

using operator_file::Diagnostics;
using operator_file::Kind;
using operator_file::Located;
using operator_file::Position;
using operator_file::TableReader;

constexpr std::array kKeys{
    operator_file::Key{"class", Kind::kText, "The class, as the platform's settings name it.", true},
    operator_file::Key{"part", Kind::kText,
                       "While some proxies are missing and this one sees more than half: serve, within or "
                       "refuse; serve without it."},
    operator_file::Key{"minority", Kind::kText, "While it sees half or less; as part without it."},
    operator_file::Key{"alone", Kind::kText, "While it sees nobody; as minority without it."},
    operator_file::Key{
        "rate", Kind::kNumber,
        "Of within: requests a second that all proxies may take together; each takes its part."},
};

Leave LeaveOf(const std::optional<Located<std::string>>& text, Leave otherwise, Diagnostics* d) {
  constexpr const char* kWords[] = {"serve", "within", "refuse"};
  if (!text) return otherwise;
  const auto word = std::find(std::begin(kWords), std::end(kWords), text->value);
  if (word != std::end(kWords)) return static_cast<Leave>(word - std::begin(kWords));
  d->Add(text->at, "partition", "'" + text->value + "' is no leave; accepted are serve, within and refuse");
  return otherwise;
}

}  // namespace

const char* NameOf(Situation situation) {
  constexpr const char* kNames[kSituations] = {"whole", "part", "minority", "alone"};
  return kNames[static_cast<std::size_t>(situation)];
}

Situation SituationOf(peers::Reading reading, std::size_t present, int configured) {
  if (reading == peers::Reading::kWhole) return Situation::kWhole;
  if (reading == peers::Reading::kAlone || present <= 1) return Situation::kAlone;
  return 2 * present > static_cast<std::size_t>(std::max(configured, 0)) ? Situation::kPart
                                                                         : Situation::kMinority;
}

double LimitOf(const ClassPartition& c, Situation situation) {
  const Leave leave = c.leave[static_cast<std::size_t>(situation)];
  return leave == Leave::kServe ? -1 : leave == Leave::kWithin ? c.per_s : 0;
}

operator_file::Section PartitionSection(PartitionSpec* spec) {
  return {{"partition", Kind::kTables,
           "What a class may do while proxies are missing: [[partition]]; needs [peers]."},
          [spec](const TableReader& top, Diagnostics* diagnostics) {
            top.Tables("partition", [&](const toml::table& table, Position) {
              const TableReader reader(table, "partition", kKeys, diagnostics);
              spec->rows.push_back({reader.at(), reader.Text("class"), reader.Text("part"),
                                    reader.Text("minority"), reader.Text("alone"),
                                    reader.Number("rate", 0, kMostPerSecond)});
            });
          }};
}

std::vector<ClassPartition> Build(const PartitionSpec& spec, const PartitionAround& around, Diagnostics* d) {
  std::vector<ClassPartition> all;
  for (const PartitionSpec::Row& row : spec.rows) {
    if (!around.peers)
      d->Add(row.at, "partition", "[[partition]] needs [peers], which is not there or not right");
    if (!row.name) continue;
    const auto found = std::find(around.classes.begin(), around.classes.end(), row.name->value);
    if (found == around.classes.end()) {
      d->Add(row.name->at, "class", "there is no class '" + row.name->value + "'");
      continue;
    }
    ClassPartition c;
    c.request_class = static_cast<int>(found - around.classes.begin());
    if (std::any_of(all.begin(), all.end(),
                    [&](const auto& o) { return o.request_class == c.request_class; }))
      d->Add(row.name->at, "partition", "'" + row.name->value + "' has a [[partition]] already");
    Leave leave = Leave::kServe;
    const std::optional<Located<std::string>>* words[] = {&row.part, &row.minority, &row.alone};
    bool within = false;
    for (std::size_t i = 0; i < std::size(words); ++i) {
      leave = LeaveOf(*words[i], leave, d);
      within |= leave == Leave::kWithin;
      c.leave[i + 1] = leave;
    }
    if (within && !row.per_s) d->Add(row.at, "partition", "within needs a rate");
    if (!within && row.per_s) d->Add(row.per_s->at, "partition", "a rate says nothing without within");
    if (row.per_s) c.per_s = row.per_s->value;
    all.push_back(c);
  }
  return d->ok() ? all : std::vector<ClassPartition>();
}

}  // namespace kestrelline::concert

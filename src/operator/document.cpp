// SPDX-License-Identifier: Apache-2.0
#include "operator/document.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace kestrelline::operator_file {
namespace {

constexpr std::size_t kMaxKeys = 100000;  // at the top level of the file
constexpr std::size_t kMaxDots = 64;      // in one key

Position PositionOf(const toml::source_region& region) {
  return {static_cast<std::uint32_t>(region.begin.line), static_cast<std::uint32_t>(region.begin.column)};
}

// The entries of a table in the order of the file; the library sorts them by key.
std::vector<std::pair<const toml::key*, const toml::node*>> InOrder(const toml::table& table) {
  std::vector<std::pair<const toml::key*, const toml::node*>> entries;
  for (const auto& [key, node] : table) entries.emplace_back(&key, &node);
  std::stable_sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
    return PositionOf(a.first->source()) < PositionOf(b.first->source());
  });
  return entries;
}

std::string_view TypeOf(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a text";
    case toml::node_type::integer:
      return "a whole number";
    case toml::node_type::floating_point:
      return "a number";
    case toml::node_type::boolean:
      return "true or false";
    default:
      return "a date or time";
  }
}

// The array if all its elements are tables, otherwise null.
const toml::array* TablesOf(const toml::node& node) {
  const auto* array = node.as_array();
  return array && std::all_of(array->begin(), array->end(), [](const auto& n) { return n.is_table(); })
             ? array
             : nullptr;
}

// The position at which a key has more than kMaxDots dots. Each dot of a key is a nested table, which the
// library handles by recursion: a key with a million dots would overflow the stack. The check does not parse
// strings, so it also rejects strings of names with that many dots; no valid file has any.
std::optional<Position> TooManyDots(std::string_view text) {
  Position at{1, 1};
  std::size_t dots = 0;
  char previous = '\n';
  for (const char c : text) {
    const bool part_of_key = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                             c == '_' || c == '-' || c == '"' || c == '\'' || c == ' ' || c == '\t';
    if (c == '.') {
      dots = previous == '.' ? 0 : dots + 1;
      if (dots > kMaxDots) return at;
    } else if (!part_of_key) {
      dots = 0;
    }
    previous = c;
    at = c == '\n' ? Position{at.line + 1, 1} : Position{at.line, at.column + 1};
  }
  return std::nullopt;
}

}  // namespace

std::string TypeName(Kind kind) {
  switch (kind) {
    case Kind::kText:
      return "text";
    case Kind::kTexts:
      return "text or array of texts";
    case Kind::kDuration:
      return "duration";
    case Kind::kDurationOrZero:
      return "duration or \"0ms\"";
    case Kind::kPercentage:
      return "share";
    case Kind::kInteger:
      return "whole number";
    case Kind::kNumber:
      return "number";
    case Kind::kTable:
      return "table";
    case Kind::kTables:
      return "array of tables";
  }
  return "";
}

TableReader::TableReader(const toml::table& table, std::string name, std::span<const Key> keys,
                         Diagnostics* diagnostics)
    : table_(table), name_(std::move(name)), keys_(keys), diagnostics_(diagnostics) {
  std::size_t known_keys = 0;
  for (const Key& key : keys_) {
    if (table_.contains(key.name)) {
      ++known_keys;
    } else if (key.required) {
      diagnostics_->Add(
          at(), "missing",
          name_ + " has no key '" + std::string(key.name) + "', which is needed: " + TypeName(key.kind));
    }
  }
  if (known_keys == table_.size()) return;
  std::vector<std::string_view> names;
  for (const Key& key : keys_) names.push_back(key.name);
  for (const auto& [key, node] : table_) {
    if (std::find(names.begin(), names.end(), key.str()) != names.end()) continue;
    const std::string nearest = diagnostics_->Nearest(key.str(), names);
    diagnostics_->Add(
        PositionOf(key.source()), "unknown-key",
        "no key '" + std::string(key.str().substr(0, 60)) + "' in " + name_ + "; " +
            (nearest.empty() ? "accepted are " + JoinNames(names) : "did you mean '" + nearest + "'?"));
  }
}

Position TableReader::at() const { return PositionOf(table_.source()); }

Position TableReader::at(std::string_view key) const {
  const toml::node* node = Find(key);
  return node ? PositionOf(node->source()) : at();
}

const toml::node* TableReader::Find(std::string_view key) const { return table_.get(key); }

void TableReader::ReportType(const toml::node& node, std::string_view key, const std::string& problem) const {
  diagnostics_->Add(PositionOf(node.source()), "type", name_ + '.' + std::string(key) + ' ' + problem);
}

std::optional<Located<std::string>> TableReader::Text(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto* text = node->as_string();
  if (!text || text->get().empty()) {
    ReportType(*node, key, text ? "is empty" : "is " + std::string(TypeOf(*node)) + "; a text is accepted");
    return std::nullopt;
  }
  return Located<std::string>{text->get(), PositionOf(node->source())};
}

std::optional<Located<std::vector<Located<std::string>>>> TableReader::Texts(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  Located<std::vector<Located<std::string>>> texts;
  texts.at = PositionOf(node->source());
  if (node->is_string()) {
    auto text = Text(key);
    if (!text) return std::nullopt;
    texts.value.push_back(std::move(*text));
    return texts;
  }
  const auto* array = node->as_array();
  if (!array) {
    ReportType(*node, key, "is " + std::string(TypeOf(*node)) + "; a text or an array of texts is accepted");
    return std::nullopt;
  }
  bool valid = true;
  for (const auto& item : *array) {
    const auto* text = item.as_string();
    if (!text || text->get().empty()) {
      ReportType(
          item, key,
          text ? "holds an empty text" : "holds " + std::string(TypeOf(item)) + "; texts are accepted");
      valid = false;
      continue;
    }
    texts.value.push_back({text->get(), PositionOf(item.source())});
  }
  return valid ? std::optional(std::move(texts)) : std::nullopt;
}

std::optional<Located<Milliseconds>> TableReader::Duration(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  std::string why;
  if (const auto* text = node->as_string()) {
    const auto* description = &*std::find_if(keys_.begin(), keys_.end(),
                                             [&](const Key& candidate) { return candidate.name == key; });
    const auto value = ParseDuration(text->get(), description->kind == Kind::kDurationOrZero, &why);
    if (value) return Located<Milliseconds>{*value, PositionOf(node->source())};
  } else if (node->is_number()) {
    why = "has no unit: a duration is a text such as \"250ms\" or \"1.5s\"";
  } else {
    why = "is " + std::string(TypeOf(*node)) + "; a duration such as \"250ms\" is accepted";
  }
  diagnostics_->Add(PositionOf(node->source()), "duration", name_ + '.' + std::string(key) + ' ' + why);
  return std::nullopt;
}

std::optional<Located<double>> TableReader::Percentage(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  std::string why = "is " + std::string(TypeOf(*node)) + "; a share such as \"20%\" is accepted";
  if (const auto* text = node->as_string()) {
    if (const auto value = ParsePercentage(text->get(), &why))
      return Located<double>{*value, PositionOf(node->source())};
  }
  diagnostics_->Add(PositionOf(node->source()), "share", name_ + '.' + std::string(key) + ' ' + why);
  return std::nullopt;
}

std::optional<Located<std::int64_t>> TableReader::Integer(std::string_view key, std::int64_t min,
                                                          std::int64_t max) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto* integer = node->as_integer();
  if (!integer) {
    ReportType(*node, key, "is " + std::string(TypeOf(*node)) + "; a whole number is accepted");
    return std::nullopt;
  }
  if (integer->get() < min || integer->get() > max) {
    diagnostics_->Add(PositionOf(node->source()), "range",
                      name_ + '.' + std::string(key) + " is " + std::to_string(integer->get()) + "; " +
                          std::to_string(min) + " to " + std::to_string(max) + " is accepted");
    return std::nullopt;
  }
  return Located<std::int64_t>{integer->get(), PositionOf(node->source())};
}

std::optional<Located<double>> TableReader::Number(std::string_view key, double min, double max) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  if (!node->is_number()) {
    ReportType(*node, key, "is " + std::string(TypeOf(*node)) + "; a number is accepted");
    return std::nullopt;
  }
  const double value = node->value<double>().value_or(min - 1);
  if (!(value >= min && value <= max)) {
    char range[96];
    std::snprintf(range, sizeof range, " is %g; %g to %g is accepted", value, min, max);
    diagnostics_->Add(PositionOf(node->source()), "range", name_ + '.' + std::string(key) + range);
    return std::nullopt;
  }
  return Located<double>{value, PositionOf(node->source())};
}

const toml::table* TableReader::Table(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return nullptr;
  if (!node->is_table()) ReportType(*node, key, "is " + std::string(TypeOf(*node)) + "; a table is accepted");
  return node->as_table();
}

void TableReader::Tables(std::string_view key,
                         const std::function<void(const toml::table&, Position)>& each) const {
  const toml::node* node = Find(key);
  if (!node) return;
  const auto* tables = TablesOf(*node);
  if (!tables) return ReportType(*node, key, "must be an array of tables: [[" + std::string(key) + "]]");
  for (const auto& item : *tables) each(*item.as_table(), PositionOf(item.source()));
}

void TableReader::ForEachTable(
    std::string_view key,
    const std::function<void(const Located<std::string>& name, const toml::table&)>& each) const {
  const toml::table* tables = Table(key);
  if (!tables) return;
  for (const auto& [name, node] : InOrder(*tables)) {
    if (const auto* table = node->as_table()) {
      each({std::string(name->str()), PositionOf(name->source())}, *table);
    } else {
      ReportType(*node, std::string(key) + '.' + std::string(name->str()),
                 "is " + std::string(TypeOf(*node)) + "; a table is accepted");
    }
  }
}

void TableReader::ForEachText(
    std::string_view key,
    const std::function<void(const Located<std::string>&, const Located<std::string>&)>& each) const {
  const toml::table* pairs = Table(key);
  if (!pairs) return;
  for (const auto& [name, node] : InOrder(*pairs)) {
    if (const auto* text = node->as_string()) {
      each({std::string(name->str()), PositionOf(name->source())}, {text->get(), PositionOf(node->source())});
    } else {
      ReportType(*node, std::string(key) + '.' + std::string(name->str()),
                 "is " + std::string(TypeOf(*node)) + "; a text is accepted");
    }
  }
}

bool ReadDocument(std::string_view text, std::span<const Section> sections, Diagnostics* diagnostics) {
  if (text.find_first_not_of(" \t\r\n") == std::string_view::npos) {
    diagnostics->Add({}, "empty", "holds nothing; `version = 1` is the least that is accepted");
    return false;
  }
  if (const auto at = TooManyDots(text)) {
    diagnostics->Add(*at, "bound",
                     "a key of more than " + std::to_string(kMaxDots) + " dots; no key needs more than 3");
    return false;
  }
  std::vector<Key> keys{{"version", Kind::kInteger, "The form of this file: 1.", true}};
  for (const Section& section : sections) keys.push_back(section.key);
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    diagnostics->Add(PositionOf(error.source()), "syntax", "is no TOML: " + std::string(error.description()));
    return false;
  }
  if (root.size() > kMaxKeys) {
    diagnostics->Add({}, "size", "holds more than " + std::to_string(kMaxKeys) + " keys");
    return false;
  }
  const TableReader top(root, "the file", keys, diagnostics);
  // The meaning of another version is unknown, so the rest of such a file is not validated.
  const auto version = top.Integer("version", kVersion, kVersion);
  if (!version) return false;
  for (const Section& section : sections) section.read(top, diagnostics);
  return diagnostics->ok();
}

}  // namespace kestrelline::operator_file

// SPDX-License-Identifier: Apache-2.0
#include "operator/document.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace kestrelline::operator_file {
namespace {

constexpr std::size_t kMostKeys = 100000;  // of one table; more are refused
constexpr std::size_t kMostDots = 64;      // of one key

Position PositionOf(const toml::source_region& region) {
  return {static_cast<std::uint32_t>(region.begin.line), static_cast<std::uint32_t>(region.begin.column)};
}

// The tables of a file in its own order: the library sorts keys by name.
std::vector<std::pair<const toml::key*, const toml::node*>> InOrder(const toml::table& table) {
  std::vector<std::pair<const toml::key*, const toml::node*>> all;
  for (const auto& [key, node] : table) all.emplace_back(&key, &node);
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return PositionOf(a.first->source()) < PositionOf(b.first->source());
  });
  return all;
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

const toml::array* TablesOf(const toml::node& node) {
  const auto* array = node.as_array();
  return array && std::all_of(array->begin(), array->end(), [](const auto& n) { return n.is_table(); })
             ? array
             : nullptr;
}

// Each dot of a key is a table within a table, which the library takes apart by recursion: a key of a million
// dots would end the process. Names in text that stand so close are refused too; there are none.
std::optional<Position> TooManyDots(std::string_view text) {
  Position at{1, 1};
  std::size_t dots = 0;
  char before = '\n';
  for (const char c : text) {
    const bool of_key = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                        c == '_' || c == '-' || c == '"' || c == '\'' || c == ' ' || c == '\t';
    if (c == '.') {
      dots = before == '.' ? 0 : dots + 1;
      if (dots > kMostDots) return at;
    } else if (!of_key) {
      dots = 0;
    }
    before = c;
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
    case Kind::kPause:
      return "duration or \"0ms\"";
    case Kind::kShare:
      return "share";
    case Kind::kWhole:
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
  std::size_t found = 0;
  for (const Key& key : keys_) {
    if (table_.contains(key.name)) {
      ++found;
    } else if (key.required) {
      diagnostics_->Add(
          at(), "missing",
          name_ + " has no key '" + std::string(key.name) + "', which is needed: " + TypeName(key.kind));
    }
  }
  if (found == table_.size()) return;
  std::vector<std::string_view> names;
  for (const Key& key : keys_) names.push_back(key.name);
  for (const auto& [key, node] : table_) {
    if (std::find(names.begin(), names.end(), key.str()) != names.end()) continue;
    const std::string nearest = diagnostics_->Nearest(key.str(), names);
    diagnostics_->Add(
        PositionOf(key.source()), "unknown-key",
        "no key '" + std::string(key.str().substr(0, 60)) + "' in " + name_ + "; " +
            (nearest.empty() ? "accepted are " + Listed(names) : "did you mean '" + nearest + "'?"));
  }
}

Position TableReader::at() const { return PositionOf(table_.source()); }

Position TableReader::at(std::string_view key) const {
  const toml::node* node = Find(key);
  return node ? PositionOf(node->source()) : at();
}

const toml::node* TableReader::Find(std::string_view key) const { return table_.get(key); }

void TableReader::Complain(const toml::node& node, std::string_view key, const std::string& what) const {
  diagnostics_->Add(PositionOf(node.source()), "type", name_ + '.' + std::string(key) + ' ' + what);
}

std::optional<At<std::string>> TableReader::Text(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto* text = node->as_string();
  if (!text || text->get().empty()) {
    Complain(*node, key, text ? "is empty" : "is " + std::string(TypeOf(*node)) + "; a text is accepted");
    return std::nullopt;
  }
  return At<std::string>{text->get(), PositionOf(node->source())};
}

std::optional<At<std::vector<At<std::string>>>> TableReader::Texts(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  At<std::vector<At<std::string>>> all;
  all.at = PositionOf(node->source());
  if (node->is_string()) {
    auto text = Text(key);
    if (!text) return std::nullopt;
    all.value.push_back(std::move(*text));
    return all;
  }
  const auto* array = node->as_array();
  if (!array) {
    Complain(*node, key, "is " + std::string(TypeOf(*node)) + "; a text or an array of texts is accepted");
    return std::nullopt;
  }
  bool good = true;
  for (const auto& item : *array) {
    const auto* text = item.as_string();
    if (!text || text->get().empty()) {
      Complain(item, key,
               text ? "holds an empty text" : "holds " + std::string(TypeOf(item)) + "; texts are accepted");
      good = false;
      continue;
    }
    all.value.push_back({text->get(), PositionOf(item.source())});
  }
  return good ? std::optional(std::move(all)) : std::nullopt;
}

std::optional<At<Milliseconds>> TableReader::Duration(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  std::string why;
  if (const auto* text = node->as_string()) {
    const auto* described =
        &*std::find_if(keys_.begin(), keys_.end(), [&](const Key& k) { return k.name == key; });
    const auto value = ParseDuration(text->get(), described->kind == Kind::kPause, &why);
    if (value) return At<Milliseconds>{*value, PositionOf(node->source())};
  } else if (node->is_number()) {
    why = "has no unit: a duration is a text such as \"250ms\" or \"1.5s\"";
  } else {
    why = "is " + std::string(TypeOf(*node)) + "; a duration such as \"250ms\" is accepted";
  }
  diagnostics_->Add(PositionOf(node->source()), "duration", name_ + '.' + std::string(key) + ' ' + why);
  return std::nullopt;
}

std::optional<At<double>> TableReader::Share(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  std::string why = "is " + std::string(TypeOf(*node)) + "; a share such as \"20%\" is accepted";
  if (const auto* text = node->as_string()) {
    if (const auto value = ParseShare(text->get(), &why))
      return At<double>{*value, PositionOf(node->source())};
  }
  diagnostics_->Add(PositionOf(node->source()), "share", name_ + '.' + std::string(key) + ' ' + why);
  return std::nullopt;
}

std::optional<At<std::int64_t>> TableReader::Whole(std::string_view key, std::int64_t least,
                                                   std::int64_t most) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto* whole = node->as_integer();
  if (!whole) {
    Complain(*node, key, "is " + std::string(TypeOf(*node)) + "; a whole number is accepted");
    return std::nullopt;
  }
  if (whole->get() < least || whole->get() > most) {
    diagnostics_->Add(PositionOf(node->source()), "range",
                      name_ + '.' + std::string(key) + " is " + std::to_string(whole->get()) + "; " +
                          std::to_string(least) + " to " + std::to_string(most) + " is accepted");
    return std::nullopt;
  }
  return At<std::int64_t>{whole->get(), PositionOf(node->source())};
}

std::optional<At<double>> TableReader::Number(std::string_view key, double least, double most) const {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  if (!node->is_number()) {
    Complain(*node, key, "is " + std::string(TypeOf(*node)) + "; a number is accepted");
    return std::nullopt;
  }
  const double value = node->value<double>().value_or(least - 1);
  if (!(value >= least && value <= most)) {
    char range[96];
    std::snprintf(range, sizeof range, " is %g; %g to %g is accepted", value, least, most);
    diagnostics_->Add(PositionOf(node->source()), "range", name_ + '.' + std::string(key) + range);
    return std::nullopt;
  }
  return At<double>{value, PositionOf(node->source())};
}

const toml::table* TableReader::Table(std::string_view key) const {
  const toml::node* node = Find(key);
  if (!node) return nullptr;
  if (!node->is_table()) Complain(*node, key, "is " + std::string(TypeOf(*node)) + "; a table is accepted");
  return node->as_table();
}

void TableReader::Tables(std::string_view key,
                         const std::function<void(const toml::table&, Position)>& each) const {
  const toml::node* node = Find(key);
  if (!node) return;
  const auto* tables = TablesOf(*node);
  if (!tables) return Complain(*node, key, "must be an array of tables: [[" + std::string(key) + "]]");
  for (const auto& item : *tables) each(*item.as_table(), PositionOf(item.source()));
}

void TableReader::Named(
    std::string_view key,
    const std::function<void(const At<std::string>& name, const toml::table&)>& each) const {
  const toml::table* tables = Table(key);
  if (!tables) return;
  for (const auto& [name, node] : InOrder(*tables)) {
    if (const auto* table = node->as_table()) {
      each({std::string(name->str()), PositionOf(name->source())}, *table);
    } else {
      Complain(*node, std::string(key) + '.' + std::string(name->str()),
               "is " + std::string(TypeOf(*node)) + "; a table is accepted");
    }
  }
}

void TableReader::Pairs(
    std::string_view key,
    const std::function<void(const At<std::string>&, const At<std::string>&)>& each) const {
  const toml::table* pairs = Table(key);
  if (!pairs) return;
  for (const auto& [name, node] : InOrder(*pairs)) {
    if (const auto* text = node->as_string()) {
      each({std::string(name->str()), PositionOf(name->source())}, {text->get(), PositionOf(node->source())});
    } else {
      Complain(*node, std::string(key) + '.' + std::string(name->str()),
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
                     "a key of more than " + std::to_string(kMostDots) + " dots; no key needs more than 3");
    return false;
  }
  std::vector<Key> keys{{"version", Kind::kWhole, "The form of this file: 1.", true}};
  for (const Section& section : sections) keys.push_back(section.key);
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    diagnostics->Add(PositionOf(error.source()), "syntax", "is no TOML: " + std::string(error.description()));
    return false;
  }
  if (root.size() > kMostKeys) {
    diagnostics->Add({}, "size", "holds more than " + std::to_string(kMostKeys) + " keys");
    return false;
  }
  const TableReader top(root, "the file", keys, diagnostics);
  // What another version means is not known, so nothing else of it is judged.
  const auto version = top.Whole("version", kVersion, kVersion);
  if (!version) return false;
  for (const Section& section : sections) section.read(top, diagnostics);
  return diagnostics->ok();
}

}  // namespace kestrelline::operator_file

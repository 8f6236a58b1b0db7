// SPDX-License-Identifier: Apache-2.0
//
// Parses an operator's file: TOML with `version = 1` and sections that other modules define.
//
// A module describes its section by a `Section`: its top-level key, and a reader that receives the parsed top
// level of the file. This module defines no section; the program passes the list of all sections to
// ReadDocument. All errors are reported with their positions in one run, except that a syntax error of TOML
// ends the run.
#ifndef KESTRELLINE_OPERATOR_DOCUMENT_H_
#define KESTRELLINE_OPERATOR_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "operator/diagnostics.h"
#include "operator/values.h"

namespace toml {
inline namespace v3 {
class node;
class table;
}  // namespace v3
}  // namespace toml

namespace kestrelline::operator_file {

inline constexpr std::int64_t kVersion = 1;

// Type of a value; see TypeName. kDurationOrZero is a duration that may be 0.
enum class Kind {
  kText,
  kTexts,
  kDuration,
  kDurationOrZero,
  kPercentage,
  kInteger,
  kNumber,
  kTable,
  kTables
};

struct Key {
  std::string_view name;
  Kind kind;
  std::string_view doc;  // one sentence of documentation for operators
  bool required = false;
};

// Reads one table of the file by the description of its keys. The constructor reports unknown and missing
// keys.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string name, std::span<const Key> keys,
              Diagnostics* diagnostics);

  // These return nothing if the key is absent. A value of the wrong type or out of range is reported, and
  // nothing is returned.
  std::optional<Located<std::string>> Text(std::string_view key) const;
  std::optional<Located<std::vector<Located<std::string>>>> Texts(
      std::string_view key) const;  // or a single text
  std::optional<Located<Milliseconds>> Duration(std::string_view key) const;
  std::optional<Located<double>> Percentage(std::string_view key) const;
  std::optional<Located<std::int64_t>> Integer(std::string_view key, std::int64_t min,
                                               std::int64_t max) const;
  std::optional<Located<double>> Number(std::string_view key, double min, double max) const;  // integers too
  // Calls `each` for every table of an array of tables.
  void Tables(std::string_view key, const std::function<void(const toml::table&, Position)>& each) const;
  // Call `each` for every key of a table whose values are tables (ForEachTable) or texts (ForEachText), in
  // the order of the file.
  void ForEachTable(
      std::string_view key,
      const std::function<void(const Located<std::string>& name, const toml::table&)>& each) const;
  void ForEachText(
      std::string_view key,
      const std::function<void(const Located<std::string>& name, const Located<std::string>&)>& each) const;
  // Null if the key is absent or, which is reported, not a table.
  const toml::table* Table(std::string_view key) const;

  Position at() const;
  Position at(std::string_view key) const;  // of the value, or of the table if the key is absent

 private:
  const toml::node* Find(std::string_view key) const;
  void ReportType(const toml::node& node, std::string_view key, const std::string& what) const;

  const toml::table& table_;
  std::string name_;
  std::span<const Key> keys_;
  Diagnostics* diagnostics_;
};

// A key of the file's top level.
struct Section {
  Key key;
  // Called with the top level of the file, also if the key is absent.
  std::function<void(const TableReader& top, Diagnostics*)> read;
};

// Reads the whole text. Returns false if there is any error; `diagnostics` then holds at least one message.
bool ReadDocument(std::string_view text, std::span<const Section> sections, Diagnostics* diagnostics);

// The name of the type in messages and documentation, such as "duration".
std::string TypeName(Kind kind);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_DOCUMENT_H_

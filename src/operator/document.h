// SPDX-License-Identifier: Apache-2.0
//
// The operator's file: TOML, `version = 1`, and sections that packages bring along.
//
// A package describes its section by a `Section`: the keys with their types and what they mean, and a reader
// that is given the section as it stands in the file. The loader knows no section by itself; whoever builds
// the program lists them. Whatever is wrong is reported with its position, all of it in one go; only the
// grammar of TOML itself ends at its first error.
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

enum class Kind { kText, kTexts, kDuration, kPause, kShare, kWhole, kNumber, kTable, kTables };

struct Key {
  std::string_view name;
  Kind kind;
  std::string_view doc;  // one sentence for whoever writes the file
  bool required = false;
};

// One table of the file, read by the description of its keys. Unknown keys are reported at once.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string name, std::span<const Key> keys,
              Diagnostics* diagnostics);

  // Nothing where the key is absent, or of the wrong type or range, which is reported.
  std::optional<At<std::string>> Text(std::string_view key) const;
  std::optional<At<std::vector<At<std::string>>>> Texts(std::string_view key) const;  // or one text
  std::optional<At<Milliseconds>> Duration(std::string_view key) const;
  std::optional<At<double>> Share(std::string_view key) const;
  std::optional<At<std::int64_t>> Whole(std::string_view key, std::int64_t least, std::int64_t most) const;
  std::optional<At<double>> Number(std::string_view key, double least, double most) const;  // whole ones too
  // Calls `each` for every table of an array of tables.
  void Tables(std::string_view key, const std::function<void(const toml::table&, Position)>& each) const;
  // Calls `each` for every key of a table whose values are tables, or texts, in the order of the file.
  void Named(std::string_view key,
             const std::function<void(const At<std::string>& name, const toml::table&)>& each) const;
  void Pairs(std::string_view key,
             const std::function<void(const At<std::string>& name, const At<std::string>&)>& each) const;
  const toml::table* Table(std::string_view key) const;

  Position at() const;
  Position at(std::string_view key) const;  // of the value, or of the table if it is absent

 private:
  const toml::node* Find(std::string_view key) const;
  void Complain(const toml::node& node, std::string_view key, const std::string& what) const;

  const toml::table& table_;
  std::string name_;
  std::span<const Key> keys_;
  Diagnostics* diagnostics_;
};

// A key of the file's top level.
struct Section {
  Key key;
  // Given the top level; called also where the key is absent.
  std::function<void(const TableReader& top, Diagnostics*)> read;
};

// Reads the whole text. False if anything at all is wrong; what is said in `diagnostics` is then not empty.
bool ReadDocument(std::string_view text, std::span<const Section> sections, Diagnostics* diagnostics);

// "duration", "share", ...: what a key of this kind takes.
std::string TypeName(Kind kind);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_DOCUMENT_H_

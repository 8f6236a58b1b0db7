// SPDX-License-Identifier: Apache-2.0
//
// Collects the errors of an operator's file and prints them in the order of their positions.
#ifndef KESTRELLINE_OPERATOR_DIAGNOSTICS_H_
#define KESTRELLINE_OPERATOR_DIAGNOSTICS_H_

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kestrelline::operator_file {

// Lines and columns are numbered from 1; line 0 stands for the file as a whole.
struct Position {
  std::uint32_t line = 0, column = 0;
  auto operator<=>(const Position&) const = default;
};

// A value and its position in the file.
template <typename T>
struct Located {
  T value{};
  Position at;
};

struct Message {
  Position at;
  std::string rule;  // identifier of the violated rule, listed in docs/operating/operator-file.md
  std::string text;  // the error, and what would be accepted
  auto operator<=>(const Message&) const = default;
};

class Diagnostics {
 public:
  // Further messages are only counted, so that a file with many errors does not fill the log.
  static constexpr std::size_t kMaxMessages = 100;

  explicit Diagnostics(std::string file) : file_(std::move(file)) {}

  // Ignores duplicates. Truncates `text` and replaces its control characters, as it may quote the file.
  void Add(Position at, std::string_view rule, std::string_view text);

  bool ok() const { return messages_.empty(); }

  // NearestName, or an empty text once kMaxMessages is reached: limits the cost of a file with many unknown
  // names, each of which would be compared with all known ones.
  std::string Nearest(std::string_view name, const std::vector<std::string_view>& known) const;
  // The end of a message about an unknown name: "did you mean 'x'?", or "it has a, b and c" if no name is
  // similar.
  std::string Suggest(std::string_view name, const std::vector<std::string_view>& known) const;

  const std::set<Message>& messages() const { return messages_; }
  const std::string& file() const { return file_; }

  // "FILE:LINE:COLUMN: [rule] text", sorted by position.
  std::vector<std::string> Lines() const;

 private:
  std::string file_;
  std::set<Message> messages_;
  std::size_t dropped_ = 0;
};

// The most similar of `known` by edit distance, as a suggestion for the unknown `name`; empty if none is
// similar. Compares with the first thousand only.
std::string NearestName(std::string_view name, const std::vector<std::string_view>& known);

// "a, b and c", or "a, b, ... and 3 more" for more than twelve names.
std::string JoinNames(const std::vector<std::string_view>& names);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_DIAGNOSTICS_H_

// SPDX-License-Identifier: Apache-2.0
//
// What is wrong with an operator's file, all of it, in the order of the file.
#ifndef KESTRELLINE_OPERATOR_DIAGNOSTICS_H_
#define KESTRELLINE_OPERATOR_DIAGNOSTICS_H_

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kestrelline::operator_file {

// Lines and columns count from 1; line 0 is the file as a whole.
struct Position {
  std::uint32_t line = 0, column = 0;
  auto operator<=>(const Position&) const = default;
};

// A value and where it stands.
template <typename T>
struct At {
  T value{};
  Position at;
};

struct Message {
  Position at;
  std::string rule;  // a short word in the index of rules: docs/operating/operator-file.md
  std::string text;  // what is wrong and what would be accepted
  auto operator<=>(const Message&) const = default;
};

class Diagnostics {
 public:
  // More than this are counted, not kept: a file of nothing but errors must not fill the log.
  static constexpr std::size_t kMostKept = 100;

  explicit Diagnostics(std::string file) : file_(std::move(file)) {}

  // The same message twice is one. What comes from the file is cut and cleaned of control characters.
  void Add(Position at, std::string_view rule, std::string_view text);

  bool ok() const { return messages_.empty(); }

  // NearestName, or nothing once no more messages are kept: a file of unknown names must not cost a
  // comparison of each with all that are known.
  std::string Nearest(std::string_view name, const std::vector<std::string_view>& known) const;
  // "did you mean 'x'?", or else "it has a, b and c": how a message about an unknown name ends.
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

// The one of `known`, of which the first thousand are looked at, that `name` was probably meant to be; empty
// if none is near.
std::string NearestName(std::string_view name, const std::vector<std::string_view>& known);

// "a, b and c", of at most twelve.
std::string Listed(const std::vector<std::string_view>& names);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_DIAGNOSTICS_H_

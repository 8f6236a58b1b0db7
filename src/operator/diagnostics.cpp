// SPDX-License-Identifier: Apache-2.0
#include "operator/diagnostics.h"

#include <algorithm>
#include <numeric>
#include <span>

namespace kestrelline::operator_file {
namespace {

constexpr std::size_t kMaxMessageBytes = 400;
constexpr std::size_t kMaxListedNames = 12;
constexpr std::size_t kMaxComparedNames = 1000;
constexpr std::size_t kMaxComparedLength =
    64;  // longer names are hardly typing errors, and expensive to compare

// Truncates and replaces control characters.
std::string Sanitize(std::string_view text) {
  std::string sanitized(text.substr(0, kMaxMessageBytes));
  std::replace_if(
      sanitized.begin(), sanitized.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
  if (sanitized.size() < text.size()) sanitized += "...";
  return sanitized;
}

// Edit distance; a transposition of two adjacent characters counts as one edit.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row_before_last(b.size() + 1), last_row(b.size() + 1), row(b.size() + 1);
  std::iota(last_row.begin(), last_row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      row[j] = std::min({last_row[j] + 1, row[j - 1] + 1, last_row[j - 1] + (a[i - 1] != b[j - 1])});
      if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
        row[j] = std::min(row[j], row_before_last[j - 2] + 1);
    }
    row_before_last.swap(last_row);
    last_row.swap(row);
  }
  return last_row[b.size()];
}

}  // namespace

void Diagnostics::Add(Position at, std::string_view rule, std::string_view text) {
  Message message{at, std::string(rule), Sanitize(text)};
  if (messages_.contains(message)) return;
  if (messages_.size() >= kMaxMessages) {
    ++dropped_;
    return;
  }
  messages_.insert(std::move(message));
}

std::string Diagnostics::Nearest(std::string_view name, const std::vector<std::string_view>& known) const {
  return messages_.size() < kMaxMessages ? NearestName(name, known) : "";
}

std::string Diagnostics::Suggest(std::string_view name, const std::vector<std::string_view>& known) const {
  const std::string nearest = Nearest(name, known);
  return nearest.empty() ? "it has " + JoinNames(known) : "did you mean '" + nearest + "'?";
}

std::vector<std::string> Diagnostics::Lines() const {
  std::vector<std::string> lines;
  for (const Message& message : messages_) {
    lines.push_back(file_ + ':' + std::to_string(std::max<std::uint32_t>(1, message.at.line)) + ':' +
                    std::to_string(std::max<std::uint32_t>(1, message.at.column)) + ": [" + message.rule +
                    "] " + message.text);
  }
  if (dropped_ > 0) lines.push_back(file_ + ": and " + std::to_string(dropped_) + " more");
  return lines;
}

std::string NearestName(std::string_view name, const std::vector<std::string_view>& known) {
  if (name.size() > kMaxComparedLength) return "";
  std::string_view nearest;
  std::size_t bound = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string_view candidate : std::span(known).first(std::min(known.size(), kMaxComparedNames))) {
    if (candidate.size() > kMaxComparedLength) continue;
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < bound && distance < candidate.size()) bound = distance, nearest = candidate;
  }
  return std::string(nearest);
}

std::string JoinNames(const std::vector<std::string_view>& names) {
  if (names.empty()) return "none";
  std::string text;
  const std::size_t listed = std::min(names.size(), kMaxListedNames);
  for (std::size_t i = 0; i < listed; ++i) {
    if (i > 0) text += i + 1 == names.size() ? " and " : ", ";
    text += names[i];
  }
  if (listed < names.size()) text += " and " + std::to_string(names.size() - listed) + " more";
  return text;
}

}  // namespace kestrelline::operator_file

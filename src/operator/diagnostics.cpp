// SPDX-License-Identifier: Apache-2.0
#include "operator/diagnostics.h"

#include <algorithm>
#include <numeric>
#include <span>

namespace kestrelline::operator_file {
namespace {

constexpr std::size_t kMostText = 400;  // bytes of one message
constexpr std::size_t kMostListed = 12;
constexpr std::size_t kMostCompared = 1000;
constexpr std::size_t kMostName = 64;  // longer names are nobody's slip of the pen

std::string Clean(std::string_view text) {
  std::string clean(text.substr(0, kMostText));
  std::replace_if(
      clean.begin(), clean.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
  if (clean.size() < text.size()) clean += "...";
  return clean;
}

// Edits (of one character, or a swap of two neighbours) that turn one into the other.
std::size_t Distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> before(b.size() + 1), last(b.size() + 1), row(b.size() + 1);
  std::iota(last.begin(), last.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      row[j] = std::min({last[j] + 1, row[j - 1] + 1, last[j - 1] + (a[i - 1] != b[j - 1])});
      if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
        row[j] = std::min(row[j], before[j - 2] + 1);
    }
    before.swap(last);
    last.swap(row);
  }
  return last[b.size()];
}

}  // namespace

void Diagnostics::Add(Position at, std::string_view rule, std::string_view text) {
  Message message{at, std::string(rule), Clean(text)};
  if (messages_.contains(message)) return;
  if (messages_.size() >= kMostKept) {
    ++dropped_;
    return;
  }
  messages_.insert(std::move(message));
}

std::string Diagnostics::Nearest(std::string_view name, const std::vector<std::string_view>& known) const {
  return messages_.size() < kMostKept ? NearestName(name, known) : "";
}

std::string Diagnostics::Suggest(std::string_view name, const std::vector<std::string_view>& known) const {
  const std::string nearest = Nearest(name, known);
  return nearest.empty() ? "it has " + Listed(known) : "did you mean '" + nearest + "'?";
}

std::vector<std::string> Diagnostics::Lines() const {
  std::vector<std::string> lines;
  for (const Message& m : messages_) {
    lines.push_back(file_ + ':' + std::to_string(std::max<std::uint32_t>(1, m.at.line)) + ':' +
                    std::to_string(std::max<std::uint32_t>(1, m.at.column)) + ": [" + m.rule + "] " + m.text);
  }
  if (dropped_ > 0) lines.push_back(file_ + ": and " + std::to_string(dropped_) + " more");
  return lines;
}

std::string NearestName(std::string_view name, const std::vector<std::string_view>& known) {
  if (name.size() > kMostName) return "";
  std::string_view nearest;
  std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string_view candidate : std::span(known).first(std::min(known.size(), kMostCompared))) {
    if (candidate.size() > kMostName) continue;
    const std::size_t distance = Distance(name, candidate);
    if (distance < least && distance < candidate.size()) least = distance, nearest = candidate;
  }
  return std::string(nearest);
}

std::string Listed(const std::vector<std::string_view>& names) {
  if (names.empty()) return "none";
  std::string text;
  const std::size_t shown = std::min(names.size(), kMostListed);
  for (std::size_t i = 0; i < shown; ++i) {
    if (i > 0) text += i + 1 == names.size() ? " and " : ", ";
    text += names[i];
  }
  if (shown < names.size()) text += " and " + std::to_string(names.size() - shown) + " more";
  return text;
}

}  // namespace kestrelline::operator_file

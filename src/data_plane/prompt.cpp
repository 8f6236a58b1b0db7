// SPDX-License-Identifier: Apache-2.0
#include "data_plane/prompt.h"

#include <algorithm>
#include <charconv>

#include "hashing/fnv.h"

namespace kestrelline::data_plane {
namespace {

// A byte that no id contains; separates ids, so that "ab","c" and "a","bc" have different hashes.
constexpr std::string_view kIdSeparator = "\xff";

std::uint64_t Extend(std::uint64_t prefix_hash, std::string_view id) {
  return hashing::Fnv1a(kIdSeparator, hashing::Fnv1a(id, prefix_hash));
}

std::int64_t ToNumber(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return std::max<std::int64_t>(0, number);
}

std::string_view TakeField(std::string_view& rest) {
  const std::size_t comma = rest.find(',');
  std::string_view field = rest.substr(0, comma);
  rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
  while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
  return field;
}

}  // namespace

std::int64_t Prompt::SharedTokens() const {
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < SharedBlocks(); ++i) sum += blocks[i].tokens;
  return sum;
}

Prompt ParsePrompt(std::string_view token_count, std::string_view prompt_prefix) {
  Prompt prompt;
  prompt.tokens = ToNumber(TakeField(token_count));
  prompt.output_tokens = ToNumber(TakeField(token_count));
  std::uint64_t prefix_hash = hashing::kFnvOffsetBasis;
  std::int64_t sum = 0;
  while (!prompt_prefix.empty() && prompt.blocks.size() < kMaxBlocks) {
    const std::string_view field = TakeField(prompt_prefix);
    const std::size_t colon = field.find(':');
    if (colon == std::string_view::npos) continue;
    prefix_hash = Extend(prefix_hash, field.substr(0, colon));
    prompt.blocks.push_back({prefix_hash, ToNumber(field.substr(colon + 1))});
    sum += prompt.blocks.back().tokens;
  }
  prompt.tokens = std::max(prompt.tokens, sum);
  return prompt;
}

}  // namespace kestrelline::data_plane

// SPDX-License-Identifier: Apache-2.0
#include "data_plane/prompt.h"

#include <algorithm>
#include <charconv>

#include "hashing/fnv.h"

namespace kestrelline::data_plane {
namespace {

// No id holds this byte: ids that join to the same text differ.
constexpr std::string_view kEndOfId = "\xff";

std::uint64_t Extend(std::uint64_t chain, std::string_view id) {
  return hashing::Fnv1a(kEndOfId, hashing::Fnv1a(id, chain));
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
  for (std::size_t i = 0; i < SharedParts(); ++i) sum += parts[i].tokens;
  return sum;
}

Prompt ParsePrompt(std::string_view token_count, std::string_view prompt_prefix) {
  Prompt prompt;
  prompt.tokens = ToNumber(TakeField(token_count));
  prompt.output_tokens = ToNumber(TakeField(token_count));
  std::uint64_t chain = hashing::kFnvStart;
  std::int64_t sum = 0;
  while (!prompt_prefix.empty() && prompt.parts.size() < kMostParts) {
    const std::string_view field = TakeField(prompt_prefix);
    const std::size_t colon = field.find(':');
    if (colon == std::string_view::npos) continue;
    chain = Extend(chain, field.substr(0, colon));
    prompt.parts.push_back({chain, ToNumber(field.substr(colon + 1))});
    sum += prompt.parts.back().tokens;
  }
  prompt.tokens = std::max(prompt.tokens, sum);
  return prompt;
}

}  // namespace kestrelline::data_plane

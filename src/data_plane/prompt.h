// SPDX-License-Identifier: Apache-2.0
//
// What a request's headers tell of its prompt. No I/O.
#ifndef KESTRELLINE_DATA_PLANE_PROMPT_H_
#define KESTRELLINE_DATA_PLANE_PROMPT_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace kestrelline::data_plane {

// A part of the prompt, named by the chain of parts up to it: a cached part serves only after all before it.
struct PromptPart {
  std::uint64_t chain = 0;  // hash of the ids of this part and all before it
  std::int64_t tokens = 0;
};

struct Prompt {
  std::int64_t tokens = 0;         // of the prompt
  std::int64_t output_tokens = 0;  // the most that it may generate
  std::vector<PromptPart> parts;

  // The parts that other requests may share: all but the last.
  std::size_t SharedParts() const { return parts.empty() ? 0 : parts.size() - 1; }
  std::int64_t SharedTokens() const;
};

inline constexpr std::size_t kMostParts = 64;  // parts beyond these count as the request's own

// From `Token-Count` (IN,OUT) and `Prompt-Prefix` (ID:TOKENS,...); what can't be read counts as absent.
Prompt ParsePrompt(std::string_view token_count, std::string_view prompt_prefix);

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_PROMPT_H_

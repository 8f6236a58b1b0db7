// SPDX-License-Identifier: Apache-2.0
//
// Prompt description parsed from request headers. No I/O.
#ifndef KESTRELLINE_DATA_PLANE_PROMPT_H_
#define KESTRELLINE_DATA_PLANE_PROMPT_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace kestrelline::data_plane {

// A block of the prompt, identified by the hash of the prefix that ends with it: a cached block is usable
// only after all blocks before it.
struct PromptBlock {
  std::uint64_t prefix_hash = 0;  // hash of the ids of this block and all before it
  std::int64_t tokens = 0;
};

struct Prompt {
  std::int64_t tokens = 0;         // in the prompt
  std::int64_t output_tokens = 0;  // maximum number to generate
  std::vector<PromptBlock> blocks;

  // Number of blocks that other requests may share: all but the last.
  std::size_t SharedBlocks() const { return blocks.empty() ? 0 : blocks.size() - 1; }
  std::int64_t SharedTokens() const;
};

inline constexpr std::size_t kMaxBlocks = 64;  // further blocks count as unshared

// Parses `Token-Count` (IN,OUT) and `Prompt-Prefix` (ID:TOKENS,...). Malformed values count as absent.
Prompt ParsePrompt(std::string_view token_count, std::string_view prompt_prefix);

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_PROMPT_H_

// SPDX-License-Identifier: Apache-2.0
//
// Reads an operator's file as it stood at one moment, or not at all.
#ifndef KESTRELLINE_OPERATOR_READ_FILE_H_
#define KESTRELLINE_OPERATOR_READ_FILE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "operator/diagnostics.h"

namespace kestrelline::operator_file {

inline constexpr std::size_t kMostFileBytes = 8 * 1024 * 1024;

// What a process with so much memory may read. While it is taken apart, TOML takes 20 to 40 times its length,
// and 85 times at the worst that was found (docs/design/routes.md): half of the memory then, or two thirds.
inline constexpr std::size_t kParsedSize = 64;
constexpr std::size_t MostFileBytes(double memory_mb) {
  const double bytes = memory_mb * 1024 * 1024 / 2 / kParsedSize;
  return bytes < static_cast<double>(kMostFileBytes) ? static_cast<std::size_t>(bytes) : kMostFileBytes;
}

// Never waits: what is no regular file (a directory, a FIFO, a device) is refused without being read. A file
// that is written to while it is read is read again, `kTries` times in all, then refused; one that is
// replaced by a rename is read whole, old or new. Rules: [read], [size], [changing].
std::optional<std::string> ReadWhole(const std::string& path, std::size_t most_bytes,
                                     Diagnostics* diagnostics);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_READ_FILE_H_

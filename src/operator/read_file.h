// SPDX-License-Identifier: Apache-2.0
//
// Reads a file as a consistent snapshot, or not at all.
#ifndef KESTRELLINE_OPERATOR_READ_FILE_H_
#define KESTRELLINE_OPERATOR_READ_FILE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "operator/diagnostics.h"

namespace kestrelline::operator_file {

inline constexpr std::size_t kMaxFileBytes = 8 * 1024 * 1024;

// Assumed memory that parsing takes, as a multiple of the file size. TOML takes 20 to 40 times the file size
// while it is parsed, and 85 times in the worst known case (docs/design/routes.md).
inline constexpr std::size_t kParsedSize = 64;
// The largest file that a process with `memory_mb` may read: by kParsedSize, parsing takes up to half of the
// memory, and two thirds in the worst known case.
constexpr std::size_t MaxFileBytes(double memory_mb) {
  const double bytes = memory_mb * 1024 * 1024 / 2 / kParsedSize;
  return bytes < static_cast<double>(kMaxFileBytes) ? static_cast<std::size_t>(bytes) : kMaxFileBytes;
}

// Never blocks: rejects anything but a regular file (a directory, a FIFO, a device) without reading it. A
// file that is modified while it is read is read again, up to `kAttempts` times in all, and then rejected. If
// the file is replaced by a rename, the result is the complete old or new content. Reports the rules [read],
// [size] and [changing].
std::optional<std::string> ReadFileSnapshot(const std::string& path, std::size_t max_bytes,
                                            Diagnostics* diagnostics);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_READ_FILE_H_

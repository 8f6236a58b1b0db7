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

// Never waits: what is no regular file (a directory, a FIFO, a device) is refused without being read. A file
// that is written to while it is read is read again, `kTries` times in all, then refused; one that is
// replaced by a rename is read whole, old or new. Rules: [read], [size], [changing].
std::optional<std::string> ReadWhole(const std::string& path, Diagnostics* diagnostics);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_READ_FILE_H_

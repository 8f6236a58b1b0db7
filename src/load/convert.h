// SPDX-License-Identifier: Apache-2.0
//
// Traces from what others have written: CSV, and access logs in the common or the combined log format.
//
// CSV: the first line names the columns. Needed are `at_us` (from the start) and `class`; known are `tenant`,
// `key`, `bytes`, `outcome` (served, refused, failed, gave_up or -) and `latency_us`; others are an error, so
// that a misspelt one does not go unnoticed. Fields may be quoted as in RFC 4180. It is what `show` prints.
//
// Access logs: the class is the first part of the path, the tenant the user, the key a hash of the path
// without its query; status 429 and 503 are refusals, others from 400 on failures. Bodies of requests are not
// in a log: they are 0 bytes. Times have a resolution of a second: the requests of a second are spread over
// it evenly.
#ifndef KESTRELLINE_LOAD_CONVERT_H_
#define KESTRELLINE_LOAD_CONVERT_H_

#include <istream>
#include <stdexcept>
#include <string>
#include <vector>

#include "load/trace.h"

namespace kestrelline::load {

// what() is "NAME:LINE: what is wrong".
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Converted {
  TraceHead head;
  std::vector<TraceRecord> records;  // by their times
};

// Past these it is refused: all of it is held in memory, to be put in order.
inline constexpr std::size_t kMostConverted = 20000000;
inline constexpr std::size_t kMostNames = 1000;  // classes, and tenants
inline constexpr std::size_t kMostInputLine = 64 * 1024;

Converted FromCsv(std::istream& in, const std::string& name);
Converted FromAccessLog(std::istream& in, const std::string& name);

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_CONVERT_H_

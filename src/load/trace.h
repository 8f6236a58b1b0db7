// SPDX-License-Identifier: Apache-2.0
//
// Recorded requests in a compact file: when each was meant to be sent, what it was, how it ended.
//
// The form, all numbers little-endian: "KLTRACE\0", u16 version (1), u16 classes, u32 tenants, then their
// names (u16 length, bytes), u32 CRC-32 of all this. Blocks follow: u32 records (1 to 4,096), u32 bytes, u32
// CRC-32 of the bytes, the bytes. A record is LEB128 numbers: microseconds since the record before (since the
// start, at a block's first), class, tenant, key, bytes, then one byte of outcome and, unless that is kNone,
// the latency in microseconds. The last block has no records: a file without it was cut short.
#ifndef KESTRELLINE_LOAD_TRACE_H_
#define KESTRELLINE_LOAD_TRACE_H_

#include <chrono>
#include <cstdint>
#include <istream>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "load/arrivals.h"

namespace kestrelline::load {

enum class TraceOutcome : std::uint8_t { kNone, kServed, kRefused, kFailed, kGaveUp };

struct TraceRecord {
  Arrival arrival;
  TraceOutcome outcome = TraceOutcome::kNone;
  Microseconds latency{0};  // from the intended time
  bool operator==(const TraceRecord&) const = default;
};

struct TraceHead {
  std::vector<std::string> classes, tenants;
  bool operator==(const TraceHead&) const = default;
};

// what() says what is wrong and at which byte of the file.
class BadTrace : public std::runtime_error {
 public:
  BadTrace(std::uint64_t offset, const std::string& what);
  std::uint64_t offset() const { return offset_; }

 private:
  std::uint64_t offset_;
};

class TraceWriter {
 public:
  TraceWriter(std::ostream& out, const TraceHead& head);
  // Writes the last block, unless Close did. What cannot be written then is lost: call Close to be told.
  ~TraceWriter();
  TraceWriter(const TraceWriter&) = delete;
  TraceWriter& operator=(const TraceWriter&) = delete;

  // In the order of their intended times; throws std::invalid_argument if it is not, std::runtime_error if
  // the stream fails.
  void Add(const TraceRecord& record);
  void Close();

 private:
  void Flush();

  std::ostream& out_;
  std::string block_;
  std::uint32_t records_ = 0;
  Microseconds last_{0};
  bool closed_ = false;
};

// Reads block by block: memory does not grow with the file. Throws BadTrace.
class TraceReader {
 public:
  explicit TraceReader(std::istream& in);
  const TraceHead& head() const { return head_; }
  std::optional<TraceRecord> Next();  // nothing after the last

 private:
  std::string Take(std::size_t bytes, const char* what);
  bool NextBlock();
  std::uint64_t Number(const char* what);

  std::istream& in_;
  std::uint64_t offset_ = 0, block_at_ = 0;
  TraceHead head_;
  std::string block_;
  std::size_t at_ = 0;
  std::uint32_t left_ = 0;
  Microseconds last_{0};
  bool over_ = false;
};

// How a trace is played: a part of it, faster or slower.
struct Replay {
  double speed = 1;  // 2: in half the time
  Microseconds from{0}, until = Microseconds::max();

  // When a record is due in the replay; nothing if it is cut away.
  std::optional<Microseconds> DueAt(Microseconds intended) const;
};

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_TRACE_H_

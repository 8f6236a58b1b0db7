// SPDX-License-Identifier: Apache-2.0
//
// Checks a text/event-stream from a backend (WHATWG HTML, 9.2) as it arrives, and splits it into pieces that
// may be forwarded: whole events, comments and blank lines, byte for byte. No I/O, no clock.
//
// A valid event has exactly one `id` field, a decimal number greater than that of the event before it, and at
// least one `data` field. Its other fields are `event`, `retry` and, as its first field, `versions` with a
// whole number. Lines end with LF, CR or CRLF.
#ifndef KESTRELLINE_DATA_PLANE_EVENT_STREAM_H_
#define KESTRELLINE_DATA_PLANE_EVENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kestrelline::data_plane {

// Why a stream is not valid.
enum class StreamFault {
  kNone,
  kNotText,           // not UTF-8, or control characters that occur in no text
  kUnknownField,      // a line that is no known field
  kRepeatedField,     // a second `id` or `versions` in one event
  kInvalidNumber,     // an `id`, `retry` or `versions` that is no number
  kMisplacedVersion,  // `versions` after another field
  kIdNotRising,       // an id not greater than the one before
  kMissingId,
  kMissingData,
  kOversized,   // too long to be held, and without a valid id so far
  kUnfinished,  // ended within an event
  kEmpty,       // ended without any event
};
// The name used in logs.
const char* Name(StreamFault fault);

// Finds the first byte that belongs to no UTF-8 text, over any number of calls.
class TextChecker {
 public:
  // The number of leading bytes that are text. Call again only if that is all of them.
  std::size_t CountText(std::string_view bytes);

 private:
  bool Accepts(unsigned char byte);

  int continuation_bytes_ = 0;  // still missing of the current character
  // Bounds of the next continuation byte.
  unsigned char low_ = 0x80;
  unsigned char high_ = 0xBF;
};

class EventStream {
 public:
  // A longer event is returned in pieces once its id is known to be valid.
  static constexpr std::size_t kMaxHeldBytes = std::size_t{1024} * 1024;

  // Call before the stream of another backend continues this one. Drops what is held of an unfinished event.
  void BeginRun();
  // The stream continues one that the client received up to the event `id`. Ignored unless it is a number.
  void ContinueAfter(std::string_view id);

  // Takes the next bytes. Returns what may be forwarded; nothing if a fault is among the bytes, since it may
  // have altered an event that they complete.
  std::string Append(std::string_view bytes);
  // The stream has ended, by its framing. Returns the remainder, which holds no event.
  std::string Finish();

  // After a fault nothing more is returned until the next run.
  StreamFault fault() const { return fault_; }
  // The id of the last whole event; empty before the first.
  const std::string& last_id() const { return returned_.last_id; }
  // Part of an unfinished event was returned, so no other run can continue the stream.
  bool returned_partial_event() const { return returned_.partial_event; }

 private:
  // Fields seen in the current event.
  struct Block {
    std::optional<std::uint64_t> id;
    std::string id_text;
    bool has_version = false;
    bool has_data = false;
    bool has_event = false;
    bool has_retry = false;
    bool HasFields() const { return id || has_version || has_data || has_event || has_retry; }
    bool IsEvent() const { return id || has_version || has_data || has_event; }
  };

  // What was returned so far, over all runs.
  struct Progress {
    std::optional<std::uint64_t> last_number;
    std::string last_id;
    bool any_event = false;
    bool partial_event = false;
  };

  void Fail(StreamFault fault);
  // Whether the bytes held may be the start of a byte order mark; skips a whole one.
  bool AwaitsByteOrderMark();
  // Checks all whole lines that are held. Returns the number of bytes that may be forwarded.
  std::size_t CheckLines();
  void SkipLineFeed();
  void CheckLine(std::string_view line);
  void CheckPartialLine(std::string_view line);
  void CheckField(std::string_view name, std::string_view value);
  void CheckId(std::string_view value);
  void CheckVersion(std::string_view value);
  void EndBlock();
  std::string Take(std::size_t count);
  std::string TakeOversized();

  std::string held_;
  std::size_t line_begin_ = 0;          // of the current line in `held_`
  std::size_t scanned_ = 0;             // no line end before this position after `line_begin_`
  bool at_start_ = true;                // of a run, where a byte order mark is allowed
  bool after_carriage_return_ = false;  // a line feed that follows belongs to the same line end
  bool in_returned_line_ = false;       // the beginning of the current line was checked and returned
  TextChecker text_;
  Block block_;
  Progress returned_;
  StreamFault fault_ = StreamFault::kNone;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_EVENT_STREAM_H_

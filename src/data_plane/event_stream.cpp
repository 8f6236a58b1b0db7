// SPDX-License-Identifier: Apache-2.0
#include "data_plane/event_stream.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace kestrelline::data_plane {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kLineEnds = "\r\n";
constexpr char kCommentMark = ':';
constexpr std::string_view kId = "id";
constexpr std::string_view kData = "data";
constexpr std::string_view kEvent = "event";
constexpr std::string_view kRetry = "retry";
constexpr std::string_view kVersions = "versions";
constexpr std::array kFields = {kId, kData, kEvent, kRetry, kVersions};
constexpr std::size_t kMaxNumberLine = 64;  // bytes of a line whose value is a number

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || parsed_end != end) return std::nullopt;
  return number;
}

struct Field {
  std::string_view name;
  std::string_view value;
};

// A line without a colon is a field without a value; one space after the colon is not part of the value.
Field SplitField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return {line, {}};
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  return {line.substr(0, colon), value};
}

bool IsKnown(std::string_view name) {
  return std::find(kFields.begin(), kFields.end(), name) != kFields.end();
}

// Line ends, tab, backspace and the like occur in texts, most control characters do not.
bool IsTextControl(unsigned char byte) { return (byte >= 0x07 && byte <= 0x0D) || byte == 0x1B; }

}  // namespace

const char* Name(StreamFault fault) {
  switch (fault) {
    case StreamFault::kNone:
      return "none";
    case StreamFault::kNotText:
      return "not_text";
    case StreamFault::kUnknownField:
      return "unknown_field";
    case StreamFault::kRepeatedField:
      return "repeated_field";
    case StreamFault::kInvalidNumber:
      return "invalid_number";
    case StreamFault::kMisplacedVersion:
      return "misplaced_version";
    case StreamFault::kIdNotRising:
      return "id_not_rising";
    case StreamFault::kMissingId:
      return "missing_id";
    case StreamFault::kMissingData:
      return "missing_data";
    case StreamFault::kOversized:
      return "oversized";
    case StreamFault::kUnfinished:
      return "unfinished";
    case StreamFault::kEmpty:
      return "empty";
  }
  return "unknown";
}

// --- text ---

// Well-formed UTF-8 (Unicode 15, table 3-7).
bool TextChecker::Accepts(unsigned char byte) {
  if (continuation_bytes_ > 0) {
    const bool accepted = byte >= low_ && byte <= high_;
    low_ = 0x80;
    high_ = 0xBF;
    --continuation_bytes_;
    return accepted;
  }
  if (byte < 0x20) return IsTextControl(byte);
  if (byte < 0x80) return byte != 0x7F;
  if (byte >= 0xC2 && byte <= 0xDF) {
    continuation_bytes_ = 1;
  } else if (byte >= 0xE0 && byte <= 0xEF) {
    continuation_bytes_ = 2;
    if (byte == 0xE0) low_ = 0xA0;
    if (byte == 0xED) high_ = 0x9F;
  } else if (byte >= 0xF0 && byte <= 0xF4) {
    continuation_bytes_ = 3;
    if (byte == 0xF0) low_ = 0x90;
    if (byte == 0xF4) high_ = 0x8F;
  } else {
    return false;
  }
  return true;
}

std::size_t TextChecker::CountText(std::string_view bytes) {
  std::size_t count = 0;
  while (count < bytes.size() && Accepts(static_cast<unsigned char>(bytes[count]))) ++count;
  return count;
}

// --- runs ---

void EventStream::BeginRun() {
  held_.clear();
  line_begin_ = scanned_ = 0;
  at_start_ = true;
  after_carriage_return_ = in_returned_line_ = false;
  text_ = {};
  block_ = {};
  fault_ = StreamFault::kNone;
}

void EventStream::ContinueAfter(std::string_view id) {
  const auto number = ParseNumber(id);
  if (!number) return;
  returned_.last_number = number;
  returned_.any_event = true;
}

void EventStream::Fail(StreamFault fault) {
  if (fault_ == StreamFault::kNone) fault_ = fault;
}

std::string EventStream::Append(std::string_view bytes) {
  if (fault_ != StreamFault::kNone) return {};
  Progress before = returned_;
  const std::size_t text_bytes = text_.CountText(bytes);
  held_.append(bytes.substr(0, text_bytes));
  std::string forwarded = AwaitsByteOrderMark() ? std::string() : Take(CheckLines());
  if (text_bytes < bytes.size()) Fail(StreamFault::kNotText);
  if (fault_ == StreamFault::kNone && held_.size() > kMaxHeldBytes) forwarded += TakeOversized();
  if (fault_ == StreamFault::kNone) return forwarded;
  held_.clear();
  returned_ = std::move(before);
  return {};
}

std::string EventStream::Finish() {
  if (fault_ != StreamFault::kNone) return {};
  const bool in_comment = held_.size() > line_begin_ && held_[line_begin_] == kCommentMark;
  const bool in_field = in_returned_line_ || (held_.size() > line_begin_ && !in_comment);
  if (in_field || block_.IsEvent()) {
    Fail(StreamFault::kUnfinished);
  } else if (!returned_.any_event) {
    Fail(StreamFault::kEmpty);
  }
  if (fault_ == StreamFault::kNone) return std::exchange(held_, {});
  held_.clear();
  return {};
}

std::string EventStream::Take(std::size_t count) {
  std::string taken = held_.substr(0, count);
  held_.erase(0, count);
  line_begin_ -= std::min(line_begin_, count);
  scanned_ -= std::min(scanned_, count);
  return taken;
}

// Whole lines have been checked; an unfinished one may go if no later byte can make it another field.
std::string EventStream::TakeOversized() {
  const std::string_view line = std::string_view(held_).substr(line_begin_);
  const bool in_comment = line.starts_with(kCommentMark);
  if (!block_.id && (block_.HasFields() || !in_comment)) {
    Fail(StreamFault::kOversized);
    return {};
  }
  const std::string_view name = SplitField(line).name;
  const bool any_value = name.size() < line.size() && (name == kData || name == kEvent);
  in_returned_line_ = in_returned_line_ || in_comment || any_value;
  returned_.partial_event = block_.HasFields();
  return Take(in_returned_line_ ? held_.size() : line_begin_);
}

bool EventStream::AwaitsByteOrderMark() {
  if (!at_start_) return false;
  if (held_.size() < kByteOrderMark.size() && kByteOrderMark.starts_with(held_)) return true;
  at_start_ = false;
  if (!held_.starts_with(kByteOrderMark)) return false;
  if (!returned_.any_event) {
    line_begin_ = scanned_ = kByteOrderMark.size();
  } else {
    held_.erase(0, kByteOrderMark.size());  // allowed at the start of a stream only
  }
  return false;
}

// --- lines ---

void EventStream::SkipLineFeed() {
  if (!after_carriage_return_ || line_begin_ >= held_.size()) return;
  after_carriage_return_ = false;
  if (held_[line_begin_] == '\n') scanned_ = ++line_begin_;
}

std::size_t EventStream::CheckLines() {
  std::size_t forwardable = 0;
  while (fault_ == StreamFault::kNone) {
    SkipLineFeed();
    if (!block_.HasFields() && !in_returned_line_) forwardable = line_begin_;
    const std::size_t end = held_.find_first_of(kLineEnds, std::max(line_begin_, scanned_));
    if (end == std::string::npos) {
      scanned_ = held_.size();
      CheckPartialLine(std::string_view(held_).substr(line_begin_));
      break;
    }
    CheckLine(std::string_view(held_).substr(line_begin_, end - line_begin_));
    after_carriage_return_ = held_[end] == '\r';
    line_begin_ = scanned_ = end + 1;
  }
  return forwardable;
}

void EventStream::CheckLine(std::string_view line) {
  if (std::exchange(in_returned_line_, false)) return;
  if (line.empty()) return EndBlock();
  if (line.front() == kCommentMark) return;
  const Field field = SplitField(line);
  CheckField(field.name, field.value);
}

// Finds a fault in an unfinished line as early as possible, so that no endless line is held.
void EventStream::CheckPartialLine(std::string_view line) {
  if (in_returned_line_ || line.empty() || line.front() == kCommentMark) return;
  const Field field = SplitField(line);
  const bool has_name = field.name.size() < line.size();
  if (!has_name) {
    const auto begins = [&line](std::string_view name) { return name.starts_with(line); };
    if (std::none_of(kFields.begin(), kFields.end(), begins)) Fail(StreamFault::kUnknownField);
    return;
  }
  if (!IsKnown(field.name)) return Fail(StreamFault::kUnknownField);
  const bool any_length = field.name == kData || field.name == kEvent;
  if (!any_length && line.size() > kMaxNumberLine) Fail(StreamFault::kInvalidNumber);
}

void EventStream::CheckField(std::string_view name, std::string_view value) {
  if (name == kId) return CheckId(value);
  if (name == kVersions) return CheckVersion(value);
  if (name == kData) {
    block_.has_data = true;
  } else if (name == kEvent) {
    block_.has_event = true;
  } else if (name == kRetry) {
    if (!ParseNumber(value)) return Fail(StreamFault::kInvalidNumber);
    block_.has_retry = true;
  } else {
    Fail(StreamFault::kUnknownField);
  }
}

void EventStream::CheckId(std::string_view value) {
  if (block_.id) return Fail(StreamFault::kRepeatedField);
  block_.id = ParseNumber(value);
  if (!block_.id) return Fail(StreamFault::kInvalidNumber);
  if (returned_.last_number && *block_.id <= *returned_.last_number) return Fail(StreamFault::kIdNotRising);
  block_.id_text = value;
}

void EventStream::CheckVersion(std::string_view value) {
  if (block_.has_version) return Fail(StreamFault::kRepeatedField);
  if (block_.HasFields()) return Fail(StreamFault::kMisplacedVersion);
  if (!ParseNumber(value)) return Fail(StreamFault::kInvalidNumber);
  block_.has_version = true;
}

void EventStream::EndBlock() {
  const Block block = std::exchange(block_, {});
  if (!block.IsEvent()) return;
  if (!block.id) return Fail(StreamFault::kMissingId);
  if (!block.has_data) return Fail(StreamFault::kMissingData);
  returned_ = {block.id, block.id_text, true, false};
}

}  // namespace kestrelline::data_plane

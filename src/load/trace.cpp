// SPDX-License-Identifier: Apache-2.0
#include "load/trace.h"

#include <boost/crc.hpp>
#include <cmath>
#include <string_view>
#include <utility>

namespace kestrelline::load {
namespace {

constexpr std::string_view kMagic("KLTRACE\0", 8);
constexpr std::uint16_t kVersion = 1;
constexpr std::uint32_t kBlockRecords = 4096;
constexpr std::size_t kMostRecord = 6 * 10 + 1;  // bytes: six numbers and the outcome
constexpr std::size_t kMostBlock = kBlockRecords * kMostRecord;
constexpr std::size_t kMostName = 1024;
constexpr std::uint32_t kMostNames = 100000;
constexpr auto kLongestTrace = std::chrono::hours(24 * 366);

template <typename T>
void Put(std::string* out, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i) *out += static_cast<char>(value >> (8 * i) & 0xff);
}

template <typename T>
T Get(std::string_view bytes) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i)
    value = static_cast<T>(value | static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i));
  return value;
}

void PutNumber(std::string* out, std::uint64_t value) {
  for (; value >= 0x80; value >>= 7) *out += static_cast<char>(value | 0x80);
  *out += static_cast<char>(value);
}

std::uint32_t Checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void Write(std::ostream& out, std::string_view bytes) {
  out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (!out) throw std::runtime_error("the trace cannot be written");
}

}  // namespace

BadTrace::BadTrace(std::uint64_t offset, const std::string& what)
    : std::runtime_error("at byte " + std::to_string(offset) + ": " + what), offset_(offset) {}

// ---- writing ------------------------------------------------------------------------------------------
TraceWriter::TraceWriter(std::ostream& out, const TraceHead& head) : out_(out) {
  if (head.classes.empty() || head.classes.size() > 0xffff || head.tenants.size() > kMostNames)
    throw std::invalid_argument("a trace has 1 to 65,535 classes and 100,000 tenants at most");
  std::string text(kMagic);
  Put(&text, kVersion);
  Put(&text, static_cast<std::uint16_t>(head.classes.size()));
  Put(&text, static_cast<std::uint32_t>(head.tenants.size()));
  for (const auto* names : {&head.classes, &head.tenants}) {
    for (const std::string& name : *names) {
      if (name.size() > kMostName) throw std::invalid_argument("a name of over 1,024 bytes");
      Put(&text, static_cast<std::uint16_t>(name.size()));
      text += name;
    }
  }
  Put(&text, Checksum(text));
  Write(out_, text);
}

TraceWriter::~TraceWriter() {
  try {
    Close();
  } catch (const std::exception&) {
    // The reader will find that the end is missing.
  }
}

void TraceWriter::Add(const TraceRecord& record) {
  const Arrival& a = record.arrival;
  if (closed_ || a.at < last_ || a.at > kLongestTrace || record.latency.count() < 0)
    throw std::invalid_argument("a record out of its order, or after the end");
  const Microseconds since = records_ == 0 ? a.at : a.at - last_;
  last_ = a.at;
  PutNumber(&block_, static_cast<std::uint64_t>(since.count()));
  for (const std::uint32_t number : {a.request_class, a.tenant, a.key, a.bytes}) PutNumber(&block_, number);
  block_ += static_cast<char>(record.outcome);
  if (record.outcome != TraceOutcome::kNone)
    PutNumber(&block_, static_cast<std::uint64_t>(record.latency.count()));
  if (++records_ == kBlockRecords) Flush();
}

void TraceWriter::Flush() {
  std::string head;
  Put(&head, records_);
  Put(&head, static_cast<std::uint32_t>(block_.size()));
  Put(&head, Checksum(block_));
  Write(out_, head);
  Write(out_, block_);
  block_.clear();
  records_ = 0;
}

void TraceWriter::Close() {
  if (std::exchange(closed_, true)) return;
  if (records_ > 0) Flush();
  Flush();  // the block without records
  out_.flush();
  if (!out_) throw std::runtime_error("the trace cannot be written");
}

// ---- reading ------------------------------------------------------------------------------------------
TraceReader::TraceReader(std::istream& in) : in_(in) {
  std::string head = Take(kMagic.size(), "the head");
  if (head != kMagic) throw BadTrace(0, "this is no trace");
  head += Take(8, "the head");
  const auto version = Get<std::uint16_t>(std::string_view(head).substr(8));
  if (version != kVersion) throw BadTrace(8, "version " + std::to_string(version) + " is not known; 1 is");
  const auto classes = Get<std::uint16_t>(std::string_view(head).substr(10));
  const auto tenants = Get<std::uint32_t>(std::string_view(head).substr(12));
  if (classes == 0 || tenants > kMostNames) throw BadTrace(10, "a number of names that no trace has");
  for (std::uint32_t i = 0; i < classes + tenants; ++i) {
    const std::string length = Take(2, "a name");
    const auto bytes = Get<std::uint16_t>(length);
    if (bytes > kMostName) throw BadTrace(offset_ - 2, "a name longer than any");
    const std::string name = Take(bytes, "a name");
    head += length + name;
    (i < classes ? head_.classes : head_.tenants).push_back(name);
  }
  const std::uint64_t at = offset_;
  if (Get<std::uint32_t>(Take(4, "the head's checksum")) != Checksum(head))
    throw BadTrace(at, "the head is damaged: its checksum is another");
}

std::string TraceReader::Take(std::size_t bytes, const char* what) {
  std::string taken(bytes, '\0');
  in_.read(taken.data(), static_cast<std::streamsize>(bytes));
  const auto got = static_cast<std::size_t>(in_.gcount());
  if (got < bytes) throw BadTrace(offset_ + got, std::string("the file ends within ") + what);
  offset_ += bytes;
  return taken;
}

bool TraceReader::NextBlock() {
  block_at_ = offset_;
  const std::string head = Take(12, "a block's head: it was cut short");
  left_ = Get<std::uint32_t>(head);
  const auto bytes = Get<std::uint32_t>(std::string_view(head).substr(4));
  if (left_ > kBlockRecords || bytes > kMostBlock || (left_ == 0) != (bytes == 0))
    throw BadTrace(block_at_, "a block larger than any");
  block_ = Take(bytes, "a block: it was cut short");
  at_ = 0;
  last_ = left_ == 0 ? last_ : Microseconds(0);
  if (Checksum(block_) != Get<std::uint32_t>(std::string_view(head).substr(8)))
    throw BadTrace(block_at_, "a block is damaged: its checksum is another");
  if (left_ > 0) return true;
  if (in_.peek() != std::istream::traits_type::eof())
    throw BadTrace(offset_, "bytes after the end of the trace");
  return false;
}

std::uint64_t TraceReader::Number(const char* what) {
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift < 64; shift += 7) {
    if (at_ == block_.size()) break;
    const auto byte = static_cast<unsigned char>(block_[at_++]);
    value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
    if (byte < 0x80) return value;
  }
  throw BadTrace(block_at_ + 12 + at_, std::string(what) + " is no number");
}

std::optional<TraceRecord> TraceReader::Next() {
  if (over_) return std::nullopt;
  if (left_ == 0) {
    const Microseconds before = last_;
    if (!NextBlock()) {
      over_ = true;
      return std::nullopt;
    }
    last_ = before;
  }
  const std::uint64_t begins = block_at_ + 12 + at_;
  const bool first = at_ == 0;
  const auto wrong = [&](const char* what) { return BadTrace(begins, what); };
  TraceRecord record;
  const std::uint64_t since = Number("a time");
  if (since > static_cast<std::uint64_t>(Microseconds(kLongestTrace).count()))
    throw wrong("a time out of range");
  record.arrival.at = Microseconds(static_cast<std::int64_t>(since)) + (first ? Microseconds(0) : last_);
  if (record.arrival.at < last_ || record.arrival.at > kLongestTrace) throw wrong("a time out of its order");
  for (std::uint32_t* field :
       {&record.arrival.request_class, &record.arrival.tenant, &record.arrival.key, &record.arrival.bytes}) {
    const std::uint64_t value = Number("a field");
    if (value > 0xffffffffu) throw wrong("a field out of range");
    *field = static_cast<std::uint32_t>(value);
  }
  if (record.arrival.request_class >= head_.classes.size())
    throw wrong("a class that the head does not name");
  if (record.arrival.tenant >= std::max<std::size_t>(1, head_.tenants.size()))
    throw wrong("a tenant that the head does not name");
  if (at_ == block_.size()) throw wrong("a record without its outcome");
  const auto outcome = static_cast<std::uint8_t>(block_[at_++]);
  if (outcome > static_cast<std::uint8_t>(TraceOutcome::kGaveUp)) throw wrong("an outcome that is not known");
  record.outcome = static_cast<TraceOutcome>(outcome);
  if (record.outcome != TraceOutcome::kNone) {
    const std::uint64_t latency = Number("a latency");
    if (latency > static_cast<std::uint64_t>(Microseconds(kLongestTrace).count()))
      throw wrong("a latency out of range");
    record.latency = Microseconds(static_cast<std::int64_t>(latency));
  }
  last_ = record.arrival.at;
  if (--left_ == 0 && at_ != block_.size())
    throw BadTrace(block_at_ + 12 + at_, "bytes after a block's last record");
  return record;
}

std::optional<Microseconds> Replay::DueAt(Microseconds intended) const {
  if (intended < from || intended >= until) return std::nullopt;
  const double us = static_cast<double>((intended - from).count()) / speed;
  return Microseconds(std::llround(us));
}

}  // namespace kestrelline::load

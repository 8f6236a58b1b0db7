// SPDX-License-Identifier: Apache-2.0
#include "replica/wire.h"

#include <algorithm>
#include <utility>

#include "peers/bytes.h"

namespace kestrelline::replica::wire {
namespace {

using peers::Reader;
using peers::Writer;

std::size_t NumberBytes(std::uint64_t n) {
  std::size_t bytes = 1;
  for (; n >= 0x80; n >>= 7) ++bytes;
  return bytes;
}

// The previous entry, relative to which the next one is encoded.
struct Base {
  Seq seq = 0;
  std::uint64_t until_ms = 0;
  static std::uint64_t ZigZag(std::uint64_t a, std::uint64_t b) {
    const auto d = static_cast<std::int64_t>(a - b);
    return (static_cast<std::uint64_t>(d) << 1) ^ static_cast<std::uint64_t>(d >> 63);
  }
  static std::uint64_t FromZigZag(std::uint64_t base, std::uint64_t zigzag) {
    return base + ((zigzag >> 1) ^ (~(zigzag & 1) + 1));
  }
};

// The detail of a claim is the hash of a zone name and a small cell number (claims.h), encoded separately.
void MergeResult(Writer& w, const Entry& e, Base* base) {
  w.Varint(e.seq - base->seq);
  w.Byte(static_cast<std::uint8_t>(e.subject.table));
  w.Fixed(e.subject.id);
  w.Fixed(static_cast<std::uint32_t>(e.subject.detail >> 32));
  w.Varint(e.subject.detail & 0xffffffff);
  w.Varint(Base::ZigZag(e.until_ms, base->until_ms));
  w.Varint(e.value);
  *base = {e.seq, e.until_ms};
}

std::size_t BytesOf(const Entry& e, const Base& base) {
  return NumberBytes(e.seq - base.seq) + 1 + 8 + 4 + NumberBytes(e.subject.detail & 0xffffffff) +
         NumberBytes(Base::ZigZag(e.until_ms, base.until_ms)) + NumberBytes(e.value);
}

void MergeResult(Writer& w, const Interval& i) {
  w.Fixed(i.origin);
  w.Fixed(i.owner);
  w.Varint(i.now_ms);
  w.Varint(i.after);
  w.Varint(i.upto - i.after);
  w.Varint(i.entries.size());
  Base base{i.after, i.now_ms};
  for (const Entry& e : i.entries) MergeResult(w, e, &base);
}

Interval GetInterval(Reader& r) {
  Interval i;
  i.origin = r.Fixed<std::uint64_t>();
  i.owner = r.Fixed<std::uint64_t>();
  i.now_ms = r.Varint();
  i.after = r.Varint();
  const auto length = r.Varint();
  if (length > ~0ull - i.after) r.Fail();
  i.upto = i.after + length;
  const auto n = r.Varint(kMaxBodyBytes);
  Base base{i.after, i.now_ms};
  for (std::uint64_t k = 0; k < n && r.ok(); ++k) {
    Entry e;
    const auto ahead = r.Varint();
    if (ahead == 0 || ahead > i.upto - base.seq) r.Fail();
    e.seq = base.seq + ahead;
    const std::uint8_t table = r.Byte();
    e.subject.table = static_cast<Table>(table);
    e.subject.id = r.Fixed<std::uint64_t>();
    e.subject.detail = std::uint64_t{r.Fixed<std::uint32_t>()} << 32;
    e.subject.detail |= r.Varint(0xffffffff);
    e.until_ms = Base::FromZigZag(base.until_ms, r.Varint());
    e.value = static_cast<std::uint32_t>(r.Varint(0xffffffff));
    base = {e.seq, e.until_ms};
    if (table >= 1 && table <= kTableCount) i.entries.push_back(e);
  }
  if (i.origin == 0) r.Fail();
  return i;
}

}  // namespace

Bytes Encode(const Message& m) {
  Bytes out;
  out.reserve(kMaxBodyBytes);
  Writer w(&out);
  w.Byte(kFormatVersion);
  w.Byte(static_cast<std::uint8_t>(m.kind));
  w.Byte(static_cast<std::uint8_t>((m.current ? 1 : 0) | (m.last ? 2 : 0)));
  w.Varint(m.number);
  w.Varint(m.intervals.size());
  for (const Interval& i : m.intervals) MergeResult(w, i);
  w.Varint(m.summaries.size());
  for (const CopySummary& h : m.summaries) {
    w.Fixed(h.origin), w.Fixed(h.owner);
    w.Varint(h.now_ms), w.Varint(h.upto), w.Varint(h.as_of_ms);
    w.Fixed(h.digest);
  }
  w.Varint(m.pulls.size());
  for (const Pull& pull : m.pulls) w.Fixed(pull.origin), w.Varint(pull.after);
  w.Varint(m.range_digests.size());
  for (const RangeDigests& range_digests : m.range_digests) {
    w.Fixed(range_digests.origin);
    w.Varint(range_digests.as_of_ms), w.Varint(range_digests.after),
        w.Varint(range_digests.upto - range_digests.after);
    for (const std::uint32_t digest : range_digests.digests) w.Fixed(digest);
  }
  return out;
}

std::optional<Message> Decode(std::span<const std::uint8_t> bytes) {
  Reader r(bytes);
  Message m;
  if (r.Byte() != kFormatVersion) return std::nullopt;
  const std::uint8_t kind = r.Byte(), flags = r.Byte();
  if (kind < 1 || kind > static_cast<std::uint8_t>(Message::Kind::kRangeDigests)) return std::nullopt;
  m.kind = static_cast<Message::Kind>(kind);
  m.current = flags & 1, m.last = flags & 2;
  m.number = r.Varint();
  for (auto n = r.Varint(kMaxItems); n > 0 && r.ok(); --n) m.intervals.push_back(GetInterval(r));
  for (auto n = r.Varint(kMaxItems); n > 0 && r.ok(); --n) {
    CopySummary& h = m.summaries.emplace_back();
    h.origin = r.Fixed<std::uint64_t>(), h.owner = r.Fixed<std::uint64_t>();
    h.now_ms = r.Varint(), h.upto = r.Varint(), h.as_of_ms = r.Varint();
    h.digest = r.Fixed<std::uint32_t>();
  }
  for (auto n = r.Varint(kMaxItems); n > 0 && r.ok(); --n) {
    Pull& pull = m.pulls.emplace_back();
    pull.origin = r.Fixed<std::uint64_t>(), pull.after = r.Varint();
  }
  for (auto n = r.Varint(kMaxItems); n > 0 && r.ok(); --n) {
    RangeDigests& range_digests = m.range_digests.emplace_back();
    range_digests.origin = r.Fixed<std::uint64_t>();
    range_digests.as_of_ms = r.Varint(), range_digests.after = r.Varint();
    const auto length = r.Varint();
    if (length > ~0ull - range_digests.after) r.Fail();
    range_digests.upto = range_digests.after + length;
    for (std::uint32_t& digest : range_digests.digests) digest = r.Fixed<std::uint32_t>();
  }
  if (!r.ok()) return std::nullopt;
  return m;
}

void Packer::Add(const Interval& whole) {
  Interval rest = whole;
  for (std::size_t next = 0;;) {
    if (!current_ || bytes_ + kMaxIntervalBytes + kMaxEntryBytes > kMaxBodyBytes ||
        current_->intervals.size() == kMaxItems) {
      if (current_) full_.push_back(std::move(*current_));
      current_ = header_;
      bytes_ = kHeaderBytes + 8;
    }
    Interval& part = current_->intervals.emplace_back(rest);
    part.entries.clear();
    bytes_ += kMaxIntervalBytes;
    Base base{part.after, part.now_ms};
    for (; next < whole.entries.size(); ++next) {
      const std::size_t more = BytesOf(whole.entries[next], base);
      if (bytes_ + more > kMaxBodyBytes) break;
      bytes_ += more;
      part.entries.push_back(whole.entries[next]);
      base = {whole.entries[next].seq, whole.entries[next].until_ms};
    }
    if (next == whole.entries.size()) return;
    part.upto = rest.after = part.entries.back().seq;
  }
}

std::vector<Message> Packer::Take() {
  if (current_) full_.push_back(std::move(*current_));
  current_.reset();
  return std::move(full_);
}

}  // namespace kestrelline::replica::wire

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

// What entries are written relative to.
struct Base {
  Seq seq = 0;
  std::uint64_t until_ms = 0;
  static std::uint64_t ZigZag(std::uint64_t a, std::uint64_t b) {
    const auto d = static_cast<std::int64_t>(a - b);
    return (static_cast<std::uint64_t>(d) << 1) ^ static_cast<std::uint64_t>(d >> 63);
  }
  static std::uint64_t Back(std::uint64_t base, std::uint64_t zigzag) {
    return base + ((zigzag >> 1) ^ (~(zigzag & 1) + 1));
  }
};

// A cell of a zone is a small number beside a hash: see claims.h.
void Put(Writer& w, const Entry& e, Base* base) {
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

void Put(Writer& w, const Interval& i) {
  w.Fixed(i.origin);
  w.Fixed(i.owner);
  w.Varint(i.now_ms);
  w.Varint(i.after);
  w.Varint(i.upto - i.after);
  w.Varint(i.entries.size());
  Base base{i.after, i.now_ms};
  for (const Entry& e : i.entries) Put(w, e, &base);
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
  const auto n = r.Varint(kMostBody);
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
    e.until_ms = Base::Back(base.until_ms, r.Varint());
    e.value = static_cast<std::uint32_t>(r.Varint(0xffffffff));
    base = {e.seq, e.until_ms};
    if (table >= 1 && table <= kTables) i.entries.push_back(e);
  }
  if (i.origin == 0) r.Fail();
  return i;
}

}  // namespace

Bytes Encode(const Message& m) {
  Bytes out;
  out.reserve(kMostBody);
  Writer w(&out);
  w.Byte(kForm);
  w.Byte(static_cast<std::uint8_t>(m.kind));
  w.Byte(static_cast<std::uint8_t>((m.current ? 1 : 0) | (m.last ? 2 : 0)));
  w.Varint(m.number);
  w.Varint(m.intervals.size());
  for (const Interval& i : m.intervals) Put(w, i);
  w.Varint(m.holdings.size());
  for (const Holding& h : m.holdings) {
    w.Fixed(h.origin), w.Fixed(h.owner);
    w.Varint(h.now_ms), w.Varint(h.upto), w.Varint(h.as_of_ms);
    w.Fixed(h.digest);
  }
  w.Varint(m.wants.size());
  for (const Want& want : m.wants) w.Fixed(want.origin), w.Varint(want.after);
  w.Varint(m.ranges.size());
  for (const Ranges& ranges : m.ranges) {
    w.Fixed(ranges.origin);
    w.Varint(ranges.as_of_ms), w.Varint(ranges.after), w.Varint(ranges.upto - ranges.after);
    for (const std::uint32_t digest : ranges.digests) w.Fixed(digest);
  }
  return out;
}

std::optional<Message> Decode(std::span<const std::uint8_t> bytes) {
  Reader r(bytes);
  Message m;
  if (r.Byte() != kForm) return std::nullopt;
  const std::uint8_t kind = r.Byte(), flags = r.Byte();
  if (kind < 1 || kind > static_cast<std::uint8_t>(Message::Kind::kRanges)) return std::nullopt;
  m.kind = static_cast<Message::Kind>(kind);
  m.current = flags & 1, m.last = flags & 2;
  m.number = r.Varint();
  for (auto n = r.Varint(kMostParts); n > 0 && r.ok(); --n) m.intervals.push_back(GetInterval(r));
  for (auto n = r.Varint(kMostParts); n > 0 && r.ok(); --n) {
    Holding& h = m.holdings.emplace_back();
    h.origin = r.Fixed<std::uint64_t>(), h.owner = r.Fixed<std::uint64_t>();
    h.now_ms = r.Varint(), h.upto = r.Varint(), h.as_of_ms = r.Varint();
    h.digest = r.Fixed<std::uint32_t>();
  }
  for (auto n = r.Varint(kMostParts); n > 0 && r.ok(); --n) {
    Want& want = m.wants.emplace_back();
    want.origin = r.Fixed<std::uint64_t>(), want.after = r.Varint();
  }
  for (auto n = r.Varint(kMostParts); n > 0 && r.ok(); --n) {
    Ranges& ranges = m.ranges.emplace_back();
    ranges.origin = r.Fixed<std::uint64_t>();
    ranges.as_of_ms = r.Varint(), ranges.after = r.Varint();
    const auto length = r.Varint();
    if (length > ~0ull - ranges.after) r.Fail();
    ranges.upto = ranges.after + length;
    for (std::uint32_t& digest : ranges.digests) digest = r.Fixed<std::uint32_t>();
  }
  if (!r.ok()) return std::nullopt;
  return m;
}

void Packer::Add(const Interval& whole) {
  Interval rest = whole;
  for (std::size_t at = 0;;) {
    if (!open_ || bytes_ + kMostIntervalBytes + kMostEntryBytes > kMostBody ||
        open_->intervals.size() == kMostParts) {
      if (open_) full_.push_back(std::move(*open_));
      open_ = head_;
      bytes_ = kHeadBytes + 8;
    }
    Interval& part = open_->intervals.emplace_back(rest);
    part.entries.clear();
    bytes_ += kMostIntervalBytes;
    Base base{part.after, part.now_ms};
    for (; at < whole.entries.size(); ++at) {
      const std::size_t more = BytesOf(whole.entries[at], base);
      if (bytes_ + more > kMostBody) break;
      bytes_ += more;
      part.entries.push_back(whole.entries[at]);
      base = {whole.entries[at].seq, whole.entries[at].until_ms};
    }
    if (at == whole.entries.size()) return;
    part.upto = rest.after = part.entries.back().seq;
  }
}

std::vector<Message> Packer::Take() {
  if (open_) full_.push_back(std::move(*open_));
  open_.reset();
  return std::move(full_);
}

}  // namespace kestrelline::replica::wire

// SPDX-License-Identifier: Apache-2.0
#include "concert/wire.h"

#include <bit>

#include "peers/bytes.h"

namespace kestrelline::concert::wire {
namespace {

using std::chrono::milliseconds;

void Put(peers::Writer* out, double number) { out->Fixed(std::bit_cast<std::uint64_t>(number)); }
double GetNumber(peers::Reader* in, double most) {
  const auto number = std::bit_cast<double>(in->Fixed<std::uint64_t>());
  if (!(number >= 0 && number <= most)) return in->Fail(), 0;
  return number;
}

}  // namespace

Bytes Encode(const Message& m) {
  Bytes bytes;
  peers::Writer out(&bytes);
  out.Byte(kForm);
  out.Byte(static_cast<std::uint8_t>(m.kind));
  out.Varint(m.term.number);
  out.Fixed(m.term.boot);
  out.Varint(m.round);
  if (m.kind == Message::Kind::kClaim) {
    out.Varint(m.grant.answers);
    out.Varint(m.grant.number);
    Put(&out, m.grant.share);
    out.Varint(static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(m.grant.lasts).count()));
  } else {
    out.Varint(m.greatest);
    out.Varint(m.number);
    out.Varint(m.place);
    out.Varint(m.taken);
    Put(&out, m.rate);
  }
  return bytes;
}

std::optional<Message> Decode(std::span<const std::uint8_t> bytes) {
  peers::Reader in(bytes);
  if (in.Byte() != kForm) return std::nullopt;
  Message m;
  const std::uint8_t kind = in.Byte();
  if (kind != 1 && kind != 2) return std::nullopt;
  m.kind = static_cast<Message::Kind>(kind);
  m.term.number = in.Varint();
  m.term.boot = in.Fixed<std::uint64_t>();
  m.round = in.Varint();
  if (m.kind == Message::Kind::kClaim) {
    m.grant.answers = in.Varint();
    m.grant.number = in.Varint();
    m.grant.share = GetNumber(&in, 1);
    m.grant.lasts = milliseconds(in.Varint(std::chrono::floor<milliseconds>(kLongest).count()));
  } else {
    m.greatest = in.Varint();
    m.number = in.Varint();
    m.place = static_cast<std::uint32_t>(in.Varint(~0u));
    m.taken = in.Varint();
    m.rate = GetNumber(&in, kMostRate);
  }
  if (!in.ok()) return std::nullopt;
  return m;
}

}  // namespace kestrelline::concert::wire

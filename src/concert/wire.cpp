// SPDX-License-Identifier: Apache-2.0
#include "concert/wire.h"

#include <bit>

#include "peers/bytes.h"

namespace kestrelline::quota::wire {
namespace {

using std::chrono::milliseconds;

void Put(peers::Writer* out, double number) { out->Whole(std::bit_cast<std::uint64_t>(number)); }
double GetNumber(peers::Reader* in, double most) {
  const auto number = std::bit_cast<double>(in->Whole<std::uint64_t>());
  if (!(number >= 0 && number <= most)) return in->Fail(), 0;
  return number;
}

}  // namespace

Bytes Encode(const Message& m) {
  Bytes bytes;
  peers::Writer out(&bytes);
  out.Byte(kForm);
  out.Byte(static_cast<std::uint8_t>(m.kind));
  out.Number(m.term.number);
  out.Whole(m.term.boot);
  out.Number(m.round);
  if (m.kind == Message::Kind::kClaim) {
    out.Number(m.grant.answers);
    out.Number(m.grant.number);
    Put(&out, m.grant.share);
    out.Number(static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(m.grant.lasts).count()));
  } else {
    out.Number(m.greatest);
    out.Number(m.number);
    out.Number(m.place);
    out.Number(m.taken);
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
  m.term.number = in.Number();
  m.term.boot = in.Whole<std::uint64_t>();
  m.round = in.Number();
  if (m.kind == Message::Kind::kClaim) {
    m.grant.answers = in.Number();
    m.grant.number = in.Number();
    m.grant.share = GetNumber(&in, 1);
    m.grant.lasts = milliseconds(in.Number(std::chrono::floor<milliseconds>(kLongest).count()));
  } else {
    m.greatest = in.Number();
    m.number = in.Number();
    m.place = static_cast<std::uint32_t>(in.Number(~0u));
    m.taken = in.Number();
    m.rate = GetNumber(&in, kMostRate);
  }
  if (!in.ok()) return std::nullopt;
  return m;
}

}  // namespace kestrelline::quota::wire

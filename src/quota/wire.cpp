// SPDX-License-Identifier: Apache-2.0
#include "quota/wire.h"

#include <bit>

#include "peers/bytes.h"

namespace kestrelline::quota::wire {
namespace {

using std::chrono::milliseconds;

void Put(peers::Writer* out, double number) { out->Fixed(std::bit_cast<std::uint64_t>(number)); }
double GetDouble(peers::Reader* in, double max) {
  const auto number = std::bit_cast<double>(in->Fixed<std::uint64_t>());
  if (!(number >= 0 && number <= max)) return in->Fail(), 0;
  return number;
}

}  // namespace

Bytes Encode(const Message& message) {
  Bytes bytes;
  peers::Writer out(&bytes);
  out.Byte(kFormatVersion);
  out.Byte(static_cast<std::uint8_t>(message.kind));
  out.Varint(message.term.number);
  out.Fixed(message.term.boot);
  out.Varint(message.round);
  if (message.kind == Message::Kind::kClaim) {
    out.Varint(message.grant.reply_number);
    out.Varint(message.grant.number);
    Put(&out, message.grant.share);
    out.Varint(static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(message.grant.duration).count()));
  } else {
    out.Varint(message.highest_term);
    out.Varint(message.number);
    out.Varint(message.member_index);
    out.Varint(message.accepted_grant);
    Put(&out, message.rate);
  }
  return bytes;
}

std::optional<Message> Decode(std::span<const std::uint8_t> bytes) {
  peers::Reader in(bytes);
  if (in.Byte() != kFormatVersion) return std::nullopt;
  Message message;
  const std::uint8_t kind = in.Byte();
  if (kind != 1 && kind != 2) return std::nullopt;
  message.kind = static_cast<Message::Kind>(kind);
  message.term.number = in.Varint();
  message.term.boot = in.Fixed<std::uint64_t>();
  message.round = in.Varint();
  if (message.kind == Message::Kind::kClaim) {
    message.grant.reply_number = in.Varint();
    message.grant.number = in.Varint();
    message.grant.share = GetDouble(&in, 1);
    message.grant.duration =
        milliseconds(in.Varint(std::chrono::floor<milliseconds>(kMaxGrantDuration).count()));
  } else {
    message.highest_term = in.Varint();
    message.number = in.Varint();
    message.member_index = static_cast<std::uint32_t>(in.Varint(~0u));
    message.accepted_grant = in.Varint();
    message.rate = GetDouble(&in, kMaxRate);
  }
  if (!in.ok()) return std::nullopt;
  return message;
}

}  // namespace kestrelline::quota::wire

// SPDX-License-Identifier: Apache-2.0
#include "quota/wire.h"

#include <bit>

#include "peers/bytes.h"

namespace kestrelline::quota::wire {
namespace {

using std::chrono::milliseconds;

void Put(peers::Writer* out, double number) { out->Whole(std::bit_cast<std::uint64_t>(number)); }
double GetDouble(peers::Reader* in, double max) {
  const auto number = std::bit_cast<double>(in->Whole<std::uint64_t>());
  if (!(number >= 0 && number <= max)) return in->Fail(), 0;
  return number;
}

}  // namespace

Bytes Encode(const Message& message) {
  Bytes bytes;
  peers::Writer out(&bytes);
  out.Byte(kFormatVersion);
  out.Byte(static_cast<std::uint8_t>(message.kind));
  out.Number(message.term.number);
  out.Whole(message.term.boot);
  out.Number(message.round);
  if (message.kind == Message::Kind::kClaim) {
    out.Number(message.grant.reply_number);
    out.Number(message.grant.number);
    Put(&out, message.grant.share);
    out.Number(static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(message.grant.duration).count()));
  } else {
    out.Number(message.highest_term);
    out.Number(message.number);
    out.Number(message.member_index);
    out.Number(message.accepted_grant);
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
  message.term.number = in.Number();
  message.term.boot = in.Whole<std::uint64_t>();
  message.round = in.Number();
  if (message.kind == Message::Kind::kClaim) {
    message.grant.reply_number = in.Number();
    message.grant.number = in.Number();
    message.grant.share = GetDouble(&in, 1);
    message.grant.duration =
        milliseconds(in.Number(std::chrono::floor<milliseconds>(kMaxGrantDuration).count()));
  } else {
    message.highest_term = in.Number();
    message.number = in.Number();
    message.member_index = static_cast<std::uint32_t>(in.Number(~0u));
    message.accepted_grant = in.Number();
    message.rate = GetDouble(&in, kMaxRate);
  }
  if (!in.ok()) return std::nullopt;
  return message;
}

}  // namespace kestrelline::quota::wire

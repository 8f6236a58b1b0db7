// SPDX-License-Identifier: Apache-2.0
#include "peers/wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace kestrelline::peers::wire {
namespace {

using nlohmann::json;

constexpr std::size_t kShortFields = 5, kFullFields = 9;
constexpr std::size_t kMostStatements = kMaxDatagramBytes / 8;

std::uint64_t Packed(const Address& a) { return (std::uint64_t{a.ip} << 16) | a.port; }
Address Unpacked(std::uint64_t n) {
  return {static_cast<std::uint32_t>(n >> 16), static_cast<std::uint16_t>(n)};
}

json ToJson(const Statement& s) {
  const Member& m = s.member;
  json all = json::array({m.name, m.boot, m.incarnation, static_cast<unsigned>(m.state), s.accuser});
  if (m.address.port != 0) {
    all.push_back(Packed(m.address));
    all.push_back(m.zone);
    all.push_back(m.version);
    all.push_back(m.wire);
  }
  return all;
}

// Reads the elements of an array one by one; says once and for all if one is not what it should be.
class Fields {
 public:
  explicit Fields(const json& array) : array_(array), ok_(array.is_array()) {}

  std::uint64_t Whole(std::uint64_t most = ~0ull) {
    const json* at = Next();
    if (!at || !at->is_number_unsigned() || at->get<std::uint64_t>() > most) return Wrong(), 0;
    return at->get<std::uint64_t>();
  }
  std::string Text(std::size_t most) {
    const json* at = Next();
    if (!at || !at->is_string()) return Wrong(), "";
    const auto& text = at->get_ref<const std::string&>();
    if (text.size() > most || !std::all_of(text.begin(), text.end(), IsPlain)) return Wrong(), "";
    return text;
  }
  const json* Next() {
    if (!ok_ || next_ >= array_.size()) return Wrong(), nullptr;
    return &array_[next_++];
  }
  std::size_t size() const { return ok_ ? array_.size() : 0; }
  bool ok() const { return ok_; }
  void Wrong() { ok_ = false; }

 private:
  const json& array_;
  std::size_t next_ = 0;
  bool ok_;
};

bool Read(const json& from, bool full, Statement* s) {
  Fields fields(from);
  Member& m = s->member;
  m.name = fields.Text(kMostName);
  m.boot = fields.Whole();
  m.incarnation = fields.Whole(~0ull >> 1);
  m.state = static_cast<State>(fields.Whole(kStates - 1));
  s->accuser = static_cast<std::uint32_t>(fields.Whole(0xffffffff));
  if (m.name.empty() || m.boot == 0) fields.Wrong();
  if (fields.size() < kFullFields) return fields.ok() && !full && fields.size() == kShortFields;
  m.address = Unpacked(fields.Whole(0xffffffffffff));
  m.zone = fields.Text(kMostZone);
  m.version = fields.Text(kMostVersion);
  m.wire = static_cast<std::uint8_t>(fields.Whole(255));
  return fields.ok() && m.address.port != 0 && m.wire >= kOldest;
}

// A member can hold no more than the bytes of a datagram however it is nested: depth is bounded by them.
std::optional<Message> ReadMessage(const json& root, std::uint8_t form) {
  Fields fields(root);
  Message m;
  const auto kind = fields.Whole(static_cast<unsigned>(Message::Kind::kJoin));
  if (!fields.ok() || kind == 0) return std::nullopt;
  m.kind = static_cast<Message::Kind>(kind);
  Statement from;
  const json* sender = fields.Next();
  if (!sender || !Read(*sender, true, &from)) return std::nullopt;
  m.from = std::move(from.member);
  m.number = fields.Whole();
  m.target = fields.Text(kMostName);
  m.target_boot = fields.Whole();
  m.target_address = Unpacked(fields.Whole(0xffffffffffff));
  const json* digest_field = fields.Next();
  if (!digest_field) return std::nullopt;
  Fields digest(*digest_field);
  if (!digest.ok() || (digest.size() != 0 && digest.size() != kBuckets)) return std::nullopt;
  for (std::size_t i = 0; i < digest.size(); ++i)
    m.digest.push_back(static_cast<std::uint32_t>(digest.Whole(0xffffffff)));
  for (std::uint64_t& word : m.whole) word = fields.Whole();
  m.reply = fields.Whole(1) != 0;
  const json* statements = fields.Next();
  if (!fields.ok() || !digest.ok() || !statements->is_array() || statements->size() > kMostStatements)
    return std::nullopt;
  for (const json& one : *statements) {
    if (!Read(one, false, &m.statements.emplace_back())) return std::nullopt;
  }
  if (form >= 2) m.view = fields.Whole();
  return fields.ok() ? std::optional(std::move(m)) : std::nullopt;
}

std::size_t MostBytes(const Member& m) {
  const std::size_t head = 1 + 2 + m.name.size() + 9 + 9 + 1 + 5;
  return m.address.port == 0 ? head : head + 9 + 2 + m.zone.size() + 2 + m.version.size() + 2;
}

}  // namespace

Bytes Encode(const Message& m, std::uint8_t form) {
  json statements = json::array();
  for (const Statement& s : m.statements) statements.push_back(ToJson(s));
  json all = json::array({static_cast<unsigned>(m.kind), ToJson({m.from, 0}), m.number, m.target,
                          m.target_boot, Packed(m.target_address), json(m.digest)});
  for (const std::uint64_t word : m.whole) all.push_back(word);
  all.push_back(m.reply ? 1u : 0u);
  all.push_back(std::move(statements));
  if (form >= 2) all.push_back(m.view);
  return json::to_cbor(all);
}

std::optional<Message> Decode(std::span<const std::uint8_t> bytes, std::uint8_t form) {
  if (bytes.size() > kMostBody || form < kOldest || form > kNewest) return std::nullopt;
  try {
    const json root =
        json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true, /*allow_exceptions=*/false);
    return root.is_discarded() ? std::nullopt : ReadMessage(root, form);
  } catch (const json::exception&) {  // an array said to be longer than any can be throws all the same
    return std::nullopt;
  }
}

std::size_t MostBytes(const Statement& s) { return MostBytes(s.member); }

std::size_t MostBytes(const Message& m) {
  std::size_t bytes = 2 + 2 + MostBytes(m.from) + 9 + 2 + m.target.size() + 9 + 9 + 2;
  bytes += m.digest.size() * 5 + 9 * m.whole.size() + 1 + 3 + 9;
  for (const Statement& s : m.statements) bytes += MostBytes(s);
  return bytes;
}

Statement Shortened(Statement s) {
  if (s.member.state == State::kAlive || s.member.state == State::kLeaving) return s;
  s.member.address = {};
  s.member.zone.clear();
  s.member.version.clear();
  s.member.wire = 1;
  return s;
}

}  // namespace kestrelline::peers::wire

// SPDX-License-Identifier: Apache-2.0
#include "peers/wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace kestrelline::peers::wire {
namespace {

using nlohmann::json;

constexpr std::size_t kShortFields = 5, kFullFields = 9;
constexpr std::size_t kMaxStatements = kMaxDatagramBytes / 8;

std::uint64_t Packed(const Address& a) { return (std::uint64_t{a.ip} << 16) | a.port; }
Address Unpacked(std::uint64_t n) {
  return {static_cast<std::uint32_t>(n >> 16), static_cast<std::uint16_t>(n)};
}

json ToJson(const Statement& s) {
  const Member& m = s.member;
  json array = json::array({m.name, m.boot, m.incarnation, static_cast<unsigned>(m.state), s.accuser});
  if (m.address.port != 0) {
    array.push_back(Packed(m.address));
    array.push_back(m.zone);
    array.push_back(m.version);
    array.push_back(m.wire);
  }
  return array;
}

// Reads the elements of an array in order; after the first missing or invalid one ok() stays false.
class Fields {
 public:
  explicit Fields(const json& array) : array_(array), ok_(array.is_array()) {}

  std::uint64_t Unsigned(std::uint64_t max = ~0ull) {
    const json* value = Next();
    if (!value || !value->is_number_unsigned() || value->get<std::uint64_t>() > max) return Fail(), 0;
    return value->get<std::uint64_t>();
  }
  std::string Text(std::size_t max) {
    const json* value = Next();
    if (!value || !value->is_string()) return Fail(), "";
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() > max || !std::all_of(text.begin(), text.end(), IsPlain)) return Fail(), "";
    return text;
  }
  const json* Next() {
    if (!ok_ || next_ >= array_.size()) return Fail(), nullptr;
    return &array_[next_++];
  }
  std::size_t size() const { return ok_ ? array_.size() : 0; }
  bool ok() const { return ok_; }
  void Fail() { ok_ = false; }

 private:
  const json& array_;
  std::size_t next_ = 0;
  bool ok_;
};

bool ReadStatement(const json& from, bool full, Statement* s) {
  Fields fields(from);
  Member& m = s->member;
  m.name = fields.Text(kMaxNameBytes);
  m.boot = fields.Unsigned();
  m.incarnation = fields.Unsigned(~0ull >> 1);
  m.state = static_cast<State>(fields.Unsigned(kStates - 1));
  s->accuser = static_cast<std::uint32_t>(fields.Unsigned(0xffffffff));
  if (m.name.empty() || m.boot == 0) fields.Fail();
  if (fields.size() < kFullFields) return fields.ok() && !full && fields.size() == kShortFields;
  m.address = Unpacked(fields.Unsigned(0xffffffffffff));
  m.zone = fields.Text(kMaxZoneBytes);
  m.version = fields.Text(kMaxVersionBytes);
  m.wire = static_cast<std::uint8_t>(fields.Unsigned(255));
  return fields.ok() && m.address.port != 0 && m.wire >= kOldestFormat;
}

// Needs no limit on nesting: the datagram's size bounds the depth.
std::optional<Message> ReadMessage(const json& root, std::uint8_t format) {
  Fields fields(root);
  Message m;
  const auto kind = fields.Unsigned(static_cast<unsigned>(Message::Kind::kJoin));
  if (!fields.ok() || kind == 0) return std::nullopt;
  m.kind = static_cast<Message::Kind>(kind);
  Statement from;
  const json* sender = fields.Next();
  if (!sender || !ReadStatement(*sender, true, &from)) return std::nullopt;
  m.from = std::move(from.member);
  m.number = fields.Unsigned();
  m.target = fields.Text(kMaxNameBytes);
  m.target_boot = fields.Unsigned();
  m.target_address = Unpacked(fields.Unsigned(0xffffffffffff));
  const json* digest_field = fields.Next();
  if (!digest_field) return std::nullopt;
  Fields digest(*digest_field);
  if (!digest.ok() || (digest.size() != 0 && digest.size() != kBuckets)) return std::nullopt;
  for (std::size_t i = 0; i < digest.size(); ++i)
    m.digest.push_back(static_cast<std::uint32_t>(digest.Unsigned(0xffffffff)));
  for (std::uint64_t& word : m.whole) word = fields.Unsigned();
  m.reply = fields.Unsigned(1) != 0;
  const json* statements = fields.Next();
  if (!fields.ok() || !digest.ok() || !statements->is_array() || statements->size() > kMaxStatements)
    return std::nullopt;
  for (const json& statement : *statements) {
    if (!ReadStatement(statement, false, &m.statements.emplace_back())) return std::nullopt;
  }
  if (format >= 2) m.view = fields.Unsigned();
  return fields.ok() ? std::optional(std::move(m)) : std::nullopt;
}

std::size_t MaxBytes(const Member& m) {
  const std::size_t head = 1 + 2 + m.name.size() + 9 + 9 + 1 + 5;
  return m.address.port == 0 ? head : head + 9 + 2 + m.zone.size() + 2 + m.version.size() + 2;
}

}  // namespace

Bytes Encode(const Message& m, std::uint8_t format) {
  json statements = json::array();
  for (const Statement& s : m.statements) statements.push_back(ToJson(s));
  json array = json::array({static_cast<unsigned>(m.kind), ToJson({m.from, 0}), m.number, m.target,
                            m.target_boot, Packed(m.target_address), json(m.digest)});
  for (const std::uint64_t word : m.whole) array.push_back(word);
  array.push_back(m.reply ? 1u : 0u);
  array.push_back(std::move(statements));
  if (format >= 2) array.push_back(m.view);
  return json::to_cbor(array);
}

std::optional<Message> Decode(std::span<const std::uint8_t> bytes, std::uint8_t format) {
  if (bytes.size() > kMaxBodyBytes || format < kOldestFormat || format > kNewestFormat) return std::nullopt;
  try {
    const json root =
        json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true, /*allow_exceptions=*/false);
    return root.is_discarded() ? std::nullopt : ReadMessage(root, format);
  } catch (const json::exception&) {
    // Thrown in spite of allow_exceptions if an array claims an impossible length.
    return std::nullopt;
  }
}

std::size_t MaxBytes(const Statement& s) { return MaxBytes(s.member); }

std::size_t MaxBytes(const Message& m) {
  std::size_t bytes = 2 + 2 + MaxBytes(m.from) + 9 + 2 + m.target.size() + 9 + 9 + 2;
  bytes += m.digest.size() * 5 + 9 * m.whole.size() + 1 + 3 + 9;
  for (const Statement& s : m.statements) bytes += MaxBytes(s);
  return bytes;
}

Statement ShortForm(Statement s) {
  if (s.member.state == State::kAlive || s.member.state == State::kLeaving) return s;
  s.member.address = {};
  s.member.zone.clear();
  s.member.version.clear();
  s.member.wire = 1;
  return s;
}

}  // namespace kestrelline::peers::wire

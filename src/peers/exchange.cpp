// SPDX-License-Identifier: Apache-2.0
#include "peers/exchange.h"

#include <map>
#include <string_view>
#include <utility>

#include "peers/wire.h"

namespace kestrelline::peers::exchange {
namespace {

// Packs statements into as few datagrams as needed, up to a maximum.
class DatagramPacker {
 public:
  DatagramPacker(const Message& base, std::size_t max_datagrams)
      : base_(base), max_datagrams_(max_datagrams) {}

  std::size_t room() const { return room_; }
  bool StartDatagram() {
    if (datagrams_.size() >= max_datagrams_) return false;
    datagrams_.push_back(base_);
    room_ = wire::kMaxBodyBytes - wire::MaxBytes(base_);
    return true;
  }
  bool Add(Statement statement) {
    const std::size_t bytes = wire::MaxBytes(statement);
    if ((datagrams_.empty() || bytes > room_) && !StartDatagram()) return false;
    if (bytes > room_) return false;
    room_ -= bytes;
    datagrams_.back().statements.push_back(std::move(statement));
    return true;
  }
  void MarkComplete(std::size_t bucket) { datagrams_.back().whole[bucket / 64] |= 1ull << (bucket % 64); }
  std::vector<Message> Take() { return std::move(datagrams_); }

 private:
  const Message& base_;
  std::size_t max_datagrams_, room_ = 0;
  std::vector<Message> datagrams_;
};

Statement StatementOf(const View::Entry& entry, bool whole) {
  Statement statement{entry.member, entry.accuser()};
  return whole ? statement : wire::ShortForm(std::move(statement));
}

}  // namespace

Buckets DifferingBuckets(const View& view, const std::vector<std::uint32_t>& digest) {
  Buckets differing;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket)
    differing[bucket] = digest.size() != kBuckets || digest[bucket] != view.digest()[bucket];
  return differing;
}

std::vector<Message> BuildEntries(const View& view, const Buckets& buckets, const Message& base,
                                  std::size_t start, std::size_t max_datagrams, bool include_failed_details) {
  std::vector<std::vector<Statement>> by_bucket(kBuckets);
  for (const auto& [name, entry] : view.entries()) {
    const std::size_t bucket = BucketOf(name);
    if (!buckets[bucket]) continue;
    const bool whole =
        Present(entry.member.state) || (include_failed_details && entry.member.state == State::kFaulty);
    by_bucket[bucket].push_back(StatementOf(entry, whole));
  }
  DatagramPacker packer(base, max_datagrams);
  if (max_datagrams > 0) packer.StartDatagram();
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const std::size_t bucket = (start + i) % kBuckets;
    if (!buckets[bucket]) continue;
    std::size_t bytes = 0;
    for (const Statement& s : by_bucket[bucket]) bytes += wire::MaxBytes(s);
    const bool whole = bytes <= packer.room() || (packer.StartDatagram() && bytes <= packer.room());
    for (Statement& s : by_bucket[bucket])
      if (!packer.Add(std::move(s))) return packer.Take();
    if (whole) packer.MarkComplete(bucket);
  }
  return packer.Take();
}

std::vector<Message> BuildReply(const View& view, const Message& received, const Message& base,
                                std::size_t max_datagrams) {
  std::map<std::string_view, const Member*> listed;
  for (const Statement& s : received.statements) listed[s.member.name] = &s.member;
  DatagramPacker packer(base, max_datagrams);
  for (const auto& [name, entry] : view.entries()) {
    const auto match = listed.find(name);
    const std::size_t bucket = BucketOf(name);
    const bool bucket_complete = (received.whole[bucket / 64] >> (bucket % 64)) & 1;
    const bool wanted = match != listed.end() ? ComparePrecedence(entry.member, *match->second) > 0
                                              : bucket_complete && Present(entry.member.state);
    if (wanted && !packer.Add(StatementOf(entry, Present(entry.member.state)))) break;
  }
  return packer.Take();
}

}  // namespace kestrelline::peers::exchange

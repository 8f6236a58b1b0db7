// SPDX-License-Identifier: Apache-2.0
#include "peers/exchange.h"

#include <map>
#include <string_view>
#include <utility>

#include "peers/wire.h"

namespace kestrelline::peers::exchange {
namespace {

// Fills one datagram after the other.
class Pages {
 public:
  Pages(const Message& base, std::size_t most) : base_(base), most_(most) {}

  std::size_t room() const { return room_; }
  bool Open() {
    if (pages_.size() >= most_) return false;
    pages_.push_back(base_);
    room_ = wire::kMostBody - wire::MostBytes(base_);
    return true;
  }
  bool Add(Statement statement) {
    const std::size_t bytes = wire::MostBytes(statement);
    if ((pages_.empty() || bytes > room_) && !Open()) return false;
    if (bytes > room_) return false;
    room_ -= bytes;
    pages_.back().statements.push_back(std::move(statement));
    return true;
  }
  void MarkWhole(std::size_t bucket) { pages_.back().whole[bucket / 64] |= 1ull << (bucket % 64); }
  std::vector<Message> Take() { return std::move(pages_); }

 private:
  const Message& base_;
  std::size_t most_, room_ = 0;
  std::vector<Message> pages_;
};

Statement StatementOf(const View::Entry& entry, bool whole) {
  Statement statement{entry.member, entry.accuser()};
  return whole ? statement : wire::Shortened(std::move(statement));
}

}  // namespace

Buckets Differing(const View& view, const std::vector<std::uint32_t>& digest) {
  Buckets differing;
  for (std::size_t b = 0; b < kBuckets; ++b)
    differing[b] = digest.size() != kBuckets || digest[b] != view.digest()[b];
  return differing;
}

std::vector<Message> Tell(const View& view, const Buckets& buckets, const Message& base, std::size_t start,
                          std::size_t most, bool ends_whole) {
  std::vector<std::vector<Statement>> by_bucket(kBuckets);
  for (const auto& [name, entry] : view.entries()) {
    const std::size_t b = BucketOf(name);
    if (!buckets[b]) continue;
    const bool whole = Present(entry.member.state) || (ends_whole && entry.member.state == State::kFaulty);
    by_bucket[b].push_back(StatementOf(entry, whole));
  }
  Pages pages(base, most);
  if (most > 0) pages.Open();
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const std::size_t b = (start + i) % kBuckets;
    if (!buckets[b]) continue;
    std::size_t bytes = 0;
    for (const Statement& s : by_bucket[b]) bytes += wire::MostBytes(s);
    const bool whole = bytes <= pages.room() || (pages.Open() && bytes <= pages.room());
    for (Statement& s : by_bucket[b])
      if (!pages.Add(std::move(s))) return pages.Take();
    if (whole) pages.MarkWhole(b);
  }
  return pages.Take();
}

std::vector<Message> Answer(const View& view, const Message& told, const Message& base, std::size_t most) {
  std::map<std::string_view, const Member*> listed;
  for (const Statement& s : told.statements) listed[s.member.name] = &s.member;
  Pages pages(base, most);
  for (const auto& [name, entry] : view.entries()) {
    const auto found = listed.find(name);
    const std::size_t b = BucketOf(name);
    const bool was_whole = (told.whole[b / 64] >> (b % 64)) & 1;
    const bool wanted = found != listed.end() ? Rank(entry.member, *found->second) > 0
                                              : was_whole && Present(entry.member.state);
    if (wanted && !pages.Add(StatementOf(entry, Present(entry.member.state)))) break;
  }
  return pages.Take();
}

}  // namespace kestrelline::peers::exchange

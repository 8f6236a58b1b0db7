// SPDX-License-Identifier: Apache-2.0
#include "replica/stream.h"

#include <algorithm>
#include <iterator>

namespace kestrelline::replica {

Stream::Put Stream::Merge(const Entry& entry, std::optional<Entry>* displaced) {
  const auto latest = by_subject_.find(entry.subject);
  if (latest != by_subject_.end() && latest->second > entry.seq) return Put::kOld;
  if (const auto same = entries_.find(entry.seq); same != entries_.end()) {
    if (entry <= same->second) return Put::kOld;
    if (const auto old = Drop(entry.seq); displaced) *displaced = old;
  } else if (latest != by_subject_.end()) {
    if (const auto old = Drop(latest->second); displaced) *displaced = old;
  }
  entries_.emplace(entry.seq, entry);
  by_subject_[entry.subject] = entry.seq;
  Account(entry, true);
  return Put::kStored;
}

void Stream::Cover(Seq after, Seq upto) {
  if (upto <= after || upto <= upto_) return;
  // With all that it touches.
  auto at = apart_.upper_bound(after);
  if (at != apart_.begin() && std::prev(at)->second >= after) --at;
  while (at != apart_.end() && at->first <= upto) {
    after = std::min(after, at->first);
    upto = std::max(upto, at->second);
    at = apart_.erase(at);
  }
  if (after <= upto_) {
    upto_ = upto;
  } else {
    apart_.emplace(after, upto);
    if (apart_.size() > kMostApart) apart_.erase(std::prev(apart_.end()));
  }
}

const Entry* Stream::Find(Seq seq) const {
  const auto found = entries_.find(seq);
  return found == entries_.end() ? nullptr : &found->second;
}

const Entry* Stream::Find(const Subject& subject) const {
  const auto found = by_subject_.find(subject);
  return found == by_subject_.end() ? nullptr : Find(found->second);
}

std::optional<Entry> Stream::Drop(Seq seq) {
  const auto found = entries_.find(seq);
  if (found == entries_.end()) return std::nullopt;
  const Entry entry = found->second;
  entries_.erase(found);
  if (const auto latest = by_subject_.find(entry.subject);
      latest != by_subject_.end() && latest->second == seq)
    by_subject_.erase(latest);
  Account(entry, false);
  return entry;
}

void Stream::Account(const Entry& entry, bool add) {
  const std::uint64_t bucket = entry.until_ms / kBucketMs;
  std::uint64_t& sum = sums_[bucket];
  sum = add ? sum + HashOf(entry) : sum - HashOf(entry);
  if (sum == 0) sums_.erase(bucket);
}

std::uint64_t Stream::Digest(std::uint64_t as_of_ms) const {
  std::uint64_t sum = 0;
  for (auto at = sums_.upper_bound(as_of_ms / kBucketMs); at != sums_.end(); ++at) sum += at->second;
  return sum;
}

std::uint64_t Stream::Digest(std::uint64_t as_of_ms, Seq after, Seq upto, std::size_t* count) const {
  std::uint64_t sum = 0;
  for (auto at = entries_.upper_bound(after); at != entries_.end() && at->first <= upto; ++at) {
    if (at->second.until_ms / kBucketMs <= as_of_ms / kBucketMs) continue;
    sum += HashOf(at->second);
    ++*count;
  }
  return sum;
}

}  // namespace kestrelline::replica

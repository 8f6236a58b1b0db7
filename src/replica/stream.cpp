// SPDX-License-Identifier: Apache-2.0
#include "replica/stream.h"

#include <algorithm>
#include <iterator>

namespace kestrelline::replica {

Stream::MergeResult Stream::Merge(const Entry& entry, std::optional<Entry>* displaced) {
  const auto latest = by_subject_.find(entry.subject);
  if (latest != by_subject_.end() && latest->second > entry.seq) return MergeResult::kOutdated;
  if (const auto same = entries_.find(entry.seq); same != entries_.end()) {
    if (entry <= same->second) return MergeResult::kOutdated;
    if (const auto old = Remove(entry.seq); displaced) *displaced = old;
  } else if (latest != by_subject_.end()) {
    if (const auto old = Remove(latest->second); displaced) *displaced = old;
  }
  entries_.emplace(entry.seq, entry);
  by_subject_[entry.subject] = entry.seq;
  UpdateDigests(entry, true);
  return MergeResult::kStored;
}

void Stream::MarkKnown(Seq after, Seq upto) {
  if (upto <= after || upto <= upto_) return;
  // Merge with all detached intervals that it touches.
  auto interval = detached_.upper_bound(after);
  if (interval != detached_.begin() && std::prev(interval)->second >= after) --interval;
  while (interval != detached_.end() && interval->first <= upto) {
    after = std::min(after, interval->first);
    upto = std::max(upto, interval->second);
    interval = detached_.erase(interval);
  }
  if (after <= upto_) {
    upto_ = upto;
  } else {
    detached_.emplace(after, upto);
    if (detached_.size() > kMaxDetached) detached_.erase(std::prev(detached_.end()));
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

std::optional<Entry> Stream::Remove(Seq seq) {
  const auto found = entries_.find(seq);
  if (found == entries_.end()) return std::nullopt;
  const Entry entry = found->second;
  entries_.erase(found);
  if (const auto latest = by_subject_.find(entry.subject);
      latest != by_subject_.end() && latest->second == seq)
    by_subject_.erase(latest);
  UpdateDigests(entry, false);
  return entry;
}

void Stream::UpdateDigests(const Entry& entry, bool add) {
  const std::uint64_t bucket = entry.until_ms / kBucketMs;
  std::uint64_t& sum = digest_by_bucket_[bucket];
  sum = add ? sum + HashOf(entry) : sum - HashOf(entry);
  if (sum == 0) digest_by_bucket_.erase(bucket);
}

std::uint64_t Stream::Digest(std::uint64_t as_of_ms) const {
  std::uint64_t sum = 0;
  for (auto it = digest_by_bucket_.upper_bound(as_of_ms / kBucketMs); it != digest_by_bucket_.end(); ++it)
    sum += it->second;
  return sum;
}

std::uint64_t Stream::Digest(std::uint64_t as_of_ms, Seq after, Seq upto, std::size_t* count) const {
  std::uint64_t sum = 0;
  for (auto it = entries_.upper_bound(after); it != entries_.end() && it->first <= upto; ++it) {
    if (it->second.until_ms / kBucketMs <= as_of_ms / kBucketMs) continue;
    sum += HashOf(it->second);
    ++*count;
  }
  return sum;
}

}  // namespace kestrelline::replica

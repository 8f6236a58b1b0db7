// SPDX-License-Identifier: Apache-2.0
//
// The local copy of one origin's entries. No I/O, no clock.
//
// Merging is commutative, associative and idempotent, whatever messages are lost, duplicated or reordered (up
// to kMaxDetached gaps; beyond that, knowledge is forgotten, but never made up). Should two entries ever have
// the same sequence number, which only a fault can cause, the greater one wins.
#ifndef KESTRELLINE_REPLICA_STREAM_H_
#define KESTRELLINE_REPLICA_STREAM_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "replica/entry.h"

namespace kestrelline::replica {

class Stream {
 public:
  // Digests are kept per bucket of expiry time, so that entries that have expired for one copy and not yet
  // for another can be left out of a comparison.
  static constexpr std::uint64_t kBucketMs = 1024;

  explicit Stream(std::uint64_t owner = 0) : owner_(owner) {}

  enum class MergeResult { kOutdated, kStored };
  // `displaced`: set to the entry that was replaced, if any.
  MergeResult Merge(const Entry& entry, std::optional<Entry>* displaced = nullptr);
  // Marks the sequence numbers after `after` and up to `upto` as known: those without an entry here are void.
  void MarkKnown(Seq after, Seq upto);
  const Entry* Find(Seq seq) const;
  const Entry* Find(const Subject& subject) const;
  // Removes and returns an entry that has expired or is evicted.
  std::optional<Entry> Remove(Seq seq);

  // Everything up to here is known.
  Seq upto() const { return upto_; }
  // The last sequence number of which anything is known, also beyond gaps.
  Seq top() const { return entries_.empty() ? upto_ : std::max(upto_, entries_.rbegin()->first); }
  std::uint64_t owner() const { return owner_; }
  void SetOwner(std::uint64_t owner) { owner_ = owner; }
  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  const std::map<Seq, Entry>& entries() const { return entries_; }

  // Digest of all entries that expire in a bucket after that of `as_of_ms`.
  std::uint64_t Digest(std::uint64_t as_of_ms) const;
  // The same for the sequence numbers after `after` and up to `upto`; their number is added to `count`.
  std::uint64_t Digest(std::uint64_t as_of_ms, Seq after, Seq upto, std::size_t* count) const;

 private:
  // Maximum number of known intervals beyond a gap. Of more, the one furthest ahead is dropped and requested
  // again.
  static constexpr std::size_t kMaxDetached = 32;

  void UpdateDigests(const Entry& entry, bool add);

  std::uint64_t owner_;
  Seq upto_ = 0;
  std::map<Seq, Seq> detached_;  // known intervals beyond a gap: after, upto; no two of them touch
  std::map<Seq, Entry> entries_;
  // The latest entry of each subject. A tree, because a hash table would stall while it grows.
  std::map<Subject, Seq> by_subject_;
  std::map<std::uint64_t, std::uint64_t> digest_by_bucket_;  // sums of entry hashes
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_STREAM_H_

// SPDX-License-Identifier: Apache-2.0
//
// What is held of one origin. No I/O, no clock.
//
// A join: merging is commutative, associative and idempotent, whatever is lost, doubled or overtaken on the
// way (up to kMostApart gaps; beyond, what is known is forgotten, never made up). Of two entries under one
// number, which only a fault makes, the greater holds.
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
  // Sums of hashes of entries, by when they end: what has ended for one copy and not yet for another can be
  // left out.
  static constexpr std::uint64_t kBucketMs = 1024;

  explicit Stream(std::uint64_t owner = 0) : owner_(owner) {}

  enum class Put { kOld, kStored };
  // `displaced`: what it has taken the place of.
  Put Merge(const Entry& entry, std::optional<Entry>* displaced = nullptr);
  // Of the numbers over `after`, up to `upto`, nothing that is not here holds any more.
  void Cover(Seq after, Seq upto);
  const Entry* Find(Seq seq) const;
  const Entry* Find(const Subject& subject) const;
  // Takes what is there no longer: it has ended, or makes room.
  std::optional<Entry> Drop(Seq seq);

  // All up to there is known; and the last of what is known beyond it.
  Seq upto() const { return upto_; }
  Seq top() const { return entries_.empty() ? upto_ : std::max(upto_, entries_.rbegin()->first); }
  std::uint64_t owner() const { return owner_; }
  void SetOwner(std::uint64_t owner) { owner_ = owner; }
  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  const std::map<Seq, Entry>& entries() const { return entries_; }

  // Of all entries that end in a bucket after that of `as_of_ms`.
  std::uint64_t Digest(std::uint64_t as_of_ms) const;
  // The same of those with numbers over `after`, up to `upto`.
  std::uint64_t Digest(std::uint64_t as_of_ms, Seq after, Seq upto, std::size_t* count) const;

 private:
  // Parts that came before what goes before them; of more, what is furthest on is asked for again.
  static constexpr std::size_t kMostApart = 32;

  void Account(const Entry& entry, bool add);

  std::uint64_t owner_;
  Seq upto_ = 0;
  std::map<Seq, Seq> apart_;  // known beyond that: after, upto; none touches another
  std::map<Seq, Entry> entries_;
  std::map<Subject, Seq> by_subject_;            // the latest of each; a tree, as nothing in it ever moves
  std::map<std::uint64_t, std::uint64_t> sums_;  // by bucket
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_STREAM_H_

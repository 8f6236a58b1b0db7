// SPDX-License-Identifier: Apache-2.0
//
// This process's copy of all replicated data: one stream per origin, indexed by key and by expiry. No I/O, no
// clock.
//
// Limits: `max_entries` over all streams, about 200 bytes each, and kMaxStreams. At the first limit the
// entries that expire first are evicted, even the one being written. From then on nothing that expires before
// them is accepted, so that copies don't keep exchanging evicted entries. At the second limit an empty stream
// is dropped; if there is none, the new origin is refused. Evictions and refusals are counted.
#ifndef KESTRELLINE_REPLICA_STORE_H_
#define KESTRELLINE_REPLICA_STORE_H_

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "replica/entry.h"
#include "replica/stream.h"

namespace kestrelline::replica {

class Store {
 public:
  static constexpr std::size_t kMaxStreams = 8192;
  // Expired entries are kept this much longer, because they may still be valid for another copy.
  static constexpr std::uint64_t kGracePeriodMs = 5000;

  struct Counts {
    std::uint64_t written = 0, merged = 0, evicted = 0, refused = 0;  // entries
    std::uint64_t streams_refused = 0;
  };

  Store(Origin own, std::uint64_t owner, std::size_t max_entries, Time now);

  Origin own() const { return own_; }
  // Gives this process another origin, after another process was found to use the same one. Its valid entries
  // are written again under the new origin.
  void ChangeOrigin(Time now, Origin origin);

  // Writes an own entry that expires `lifetime` from now. It replaces an earlier one of the same subject, and
  // expires no earlier than that one. Returns 0 if there is no room, because all other entries expire later.
  Seq Write(Time now, const Subject& subject, Span lifetime, std::uint32_t value);
  // Returns true if anything in it was new. Malformed entries (with an expiry beyond the maximum lifetime)
  // are dropped.
  bool Merge(Time now, const Interval& interval);

  // The valid entries of `origin` after `after`, at most `max_entries` of them.
  Interval EntriesAfter(Time now, Origin origin, Seq after, std::size_t max_entries) const;
  // All valid entries after `after` and up to `upto`, including those beyond gaps: as intervals that leave
  // out the gaps.
  std::vector<Interval> EntriesBetween(Time now, Origin origin, Seq after, Seq upto) const;
  // An entry that is valid, with its expiry on the local clock.
  struct Match {
    Origin origin = 0;
    Entry entry;
    Time until{};
  };
  // The valid entries of a key, of all origins, whatever their value.
  std::vector<Match> Find(Time now, Table table, std::uint64_t id) const;
  // Visits all valid entries of a table.
  void ForEach(Time now, Table table,
               const std::function<void(std::uint64_t owner, const Match&)>& visit) const;

  // Removes expired entries, and empty streams except those whose owner `keeps` accepts. Returns false if
  // more is left: the work of one call is limited, because requests wait meanwhile.
  static constexpr std::size_t kMaxForgottenPerTick = 500;
  bool Tick(Time now, const std::function<bool(std::uint64_t owner)>& keeps);

  const std::map<Origin, Stream>& streams() const { return streams_; }
  const Stream* StreamOf(Origin origin) const;
  Seq upto(Origin origin) const { return StreamOf(origin) ? StreamOf(origin)->upto() : 0; }
  std::size_t size() const { return size_; }
  const Counts& counts() const { return counts_; }

  // The origin's clock as far as it is known here, which is never ahead of the origin.
  std::uint64_t NowOf(Origin origin, Time now) const;
  void LearnClock(Origin origin, std::uint64_t now_ms, Time now);
  // Entries that expire before this, by the origin's clock, may be missing here because of the entry limit.
  std::uint64_t EvictionHorizon(Origin origin) const;

 private:
  struct EntryId {
    Origin origin;
    Seq seq;
    bool operator==(const EntryId&) const = default;
  };
  Stream* FindOrAddStream(Origin origin, std::uint64_t owner);
  bool Add(Origin origin, Stream& stream, const Entry& entry);
  void Unindex(Origin origin, const Entry& entry);
  void MakeRoom();
  std::int64_t BucketOf(Origin origin, std::uint64_t until_ms) const;
  Time TimeOf(Origin origin, std::uint64_t ms) const;

  Origin own_;
  std::uint64_t owner_;
  std::size_t max_entries_, size_ = 0;
  Seq last_seq_ = 0;
  std::map<Origin, Stream> streams_;
  std::map<Origin, Time> clock_starts_;  // local time at which each origin's clock started; never too early
  // Sharded, so that no single hash table takes long to grow: rehashing one table of 100,000 entries took 6
  // ms, while requests waited.
  static constexpr std::size_t kShards = 64;
  static std::size_t ShardOf(std::uint64_t id) { return hashing::Mixed(id) % kShards; }
  using IdIndex = boost::unordered_flat_map<std::uint64_t, std::vector<EntryId>>;
  IdIndex& IndexFor(std::uint64_t id) { return by_id_[ShardOf(id)]; }
  std::array<IdIndex, kShards> by_id_;
  // Entries by expiry, in seconds of the local steady clock. An entry may be filed later than its expiry, if
  // a better estimate of its origin's clock became known since.
  std::map<std::int64_t, std::vector<EntryId>> by_end_;
  std::int64_t evicted_until_ = 0;  // seconds, as in `by_end_`: entries that expire up to then were evicted
  Counts counts_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_STORE_H_

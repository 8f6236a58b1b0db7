// SPDX-License-Identifier: Apache-2.0
//
// This process's copy of what all share: a stream for each origin, found by key and by end. No I/O, no clock.
//
// Bounds: `most_entries` over all streams, some 200 bytes each, and kMostStreams. At the first what ends
// soonest makes way, also what is just being written; from then on nothing that ends before it is taken in,
// so that copies do not fight over it. At the second a stream without entries makes way; without such a new
// origin is not taken in. All of it is counted.
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
  static constexpr std::size_t kMostStreams = 8192;
  // What has ended is held for so long yet: another copy may take it for good still.
  static constexpr std::uint64_t kLingerMs = 5000;

  struct Counts {
    std::uint64_t written = 0, merged = 0, evicted = 0, refused = 0;  // entries
    std::uint64_t streams_refused = 0;
  };

  Store(Origin own, std::uint64_t owner, std::size_t most_entries, Time now);

  Origin own() const { return own_; }
  // Another origin for this process: another one goes by the same. What it wrote is written again.
  void Reorigin(Time now, Origin origin);

  // `keep` from now on. Of one subject the latest holds, for at least as long as what it takes the place of.
  // 0 if there is no room for it: all that is held ends later.
  Seq Write(Time now, const Subject& subject, Span keep, std::uint32_t value);
  // True if anything of it was new. What is malformed (times beyond any keep) is left out.
  bool Merge(Time now, const Interval& interval);

  // What holds of `origin` after `after`, at most `most` entries.
  Interval Since(Time now, Origin origin, Seq after, std::size_t most) const;
  // All entries with numbers over `after`, up to `upto`, also those that are known with gaps before them: as
  // intervals that claim nothing of the gaps.
  std::vector<Interval> Part(Time now, Origin origin, Seq after, Seq upto) const;
  // Those of a key, at all origins, whatever their value, that have not ended.
  struct Found {
    Origin origin = 0;
    Entry entry;
    Time until{};
  };
  std::vector<Found> Find(Time now, Table table, std::uint64_t id) const;
  // All that have not ended.
  void ForEach(Time now, Table table,
               const std::function<void(std::uint64_t owner, const Found&)>& visit) const;

  // Forgets what has ended, and streams of which nothing is left but those that `keeps` names. False if there
  // is more to forget than one call does: requests wait meanwhile.
  static constexpr std::size_t kMostForgotten = 500;
  bool Tick(Time now, const std::function<bool(std::uint64_t owner)>& keeps);

  const std::map<Origin, Stream>& streams() const { return streams_; }
  const Stream* Of(Origin origin) const;
  Seq upto(Origin origin) const { return Of(origin) ? Of(origin)->upto() : 0; }
  std::size_t size() const { return size_; }
  const Counts& counts() const { return counts_; }

  // The origin's clock as it is known here; it never runs ahead.
  std::uint64_t NowOf(Origin origin, Time now) const;
  void LearnClock(Origin origin, std::uint64_t now_ms, Time now);
  // Before this, by the origin's clock, some of it may be left out here for want of room.
  std::uint64_t FloorOf(Origin origin) const;

 private:
  struct Dot {
    Origin origin;
    Seq seq;
    bool operator==(const Dot&) const = default;
  };
  Stream* Open(Origin origin, std::uint64_t owner);
  bool Add(Origin origin, Stream& stream, const Entry& entry);
  void Forget(Origin origin, const Entry& entry);
  void MakeRoom();
  std::int64_t BucketOf(Origin origin, std::uint64_t until_ms) const;
  Time TimeOf(Origin origin, std::uint64_t ms) const;

  Origin own_;
  std::uint64_t owner_;
  std::size_t most_, size_ = 0;
  Seq last_ = 0;
  std::map<Origin, Stream> streams_;
  std::map<Origin, Time> began_;  // when each clock did, as far as is known: never before that
  // In parts, so that none takes long to grow: one table of 100,000 moved for 6 ms, while requests waited.
  static constexpr std::size_t kShards = 64;
  static std::size_t ShardOf(std::uint64_t id) { return hashing::Mixed(id) % kShards; }
  using ById_ = boost::unordered_flat_map<std::uint64_t, std::vector<Dot>>;
  ById_& ById(std::uint64_t id) { return by_id_[ShardOf(id)]; }
  std::array<ById_, kShards> by_id_;
  // By when they end, here: seconds of the steady clock. An entry of an origin whose clock was learned better
  // since stands under a later one than it needs to.
  std::map<std::int64_t, std::vector<Dot>> by_end_;
  std::int64_t floor_ = 0;  // seconds: what ended up to then has made way
  Counts counts_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_STORE_H_

// SPDX-License-Identifier: Apache-2.0
//
// The laws of merging, bounds, ends, and what comes as bytes.
#include "replica/store.h"

#include <gtest/gtest.h>

#include <random>

#include "replica/claims.h"
#include "replica/message_fuzz.h"
#include "replica/rounds.h"
#include "replica/wire.h"

namespace kestrelline::replica {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{std::chrono::hours(1)};

// What an origin writes over some time, as whole intervals between any two numbers.
struct History {
  explicit History(std::uint64_t seed, std::size_t most = 100000) : store(seed | 1, 7, most, kStart) {
    std::mt19937_64 draw(seed);
    for (int i = 0; i < 40; ++i) {
      const Subject subject{Table::kClaims, draw() % 12, draw() % 2};
      store.Write(kStart + milliseconds(i), subject, seconds(10 + draw() % 100),
                  static_cast<std::uint32_t>(draw() % 2));
    }
  }
  Interval Part(Seq after, Seq upto) const {
    Interval part = store.Since(kStart + milliseconds(50), store.own(), after, 1000);
    std::erase_if(part.entries, [&](const Entry& e) { return e.seq > upto; });
    part.upto = upto;
    return part;
  }
  Store store;
};

// All that a copy holds, for comparison.
std::vector<Interval> All(const Store& store) {
  std::vector<Interval> all;
  for (const auto& [origin, stream] : store.streams())
    if (origin != store.own()) all.push_back(store.Since(kStart + seconds(1), origin, 0, 100000));
  for (Interval& i : all) i.now_ms = 0;
  return all;
}

// Whatever order parts come in, twice or overlapping, and whichever copies they come by: 10^6 pairs of parts.
TEST(ReplicaStore, MergeIsCommutativeAssociativeAndIdempotent) {
  const Time now = kStart + seconds(1);
  std::mt19937_64 draw(20261201);
  std::vector<History> histories;
  for (std::uint64_t i = 1; i <= 20; ++i) histories.emplace_back(2 * i + 1);
  std::size_t pairs = 0;
  for (int round = 0; round < 2500; ++round) {
    std::vector<Interval> parts;
    const std::size_t first = draw() % histories.size();
    for (int k = 0; k < 20; ++k) {
      const auto& h = histories[(first + draw() % 2) % histories.size()];
      const Seq after = draw() % 41, upto = after + draw() % (41 - after);
      parts.push_back(h.Part(after, upto));
    }
    Store a(0xa1, 1, 100000, kStart), b(0xb1, 2, 100000, kStart), c(0xc1, 3, 100000, kStart);
    for (const Interval& part : parts) a.Merge(now, part);
    std::shuffle(parts.begin(), parts.end(), draw);
    for (const Interval& part : parts) b.Merge(now, part), b.Merge(now, part);
    // Through another copy: half of it first, then all of what that copy holds.
    for (std::size_t k = 0; k < parts.size(); ++k) (k % 2 ? a : c).Merge(now, parts[k]);
    for (const Interval& held : All(c)) a.Merge(now, held);
    ASSERT_EQ(All(a), All(b)) << "round " << round;
    for (const auto& [origin, stream] : b.streams()) {
      if (origin == b.own()) continue;
      ASSERT_EQ(stream.Digest(0), a.Of(origin)->Digest(0));
    }
    pairs += parts.size() * parts.size();
  }
  EXPECT_GE(pairs, 1000000u);
}

// A copy that has seen the removal does not take what was removed back, also once it has forgotten both.
TEST(ReplicaStore, WhatIsRemovedDoesNotComeBack) {
  Store writer(1, 7, 1000, kStart), reader(3, 8, 1000, kStart);
  const Subject subject{Table::kClaims, 5, 6};
  writer.Write(kStart, subject, seconds(10), 0);
  const Interval claimed = writer.Since(kStart, 1, 0, 10);
  writer.Write(kStart + seconds(1), subject, Span(0), 1);  // lives as long as what it takes the place of
  reader.Merge(kStart + seconds(1), writer.Since(kStart + seconds(1), 1, 0, 10));
  EXPECT_FALSE(reader.Merge(kStart + seconds(2), claimed));
  ASSERT_EQ(reader.Find(kStart + seconds(2), Table::kClaims, 5).size(), 1u);
  EXPECT_EQ(reader.Find(kStart + seconds(2), Table::kClaims, 5)[0].entry.value, 1u);
  for (int s = 2; s < 40; ++s) reader.Tick(kStart + seconds(s), [](std::uint64_t) { return false; });
  EXPECT_EQ(reader.size(), 0u);
  EXPECT_EQ(reader.streams().size(), 1u);       // its own
  reader.Merge(kStart + seconds(40), claimed);  // as it was sent at the start: on its way for 40 s
  reader.Merge(kStart + seconds(40), writer.Since(kStart + seconds(40), 1, 0, 10));
  EXPECT_TRUE(reader.Find(kStart + seconds(40), Table::kClaims, 5).empty());
}

// Clocks are each origin's own: an hour apart, and what is learned late never lets anything end too soon.
TEST(ReplicaStore, EndsGoByTheOriginsClockAndAreNeverEarly) {
  Store writer(1, 7, 1000, kStart - std::chrono::hours(1)), reader(3, 8, 1000, kStart);
  writer.Write(kStart, {Table::kClaims, 5, 6}, seconds(10), 0);
  const Interval sent = writer.Since(kStart, 1, 0, 10);
  reader.Merge(kStart + seconds(2), sent);  // two seconds on its way
  EXPECT_EQ(reader.Find(kStart + milliseconds(11900), Table::kClaims, 5).size(), 1u);
  reader.LearnClock(1, writer.NowOf(1, kStart + seconds(3)), kStart + seconds(3));
  EXPECT_EQ(reader.Find(kStart + milliseconds(9990), Table::kClaims, 5).size(), 1u);
  EXPECT_TRUE(reader.Find(kStart + milliseconds(10100), Table::kClaims, 5).empty());
}

// Ten times what there is room for: what ends first makes way, nothing grows, and what has made way is not
// taken in again.
TEST(ReplicaStore, AtItsBoundWhatEndsFirstMakesWay) {
  Store writer(1, 7, 100000, kStart), reader(3, 8, 1000, kStart);
  for (std::uint64_t i = 0; i < 10000; ++i)
    writer.Write(kStart, {Table::kClaims, i, 0}, seconds(10 + (i * 7919) % 10000), 0);
  for (Seq after = 0; after < 10000; after += 500) reader.Merge(kStart, writer.Since(kStart, 1, after, 500));
  EXPECT_EQ(reader.size(), 1000u);
  EXPECT_EQ(reader.counts().evicted + reader.counts().refused, 9000u);
  EXPECT_TRUE(reader.Find(kStart, Table::kClaims, 0).empty());  // ends after 10 s
  std::uint64_t last = 0;
  while (last * 7919 % 10000 != 9999) ++last;
  EXPECT_EQ(reader.Find(kStart, Table::kClaims, last).size(), 1u);
  EXPECT_FALSE(reader.Merge(kStart, writer.Since(kStart, 1, 0, 1)));
  EXPECT_EQ(reader.Write(kStart, {Table::kClaims, 1, 1}, seconds(5), 0), 0u);
  EXPECT_NE(reader.Write(kStart, {Table::kClaims, 1, 1}, seconds(20000), 0), 0u);
}

TEST(ReplicaStore, TwoThatWriteAsOneOriginPart) {
  Store a(1, 7, 1000, kStart);
  a.Write(kStart, {Table::kClaims, 5, 6}, seconds(10), 0);
  a.Reorigin(kStart + seconds(1), 9);
  EXPECT_EQ(a.own(), 9u);
  const auto found = a.Find(kStart + seconds(2), Table::kClaims, 5);
  EXPECT_EQ(found.size(), 2u);  // under both: nothing is lost by it
  EXPECT_EQ(a.Since(kStart + seconds(2), 9, 0, 10).entries.size(), 1u);
}

// A claim that waits for k: with n members, k of them may be lost and a later claim still learns of it.
TEST(ReplicaRounds, AnyTwoQuorumsShareSomebodyWhoeverOfKIsLost) {
  for (std::size_t n = 1; n <= 9; ++n) {
    for (std::size_t k = 1; k <= 4; ++k) {
      const Quorum q = Quorum::Of(n, k);
      EXPECT_GE(q.most(), k);
      if (n <= k) continue;
      const std::size_t held = 1 + q.most(), asked = 1 + q.readers;
      EXPECT_GT(held + asked, n) << n << " members, wait " << k;
    }
  }
  PendingClaims rounds;
  rounds.Open(1, 10, Quorum::Of(5, 1), 4, kStart, kStart + milliseconds(20));
  rounds.Open(2, 11, Quorum::Of(5, 1), 2, kStart, kStart + milliseconds(20));  // too few run: unmet at once
  rounds.OnAnswer(100, true, 0, 10);
  rounds.OnAnswer(100, true, 9, 10);
  rounds.OnAnswer(101, true, 9, 10);
  rounds.OnAnswer(102, false, 9, 10);  // it holds, and answers for nothing
  ASSERT_EQ(rounds.TakeVerdicts(), (std::vector<std::pair<PendingClaims::Id, PendingClaims::Verdict>>{
                                       {2, PendingClaims::Verdict::kUnmet}}));
  rounds.OnAnswer(103, true, 10, 20);  // of others
  EXPECT_FALSE(rounds.has_verdicts());
  rounds.OnAnswer(103, true, 9, 20);
  EXPECT_EQ(rounds.TakeVerdicts().size(), 1u);
  rounds.Open(3, 12, Quorum::Of(3, 1), 2, kStart, kStart + milliseconds(20));
  EXPECT_EQ(rounds.TakeAgain(kStart + milliseconds(7)).size(), 1u);
  EXPECT_TRUE(rounds.TakeAgain(kStart + milliseconds(7)).empty());
  rounds.Tick(kStart + milliseconds(20));
  EXPECT_EQ(rounds.TakeVerdicts()[0].second, PendingClaims::Verdict::kUnmet);
}

// ---- bytes ---------------------------------------------------------------------------------------------

Message Sample(std::uint64_t seed) {
  std::mt19937_64 draw(seed);
  Message m;
  m.kind = static_cast<Message::Kind>(1 + draw() % 6);
  m.current = draw() & 1, m.last = draw() & 1, m.number = draw() >> (draw() % 64);
  const History h(seed);
  if (draw() % 2) m.intervals.push_back(h.Part(draw() % 20, 20 + draw() % 20));
  if (draw() % 2) m.holdings.push_back({draw() | 1, draw(), draw() >> 20, draw() >> 30, draw() >> 20, 5});
  if (draw() % 2) m.wants.push_back({draw() | 1, draw() >> 9});
  if (draw() % 2) m.ranges.push_back({draw() | 1, draw() >> 9, 5, 900, {1, 2, 3}});
  return m;
}

TEST(ReplicaWire, WhatIsWrittenIsReadAndADatagramHoldsIt) {
  for (std::uint64_t seed = 1; seed < 300; ++seed) {
    const Message m = Sample(seed);
    EXPECT_EQ(wire::Decode(wire::Encode(m)), m) << seed;
  }
  const History h(5);
  Store large(1, 7, 100000, kStart);
  for (std::uint64_t i = 0; i < 5000; ++i)
    large.Write(kStart, {Table::kClaims, hashing::Mixed(i), hashing::Mixed(i % 40) << 32 | i % 3},
                seconds(60), 0);
  Message head;
  head.kind = Message::Kind::kSlice;
  wire::Packer packer(head);
  packer.Add(h.Part(0, 40));
  packer.Add(large.Since(kStart, 1, 0, 5000));
  Store reader(3, 8, 100000, kStart);
  std::size_t bytes = 0;
  for (const Message& m : packer.Take()) {
    const auto encoded = wire::Encode(m);
    ASSERT_LE(encoded.size(), wire::kMostBody);
    bytes += encoded.size();
    const auto decoded = wire::Decode(encoded);
    ASSERT_TRUE(decoded);
    for (const Interval& i : decoded->intervals) reader.Merge(kStart, i);
  }
  EXPECT_EQ(reader.upto(1), 5000u);
  EXPECT_EQ(reader.Of(1)->Digest(0), large.Of(1)->Digest(0));
  EXPECT_LT(bytes, 5000u * 20);
}

// Cut, changed and random bytes are refused, or are some message within every bound: what the fuzzer starts
// from.
// A table that this program does not know is left out, and the numbers of its entries count as known.
TEST(ReplicaWire, AnEntryOfANewerTableIsLeftOut) {
  Message m;
  Interval part{5, 7, 10, 0, 3, {{1, {Table::kClaims, 1, 1}, 50000, 0}, {2, {Table{9}, 1, 1}, 50000, 0}}};
  m.intervals = {part};
  const auto read = wire::Decode(wire::Encode(m));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->intervals[0].entries.size(), 1u);
  Store store(3, 8, 64, kStart);
  store.Merge(kStart, read->intervals[0]);
  EXPECT_EQ(store.upto(5), 3u);
  // Numbers at their end.
  const Seq last = ~Seq{0};
  store.Merge(kStart, {5, 7, 10, last - 2, last, {{last, {Table::kClaims, 2, 1}, 50000, 0}}});
  store.Merge(kStart, {5, 7, 10, 3, last - 2, {}});
  EXPECT_EQ(store.upto(5), last);
  EXPECT_EQ(store.Part(kStart, 5, 0, last).size(), 1u);
}

TEST(ReplicaWire, CutChangedAndRandomBytesDoNoHarm) {
  std::mt19937_64 draw(20261201);
  int read = 0;
  for (std::uint64_t seed = 1; seed < 2000; ++seed) {
    auto bytes = wire::Encode(Sample(seed % 50 + 1));
    if (seed % 3 == 0) bytes.resize(draw() % (bytes.size() + 1));
    if (seed % 3 == 1) bytes[draw() % bytes.size()] = static_cast<std::uint8_t>(draw());
    if (seed % 3 == 2)
      for (auto& b : bytes) b = static_cast<std::uint8_t>(draw() % 4 ? b : draw());
    read += ReplicaReads(bytes.data(), bytes.size());
  }
  EXPECT_GT(read, 0);
}

}  // namespace
}  // namespace kestrelline::replica

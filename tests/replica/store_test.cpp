// SPDX-License-Identifier: Apache-2.0
//
// The store: properties of merging, limits and expiry; pending claims; and the message encoding.
#include "replica/store.h"

#include <gtest/gtest.h>

#include <random>

#include "replica/claims.h"
#include "replica/message_fuzz.h"
#include "replica/pending_claims.h"
#include "replica/wire.h"

namespace kestrelline::replica {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{std::chrono::hours(1)};

// What an origin writes over some time, available as complete intervals between any two sequence numbers.
struct History {
  explicit History(std::uint64_t seed, std::size_t max_entries = 100000)
      : store(seed | 1, 7, max_entries, kStart) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 40; ++i) {
      const Subject subject{Table::kClaims, random() % 12, random() % 2};
      store.Write(kStart + milliseconds(i), subject, seconds(10 + random() % 100),
                  static_cast<std::uint32_t>(random() % 2));
    }
  }
  Interval Part(Seq after, Seq upto) const {
    Interval part = store.EntriesAfter(kStart + milliseconds(50), store.own(), after, 1000);
    std::erase_if(part.entries, [&](const Entry& e) { return e.seq > upto; });
    part.upto = upto;
    return part;
  }
  Store store;
};

// Everything that a copy holds of other origins, for comparison.
std::vector<Interval> All(const Store& store) {
  std::vector<Interval> all;
  for (const auto& [origin, stream] : store.streams())
    if (origin != store.own()) all.push_back(store.EntriesAfter(kStart + seconds(1), origin, 0, 100000));
  for (Interval& i : all) i.now_ms = 0;
  return all;
}

// Intervals arrive in any order, twice, overlapping, or through another copy: 10^6 pairs of intervals.
TEST(ReplicaStore, MergeIsCommutativeAssociativeAndIdempotent) {
  const Time now = kStart + seconds(1);
  std::mt19937_64 random(20261201);
  std::vector<History> histories;
  for (std::uint64_t i = 1; i <= 20; ++i) histories.emplace_back(2 * i + 1);
  std::size_t pairs = 0;
  for (int round = 0; round < 2500; ++round) {
    std::vector<Interval> parts;
    const std::size_t first = random() % histories.size();
    for (int k = 0; k < 20; ++k) {
      const auto& h = histories[(first + random() % 2) % histories.size()];
      const Seq after = random() % 41, upto = after + random() % (41 - after);
      parts.push_back(h.Part(after, upto));
    }
    Store a(0xa1, 1, 100000, kStart), b(0xb1, 2, 100000, kStart), c(0xc1, 3, 100000, kStart);
    for (const Interval& part : parts) a.Merge(now, part);
    std::shuffle(parts.begin(), parts.end(), random);
    for (const Interval& part : parts) b.Merge(now, part), b.Merge(now, part);
    // Half of the intervals go through another copy first, and then everything that it holds.
    for (std::size_t k = 0; k < parts.size(); ++k) (k % 2 ? a : c).Merge(now, parts[k]);
    for (const Interval& held : All(c)) a.Merge(now, held);
    ASSERT_EQ(All(a), All(b)) << "round " << round;
    for (const auto& [origin, stream] : b.streams()) {
      if (origin == b.own()) continue;
      ASSERT_EQ(stream.Digest(0), a.StreamOf(origin)->Digest(0));
    }
    pairs += parts.size() * parts.size();
  }
  EXPECT_GE(pairs, 1000000u);
}

// A copy that has merged a removal doesn't accept the removed entry again, not even after both have expired
// there.
TEST(ReplicaStore, ARemovedEntryDoesNotComeBack) {
  Store writer(1, 7, 1000, kStart), reader(3, 8, 1000, kStart);
  const Subject subject{Table::kClaims, 5, 6};
  writer.Write(kStart, subject, seconds(10), 0);
  const Interval claimed = writer.EntriesAfter(kStart, 1, 0, 10);
  writer.Write(kStart + seconds(1), subject, Span(0), 1);  // is valid as long as the entry that it replaces
  reader.Merge(kStart + seconds(1), writer.EntriesAfter(kStart + seconds(1), 1, 0, 10));
  EXPECT_FALSE(reader.Merge(kStart + seconds(2), claimed));
  ASSERT_EQ(reader.Find(kStart + seconds(2), Table::kClaims, 5).size(), 1u);
  EXPECT_EQ(reader.Find(kStart + seconds(2), Table::kClaims, 5)[0].entry.value, 1u);
  for (int s = 2; s < 40; ++s) reader.Tick(kStart + seconds(s), [](std::uint64_t) { return false; });
  EXPECT_EQ(reader.size(), 0u);
  EXPECT_EQ(reader.streams().size(), 1u);       // its own
  reader.Merge(kStart + seconds(40), claimed);  // a datagram that was delayed by 40 s
  reader.Merge(kStart + seconds(40), writer.EntriesAfter(kStart + seconds(40), 1, 0, 10));
  EXPECT_TRUE(reader.Find(kStart + seconds(40), Table::kClaims, 5).empty());
}

// The clocks of two origins are an hour apart. A delayed datagram never makes an entry expire too early.
TEST(ReplicaStore, ExpiryFollowsTheOriginsClockAndIsNeverEarly) {
  Store writer(1, 7, 1000, kStart - std::chrono::hours(1)), reader(3, 8, 1000, kStart);
  writer.Write(kStart, {Table::kClaims, 5, 6}, seconds(10), 0);
  const Interval sent = writer.EntriesAfter(kStart, 1, 0, 10);
  reader.Merge(kStart + seconds(2), sent);  // delayed by two seconds
  EXPECT_EQ(reader.Find(kStart + milliseconds(11900), Table::kClaims, 5).size(), 1u);
  reader.LearnClock(1, writer.NowOf(1, kStart + seconds(3)), kStart + seconds(3));
  EXPECT_EQ(reader.Find(kStart + milliseconds(9990), Table::kClaims, 5).size(), 1u);
  EXPECT_TRUE(reader.Find(kStart + milliseconds(10100), Table::kClaims, 5).empty());
}

// Ten times as many entries as there is room for: those that expire first are evicted, the store doesn't
// grow, and evicted entries are not accepted again.
TEST(ReplicaStore, AtTheLimitTheEntriesThatExpireFirstAreEvicted) {
  Store writer(1, 7, 100000, kStart), reader(3, 8, 1000, kStart);
  for (std::uint64_t i = 0; i < 10000; ++i)
    writer.Write(kStart, {Table::kClaims, i, 0}, seconds(10 + (i * 7919) % 10000), 0);
  for (Seq after = 0; after < 10000; after += 500)
    reader.Merge(kStart, writer.EntriesAfter(kStart, 1, after, 500));
  EXPECT_EQ(reader.size(), 1000u);
  EXPECT_EQ(reader.counts().evicted + reader.counts().refused, 9000u);
  EXPECT_TRUE(reader.Find(kStart, Table::kClaims, 0).empty());  // expires after 10 s
  std::uint64_t last = 0;
  while (last * 7919 % 10000 != 9999) ++last;
  EXPECT_EQ(reader.Find(kStart, Table::kClaims, last).size(), 1u);
  EXPECT_FALSE(reader.Merge(kStart, writer.EntriesAfter(kStart, 1, 0, 1)));
  EXPECT_EQ(reader.Write(kStart, {Table::kClaims, 1, 1}, seconds(5), 0), 0u);
  EXPECT_NE(reader.Write(kStart, {Table::kClaims, 1, 1}, seconds(20000), 0), 0u);
}

TEST(ReplicaStore, AChangeOfOriginKeepsAllEntries) {
  Store a(1, 7, 1000, kStart);
  a.Write(kStart, {Table::kClaims, 5, 6}, seconds(10), 0);
  a.ChangeOrigin(kStart + seconds(1), 9);
  EXPECT_EQ(a.own(), 9u);
  const auto found = a.Find(kStart + seconds(2), Table::kClaims, 5);
  EXPECT_EQ(found.size(), 2u);  // under both origins: nothing is lost
  EXPECT_EQ(a.EntriesAfter(kStart + seconds(2), 9, 0, 10).entries.size(), 1u);
}

// A claim that waits for k others, of n members: any k members may be lost, and a later claim still learns of
// it.
TEST(ReplicaPendingClaims, AnyTwoQuorumsOverlapWithKMembersLost) {
  for (std::size_t n = 1; n <= 9; ++n) {
    for (std::size_t k = 1; k <= 4; ++k) {
      const Quorum quorum = Quorum::Of(n, k);
      EXPECT_GE(quorum.required(), k);
      if (n <= k) continue;
      const std::size_t held = 1 + quorum.required(), asked = 1 + quorum.readers;
      EXPECT_GT(held + asked, n) << n << " members, wait " << k;
    }
  }
  PendingClaims pending;
  pending.Add(1, 10, Quorum::Of(5, 1), 4, kStart, kStart + milliseconds(20));
  pending.Add(2, 11, Quorum::Of(5, 1), 2, kStart,
              kStart + milliseconds(20));  // too few members run: unconfirmed at once
  pending.OnAck(100, true, 0, 10);
  pending.OnAck(100, true, 9, 10);
  pending.OnAck(101, true, 9, 10);
  pending.OnAck(102, false, 9, 10);  // a holder that isn't current
  ASSERT_EQ(pending.TakeVerdicts(), (std::vector<std::pair<PendingClaims::Id, PendingClaims::Verdict>>{
                                        {2, PendingClaims::Verdict::kUnconfirmed}}));
  pending.OnAck(103, true, 10, 20);  // acknowledges later entries only
  EXPECT_FALSE(pending.has_verdicts());
  pending.OnAck(103, true, 9, 20);
  EXPECT_EQ(pending.TakeVerdicts().size(), 1u);
  pending.Add(3, 12, Quorum::Of(3, 1), 2, kStart, kStart + milliseconds(20));
  EXPECT_EQ(pending.TakeRetransmissions(kStart + milliseconds(7)).size(), 1u);
  EXPECT_TRUE(pending.TakeRetransmissions(kStart + milliseconds(7)).empty());
  pending.Tick(kStart + milliseconds(20));
  EXPECT_EQ(pending.TakeVerdicts()[0].second, PendingClaims::Verdict::kUnconfirmed);
}

// ---- encoding ------------------------------------------------------------------------------------------

Message Sample(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Message m;
  m.kind = static_cast<Message::Kind>(1 + random() % 6);
  m.current = random() & 1, m.last = random() & 1, m.number = random() >> (random() % 64);
  const History h(seed);
  if (random() % 2) m.intervals.push_back(h.Part(random() % 20, 20 + random() % 20));
  if (random() % 2)
    m.summaries.push_back({random() | 1, random(), random() >> 20, random() >> 30, random() >> 20, 5});
  if (random() % 2) m.pulls.push_back({random() | 1, random() >> 9});
  if (random() % 2) m.range_digests.push_back({random() | 1, random() >> 9, 5, 900, {1, 2, 3}});
  return m;
}

TEST(ReplicaWire, MessagesRoundTripAndFitIntoDatagrams) {
  for (std::uint64_t seed = 1; seed < 300; ++seed) {
    const Message m = Sample(seed);
    EXPECT_EQ(wire::Decode(wire::Encode(m)), m) << seed;
  }
  const History h(5);
  Store large(1, 7, 100000, kStart);
  for (std::uint64_t i = 0; i < 5000; ++i)
    large.Write(kStart, {Table::kClaims, hashing::Mixed(i), hashing::Mixed(i % 40) << 32 | i % 3},
                seconds(60), 0);
  Message header;
  header.kind = Message::Kind::kChunk;
  wire::Packer packer(header);
  packer.Add(h.Part(0, 40));
  packer.Add(large.EntriesAfter(kStart, 1, 0, 5000));
  Store reader(3, 8, 100000, kStart);
  std::size_t bytes = 0;
  for (const Message& m : packer.Take()) {
    const auto encoded = wire::Encode(m);
    ASSERT_LE(encoded.size(), wire::kMaxBodyBytes);
    bytes += encoded.size();
    const auto decoded = wire::Decode(encoded);
    ASSERT_TRUE(decoded);
    for (const Interval& i : decoded->intervals) reader.Merge(kStart, i);
  }
  EXPECT_EQ(reader.upto(1), 5000u);
  EXPECT_EQ(reader.StreamOf(1)->Digest(0), large.StreamOf(1)->Digest(0));
  EXPECT_LT(bytes, 5000u * 20);
}

// Entries of a table that this version doesn't know are dropped, and their sequence numbers count as known.
TEST(ReplicaWire, AnEntryOfANewerTableIsDropped) {
  Message m;
  Interval part{5, 7, 10, 0, 3, {{1, {Table::kClaims, 1, 1}, 50000, 0}, {2, {Table{9}, 1, 1}, 50000, 0}}};
  m.intervals = {part};
  const auto read = wire::Decode(wire::Encode(m));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->intervals[0].entries.size(), 1u);
  Store store(3, 8, 64, kStart);
  store.Merge(kStart, read->intervals[0]);
  EXPECT_EQ(store.upto(5), 3u);
  // The largest sequence numbers.
  const Seq last = ~Seq{0};
  store.Merge(kStart, {5, 7, 10, last - 2, last, {{last, {Table::kClaims, 2, 1}, 50000, 0}}});
  store.Merge(kStart, {5, 7, 10, 3, last - 2, {}});
  EXPECT_EQ(store.upto(5), last);
  EXPECT_EQ(store.EntriesBetween(kStart, 5, 0, last).size(), 1u);
}

// Truncated, changed and random bytes are refused, or decode to a message with every field within its bounds.
// The fuzz target starts from the same function.
TEST(ReplicaWire, TruncatedChangedAndRandomBytesDoNoHarm) {
  std::mt19937_64 random(20261201);
  int decoded = 0;
  for (std::uint64_t seed = 1; seed < 2000; ++seed) {
    auto bytes = wire::Encode(Sample(seed % 50 + 1));
    if (seed % 3 == 0) bytes.resize(random() % (bytes.size() + 1));
    if (seed % 3 == 1) bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    if (seed % 3 == 2)
      for (auto& b : bytes) b = static_cast<std::uint8_t>(random() % 4 ? b : random());
    decoded += DecodesAsReplicaMessage(bytes.data(), bytes.size());
  }
  EXPECT_GT(decoded, 0);
}

}  // namespace
}  // namespace kestrelline::replica

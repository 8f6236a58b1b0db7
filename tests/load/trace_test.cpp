// SPDX-License-Identifier: Apache-2.0
//
// Traces: what is recorded is read back, and what is damaged is refused with its place.
#include "load/trace.h"

#include <gtest/gtest.h>

#include <random>
#include <sstream>

namespace kestrelline::load {
namespace {

const TraceHead kHead{{"preview", "convert", "certify"}, {"acme", "noble"}};

std::vector<TraceRecord> Some(int n, std::uint64_t seed = 3) {
  std::mt19937_64 random(seed);
  std::vector<TraceRecord> all;
  Microseconds at{0};
  for (int i = 0; i < n; ++i) {
    at += Microseconds(random() % 5000);
    TraceRecord record;
    record.arrival = {at, static_cast<std::uint32_t>(random() % 3), static_cast<std::uint32_t>(random() % 2),
                      static_cast<std::uint32_t>(random()), static_cast<std::uint32_t>(random() % 65536)};
    record.outcome = static_cast<TraceOutcome>(random() % 5);
    if (record.outcome != TraceOutcome::kNone) record.latency = Microseconds(random() % 3000000);
    all.push_back(record);
  }
  return all;
}

std::string Written(const std::vector<TraceRecord>& records, const TraceHead& head = kHead) {
  std::ostringstream out;
  TraceWriter writer(out, head);
  for (const auto& record : records) writer.Add(record);
  writer.Close();
  return out.str();
}

std::vector<TraceRecord> Read(const std::string& file, TraceHead* head = nullptr) {
  std::istringstream in(file);
  TraceReader reader(in);
  if (head) *head = reader.head();
  std::vector<TraceRecord> all;
  while (auto record = reader.Next()) all.push_back(*record);
  return all;
}

// Where the file is said to be wrong; -1 if it is accepted.
std::int64_t WrongAt(const std::string& file) {
  try {
    Read(file);
    return -1;
  } catch (const BadTrace& bad) {
    EXPECT_NE(std::string(bad.what()).find("at byte " + std::to_string(bad.offset())), std::string::npos);
    return static_cast<std::int64_t>(bad.offset());
  }
}

TEST(Trace, IsReadBackAndRecordedAgainByteForByte) {
  for (const int n : {0, 1, 4095, 4096, 4097, 20000}) {
    const auto records = Some(n);
    const std::string file = Written(records);
    TraceHead head;
    const auto back = Read(file, &head);
    EXPECT_EQ(back, records) << n;
    EXPECT_EQ(head, kHead);
    EXPECT_EQ(Written(back, head), file);
  }
}

TEST(Trace, IsCompact) {
  const auto records = Some(20000);
  EXPECT_LT(Written(records).size(), records.size() * 20);
}

TEST(Trace, CutShortAnywhereIsRefusedAtItsEnd) {
  const std::string file = Written(Some(60));
  for (std::size_t n = 0; n < file.size(); ++n) {
    const std::int64_t at = WrongAt(file.substr(0, n));
    ASSERT_GE(at, 0) << n;
    EXPECT_LE(at, static_cast<std::int64_t>(n));
  }
  // Also at a block's border, where nothing else is amiss.
  const std::string two = Written(Some(5000));
  const std::string end = Written({}).substr(Written({}).size() - 12);
  EXPECT_EQ(WrongAt(two.substr(0, two.size() - 12)), static_cast<std::int64_t>(two.size() - 12));
  EXPECT_EQ(two.substr(two.size() - 12), end);
}

TEST(Trace, EveryFlippedBitIsFound) {
  const std::string file = Written(Some(40));
  for (std::size_t byte = 0; byte < file.size(); ++byte) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string damaged = file;
      damaged[byte] = static_cast<char>(damaged[byte] ^ 1 << bit);
      EXPECT_GE(WrongAt(damaged), 0) << "byte " << byte << " bit " << bit;
    }
  }
}

TEST(Trace, OtherFilesAreToldFromTraces) {
  EXPECT_EQ(WrongAt(""), 0);
  EXPECT_EQ(WrongAt("GET / HTTP/1.1\r\n\r\n"), 0);
  std::string version = Written({});
  version[8] = 2;
  EXPECT_EQ(WrongAt(version), 8);
  EXPECT_GE(WrongAt(Written({}) + "x"), 0);
  // Sizes out of all bounds are not believed: nothing is reserved for them.
  std::string huge = Written(Some(1));
  const std::size_t block = Written({}).size() - 12;
  for (std::size_t i = 0; i < 8; ++i) huge[block + i] = '\xff';
  EXPECT_EQ(WrongAt(huge), static_cast<std::int64_t>(block));
}

TEST(Trace, RecordsOutOfOrderAreNotWritten) {
  std::ostringstream out;
  TraceWriter writer(out, kHead);
  auto records = Some(2);
  writer.Add(records[1]);
  records[0].arrival.at = records[1].arrival.at - Microseconds(1);
  EXPECT_THROW(writer.Add(records[0]), std::invalid_argument);
}

TEST(Replay, FasterAndCutToAWindow) {
  const Replay twice{2, std::chrono::seconds(10), std::chrono::seconds(20)};
  EXPECT_FALSE(twice.DueAt(Microseconds(9999999)));
  EXPECT_EQ(twice.DueAt(std::chrono::seconds(10)), Microseconds(0));
  EXPECT_EQ(twice.DueAt(std::chrono::seconds(15)), Microseconds(2500000));
  EXPECT_FALSE(twice.DueAt(std::chrono::seconds(20)));
  EXPECT_EQ(Replay{}.DueAt(std::chrono::seconds(7)), Microseconds(7000000));
}

}  // namespace
}  // namespace kestrelline::load

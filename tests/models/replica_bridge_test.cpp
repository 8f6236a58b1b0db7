// SPDX-License-Identifier: Apache-2.0
//
// Replays random walks of models/replica.pml against the store: after each step its copies must hold what the
// model says.
#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "replica/store.h"
#include "support/spin_walk.h"

namespace kestrelline::replica {
namespace {

constexpr Origin kWriter = 11;
const Time kStart(std::chrono::hours(1));

// Describes the first difference between the store and the model; empty if there is none.
std::string FindDifference(const std::vector<std::string>& walk, std::map<std::string, int>* seen) {
  std::vector<Store> copies;
  for (Origin i = 0; i < 3; ++i) copies.emplace_back(kWriter + i, i + 1, 100, kStart);
  Time now = kStart;
  Interval in_flight;
  std::string so_far;
  for (const std::string& line : walk) {
    std::istringstream words(line);
    std::string step;
    unsigned n[4] = {};
    words >> step >> n[0] >> n[1] >> n[2] >> n[3];
    ++(*seen)[step];
    so_far += line + "; ";
    Store& copy = copies[std::min(n[0], 2u)];
    if (step == "writes") {
      const Subject subject{Table::kClaims, n[0] == 3 ? 2u : 1u, 1};
      copies[0].Write(now, subject, n[0] == 3 ? std::chrono::hours(1) : std::chrono::seconds(10), n[0] == 2);
    } else if (step == "told") {
      Interval part = copies[n[1]].EntriesAfter(now, kWriter, n[2], 10);
      if (part.upto != n[3]) return so_far + "another part";
      copy.Merge(now, part);
    } else if (step == "sends") {
      in_flight = copies[0].EntriesAfter(now, kWriter, n[0], 10);
    } else if (step == "comes") {
      copy.Merge(now, in_flight);
    } else if (step == "ends") {
      now = kStart + std::chrono::seconds(20);
    } else if (step == "purges") {
      copy.Tick(now + std::chrono::milliseconds(Store::kGracePeriodMs), [](std::uint64_t) { return true; });
    } else if (step == "starts") {
      copies[1] = Store(kWriter + 100, 2, 100, now);
    } else if (step == "holds") {
      unsigned held = 0;
      if (const Stream* stream = copy.StreamOf(kWriter))
        for (const auto& [seq, entry] : stream->entries()) held |= 1u << seq;
      // Like the model's copies, the stores keep expired entries until they purge them, and never merge
      // expired ones.
      if (held != n[1] || copy.upto(kWriter) != n[2])
        return so_far + "the store holds " + std::to_string(held) + " up to " +
               std::to_string(copy.upto(kWriter));
    }
  }
  return "";
}

TEST(ReplicaBridge, StoresBehaveAsTheModel) {
  std::map<std::string, int> seen;
  for (int seed = 1; seed <= 80; ++seed)
    ASSERT_EQ(FindDifference(testing::Walk("replica.pml", "", seed), &seen), "") << "seed " << seed;
  for (const char* kind : {"writes", "told", "sends", "comes", "ends", "purges", "starts", "dies", "holds"})
    EXPECT_GT(seen[kind], 0) << kind;
}

TEST(ReplicaBridge, ADifferentModelIsDetected) {
  std::map<std::string, int> seen;
  bool found = false;
  for (int seed = 1; seed <= 20 && !found; ++seed)
    found = !FindDifference(testing::Walk("replica.pml", "-DMUTATION=9", seed), &seen).empty();
  EXPECT_TRUE(found);
}

}  // namespace
}  // namespace kestrelline::replica

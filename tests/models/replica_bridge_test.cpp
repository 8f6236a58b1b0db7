// SPDX-License-Identifier: Apache-2.0
//
// Random walks of models/replica.pml, replayed against the store: after each step copies must hold what the
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

// Where the code holds something else; empty if nowhere.
std::string Disagreement(const std::vector<std::string>& walk, std::map<std::string, int>* seen) {
  std::vector<Store> copies;
  for (Origin i = 0; i < 3; ++i) copies.emplace_back(kWriter + i, i + 1, 100, kStart);
  Time now = kStart;
  Interval flying;
  std::string so_far;
  for (const std::string& line : walk) {
    std::istringstream words(line);
    std::string what;
    unsigned n[4] = {};
    words >> what >> n[0] >> n[1] >> n[2] >> n[3];
    ++(*seen)[what];
    so_far += line + "; ";
    Store& at = copies[std::min(n[0], 2u)];
    if (what == "writes") {
      const Subject subject{Table::kClaims, n[0] == 3 ? 2u : 1u, 1};
      copies[0].Write(now, subject, n[0] == 3 ? std::chrono::hours(1) : std::chrono::seconds(10), n[0] == 2);
    } else if (what == "told") {
      Interval part = copies[n[1]].Since(now, kWriter, n[2], 10);
      if (part.upto != n[3]) return so_far + "another part";
      at.Merge(now, part);
    } else if (what == "sends") {
      flying = copies[0].Since(now, kWriter, n[0], 10);
    } else if (what == "comes") {
      at.Merge(now, flying);
    } else if (what == "ends") {
      now = kStart + std::chrono::seconds(20);
    } else if (what == "purges") {
      at.Tick(now + std::chrono::milliseconds(Store::kLingerMs), [](std::uint64_t) { return true; });
    } else if (what == "starts") {
      copies[1] = Store(kWriter + 100, 2, 100, now);
    } else if (what == "holds") {
      unsigned held = 0;
      if (const Stream* stream = at.Of(kWriter))
        for (const auto& [seq, entry] : stream->entries()) held |= 1u << seq;
      // The model's copies keep what has ended until they purge it; so do these, and merging takes none of
      // it.
      if (held != n[1] || at.upto(kWriter) != n[2])
        return so_far + "the store holds " + std::to_string(held) + " up to " +
               std::to_string(at.upto(kWriter));
    }
  }
  return "";
}

TEST(ReplicaBridge, StoresDoAsTheModelDoes) {
  std::map<std::string, int> seen;
  for (int seed = 1; seed <= 80; ++seed)
    ASSERT_EQ(Disagreement(testing::Walk("replica.pml", "", seed), &seen), "") << "seed " << seed;
  for (const char* kind : {"writes", "told", "sends", "comes", "ends", "purges", "starts", "dies", "holds"})
    EXPECT_GT(seen[kind], 0) << kind;
}

TEST(ReplicaBridge, AModelThatDoesSomethingElseIsFound) {
  std::map<std::string, int> seen;
  bool found = false;
  for (int seed = 1; seed <= 20 && !found; ++seed)
    found = !Disagreement(testing::Walk("replica.pml", "-DMUTATION=9", seed), &seen).empty();
  EXPECT_TRUE(found);
}

}  // namespace
}  // namespace kestrelline::replica

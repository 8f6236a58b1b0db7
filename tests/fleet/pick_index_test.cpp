// SPDX-License-Identifier: Apache-2.0
//
// Compares the index with a linear scan after random changes: same least score, ties broken uniformly, and
// consistent bounds and tables.
#include "fleet/pick_index.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kestrelline::fleet {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kPicks = 50000;  // unoptimized code is 20 times slower
#else
constexpr int kPicks = 1000000;
#endif
constexpr Duration kMemory{4000};

struct ReferenceMember {
  double work = 0, excess = 0;
  TimePoint since{};
  bool away = false, hidden = true;
};

class ReferenceModel {
 public:
  explicit ReferenceModel(std::uint32_t seed) : draw_(seed), index_(kMemory) { index_.Refresh(now_, 20); }

  double Unit() { return std::uniform_real_distribution<>()(draw_); }
  std::uint64_t Below(std::uint64_t n) { return draw_() % n; }

  void Change(Member max_members) {
    const auto member = static_cast<Member>(Below(max_members));
    ReferenceMember& m = members_[member];
    switch (Below(12)) {
      case 0:
        index_.Leave(member);
        members_.erase(member);
        return;
      case 1:
        index_.Hide(member);
        m.hidden = true;
        break;
      case 2:
        now_ += Duration(Below(20) ? Unit() * 50 : Unit() * 1e7);  // occasionally hours pass
        index_.Refresh(now_, 1 + 100 * Unit());
        break;
      default:
        break;
    }
    if (!index_.Has(member)) {
      m.away = Below(3) == 0;
      index_.Enter(member, m.away ? PickIndex::kAway : PickIndex::kHome);
      m.hidden = true;
      if (Below(2)) return;  // without a key it cannot be picked
    }
    m.work = Below(2) ? 0 : std::floor(Unit() * 8) * 10;  // ties are common
    m.excess = Below(2) ? 0 : Unit() * 7 - 0.9;
    if (Below(2000) == 0) m.work = 1e9;
    m.since = now_ - Duration(Unit() * 3000);
    m.hidden = false;
    index_.Set(member, m.work, m.excess, m.since);
  }

  // Compares the least score by a scan and by the index, over members that are not in `out`.
  void Compare() {
    const double asked = Below(20) ? 1 + 80 * Unit() : std::pow(10, Unit() * 12 - 6);
    const double crossing = Below(2) ? 0 : Unit() * 30;
    std::set<Member> out;
    if (Below(2) && !members_.empty()) out = {static_cast<Member>(Below(64)), static_cast<Member>(Below(64))};
    double least = 1e300;
    for (const auto& [id, m] : members_) {
      if (!m.hidden && !out.contains(id)) least = std::min(least, ScoreOf(m, asked, crossing));
    }
    const Member found = index_.Least(
        now_, asked, crossing, [&](Member m) { return !out.contains(m); },
        [&](std::uint64_t n) { return Below(n); });
    if (least == 1e300) {
      ASSERT_EQ(found, kNoMember);
      return;
    }
    ASSERT_NE(found, kNoMember);
    ASSERT_FALSE(out.contains(found));
    ASSERT_FALSE(members_.at(found).hidden);
    ASSERT_NEAR(ScoreOf(members_.at(found), asked, crossing), least, 1e-9 * (1 + std::abs(least) + asked));
  }

  void CheckConsistency() {
    ASSERT_TRUE(index_.IsConsistent());
    std::set<Member> entered;
    index_.ForEach([&](Member m) { entered.insert(m); });
    ASSERT_EQ(entered.size(), members_.size());
    for (const auto& [id, m] : members_) ASSERT_TRUE(entered.contains(id));
    ASSERT_EQ(index_.size(), members_.size());
  }

 private:
  double ScoreOf(const ReferenceMember& m, double asked, double crossing) const {
    return m.work + asked * m.excess * std::exp((m.since - now_) / kMemory) + (m.away ? crossing : 0);
  }

  std::mt19937 draw_;
  TimePoint now_{Duration(1e6)};
  PickIndex index_;
  std::map<Member, ReferenceMember> members_;
};

TEST(PickIndex, AfterAnyChangesThePickIsThatOfAScan) {
  for (int seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ReferenceModel model(static_cast<std::uint32_t>(seed));
    const Member max_members = seed % 10 ? static_cast<Member>(1 + 13 * (seed % 10)) : 3000;
    for (int k = 0; k < (max_members == 3000 ? 3000 : 0); ++k) model.Change(max_members);
    const int picks = max_members == 3000 ? kPicks / 2000 : kPicks / 45;
    for (int k = 0; k < picks; ++k) {
      for (int changes = static_cast<int>(model.Below(3)); changes > 0; --changes) model.Change(max_members);
      ASSERT_NO_FATAL_FAILURE(model.Compare());
      if (k % 64 == 0) {
        ASSERT_NO_FATAL_FAILURE(model.CheckConsistency());
      }
    }
  }
}

// Chi-squared statistic of `seen` against a uniform distribution, in standard deviations from its mean.
double Unevenness(const std::vector<int>& seen, double expected) {
  double chi = 0;
  for (const int n : seen) chi += (n - expected) * (n - expected) / expected;
  const double freedom = static_cast<double>(seen.size()) - 1;
  return (chi - freedom) / std::sqrt(2 * freedom);
}

// Unevenness of picks where, of `all` members, those with a multiple of `every` tie and the others are worse.
double UnevennessOfTies(Member all, Member every, bool two_sides) {
  std::mt19937_64 draw(20261201);
  PickIndex index(kMemory);
  const TimePoint now(Duration(5000));
  index.Refresh(now, 20);
  for (Member m = 0; m < all; ++m) {
    index.Enter(m, two_sides && m >= all / 2 ? PickIndex::kAway : PickIndex::kHome);
    index.Set(m, m % every ? 20.0 : 0.0, 0, now);
  }
  std::vector<int> seen((all + every - 1) / every);
#ifdef __SANITIZE_ADDRESS__
  const int each = 5;
#else
  const int each = 20;
#endif
  for (int pick = 0; pick < each * static_cast<int>(seen.size()); ++pick) {
    const Member found = index.Least(
        now, 20, 0, [](Member) { return true; }, [&](std::uint64_t n) { return draw() % n; });
    EXPECT_EQ(found % every, 0u);
    ++seen[found / every];
  }
  return Unevenness(seen, each);
}

TEST(PickIndex, TiesAreBrokenUniformlyWhateverTheirNumber) {
  EXPECT_LT(std::abs(UnevennessOfTies(10000, 1, false)), 4);
  EXPECT_LT(std::abs(UnevennessOfTies(10000, 7, false)), 4);
  EXPECT_LT(std::abs(UnevennessOfTies(10000, 67, false)), 4);   // too few for random draws to hit them always
  EXPECT_LT(std::abs(UnevennessOfTies(10000, 500, false)), 4);  // each is visited
  EXPECT_LT(std::abs(UnevennessOfTies(8192, 1, true)), 4);
}

// A typical state with half of the members busy: the idle members are the slower ones. Bounds must stay tight
// for blocks with both an idle slow member and a busy fast one.
TEST(PickIndex, FewBlocksAreVisitedIfTheFastMembersAreBusy) {
  std::mt19937 draw(1);
  PickIndex index(kMemory);
  TimePoint now(Duration(5000));
  index.Refresh(now, 20);
  constexpr Member kAll = 10000;
  std::uniform_real_distribution<> excess(-0.3, 0.3);
  for (Member m = 0; m < kAll; ++m) {
    const double slow = excess(draw);
    index.Enter(m, PickIndex::kHome);
    index.Set(m, slow < 0 ? 20.0 : 0.0, slow, now);
  }
  std::size_t asked = 0, max_members = 0;
  for (int pick = 0; pick < 1000; ++pick) {
    std::size_t before = asked;
    const Member found = index.Least(
        now, 5 + pick % 40, 0, [&](Member) { return ++asked > 0; },
        [&](std::uint64_t n) { return draw() % n; });
    index.Set(found, 20, excess(draw), now);
    max_members = std::max(max_members, asked - before);
  }
  EXPECT_LT(asked, 100u * 1000u);  // out of 10,000 members per pick
}

TEST(PickIndex, WorkOfAllSizesIsExact) {
  PickIndex index(kMemory);
  const TimePoint now(Duration(5000));
  index.Refresh(now, 20);
  for (Member m = 0; m < 300; ++m) {
    index.Enter(m, PickIndex::kHome);
    index.Set(m, m == 77 ? 1e6 - 1 : 1e6, 0, now);
  }
  const auto least = [&](double asked) {
    return index.Least(
        now, asked, 0, [](Member) { return true; }, [](std::uint64_t) { return std::uint64_t{0}; });
  };
  EXPECT_EQ(least(1e-9), 77u);
  EXPECT_EQ(least(1e9), 77u);
  index.Set(5, 2e6, -1, now);  // infinitely fast: best for a request larger than the work in flight
  EXPECT_EQ(least(1e9), 5u);
  EXPECT_EQ(least(20), 77u);
  index.Hide(77);
  EXPECT_NE(least(20), 77u);
  index.Leave(5);
  EXPECT_NE(least(1e9), 5u);
}

}  // namespace
}  // namespace kestrelline::fleet

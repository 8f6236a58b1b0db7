// SPDX-License-Identifier: Apache-2.0
//
// Unit tests of the quota division: the pool, the voter, the message encoding, the settings section, and how
// the balancer applies a share.
#include <gtest/gtest.h>

#include <random>

#include "kestrelline/balancer.h"
#include "quota/pool.h"
#include "quota/settings.h"
#include "quota/voter.h"
#include "quota/wire.h"

namespace kestrelline::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
const Time kStart{std::chrono::hours(1)};

TEST(QuotaPool, AGrantCountsUntilItExpiresOrALaterOneIsAccepted) {
  Pool pool(0.75);
  const Grant large = pool.Issue(kStart, 1, 0.6, seconds(2), 1);
  EXPECT_DOUBLE_EQ(large.share, 0.6);
  const Grant small = pool.Issue(kStart, 1, 0.1, seconds(1), 2);
  EXPECT_DOUBLE_EQ(pool.Issue(kStart, 2, 0.5, seconds(2), 1).share, 0.15);  // the first may still be in use
  pool.OnAccepted(1, small.number);
  EXPECT_DOUBLE_EQ(pool.Issue(kStart, 2, 0.5, seconds(2), 2).share, 0.5);
  pool.OnAccepted(1, large.number);       // an old reply that arrives late
  pool.OnAccepted(1, small.number + 99);  // of a grant that was never issued
  EXPECT_DOUBLE_EQ(pool.Outstanding(kStart, 1), 0.1);
  EXPECT_DOUBLE_EQ(pool.Outstanding(kStart + milliseconds(1010), 1), 0.1);  // margin for slow clocks
  EXPECT_DOUBLE_EQ(pool.Outstanding(kStart + milliseconds(1021), 1), 0);
}

TEST(QuotaPool, MoreGrantsThanAreKeptCountAsTheLargest) {
  Pool pool(1);
  pool.Issue(kStart, 1, 0.9, seconds(60), 1);
  for (int i = 0; i < 50; ++i) pool.Issue(kStart + milliseconds(i), 1, 0.01, seconds(2), 2);
  EXPECT_DOUBLE_EQ(pool.Issue(kStart + seconds(10), 2, 1, seconds(2), 1).share, 1 - 0.9);
}

TEST(QuotaVoter, SupportsNobodyElseDuringAPromiseNorRightAfterAStart) {
  Voter voter(seconds(2), kStart);
  const Term a{1, 7}, b{2, 8};
  EXPECT_FALSE(
      voter.RequestVote(kStart + milliseconds(2039), a));  // it may have made a promise before its start
  EXPECT_TRUE(voter.RequestVote(kStart + milliseconds(2040), a));
  EXPECT_FALSE(voter.RequestVote(kStart + seconds(3), b));
  EXPECT_TRUE(voter.RequestVote(kStart + seconds(4), a));
  EXPECT_FALSE(voter.RequestVote(kStart + seconds(6), b));
  EXPECT_TRUE(voter.RequestVote(kStart + milliseconds(6040), b));
  EXPECT_FALSE(voter.RequestVote(kStart + seconds(20), a));  // never returns to an earlier term
}

TEST(QuotaWire, MessagesRoundTripAndCorruptBytesStayWithinBounds) {
  Message claim, reply;
  claim.term = {300, 77}, claim.round = 9, claim.grant = {5, 1ull << 40, 0.375, milliseconds(1999)};
  reply.kind = Message::Kind::kReply, reply.term = {300, 77}, reply.round = 9;
  reply.highest_term = ~0ull, reply.number = 12, reply.member_index = 299, reply.accepted_grant = 4,
  reply.rate = 1234.5;
  std::mt19937_64 random(1);
  for (const Message& m : {claim, reply}) {
    const auto bytes = wire::Encode(m);
    EXPECT_LE(bytes.size(), 64u);
    EXPECT_EQ(wire::Decode(bytes), m);
    for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(wire::Decode({bytes.data(), n}));
    for (int i = 0; i < 20000; ++i) {
      auto changed = bytes;
      for (int k = 0; k < 3; ++k) changed[random() % changed.size()] = static_cast<std::uint8_t>(random());
      if (const auto read = wire::Decode(changed)) {
        EXPECT_TRUE(read->grant.share >= 0 && read->grant.share <= 1);
        EXPECT_TRUE(read->rate >= 0 && read->rate <= wire::kMaxRate);
        EXPECT_LE(read->grant.duration, wire::kMaxGrantDuration);
      }
    }
  }
}

TEST(QuotaSettings, ErrorsNameTheLineAndTheReason) {
  const struct {
    std::string text;
    BuildContext context;
    std::string expected_error;  // empty: valid
  } table[] = {
      {"[concert]\n", {true, 5}, ""},
      {"[concert]\nreserve = \"40%\"\nlease = \"3s\"\n", {true, 5}, ""},
      {"[concert]\n", {false, 5}, "f.toml:2:1: [concert] [concert] needs [peers]"},
      {"[concert]\n", {true, 2}, "three are needed"},
      {"[concert]\nlease = \"100ms\"\n", {true, 5}, "f.toml:3:9: [range] 500ms to 1m is accepted"},
      {"[concert]\nreserve = \"140%\"\n", {true, 5}, "f.toml:3:11"},
      {"[concert]\nleases = 1\n", {true, 5}, "lease"},
  };
  for (const auto& [text, context, expected_error] : table) {
    operator_file::Diagnostics diagnostics("f.toml");
    Spec spec;
    const std::vector<operator_file::Section> sections{QuotaSection(&spec)};
    operator_file::ReadDocument("version = 1\n" + text, sections, &diagnostics);
    const auto settings = Build(spec, context, &diagnostics);
    std::string errors;
    for (const auto& line : diagnostics.Lines()) errors += line + "\n";
    EXPECT_EQ(settings.has_value(), expected_error.empty()) << text << errors;
    EXPECT_NE(errors.find(expected_error), std::string::npos) << text << errors;
  }
}

// Number of requests of one tenant that are admitted over three seconds, with requests over its quota worth
// nothing.
int AdmittedWith(const std::vector<kestrelline::Share>& shares) {
  kestrelline::Settings s;
  s.balancers = 5;
  s.over_share_worth = 0;
  s.tenants = {{100}};  // per second, over all proxies
  s.classes.resize(1);
  s.classes[0].aim = s.classes[0].deadline = Duration(1000);
  Balancer balancer(s, 1);
  std::vector<Action> actions;
  ListUpdate list;
  list.kind = ListKind::kFull;
  list.entries.resize(1);
  list.entries[0].server = 1;
  balancer.Handle(TimePoint(Duration(1)), list, &actions);
  for (const Share& share : shares) balancer.Handle(TimePoint(Duration(1)), share, &actions);
  int admitted = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    const TimePoint now(Duration(2 + 10 * static_cast<double>(id)));
    Submit submit;
    submit.request = id;
    submit.due = now + Duration(1000);
    actions.clear();
    balancer.Handle(now, submit, &actions);
    for (const Action& action : actions) {
      if (!std::holds_alternative<Dispatch>(action)) continue;
      admitted += id > 100;  // the initial burst is used up by then
      AttemptEnded end;
      end.request = id, end.server = 1, end.outcome = Outcome::kOk, end.took = Duration(1),
      end.settled = true;
      std::vector<Action> rest;
      balancer.Handle(now + Duration(1), end, &rest);
    }
  }
  return admitted;
}

TEST(QuotaBalancer, AShareHoldsUntilItExpiresAndInvalidSharesAreIgnored) {
  const TimePoint never(Duration(1e9)), middle(Duration(2502));
  EXPECT_NEAR(AdmittedWith({}), 60, 3);                          // a fifth of 100, for 3 s
  EXPECT_NEAR(AdmittedWith({Share{0.5, never, 0.05}}), 150, 4);  // half
  EXPECT_NEAR(AdmittedWith({Share{0.5, middle, 0.05}}), 82, 5);  // half, and then a twentieth
  EXPECT_NEAR(AdmittedWith({Share{0, never, 0.5}, Share{2, never, 1}, Share{0.5, never, 0}}), 60, 3);
}

}  // namespace
}  // namespace kestrelline::quota

// SPDX-License-Identifier: Apache-2.0
//
// The judgement of a soak run: each rule broken alone, and what each rule leaves out.
#include "fleet_soak/ledger.h"

#include <gtest/gtest.h>

namespace kestrelline::fleet_soak {
namespace {

// One proxy that took SIGTERM at 10 s, and requests to it.
struct Day {
  Ledger ledger;
  Day() {
    Life life;
    life.name = "edge0#0";
    life.term = Time(10000);
    life.ended = Time(15700);
    ledger.lives.push_back(life);
  }
  Request& Add(Kind kind, Time sent, Time ended, Ending ending) {
    Request request;
    request.id = "r" + std::to_string(ledger.requests.size());
    request.kind = kind;
    request.deadline = Time(6000);
    request.events = 3;
    request.sent = sent;
    request.ended = ended;
    request.ending = ending;
    ledger.requests.push_back(request);
    return ledger.requests.back();
  }
  Request& Answered(Kind kind = Kind::kUnsafe, int status = 200) {
    Request& request = Add(kind, Time(1000), Time(1100), Ending::kAnswered);
    request.status = status;
    request.answered_id = request.id;
    request.stamp = "a0";
    request.body = ExpectedBody(kind, request.id, request.events);
    return request;
  }
  Arrival& Ran(const Request& request, bool ran = true) {
    ledger.arrivals.push_back({request.id, "a0", request.sent, request.ended, ran, false});
    return ledger.arrivals.back();
  }
  std::string Rules(std::uint64_t version = 0, const std::string& text = "") const {
    std::string rules;
    for (const Violation& violation : ledger.Judge(version, text, Time(60000)).violations) {
      rules += (rules.empty() ? "" : " ") + violation.rule;
    }
    return rules;
  }
  Tally tally() const { return ledger.Judge(0, "", Time(60000)).tally; }
};

TEST(SoakLedger, AnswersOfAllKindsThatAreWholeBreakNothing) {
  Day day;
  for (const Kind kind : {Kind::kUnsafe, Kind::kSafe, Kind::kStream, Kind::kResumable})
    day.Ran(day.Answered(kind));
  day.Answered(Kind::kUnsafe, 503);
  day.Ran(day.Answered(Kind::kUnsafe, 502));
  EXPECT_EQ(day.Rules(), "");
  EXPECT_EQ(day.tally().answered, 4);
  EXPECT_EQ(day.tally().refused, 1);
  EXPECT_EQ(day.tally().failed, 1);
}

TEST(SoakLedger, LostIfItWasPassedOnAndClosedHoweverSoon) {
  Day day;
  day.Ran(day.Add(Kind::kUnsafe, Time(13500), Time(13510), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, LostIfABackendSawItAndNeverRanIt) {
  Day day;
  day.Ran(day.Add(Kind::kUnsafe, Time(13500), Time(13510), Ending::kNoAnswer), false);
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, LostIfItsStreamWasCut) {
  Day day;
  Request& request = day.Add(Kind::kStream, Time(13500), Time(15650), Ending::kCut);
  request.status = 200;
  request.body = ExpectedBody(Kind::kStream, request.id, 2);
  day.Ran(request);
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, AClosedConnectionIsACrossingWithinTheSlackAndALossAfterIt) {
  Day day;
  day.Add(Kind::kUnsafe, Time(13500), Time(13700), Ending::kNoAnswer);
  EXPECT_EQ(day.Rules(), "");
  EXPECT_EQ(day.tally().crossed, 1);
  day.Add(Kind::kUnsafe, Time(13500), Time(13701), Ending::kNoAnswer);
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, TimeInWhichTheHarnessStoodStillIsNotTheProxys) {
  Day day;
  day.Add(Kind::kUnsafe, Time(13500), Time(13800), Ending::kNoAnswer);
  day.ledger.harness_stalls.push_back({Time(13400), Time(13600)});
  EXPECT_EQ(day.Rules(), "");
  day.ledger.harness_stalls[0].to = Time(13599);
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, TheEndOfGraceMayMeetWhatWasReadBeforeTheSignalWasSeen) {
  Day day;
  day.Ran(day.Add(Kind::kUnsafe, Time(10250), Time(15650), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "");
  EXPECT_EQ(day.tally().at_end_of_grace, 1);
}

TEST(SoakLedger, TheEndOfGraceMayNotMeetWhatWasSentLater) {
  Day day;
  day.Ran(day.Add(Kind::kUnsafe, Time(10251), Time(15650), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, TheEndOfGraceIsItsLastSixth) {
  Day day;
  day.Ran(day.Add(Kind::kUnsafe, Time(12000), Time(14999), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, NotLostIfTheBackendBrokeOffOrTheDeadlineHadPassed) {
  Day day;
  day.Ran(day.Add(Kind::kStream, Time(1000), Time(1100), Ending::kNoAnswer)).broke_off = true;
  day.Ran(day.Add(Kind::kStream, Time(1000), Time(7000), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "");
  EXPECT_EQ(day.tally().broken_off, 1);
  EXPECT_EQ(day.tally().late, 1);
}

TEST(SoakLedger, NotLostIfTheProxyWasPausedOrKilledShortlyBeforeOrMeanwhile) {
  Day day;
  day.ledger.lives[0].troubles.push_back({Time(4000), Time(5000)});
  day.Ran(day.Add(Kind::kUnsafe, Time(6000), Time(6500), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "");
  day.Ran(day.Add(Kind::kUnsafe, Time(6001), Time(6500), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, ACutOfARelayConcernsItsConnectionsAlone) {
  Day day;
  day.ledger.relay_troubles[4].push_back({Time(5000), Time(6000)});
  Request& through = day.Add(Kind::kUnsafe, Time(5500), Time(6000), Ending::kNoAnswer);
  through.relay = 4;
  day.Ran(through);
  EXPECT_EQ(day.Rules(), "");
  day.Ran(day.Add(Kind::kUnsafe, Time(5500), Time(6000), Ending::kNoAnswer));
  EXPECT_EQ(day.Rules(), "LOST");
}

TEST(SoakLedger, TwiceIfAnUnsafeOneOrAStreamRanAgain) {
  for (const Kind kind : {Kind::kUnsafe, Kind::kStream}) {
    Day day;
    const Request request = day.Answered(kind);
    day.Ran(request, false);
    day.Ran(request);
    EXPECT_EQ(day.Rules(), "");
    day.Ran(request);
    EXPECT_EQ(day.Rules(), "TWICE");
  }
}

TEST(SoakLedger, OthersMayRunAsOftenAsTheirRouteAllows) {
  Day day;
  const Request request = day.Answered(Kind::kSafe);
  day.Ran(request);
  day.Ran(request);
  EXPECT_EQ(day.Rules(), "");
  day.Ran(request);
  EXPECT_EQ(day.Rules(), "TWICE");
}

TEST(SoakLedger, RefusedMeansThatItNeverRan) {
  for (const int status : {408, 421, 429, 503}) {
    Day day;
    const Request request = day.Answered(Kind::kSafe, status);
    day.Ran(request, false);
    EXPECT_EQ(day.Rules(), "");
    day.Ran(request);
    EXPECT_EQ(day.Rules(), "REFUSED");
  }
}

TEST(SoakLedger, MixedIfStampRequestOrBodyIsOfAnother) {
  Day day;
  day.Ran(day.Answered()).instance = "a1";
  day.Answered().answered_id = "r0";
  day.Ran(day.ledger.requests.back());
  day.Answered().body = "body of r0";
  day.Ran(day.ledger.requests.back());
  EXPECT_EQ(day.Rules(), "MIXED MIXED MIXED");
}

TEST(SoakLedger, OrderIfAStreamThatLooksWholeIsNotOrEventsAreMissing) {
  Day day;
  Request& shorter = day.Answered(Kind::kStream);
  shorter.body = ExpectedBody(Kind::kStream, shorter.id, 2);
  day.Ran(shorter);
  EXPECT_EQ(day.Rules(), "ORDER");
  Request& gap = day.Add(Kind::kStream, Time(1000), Time(1100), Ending::kCut);
  gap.status = 200;
  gap.body = "id: 2\n";
  day.Ran(gap).broke_off = true;
  EXPECT_EQ(day.Rules(), "ORDER ORDER");
  Request& made_up = day.Add(Kind::kResumable, Time(2000), Time(2100), Ending::kCut);
  made_up.status = 200;
  made_up.body = ExpectedBody(Kind::kResumable, made_up.id, 2) + "data: made up\n\n";
  day.Ran(made_up).broke_off = true;
  EXPECT_EQ(day.Rules(), "ORDER ORDER ORDER");
}

TEST(SoakLedger, ExitOfAProcessByItselfOrWithAStatusOrTooLate) {
  Day day;
  day.ledger.lives[0].status = 1;
  EXPECT_EQ(day.Rules(), "EXIT");
  day.ledger.lives[0].status = 0;
  day.ledger.lives[0].overstayed = true;
  EXPECT_EQ(day.Rules(), "EXIT");
  day.ledger.lives[0].overstayed = false;
  day.ledger.lives[0].term.reset();
  EXPECT_EQ(day.Rules(), "EXIT");
}

TEST(SoakLedger, NoExitOfAProcessThatWasKilledOrPausedInItsGrace) {
  Day day;
  Life& life = day.ledger.lives[0];
  life.status = 1009;
  life.troubles.push_back({Time(15600), kForever});
  EXPECT_EQ(day.Rules(), "");
  life.overstayed = true;
  EXPECT_EQ(day.Rules(), "");
  life.troubles[0].from = Time(16001);
  EXPECT_EQ(day.Rules(), "EXIT");
}

TEST(SoakLedger, ConfigIfWhatWasAcknowledgedIsGoneOrAnother) {
  Day day;
  day.ledger.orders.push_back({4, 3, "four", Time(100)});
  day.ledger.orders.push_back({5, 4, "five", std::nullopt});
  EXPECT_EQ(day.Rules(4, "four"), "");
  EXPECT_EQ(day.Rules(5, "five"), "");  // taken, its acknowledgement lost
  EXPECT_EQ(day.Rules(3, "three"), "CONFIG");
  EXPECT_EQ(day.Rules(4, "another"), "CONFIG");
}

TEST(SoakLedger, ConfigIfTwoChangesOfOneVersionWereAcknowledged) {
  Day day;
  day.ledger.orders.push_back({4, 3, "four", Time(100)});
  day.ledger.orders.push_back({4, 3, "four", Time(200)});  // sent again
  EXPECT_EQ(day.Rules(5, "five"), "");
  day.ledger.orders.push_back({5, 3, "five", Time(300)});
  EXPECT_EQ(day.Rules(5, "five"), "CONFIG");
}

}  // namespace
}  // namespace kestrelline::fleet_soak

// SPDX-License-Identifier: Apache-2.0
//
// Files of events: written, read, cut, damaged, merged and judged.
#include "load/events.h"

#include <gtest/gtest.h>

#include <sstream>

namespace kestrelline::load {
namespace {

using Kind = Event::Kind;

RuleFigures Figures() {
  RuleFigures figures;
  figures.classes = {{"look", Effect::kSafe, false, {}},
                     {"change", Effect::kKeyed, true, Microseconds(10000000)},
                     {"book", Effect::kUnsafe, false, {}}};
  figures.fall_multiple = 2.25;
  return figures;
}

Event Make(Kind kind, std::int64_t at, const std::string& request, const std::string& proxy,
           const std::string& subject, int number = 0, std::int64_t span = 0, double work = 0) {
  Event e;
  e.kind = kind, e.at = Microseconds(at), e.request = request, e.proxy = proxy, e.subject = subject;
  e.number = number, e.span = Microseconds(span), e.work = work;
  return e;
}

std::string Written(const std::vector<Event>& events, bool with_figures) {
  std::ostringstream out;
  const RuleFigures figures = Figures();
  EventWriter writer(out, with_figures ? &figures : nullptr);
  for (const Event& e : events) writer.Add(e);
  writer.Close();
  return out.str();
}

const std::vector<Event> kClients{Make(Kind::kSent, 1000, "a", "n0", "book", 0, 1000000),
                                  Make(Kind::kAnswered, 9000, "a", "n0", "a", 0)};
const std::vector<Event> kFleet{Make(Kind::kStarted, 10, "", "", "s-1", 2, 0, 2.0),
                                Make(Kind::kTold, 20, "", "n0", "s-1", 0),
                                Make(Kind::kBegan, 2000, "a", "n0", "s-1", 0, 100, 0.005),
                                Make(Kind::kFinished, 8000, "a", "n0", "s-1", 1)};

Ledger::Verdict Judged(const std::string& clients, const std::string& fleet) {
  std::istringstream a(clients), b(fleet);
  EventReader first(a, "clients"), second(b, "fleet");
  return Judge({&first, &second});
}

TEST(Events, AreReadAsTheyWereWritten) {
  std::vector<Event> all = kFleet;
  all[0].cold = 0.16;
  all.push_back(Make(Kind::kPaused, 9000, "", "n0", ""));
  all.push_back(Make(Kind::kResumed, 9500, "", "n0", ""));
  all.push_back(Make(Kind::kKilled, 9900, "", "n0", ""));
  std::istringstream in(Written(all, true));
  EventReader reader(in, "f");
  ASSERT_TRUE(reader.figures());
  EXPECT_EQ(reader.figures()->classes.size(), 3u);
  EXPECT_EQ(reader.figures()->classes[1].window, Microseconds(10000000));
  EXPECT_TRUE(reader.figures()->classes[1].all_drop);
  EXPECT_EQ(reader.figures()->fall_multiple, 2.25);
  for (const Event& e : all) EXPECT_EQ(reader.Next(), e);
  EXPECT_FALSE(reader.Next());
  EXPECT_TRUE(reader.whole());
}

TEST(Events, TextsFromOutsideCannotForgeALine) {
  const Event e = Make(Kind::kBegan, 1, "a\nF 2 x y z 1 0 0 0\n", "n 0", std::string(500, 's'));
  std::istringstream in(Written({e}, true));
  EventReader reader(in, "f");
  const auto read = reader.Next();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->request, "a?F?2?x?y?z?1?0?0?0?");
  EXPECT_EQ(read->proxy, "n?0");
  EXPECT_EQ(read->subject, std::string(64, 's'));
  EXPECT_FALSE(reader.Next());
  EXPECT_TRUE(reader.whole());
}

TEST(Events, ACleanRunIsJudgedClean) {
  const auto verdict = Judged(Written(kClients, false), Written(kFleet, true));
  EXPECT_TRUE(verdict.clean()) << Shown(verdict);
  EXPECT_EQ(verdict.requests, 1u);
  EXPECT_EQ(verdict.served, 1u);
  EXPECT_EQ(verdict.attempts, 1u);
  EXPECT_EQ(Shown(verdict).find("BROKEN"), std::string::npos);
}

TEST(Events, ABreachIsShownWithItsWholeHistory) {
  auto fleet = kFleet;
  fleet.insert(fleet.begin() + 3, Make(Kind::kBegan, 3000, "a", "n0", "s-1", 0, 100, 0.005));
  const auto verdict = Judged(Written(kClients, false), Written(fleet, true));
  EXPECT_FALSE(verdict.clean());
  const std::string text = Shown(verdict);
  EXPECT_NE(text.find("no effect twice                BROKEN 2 times"), std::string::npos) << text;
  EXPECT_NE(text.find("two attempts out at once"), std::string::npos) << text;
  EXPECT_NE(text.find("attempt 0 begins at s-1"), std::string::npos) << text;
  EXPECT_NE(text.find("attempt 1 begins at s-1"), std::string::npos) << text;
}

// Cut at every byte: it is refused, or judged and called incomplete; it never passes for a whole run.
TEST(Events, AFileThatWasCutNeverPassesForAWholeOne) {
  const std::string clients = Written(kClients, false), fleet = Written(kFleet, true);
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    try {
      EXPECT_FALSE(Judged(clients, fleet.substr(0, n)).clean()) << n;
    } catch (const BadEvents& error) {
      EXPECT_NE(std::string(error.what()).find("fleet:"), std::string::npos) << error.what();
    }
  }
}

TEST(Events, WhatIsNoFileOfEventsIsRefusedWithItsLine) {
  const std::string head = "KLEVENTS 1 {}\n";
  const std::pair<std::string, const char*> wrong[] = {
      {"", "f:1: this is no file of events"},
      {"KLEVENTS 2 {}\n", "f:1: this is no file of events"},
      {"KLEVENTS 1 {\"classes\":5}\n", "f:1: the figures of the rules cannot be read"},
      {head + "S 1 a b c 0 0 0\n.\n", "f:2: this is no event"},
      {head + "S 1 a b c 0 0 0 0 0\n.\n", "f:2: this is no event"},
      {head + "X 1 a b c 0 0 0 0\n.\n", "f:2: this is no event"},
      {head + "A 1 a b c 7 0 0 0\n.\n", "f:2: a number out of range"},
      {head + "F 1 a b c 2 0 0 0\n.\n", "f:2: a number out of range"},
      {head + "S 5 a b c 0 0 0 0\nS 4 a b c 0 0 0 0\n.\n", "f:3: time goes back"},
      {head + ".\nS 4 a b c 0 0 0 0\n", "f:3: there is more after the end"},
      {head + std::string(5000, 'x') + "\n.\n", "f:2: a line of more than"},
  };
  for (const auto& [text, part] : wrong) {
    std::istringstream in(text);
    try {
      EventReader reader(in, "f");
      while (reader.Next()) {
      }
      ADD_FAILURE() << part;
    } catch (const BadEvents& error) {
      EXPECT_NE(std::string(error.what()).find(part), std::string::npos) << error.what();
    }
  }
}

TEST(Events, TheFiguresOfTheRulesMustBeInOneFileAndOneOnly) {
  EXPECT_THROW(Judged(Written(kClients, false), Written(kFleet, false)), BadEvents);
  EXPECT_THROW(Judged(Written(kClients, true), Written(kFleet, true)), BadEvents);
}

TEST(Events, AClassThatTheRulesDoNotKnowMakesTheAuditIncomplete) {
  auto clients = kClients;
  clients[0].subject = "odd";
  EXPECT_FALSE(Judged(Written(clients, false), Written(kFleet, true)).complete);
}

}  // namespace
}  // namespace kestrelline::load

// SPDX-License-Identifier: Apache-2.0
//
// What the stand-in site decides without sockets: work, faults, the list, the file.
#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "standin/converter_model.h"
#include "standin/faults.h"
#include "standin/membership.h"
#include "standin/site.h"

namespace kestrelline::standin {
namespace {

constexpr Microseconds Ms(std::int64_t ms) { return Microseconds(ms * 1000); }

// ---- work ---------------------------------------------------------------------------------------------
ConverterModel Warm(int cores, int queue) {
  ConverterModel model(cores, 1, queue, 0.2, Ms(10000));
  model.Start(Ms(0), false);
  return model;
}

TEST(ConverterModel, RunsAsManyAsItHasCoresThenQueuesThenDeclines) {
  ConverterModel model = Warm(2, 1);
  EXPECT_TRUE(model.Offer(1, 0.010, Ms(0)));
  EXPECT_TRUE(model.Offer(2, 0.020, Ms(0)));
  EXPECT_TRUE(model.Offer(3, 0.010, Ms(0)));
  EXPECT_FALSE(model.Offer(4, 0.010, Ms(0)));
  EXPECT_EQ(model.running(), 2);
  EXPECT_EQ(model.queued(), 1);
  EXPECT_EQ(model.Next(), Ms(10));
  EXPECT_EQ(model.Advance(Ms(10)), std::vector<JobId>{1});
  EXPECT_EQ(model.Advance(Ms(100)), (std::vector<JobId>{2, 3}));
  EXPECT_FALSE(model.Next());
}

TEST(ConverterModel, AQueuedJobBeginsWhenTheOneBeforeEndedHoweverLateOneLooks) {
  ConverterModel model = Warm(1, 5);
  model.Offer(1, 0.010, Ms(0));
  model.Offer(2, 0.010, Ms(0));
  model.Offer(3, 0.100, Ms(0));
  EXPECT_EQ(model.Advance(Ms(50)), (std::vector<JobId>{1, 2}));
  EXPECT_EQ(model.Next(), Ms(120));  // begun at 20, not at 50
}

TEST(ConverterModel, WhatIsAbandonedInTheQueueNeverRunsAndWhatRunsGoesOn) {
  ConverterModel model = Warm(1, 5);
  model.Offer(1, 0.010, Ms(0));
  model.Offer(2, 0.010, Ms(0));
  model.Abandon(1, Ms(1));
  model.Abandon(2, Ms(1));
  EXPECT_EQ(model.queued(), 0);
  EXPECT_EQ(model.Advance(Ms(100)), std::vector<JobId>{1});
}

TEST(ConverterModel, AColdOneWarmsUpInALine) {
  ConverterModel model(1, 2, 5, 0.2, Ms(10000));
  model.Start(Ms(1000), true);
  EXPECT_DOUBLE_EQ(model.Share(Ms(1000)), 0.2);
  EXPECT_DOUBLE_EQ(model.Share(Ms(6000)), 0.6);
  EXPECT_DOUBLE_EQ(model.Share(Ms(11000)), 1);
  EXPECT_DOUBLE_EQ(model.Share(Ms(99000)), 1);
  model.Offer(1, 0.010, Ms(1000));  // 10 ms at speed 2 and a fifth of it
  EXPECT_EQ(model.Next(), Ms(1025));
  model.Advance(Ms(1025));
  model.SlowDown(3);
  model.Offer(2, 0.010, Ms(20000));
  EXPECT_EQ(model.Next(), Ms(20015));
}

TEST(CellMemory, AKeyIsSeenWithinItsWindowAndNotAfter) {
  CellMemory cell;
  EXPECT_FALSE(cell.Seen("a", Ms(100), Ms(0)));
  EXPECT_TRUE(cell.Seen("a", Ms(100), Ms(99)));
  EXPECT_FALSE(cell.Seen("b", Ms(10), Ms(99)));
  EXPECT_FALSE(cell.Seen("a", Ms(100), Ms(100)));  // and from now on anew
  EXPECT_TRUE(cell.Seen("a", Ms(100), Ms(199)));
  EXPECT_FALSE(cell.Seen("b", Ms(10), Ms(199)));
}

TEST(CellMemory, ItsSizeHasABound) {
  CellMemory cell;
  for (std::size_t i = 0; i < CellMemory::kMostKeys + 1000; ++i)
    EXPECT_FALSE(cell.Seen(std::to_string(i), Ms(1000000), Ms(static_cast<std::int64_t>(i))));
  EXPECT_LE(cell.size(), CellMemory::kMostKeys);
  EXPECT_TRUE(cell.Seen(std::to_string(CellMemory::kMostKeys + 999), Ms(1000000), Ms(200000)));
  EXPECT_FALSE(cell.Seen("0", Ms(1000000), Ms(200000)));  // the oldest was forgotten
}

TEST(Work, IsTheSameForTheSameSeedAndIdAndHasTheMeanOfItsClass) {
  SiteClass c;
  c.work_s = 0.02;
  c.spread = 0.5;
  EXPECT_EQ(WorkOf(c, 1, "a"), WorkOf(c, 1, "a"));
  EXPECT_NE(WorkOf(c, 1, "a"), WorkOf(c, 2, "a"));
  EXPECT_NE(WorkOf(c, 1, "a"), WorkOf(c, 1, "b"));
  double sum = 0;
  constexpr int kDraws = 20000;
  for (int i = 0; i < kDraws; ++i) sum += WorkOf(c, 7, std::to_string(i));
  EXPECT_NEAR(sum / kDraws, c.work_s, 0.02 * c.work_s);  // its error is 0.4 %
}

// ---- the list -----------------------------------------------------------------------------------------
ListedMember Member(const std::string& id, load::Listed state = load::Listed::kReady) {
  ListedMember m;
  m.id = id, m.zone = "a", m.kind = "m", m.cell = 3, m.state = state;
  m.addresses = {"127.0.0.1:1", "127.0.0.1:2"};
  return m;
}

TEST(Membership, SaysWhatHasChangedAndEachProxyItsOwnAddresses) {
  Membership list;
  list.Put(Member("s-1"));
  list.Put(Member("s-2"));
  const auto whole = list.Whole(1);
  EXPECT_TRUE(whole.complete);
  EXPECT_EQ(whole.revision, 2u);
  const auto json = nlohmann::json::parse(whole.line);
  EXPECT_EQ(json["members"].size(), 2u);
  EXPECT_EQ(json["members"][0]["host_port"], "127.0.0.1:2");
  EXPECT_EQ(json["members"][0]["phase"], "in_service");

  list.Put(Member("s-1", load::Listed::kDraining));
  list.Put(Member("s-2", load::Listed::kGone));
  const auto since = list.Since(2, 0);
  EXPECT_FALSE(since.complete);
  EXPECT_EQ(since.revision, 4u);
  const auto changes = nlohmann::json::parse(since.line)["members"];
  ASSERT_EQ(changes.size(), 2u);
  EXPECT_EQ(changes[0]["phase"], "terminating");
  EXPECT_EQ(changes[1]["phase"], "terminated");
  EXPECT_EQ(since.tells, (std::vector<std::pair<std::string, load::Listed>>{{"s-1", load::Listed::kDraining},
                                                                            {"s-2", load::Listed::kGone}}));
  // A whole list does not name what has gone; an index of nobody's gets one.
  EXPECT_EQ(nlohmann::json::parse(list.Whole(0).line)["members"].size(), 1u);
  EXPECT_TRUE(list.Since(0, 0).complete);
  EXPECT_TRUE(list.Since(99, 0).complete);
  EXPECT_EQ(nlohmann::json::parse(list.Since(4, 0).line)["members"].size(), 0u);
}

TEST(Membership, ForgetsTheOldestOfTheGoneAndThenGivesTheWholeList) {
  Membership list;
  for (std::size_t i = 0; i <= Membership::kMostGone; ++i)
    list.Put(Member("g" + std::to_string(i), load::Listed::kGone));
  EXPECT_EQ(list.Find("g0"), nullptr);
  EXPECT_NE(list.Find("g1"), nullptr);
  EXPECT_FALSE(list.Since(1, 0).complete);  // the one it missed is not
  list.Put(Member("more", load::Listed::kGone));
  EXPECT_TRUE(list.Since(1, 0).complete);
}

// ---- faults -------------------------------------------------------------------------------------------
TEST(Faults, CommandsAreReadOrSayWhatIsWrong) {
  std::string why;
  const auto slow = ParseCommand("slow s-03 10s 3", &why);
  ASSERT_TRUE(slow) << why;
  EXPECT_EQ(slow->kind, Fault::Kind::kSlow);
  EXPECT_EQ(slow->who, "s-03");
  EXPECT_EQ(slow->lasts, Ms(10000));
  EXPECT_EQ(slow->amount, 3);
  EXPECT_TRUE(ParseCommand("late_list 500ms", &why));
  const std::pair<const char*, const char*> wrong[] = {
      {"", "there is no fault ''"},
      {"slo s-03 10s 3", "there is no fault 'slo'"},
      {"slow", "needs WHO"},
      {"slow s-03", "needs FOR"},
      {"slow s-03 ten", "is no duration"},
      {"slow s-03 10s", "needs AMOUNT, 1 to 1000"},
      {"slow s-03 10s 0.5", "needs AMOUNT, 1 to 1000"},
      {"slow s-03 10s 3x", "needs AMOUNT"},
      {"slow s-03 10s nan", "needs AMOUNT"},
      {"reset s-03 1s 2", "0 to 1"},
      {"stall s-03 1s 2", "'2' is too much"},
      {"late_list 1s s-03", "'s-03' is too much"},
  };
  for (const auto& [line, part] : wrong) {
    why.clear();
    EXPECT_FALSE(ParseCommand(line, &why)) << line;
    EXPECT_NE(why.find(part), std::string::npos) << line << ": " << why;
  }
}

TEST(Faults, VictimsAreDrawnByTheSeedAlone) {
  std::vector<Candidate> all;
  for (int i = 0; i < 15; ++i) all.push_back({"s-" + std::to_string(i), i % 2 ? "b" : "a", i % 3});
  const auto whom = [&](const std::string& who, std::uint64_t seed = 1, Microseconds at = Ms(5)) {
    return Victims({at, Fault::Kind::kSlow, who, Ms(1), 2}, all, seed);
  };
  EXPECT_EQ(whom("s-4"), std::vector<std::string>{"s-4"});
  EXPECT_EQ(whom("cell:2").size(), 5u);
  EXPECT_EQ(whom("zone:b").size(), 7u);
  EXPECT_TRUE(whom("s-15").empty());
  EXPECT_TRUE(whom("cell:9").empty());
  EXPECT_EQ(whom("20%").size(), 3u);
  EXPECT_EQ(whom("1%").size(), 1u);
  EXPECT_EQ(whom("100%").size(), 15u);
  EXPECT_EQ(whom("20%"), whom("20%"));
  std::set<std::vector<std::string>> drawn;
  for (std::uint64_t seed = 0; seed < 20; ++seed) drawn.insert(whom("20%", seed));
  EXPECT_GT(drawn.size(), 10u);
  EXPECT_NE(whom("20%", 1, Ms(5)), whom("20%", 1, Ms(6)));
}

// ---- the file -----------------------------------------------------------------------------------------
std::string WithFault(const std::string& fault) {
  return "version = 1\n[site]\nzones = [\"a\", \"b\"]\nproxies = 2\n"
         "[[class]]\nname = \"look\"\neffect = \"safe\"\n[[converters]]\ncount = 4\ncells = 2\n" +
         (fault.empty() ? "" : "[[fault]]\n" + fault);
}

std::string Refusal(const std::string& text) {
  operator_file::Diagnostics diagnostics("site.toml");
  const auto site = ReadSite(text, &diagnostics);
  std::string all;
  for (const auto& line : diagnostics.Lines()) all += line + "\n";
  EXPECT_EQ(site.has_value(), all.empty()) << all;
  return all;
}

TEST(Site, IsReadWhole) {
  operator_file::Diagnostics diagnostics("site.toml");
  const auto site =
      ReadSite(WithFault("at=\"1s\"\nkind=\"slow\"\nwho=\"50%\"\nfor=\"2s\"\namount=3\n"), &diagnostics);
  ASSERT_TRUE(site);
  ASSERT_EQ(site->converters.size(), 4u);
  EXPECT_EQ(site->converters[3].id, "s-03");
  EXPECT_EQ(site->converters[3].cell, 1);
  EXPECT_EQ(site->converters[3].zone, "b");
  ASSERT_EQ(site->faults.size(), 1u);
  EXPECT_EQ(site->faults[0], (Fault{Ms(1000), Fault::Kind::kSlow, "50%", Ms(2000), 3}));
  const auto config = ProxyConfig(*site, 1, "127.0.0.1:1", "127.0.0.1:2");
  EXPECT_EQ(config["name"], "n1");
  EXPECT_EQ(config["settings"]["classes"][0]["effect"], "read_like");
  EXPECT_EQ(config["settings"]["balancers"], 2);
}

TEST(Site, WhatIsWrongIsToldWithItsLine) {
  const std::pair<std::string, const char*> wrong[] = {
      {"version = 1\n", "site"},
      {WithFault("at=\"1s\"\nkind=\"slo\"\nwho=\"s-00\"\nfor=\"2s\"\n"),
       "site.toml:13:6: [fault] there is no fault 'slo'"},
      {WithFault("at=\"1s\"\nkind=\"slow\"\nwho=\"s-00\"\nfor=\"2s\"\n"), "needs 'amount', 1 to 1000"},
      {WithFault("at=\"1s\"\nkind=\"stall\"\nfor=\"2s\"\n"), "needs 'who'"},
      {WithFault("at=\"1s\"\nkind=\"late_list\"\nwho=\"s-00\"\nfor=\"2s\"\n"), "has no 'who'"},
      {WithFault("at=\"1s\"\nkind=\"stall\"\nwho=\"s-00\"\nfor=\"2s\"\namount=2\n"), "has no 'amount'"},
      {WithFault("at=\"1s\"\nkind=\"stall\"\nwho=\"s-09\"\nfor=\"2s\"\n"), "there is no 's-09'"},
      {WithFault("at=\"1s\"\nkind=\"pause\"\nwho=\"s-00\"\nfor=\"2s\"\n"), "there is no 's-00'"},
      {WithFault("at=\"1s\"\nkind=\"stall\"\nwho=\"s-00\"\n"), "for"},
      {WithFault("") + "[[converters]]\ncount = 499\n", "at most 500 converters"},
      {WithFault("") + "[[class]]\nname = \"x\"\neffect = \"odd\"\n", "'odd' is no effect"},
  };
  for (const auto& [text, part] : wrong) {
    const std::string said = Refusal(text);
    EXPECT_NE(said.find(part), std::string::npos) << text << "\n" << said;
  }
}

TEST(Site, TheRehearsalsFileIsRight) {
  std::ifstream file(std::string(SOURCE_PATH) + "/deploy/rehearsal.site.toml");
  std::ostringstream text;
  text << file.rdbuf();
  EXPECT_EQ(Refusal(text.str()), "");
}

}  // namespace
}  // namespace kestrelline::standin

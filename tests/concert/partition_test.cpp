// SPDX-License-Identifier: Apache-2.0
//
// What classes may do while proxies are missing: the section, what follows from a view, and what the module
// does with a limit.
#include "concert/partition.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "kestrelline/balancer.h"

namespace kestrelline::concert {
namespace {

using peers::Connectivity;

std::vector<ClassPartition> Read(const std::string& text, bool peers, std::string* said) {
  operator_file::Diagnostics diagnostics("f.toml");
  PartitionSpec spec;
  const std::vector<operator_file::Section> sections{PartitionSection(&spec)};
  operator_file::ReadDocument("version = 1\n" + text, sections, &diagnostics);
  const auto built = Build(spec, PartitionAround{peers, {"look", "change", "book"}}, &diagnostics);
  for (const auto& line : diagnostics.Lines()) *said += line + "\n";
  return built;
}

TEST(PartitionSettings, WhatIsWrongIsSaidWithItsLine) {
  const struct {
    std::string text;
    bool peers;
    std::string part;  // empty: it is right
  } table[] = {
      {"[[partition]]\nclass = \"book\"\nminority = \"refuse\"\n", true, ""},
      {"[[partition]]\nclass = \"book\"\npart = \"within\"\nrate = 5\n", true, ""},
      {"[[partition]]\nclass = \"book\"\n", false, "f.toml:2:1: [partition] [[partition]] needs [peers]"},
      {"[[partition]]\nclass = \"boook\"\n", true, "f.toml:3:9: [class] there is no class 'boook'"},
      {"[[partition]]\nclass = \"book\"\nalone = \"stop\"\n", true, "f.toml:4:9: [partition] 'stop' is no"},
      {"[[partition]]\nclass = \"book\"\nalone = \"within\"\n", true, "within needs a rate"},
      {"[[partition]]\nclass = \"book\"\nalone = \"refuse\"\nrate = 5\n", true, "f.toml:5:8"},
      {"[[partition]]\nclass = \"book\"\n[[partition]]\nclass = \"book\"\n", true, "f.toml:5:9"},
      {"[[partition]]\nclass = \"book\"\nrate = -1\n", true, "f.toml:4:8"},
      {"[[partition]]\nminority = \"refuse\"\n", true, "class"},
      {"[[partition]]\nclass = \"book\"\nmajority = \"serve\"\n", true, "minority"},
  };
  for (const auto& [text, peers, part] : table) {
    std::string said;
    EXPECT_EQ(Read(text, peers, &said).size() == 1, part.empty()) << text << said;
    EXPECT_NE(said.find(part), std::string::npos) << text << said;
  }
}

TEST(Partition, WhatIsNotSaidIsAsTheMilderSituationHasIt) {
  std::string said;
  const auto all = Read(
      "[[partition]]\nclass = \"book\"\nminority = \"refuse\"\n"
      "[[partition]]\nclass = \"look\"\npart = \"within\"\nalone = \"refuse\"\nrate = 7\n",
      true, &said);
  ASSERT_EQ(all.size(), 2u) << said;
  const auto limits = [](const ClassPartition& c) {
    std::vector<double> limits;
    for (const auto s : {Situation::kWhole, Situation::kPart, Situation::kMinority, Situation::kAlone})
      limits.push_back(LimitOf(c, s));
    return limits;
  };
  EXPECT_EQ(all[0].request_class, 2);
  EXPECT_EQ(limits(all[0]), (std::vector<double>{-1, -1, 0, 0}));
  EXPECT_EQ(all[1].request_class, 0);
  EXPECT_EQ(limits(all[1]), (std::vector<double>{-1, 7, 7, 0}));
}

TEST(Partition, OfTwoPartsOneAtMostHasMoreThanHalf) {
  for (int configured = 1; configured <= 9; ++configured) {
    for (int here = 1; here <= configured; ++here) {
      const auto of = [&](int present) {
        return SituationOf(present > 1 ? Connectivity::kPart : Connectivity::kAlone,
                           static_cast<std::size_t>(present), configured);
      };
      const int there = configured - here;
      EXPECT_FALSE(of(here) == Situation::kPart && there > 0 && of(there) == Situation::kPart);
      EXPECT_EQ(of(here) == Situation::kPart, here > 1 && 2 * here > configured);
    }
  }
  EXPECT_EQ(SituationOf(Connectivity::kWhole, 1, 5), Situation::kWhole);
  EXPECT_EQ(SituationOf(Connectivity::kAlone, 3, 5), Situation::kAlone);
}

// Two classes, one server that answers at once, a request of each every 10 ms.
class Limited {
 public:
  Limited() : balancer_(Of(), 1) {
    kestrelline::ListUpdate list;
    list.kind = kestrelline::ListKind::kFull;
    list.entries.resize(1);
    list.entries[0].server = 1;
    Handle(list);
  }
  void Handle(const kestrelline::Event& event) {
    actions.clear();
    balancer_.Handle(kestrelline::TimePoint(kestrelline::Duration(now_)), event, &actions);
  }
  // Sent, of one class, over so many seconds; the others are refused with when to come back.
  int Sent(int request_class, double seconds) {
    int sent = 0;
    for (int n = 0; n < 100 * seconds; ++n) {
      now_ += 10;
      const auto id = Submit(request_class, nullptr);
      const auto done = actions;  // what is handled next takes its place
      for (const auto& action : done) {
        if (const auto* refused = std::get_if<kestrelline::Refuse>(&action)) {
          EXPECT_GT(refused->retry_after.count(), 0);
        }
        EXPECT_FALSE(std::holds_alternative<kestrelline::Fail>(action));
        if (!std::holds_alternative<kestrelline::Dispatch>(action)) continue;
        ++sent;
        kestrelline::AttemptEnded end;
        end.request = id, end.server = 1, end.outcome = kestrelline::Outcome::kOk, end.settled = true;
        end.took = kestrelline::Duration(1);
        Handle(end);
      }
    }
    return sent;
  }
  kestrelline::RequestId Submit(int request_class,
                                std::shared_ptr<const std::vector<kestrelline::KeyClaim>> claims) {
    kestrelline::Submit submit;
    submit.request = ++last_, submit.request_class = request_class, submit.claims = std::move(claims);
    submit.due = kestrelline::TimePoint(kestrelline::Duration(now_ + 1000));
    Handle(submit);
    return last_;
  }
  std::vector<kestrelline::Action> actions;

 private:
  static kestrelline::Settings Of() {
    kestrelline::Settings s;
    s.balancers = 5;
    s.max_retry_after = kestrelline::Duration(500);
    s.classes.resize(2);
    for (auto& c : s.classes) c.aim = c.deadline = kestrelline::Duration(1000);
    s.classes[1].effect = kestrelline::Effect::kKeyed, s.classes[1].group = kestrelline::Group::kCell;
    s.classes[1].window = kestrelline::Duration(10000);
    return s;
  }

  kestrelline::Balancer balancer_;
  double now_ = 1;
  kestrelline::RequestId last_ = 0;
};

TEST(PartitionModule, ALimitIsOfOneClassAndOfThisProxysShare) {
  Limited limited;
  EXPECT_EQ(limited.Sent(0, 2), 200);
  limited.Handle(ClassLimit{0, 0});
  EXPECT_EQ(limited.Sent(0, 2), 0);
  EXPECT_EQ(limited.Sent(1, 2), 200);
  limited.Handle(ClassLimit{0, 50});
  EXPECT_NEAR(limited.Sent(0, 4), 40, 2);  // a fifth of 50, and nothing in store at first
  limited.Handle(kestrelline::Share{0.5, kestrelline::TimePoint(kestrelline::Duration(1e9)), 0.05});
  EXPECT_NEAR(limited.Sent(0, 4), 100, 4);  // half
  limited.Handle(ClassLimit{0, 0.5});
  EXPECT_LE(limited.Sent(0, 8), 26);  // what was in store, and one each 4 s
  limited.Handle(ClassLimit{0, -1});
  EXPECT_EQ(limited.Sent(0, 2), 200);
  for (const auto& nonsense :
       {ClassLimit{7, 0}, ClassLimit{-1, 0}, ClassLimit{0, std::numeric_limits<double>::quiet_NaN()}})
    limited.Handle(nonsense);
  EXPECT_EQ(limited.Sent(0, 2), 200);
}

// To refuse is to say that another try is harmless, which nobody knows of a key that may have run.
TEST(PartitionModule, AKeyThatMayHaveRunElsewhereIsFailedNotRefused) {
  Limited limited;
  limited.Handle(kestrelline::ClassLimit{1, 0});
  limited.Submit(1, std::make_shared<const std::vector<kestrelline::KeyClaim>>(
                        1, kestrelline::KeyClaim{0, 0, kestrelline::TimePoint(kestrelline::Duration(1e6))}));
  ASSERT_FALSE(limited.actions.empty());
  EXPECT_TRUE(std::holds_alternative<kestrelline::Fail>(limited.actions.front()) ||
              std::holds_alternative<kestrelline::Log>(limited.actions.front()));
  for (const auto& action : limited.actions)
    EXPECT_FALSE(std::holds_alternative<kestrelline::Refuse>(action) ||
                 std::holds_alternative<kestrelline::Dispatch>(action));
}

}  // namespace
}  // namespace kestrelline::concert

// SPDX-License-Identifier: Apache-2.0
//
// Limits per class during a network partition: the settings section, which limit follows from a membership
// view, and how the balancer applies it.
#include "quota/partition.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "kestrelline/balancer.h"

namespace kestrelline::quota {
namespace {

using peers::Connectivity;

std::vector<ClassPartition> Read(const std::string& text, bool peers, std::string* errors) {
  operator_file::Diagnostics diagnostics("f.toml");
  PartitionSpec spec;
  const std::vector<operator_file::Section> sections{PartitionSection(&spec)};
  operator_file::ReadDocument("version = 1\n" + text, sections, &diagnostics);
  const auto built = Build(spec, PartitionContext{peers, {"look", "change", "book"}}, &diagnostics);
  for (const auto& line : diagnostics.Lines()) *errors += line + "\n";
  return built;
}

TEST(PartitionSettings, ErrorsNameTheLineAndTheReason) {
  const struct {
    std::string text;
    bool peers;
    std::string expected_error;  // empty: valid
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
  for (const auto& [text, peers, expected_error] : table) {
    std::string errors;
    EXPECT_EQ(Read(text, peers, &errors).size() == 1, expected_error.empty()) << text << errors;
    EXPECT_NE(errors.find(expected_error), std::string::npos) << text << errors;
  }
}

TEST(Partition, AStateWithoutARuleHasThatOfTheMilderState) {
  std::string errors;
  const auto all = Read(
      "[[partition]]\nclass = \"book\"\nminority = \"refuse\"\n"
      "[[partition]]\nclass = \"look\"\npart = \"within\"\nalone = \"refuse\"\nrate = 7\n",
      true, &errors);
  ASSERT_EQ(all.size(), 2u) << errors;
  const auto limits = [](const ClassPartition& partition) {
    std::vector<double> limits;
    for (const auto state : {PartitionState::kWhole, PartitionState::kMajority, PartitionState::kMinority,
                             PartitionState::kIsolated})
      limits.push_back(LimitOf(partition, state));
    return limits;
  };
  EXPECT_EQ(all[0].request_class, 2);
  EXPECT_EQ(limits(all[0]), (std::vector<double>{-1, -1, 0, 0}));
  EXPECT_EQ(all[1].request_class, 0);
  EXPECT_EQ(limits(all[1]), (std::vector<double>{-1, 7, 7, 0}));
}

TEST(Partition, AtMostOneOfTwoSidesHasAMajority) {
  for (int configured = 1; configured <= 9; ++configured) {
    for (int here = 1; here <= configured; ++here) {
      const auto state_of = [&](int present) {
        return PartitionStateOf(present > 1 ? Connectivity::kPart : Connectivity::kAlone,
                                static_cast<std::size_t>(present), configured);
      };
      const int there = configured - here;
      EXPECT_FALSE(state_of(here) == PartitionState::kMajority && there > 0 &&
                   state_of(there) == PartitionState::kMajority);
      EXPECT_EQ(state_of(here) == PartitionState::kMajority, here > 1 && 2 * here > configured);
    }
  }
  EXPECT_EQ(PartitionStateOf(Connectivity::kWhole, 1, 5), PartitionState::kWhole);
  EXPECT_EQ(PartitionStateOf(Connectivity::kAlone, 3, 5), PartitionState::kIsolated);
}

// A balancer with two classes and one server that answers at once; requests arrive every 10 ms.
class LimitedBalancer {
 public:
  LimitedBalancer() : balancer_(SettingsWithTwoClasses(), 1) {
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
  // Number of requests of one class that are sent over so many seconds. The others must be refused with a
  // time to retry after.
  int CountSent(int request_class, double seconds) {
    int sent = 0;
    for (int n = 0; n < 100 * seconds; ++n) {
      now_ += 10;
      const auto id = Submit(request_class, nullptr);
      const auto current_actions = actions;  // Handle below replaces `actions`
      for (const auto& action : current_actions) {
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
  static kestrelline::Settings SettingsWithTwoClasses() {
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

TEST(PartitionBalancer, ALimitAppliesToOneClassAndToThisProxysShare) {
  LimitedBalancer limited;
  EXPECT_EQ(limited.CountSent(0, 2), 200);
  limited.Handle(ClassLimit{0, 0});
  EXPECT_EQ(limited.CountSent(0, 2), 0);
  EXPECT_EQ(limited.CountSent(1, 2), 200);
  limited.Handle(ClassLimit{0, 50});
  EXPECT_NEAR(limited.CountSent(0, 4), 40, 2);  // a fifth of 50, with no initial burst
  limited.Handle(kestrelline::Share{0.5, kestrelline::TimePoint(kestrelline::Duration(1e9)), 0.05});
  EXPECT_NEAR(limited.CountSent(0, 4), 100, 4);  // half
  limited.Handle(ClassLimit{0, 0.5});
  EXPECT_LE(limited.CountSent(0, 8), 26);  // the burst, and one every 4 s
  limited.Handle(ClassLimit{0, -1});
  EXPECT_EQ(limited.CountSent(0, 2), 200);
  for (const auto& invalid :
       {ClassLimit{7, 0}, ClassLimit{-1, 0}, ClassLimit{0, std::numeric_limits<double>::quiet_NaN()}})
    limited.Handle(invalid);
  EXPECT_EQ(limited.CountSent(0, 2), 200);
}

// A refusal tells the client that a retry is harmless, which is unknown for a key that may have run already.
TEST(PartitionBalancer, AKeyThatMayHaveRunElsewhereIsFailedNotRefused) {
  LimitedBalancer limited;
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
}  // namespace kestrelline::quota

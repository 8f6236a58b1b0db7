// SPDX-License-Identifier: Apache-2.0
//
// Experiments played: the same table on one core and on four, whole or in parts; breaches kept; what is known
// to make a difference found, and what is not, not.
#include "lab/runner.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "lab/report.h"
#include "support/temporary.h"

namespace kestrelline::lab {
namespace {

using testing::TemporaryFolder;

std::string Read(const std::string& path) {
  std::ifstream in(std::string(SOURCE_PATH) + "/deploy/" + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

#ifdef __SANITIZE_ADDRESS__
constexpr const char* kDays = "7";
#else
constexpr const char* kDays = "8";
#endif

// Runs of two seconds and some 500 requests.
struct Small {
  explicit Small(const std::string& more, const std::string& factors) {
    text = "version = 1\n[experiment]\nname = \"small\"\nsite = \"s\"\nplan = \"p\"\ndays = " +
           std::string(kDays) + "\n" + more + factors;
    plan = Read("rehearsal.load.toml");
    const auto at = plan.find("time = \"60s\"");
    plan.replace(at, 12, "time = \"2s\" ");
    site = Read("rehearsal.site.toml");
    operator_file::Diagnostics diagnostics("small");
    auto read = ReadExperiment(text, &diagnostics);
    EXPECT_TRUE(read) << (diagnostics.ok() ? "" : diagnostics.Lines()[0]);
    experiment = std::move(*read);
    scenarios = Scenarios(experiment, site, plan).All(&diagnostics);
    EXPECT_TRUE(diagnostics.ok()) << diagnostics.Lines()[0];
  }
  std::vector<std::string> texts() const { return {text, site, plan}; }

  std::string text, site, plan;
  Experiment experiment;
  std::vector<sim::Scenario> scenarios;
};

const char kSpeed[] =
    "[[factor]]\nname = \"speed\"\nof = \"site\"\npath = \"converters[0].cores\"\nlevels = [2, 1]\n";
// Nothing of it is ever reached here.
const char kPlaces[] =
    "[[factor]]\nname = \"places\"\nof = \"site\"\npath = \"converters[0].connections\"\nlevels = [128, "
    "127]\n";

std::vector<Record> PlayedWhole(const Small& small, unsigned jobs) {
  const TemporaryFolder folder;
  Store store(folder.path(), small.texts());
  std::atomic<bool> stop = false;
  EXPECT_TRUE(Play(small.experiment, small.scenarios, &store, jobs, stop, nullptr));
  return store.Records();
}

void ExpectSame(const std::vector<Record>& a, const std::vector<Record>& b) {
  ASSERT_EQ(a.size(), b.size());
  for (std::size_t i = 0; i < a.size(); ++i) {
    EXPECT_EQ(a[i].variant, b[i].variant);
    EXPECT_EQ(a[i].day, b[i].day);
    EXPECT_EQ(a[i].history, b[i].history);
    EXPECT_EQ(a[i].measures, b[i].measures);
  }
}

TEST(Runner, OneCoreAndFourGiveTheSameTable) {
  const Small small("", kSpeed);
  const auto one = PlayedWhole(small, 1);
  EXPECT_EQ(one.size(), 2 * small.experiment.blocks);
  ExpectSame(one, PlayedWhole(small, 4));
  std::set<std::uint64_t> histories;
  for (const Record& r : one) histories.insert(r.history);
  EXPECT_EQ(histories.size(), one.size());
}

TEST(Runner, StoppedAndTakenUpAgainItEndsAsIfItHadNotBeen) {
  for (const std::string design : {"full", "search"}) {
    const Small small("design = \"" + design + "\"\n", kSpeed);
    const TemporaryFolder folder;
    std::size_t calls = 0, runs = 0;
    for (bool whole = false; !whole; ++calls) {
      ASSERT_LT(calls, 100u);
      Store store(folder.path(), small.texts());
      std::atomic<bool> stop = false;
      int now = 0;
      whole = Play(small.experiment, small.scenarios, &store, 2, stop, [&](const Progress& progress) {
        ++runs;
        EXPECT_EQ(progress.played, runs);
        if (++now == 3) stop = true;
      });
    }
    EXPECT_GE(calls, 3u);
    ExpectSame(Store(folder.path()).Records(), PlayedWhole(small, 2));
    EXPECT_EQ(Store(folder.path()).Records().size(), runs);  // none was played twice
  }
}

TEST(Runner, ABreachIsKeptAndNoVariantThatBreaksARuleIsTheBest) {
  Small small("", kSpeed);
  // A site whose servers are told to be warm when they are not, and a rule that is narrow.
  small.scenarios[1].adjust = [](kestrelline::Settings* settings) {
    settings->cold_from = 1;
    settings->warm_up = kestrelline::Duration(0);
  };
  small.scenarios[1].site.cold_from = 0.01;
  small.scenarios[1].site.fall_multiple = 1.01;
  small.scenarios[1].site.faults = {
      {sim::Microseconds(100000), standin::Fault::Kind::kReplace, "s-05", sim::Microseconds(200000), 0}};
  const auto records = PlayedWhole(small, 2);
  const auto analysis = Analyse(small.experiment, records);
  ASSERT_EQ(analysis.variants.size(), 2u);
  EXPECT_GT(analysis.variants[1].broken, 0u);
  EXPECT_EQ(analysis.best, 0u);
  EXPECT_NE(Table(small.experiment, analysis).find("BROKE a rule"), std::string::npos);
}

TEST(Runner, AKnownEffectIsFoundAndOneThatIsNotThereIsNot) {
  const Small small("response = \"p50_ms\"\n", std::string(kSpeed) + kPlaces);
  const auto records = PlayedWhole(small, 4);
  const auto analysis = Analyse(small.experiment, records);
  ASSERT_EQ(analysis.effects.size(), 2u);
  EXPECT_TRUE(analysis.effects[0].difference.significant);  // half of the cores
  EXPECT_EQ(VerdictOf(analysis.effects[0].difference, Measure::kP50), "worse");
  EXPECT_FALSE(analysis.effects[1].difference.significant);
  EXPECT_EQ(VerdictOf(analysis.effects[1].difference, Measure::kP50), "not significant");
  EXPECT_EQ(analysis.wanted, 0u);
  // All that the report draws has something in it.
  for (const auto& [name, chart] :
       Charts(small.experiment, records, analysis, small.scenarios[0].site.faults)) {
    ASSERT_FALSE(chart.series.empty()) << name;
    EXPECT_FALSE(chart.series[0].points.empty()) << name;
  }
  const std::string page = Page(small.experiment, analysis, "<text>", {{"latency", "<svg></svg>"}});
  EXPECT_EQ(page.find("<text>"), std::string::npos);
  EXPECT_EQ(page.find("<script"), std::string::npos);
}

TEST(Runner, ASearchFindsTheBestAndJudgesItOnDaysItNeverSaw) {
  const Small small(
      "design = \"search\"\nresponse = \"p50_ms\"\nfirst_days = 2\n",
      "[[factor]]\nname = \"cores\"\nof = \"site\"\npath = \"converters[0].cores\"\nlevels = [1, 2, 3, 4]\n");
  const auto records = PlayedWhole(small, 4);
  const auto analysis = Analyse(small.experiment, records);
  ASSERT_TRUE(analysis.search && analysis.search->over && analysis.search->winner);
  EXPECT_NE(*analysis.search->winner, 0u);
  ASSERT_TRUE(analysis.search->held_out);
  EXPECT_EQ(analysis.search->held_out->of.blocks, small.experiment.held_out);
  EXPECT_EQ(VerdictOf(*analysis.search->held_out, Measure::kP50), "better");
  EXPECT_LT(records.size(), 4 * small.experiment.blocks + 2 * small.experiment.held_out);
  for (const Record& r : records) {
    const bool held_out = r.day >= small.experiment.first_seed + small.experiment.blocks;
    if (held_out) {
      EXPECT_TRUE(r.variant == 0 || r.variant == *analysis.search->winner);
    }
  }
}

}  // namespace
}  // namespace kestrelline::lab

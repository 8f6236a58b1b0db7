// SPDX-License-Identifier: Apache-2.0
//
// Experiments in files: what is refused, and with which words; the variants that the rest makes, and what
// each factor changes.
#include "lab/experiment.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "sim/simulation.h"

namespace kestrelline::lab {
namespace {

std::string Read(const std::string& path) {
  std::ifstream in(std::string(SOURCE_PATH) + "/deploy/" + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

const std::string kHead =
    "version = 1\n[experiment]\nname = \"e\"\nsite = \"rehearsal.site.toml\"\nplan = "
    "\"rehearsal.load.toml\"\n";

std::string FactorText(const std::string& name, const std::string& of, const std::string& path,
                       const std::string& levels, const std::string& more = "") {
  return "[[factor]]\nname = \"" + name + "\"\nof = \"" + of + "\"\npath = \"" + path +
         "\"\nlevels = " + levels + "\n" + more;
}

std::optional<Experiment> ReadAll(const std::string& text, std::string* said) {
  operator_file::Diagnostics diagnostics("e.toml");
  auto experiment = ReadExperiment(text, &diagnostics);
  said->clear();
  for (const auto& line : diagnostics.Lines()) *said += line + '\n';
  return experiment;
}

// The scenarios, or what is wrong with them.
std::vector<sim::Scenario> AllOf(const std::string& text, std::string* said) {
  const auto experiment = ReadAll(text, said);
  if (!experiment) return {};
  operator_file::Diagnostics diagnostics("e.toml");
  auto all =
      Scenarios(*experiment, Read("rehearsal.site.toml"), Read("rehearsal.load.toml")).All(&diagnostics);
  for (const auto& line : diagnostics.Lines()) *said += line + '\n';
  return all;
}

TEST(Experiment, TheExampleIsAsItSays) {
  std::string said;
  const auto all = AllOf(Read("experiment.example.toml"), &said);
  EXPECT_EQ(said, "");
  ASSERT_EQ(all.size(), 16u);
  std::set<std::size_t> converters;
  for (const auto& scenario : all) converters.insert(scenario.site.converters.size());
  EXPECT_EQ(converters, (std::set<std::size_t>{15, 18}));
}

TEST(Experiment, EveryKindOfFactorChangesWhatItNames) {
  std::string said;
  const auto all =
      AllOf(kHead + "design = \"one_at_a_time\"\n" + FactorText("a", "plan", "shape[0].to", "[700, 650]") +
                FactorText("b", "site", "converters[0].cores", "[2, 3]") +
                FactorText("c", "network", "across", "[0.5, 4]") +
                FactorText("d", "run", "hints", "[false, true]") +
                FactorText("e", "config", "rules.fallMultiple", "[2.5, 4]") +
                FactorText("f", "site", "fault", "[[], [{at = \"1s\", kind = \"late_list\", for = \"2s\"}]]",
                           "labels = [\"none\", \"late list\"]\n") +
                FactorText("g", "site", "class[0].deadline", "[\"2s\", \"900ms\"]"),
            &said);
  ASSERT_EQ(said, "");
  ASSERT_EQ(all.size(), 8u);
  EXPECT_EQ(std::get<load::Ramp>(all[0].plan.mixture.shapes[0]).to, 700);
  EXPECT_EQ(std::get<load::Ramp>(all[1].plan.mixture.shapes[0]).to, 650);
  EXPECT_EQ(all[2].site.converters[14].cores, 3);
  EXPECT_EQ(all[3].network.across, sim::Microseconds(4000));
  EXPECT_TRUE(all[4].hints);
  EXPECT_EQ(all[5].config.size(), 1u);
  EXPECT_EQ(all[0].site.faults.size(), 0u);
  EXPECT_EQ(all[6].site.faults.size(), 1u);
  EXPECT_EQ(all[7].site.classes[0].deadline, sim::Microseconds(900000));
  // What the configuration's factor says is what the proxies go by.
  sim::Scenario base = all[0];
  base.plan.mixture.seconds = 3;
  EXPECT_GT(sim::Simulation(base, {}).Run().results.total(), 300u);
}

TEST(Experiment, WhatIsWrongIsSaidWithItsPlace) {
  const std::pair<std::string, std::string> cases[] = {
      {"version = 1\n", "experiment"},
      {kHead + "design = \"ful\"\n", "e.toml:6:10: [design] 'ful' is none; did you mean 'full'?"},
      {kHead + "response = \"speed\"\n", "[response] 'speed' is none"},
      {kHead + "days = 0\n", "e.toml:6"},
      {kHead + "confidence = \"20%\"\n", "confidence is 50% to 99.9%"},
      {kHead + "colour = 1\n", "colour"},
      {kHead + FactorText("a", "plan", "x", "[]"), "needs a list of 1 to 32 values"},
      {kHead + FactorText("a", "plan", "x", "[1, 1]"), "has the level 1 twice"},
      {kHead + FactorText("a", "plan", "x", "[1, 2]", "labels = [\"one\"]\n"), "has 2 levels and 1 labels"},
      {kHead + FactorText("a", "moon", "x", "[1]"), "'moon' is none"},
      {kHead + FactorText("a", "plan", "x", "[1]") + FactorText("a", "plan", "y", "[1]"), "two factors 'a'"},
      {kHead + FactorText("a", "plan", "x", "[1]") + FactorText("b", "plan", "x", "[1]"),
       "set the same value"},
      {kHead + "design = \"search\"\nheld_out = 0\n", "days that it does not see"},
  };
  for (const auto& [text, wanted] : cases) {
    std::string said;
    EXPECT_FALSE(ReadAll(text, &said)) << text;
    EXPECT_NE(said.find(wanted), std::string::npos) << "wanted: " << wanted << "\nsaid: " << said;
  }
}

TEST(Experiment, AFewLinesCannotAskForAYearOfRuns) {
  std::string text = kHead, said;
  for (int f = 0; f < 12; ++f)
    text += FactorText("f" + std::to_string(f), "plan", "p" + std::to_string(f), "[1, 2, 3, 4]");
  EXPECT_FALSE(ReadAll(text, &said));
  EXPECT_NE(said.find("more than 4096 combinations"), std::string::npos) << said;
  EXPECT_FALSE(ReadAll(text + FactorText("more", "plan", "q", "[1]"), &said));
  EXPECT_NE(said.find("13 factors; at most 12"), std::string::npos) << said;
  text = kHead + "days = 1000\n";
  for (int f = 0; f < 3; ++f)
    text += FactorText("f" + std::to_string(f), "plan", "p" + std::to_string(f), "[1,2,3,4,5,6]");
  EXPECT_FALSE(ReadAll(text, &said));
  EXPECT_NE(said.find("216000 runs; at most 100000"), std::string::npos) << said;
}

TEST(Experiment, LevelsThatMakeNoValidSiteNameTheirFactor) {
  const std::pair<std::string, std::string> cases[] = {
      {FactorText("speed", "site", "converters[0].cores", "[2, 0]"), "factor 'speed' at 0"},
      {FactorText("rate", "plan", "shape[0].rate", "[200, -1]"), "factor 'rate' at -1"},
      {FactorText("typo", "site", "convertors[0].cores", "[2, 3]"), "there is no convertors[0].cores in it"},
      {FactorText("typo", "config", "rules.fallMultipel", "[2, 3]"),
       "there is no settings.rules.fallMultipel"},
      {FactorText("type", "config", "rules.fallMultiple", "[2.5, \"three\"]"), "factor 'type' at three"},
      {FactorText("wire", "network", "wires", "[1, 2]"), "no 'wires'"},
      {FactorText("wire", "network", "list", "[1, -2]"), "no number of milliseconds"},
      {FactorText("run", "run", "hints", "[false, 3]"), "factor 'run' at 3"},
      {FactorText("class", "plan", "class[0].name", "[\"preview\", \"other\"]"),
       "'other' is none of the site"},
  };
  for (const auto& [text, wanted] : cases) {
    std::string said;
    EXPECT_TRUE(AllOf(kHead + text, &said).empty()) << text;
    EXPECT_NE(said.find(wanted), std::string::npos) << "wanted: " << wanted << "\nsaid: " << said;
  }
}

TEST(Experiment, DaysAreTheSameForAllVariantsAndDifferFromEachOther) {
  sim::Scenario a, b;
  SetDay(&a, 3);
  SetDay(&b, 3);
  EXPECT_EQ(a.plan.seed, b.plan.seed);
  SetDay(&b, 4);
  EXPECT_NE(a.plan.seed, b.plan.seed);
  EXPECT_NE(a.site.seed, b.site.seed);
  EXPECT_NE(a.seed, b.seed);
}

}  // namespace
}  // namespace kestrelline::lab

// SPDX-License-Identifier: Apache-2.0
//
// Plans and results: what is read, added up and shown.
#include "load/results.h"

#include <gtest/gtest.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "load/plan.h"

namespace kestrelline::load {
namespace {

Timing At(std::int64_t intended_ms, std::int64_t late_ms, std::int64_t took_ms) {
  const Microseconds intended(intended_ms * 1000), sent = intended + Microseconds(late_ms * 1000);
  return {intended, sent, sent + Microseconds(took_ms * 1000)};
}

Results Some(int from) {
  Results results({"preview", "certify"});
  for (int i = from; i < from + 100; ++i) results.Add(i % 2, Outcome::kServed, At(i * 50, 0, 10 + i % 7));
  results.Add(0, Outcome::kRefused, At(100, 0, 1));
  results.Add(1, Outcome::kUnsent, At(4000, 900, 0));
  return results;
}

TEST(Results, AddUpAndComeBackFromTheirFile) {
  Results sum = Some(0);
  sum += Some(100);
  EXPECT_EQ(sum.total(), 204u);
  EXPECT_EQ(sum.Count(Outcome::kServed), 200u);
  EXPECT_EQ(sum.Count(Outcome::kUnsent), 2u);
  EXPECT_EQ(sum.seconds().size(), 10u);
  const Results back = Results::FromJson(nlohmann::json::parse(sum.ToJson().dump()));
  EXPECT_EQ(back.ToJson(), sum.ToJson());
  EXPECT_EQ(back.Table(), sum.Table());
  Results other({"preview"});
  EXPECT_THROW(other += sum, BadResults);
}

TEST(Results, FilesThatAreNoneAreRefused) {
  for (const char* text : {"{}", "[]", "{\"kestrelload\":2}", "{\"kestrelload\":1,\"classes\":[]}", "3"})
    EXPECT_THROW(Results::FromJson(nlohmann::json::parse(text)), BadResults) << text;
  auto json = Some(0).ToJson();
  json["lateness"]["bins"].push_back({1000000, 1});
  EXPECT_THROW(Results::FromJson(json), BadResults);
}

TEST(Results, AGeneratorThatWasOutrunSaysSo) {
  EXPECT_NE(Some(0).Table().find("no connection was free: 1 requests were not sent"), std::string::npos)
      << Some(0).Table();
  EXPECT_FALSE(Some(0).outrun());
  Results late({"preview"});
  for (int i = 0; i < 50; ++i) late.Add(0, Outcome::kServed, At(i, 5, 3));
  EXPECT_NE(late.Table().find("the generator was outrun"), std::string::npos);
  EXPECT_FALSE(late.short_of_connections());
  Results held({"preview"});
  for (int i = 0; i < 50; ++i) {
    Timing timing = At(i, 5, 3);
    timing.ready = timing.intended;
    held.Add(0, Outcome::kServed, timing);
  }
  EXPECT_EQ(held.Table().find("outrun"), std::string::npos);
  EXPECT_TRUE(held.short_of_connections());
  EXPECT_NE(held.Table().find("no connection was free: 0 requests"), std::string::npos);
  Results well({"preview"});
  well.Add(0, Outcome::kServed, At(5, 0, 3));
  EXPECT_EQ(well.Table().find("outrun"), std::string::npos);
}

TEST(Results, ThePageNeedsNothingElseAndBelievesNoNames) {
  Results results({"<script>alert(1)</script>"});
  for (int i = 0; i < 100; ++i) results.Add(0, Outcome::kServed, At(i * 30, 0, 5));
  const std::string page = results.Html("a & b", {"<svg></svg>"}, "kept <all>");
  EXPECT_EQ(page.find("<script"), std::string::npos);
  EXPECT_EQ(page.find("http://"), std::string::npos);
  EXPECT_NE(page.find("a &amp; b"), std::string::npos);
  EXPECT_NE(page.find("<svg>"), std::string::npos);
  EXPECT_NE(page.find("kept &lt;all&gt;"), std::string::npos);
  const auto charts = results.Charts({{0, 1, "slow s-01"}});
  ASSERT_EQ(charts.size(), 3u);
  EXPECT_EQ(charts[0].spans.size(), 1u);
  EXPECT_EQ(charts[2].series.size(), 1u);  // nothing but served
  // What was asked in no second leaves a gap, not a zero.
  Results gap({"preview"});
  gap.Add(0, Outcome::kServed, At(0, 0, 5));
  gap.Add(0, Outcome::kServed, At(2000, 0, 5));
  EXPECT_TRUE(std::isnan(gap.Charts({})[0].series[0].points[1].y));
}

TEST(Results, RowsOfSecondsAreBounded) {
  Results results({"preview"});
  results.Add(0, Outcome::kServed, At(100000000, 0, 1));
  EXPECT_EQ(results.seconds().size(), Results::kMostSeconds);
}

TEST(Results, ComparedBySecondWithTheirNoise) {
  Results a({"preview"}), b({"preview"});
  for (int i = 0; i < 2000; ++i) {
    a.Add(0, Outcome::kServed, At(i * 10, 0, 10 + i % 5));
    b.Add(0, Outcome::kServed, At(i * 10, 0, 20 + i % 5));
  }
  EXPECT_NE(Compare(a, a).find("noise"), std::string::npos) << Compare(a, a);
  const std::string text = Compare(a, b);
  const std::string p50 = text.substr(text.find("p50"), text.find('\n', text.find("p50")) - text.find("p50"));
  EXPECT_EQ(p50.find("noise"), std::string::npos) << text;
  EXPECT_NE(p50.find(" 1.7"), std::string::npos) << text;
}

// ---- plans --------------------------------------------------------------------------------------------
constexpr char kPlan[] = R"(version = 1
[run]
target = "127.0.0.1:8000"
time = "10s"
[[shape]]
kind = "constant"
rate = 100
[[class]]
name = "preview"
effect = "safe"
)";

std::optional<Plan> Read(const std::string& text, std::string* said) {
  operator_file::Diagnostics diagnostics("p.toml");
  auto plan = ReadPlan(text, &diagnostics);
  for (const auto& line : diagnostics.Lines()) *said += line + "\n";
  return plan;
}

TEST(Plan, IsReadWithAllShapes) {
  std::string said;
  const auto plan = Read(std::string(kPlan) + R"([[class]]
name = "certify"
effect = "unsafe"
weight = 2
deadline = "1s"
least_bytes = 10
most_bytes = 20
[[shape]]
kind = "ramp"
rate = 0
to = 300
each = "5s"
[[shape]]
kind = "sine"
rate = 50
swing = 50
each = "2s"
[[shape]]
kind = "steps"
rates = ["10", "20.5"]
each = "3s"
[[shape]]
kind = "bursts"
rate = 500
each = "5s"
lasts = "200ms"
[[tenant]]
name = "acme"
[objects]
count = 900
zipf = 1.05
)",
                         &said);
  ASSERT_TRUE(plan) << said;
  EXPECT_EQ(plan->mixture.shapes.size(), 5u);
  EXPECT_EQ(plan->classes[1].effect, Effect::kUnsafe);
  EXPECT_EQ(plan->classes[1].deadline, std::chrono::seconds(1));
  EXPECT_EQ(plan->mixture.classes[1].most_bytes, 20u);
  EXPECT_EQ(plan->mixture.keys, 900u);
  EXPECT_EQ(plan->tenants, std::vector<std::string>{"acme"});
}

TEST(Plan, WhatIsWrongIsToldWithItsPlace) {
  const auto changed = [](const std::string& from, const std::string& to) {
    std::string text = kPlan;
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  for (const auto& [text, part] :
       {std::pair{changed("rate = 100", "rate = -1"), "p.toml:7:8: [range]"},
        {changed("rate = 100", "rate = 1e9"), "p.toml:7:8: [range]"},
        {changed("rate = 100", "rate = nan"), "p.toml:7:8: [range]"},
        {changed("rate = 100", "rate = 0"), "[plan] the run has not one arrival"},
        {changed("time = \"10s\"", "time = \"0s\""), "p.toml:4:8: [duration]"},
        {changed("\"constant\"", "\"constnt\""), "p.toml:6:8: [shape]"},
        {changed("\"constant\"", "\"ramp\""), "[shape] the time of a ramp"},
        {changed("127.0.0.1:8000", "10.0.0.1:80"), "[target]"},
        {changed("127.0.0.1:8000", "127.0.0.1"), "[target]"},
        {changed("effect = \"safe\"", "effect = \"sure\""), "p.toml:10:10: [effect]"},
        {changed("[[class]]", "[[clas]]"), "did you mean 'class'?"}}) {
    std::string said;
    EXPECT_FALSE(Read(text, &said)) << text;
    EXPECT_NE(said.find(part), std::string::npos) << said << part;
  }
}

}  // namespace
}  // namespace kestrelline::load

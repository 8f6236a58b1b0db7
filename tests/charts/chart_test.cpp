// SPDX-License-Identifier: Apache-2.0
//
// Charts as scripts of gnuplot, and gnuplot's pictures of them: names that would be commands are text, gaps
// are gaps, and each kind is drawn.
#include "charts/chart.h"

#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>

#include "charts/gnuplot.h"
#include "support/temporary.h"

namespace kestrelline::charts {
namespace {

using testing::TemporaryFolder;

Chart Lines() {
  Chart chart;
  chart.title = "Latency by second";
  chart.x_label = "s", chart.y_label = "ms";
  chart.series = {{"p50", {{0, 10, 0, 0}, {1, 12, 0, 0}, {2, std::nan(""), 0, 0}, {3, 11, 0, 0}}},
                  {"p99", {{0, 100, 0, 0}, {1, 0, 0, 0}, {3, 90, 0, 0}}}};
  return chart;
}

TEST(Chart, NamesAreTextWhateverTheyHold) {
  Chart chart = Lines();
  chart.title = "it's '; system(\"touch pwned\") #";
  chart.series[0].name = "line\nbreak `date` \x01";
  chart.spans = {{1, 2, "'; !ls"}};
  chart.x_names = {{0, "a'b"}};
  const std::string script = Script(chart, Format::kSvg);
  EXPECT_NE(script.find("'it\u2019s \u2019; system(\"touch pwned\") #'"), std::string::npos) << script;
  EXPECT_NE(script.find("'line break `date`  '"), std::string::npos);
  EXPECT_EQ(script.find("\n!"), std::string::npos);
  const TemporaryFolder folder;
  std::string why;
  EXPECT_TRUE(Draw(chart, folder.path(), "hostile", &why)) << why;
  EXPECT_FALSE(std::filesystem::exists("pwned"));
}

TEST(Chart, WhatIsNoNumberInterruptsItsLine) {
  Chart chart = Lines();
  EXPECT_NE(Script(chart, Format::kSvg).find("1 12 0 0\n\n3 11"), std::string::npos);
  chart.log_y = true;  // there is no 0 on it
  EXPECT_NE(Script(chart, Format::kSvg).find("0 100 0 0\n\n3 90"), std::string::npos);
}

TEST(Chart, EachKindIsDrawnAsSvgAndPng) {
  Chart lines = Lines();
  lines.log_y = true;
  for (int i = 0; i < 20; ++i)
    lines.spans.push_back({i * 0.1, i * 0.1 + 0.3, "fault of some length " + std::to_string(i)});
  Chart effects;
  effects.kind = Chart::Kind::kIntervals;
  effects.title = "Main effects";
  effects.series = {{"", {{0, -0.2, -0.3, -0.1}, {1, 0.01, -0.02, 0.04}}}};
  effects.y_names = {{0, "load: 7 % to 9 %"},
                     {1, "a name that is rather long, and longer still than any has to be"}};
  Chart heat;
  heat.kind = Chart::Kind::kHeat;
  heat.title = "service by load and converters";
  heat.series = {{"", {{0, 0, 0, 0.99}, {1, 0, 0, 0.9}, {0, 1, 0, 0.95}, {1, 1, 0, std::nan("")}}}};
  heat.x_names = {{0, "1 %"}, {1, "%d %s"}};
  heat.y_names = {{0, "15"}, {1, "12"}};
  Chart empty;
  const TemporaryFolder folder;
  int number = 0;
  for (const Chart& chart : {lines, effects, heat, empty}) {
    const std::string name = "chart" + std::to_string(number++);
    std::string why;
    ASSERT_TRUE(Draw(chart, folder.path(), name, &why)) << name << ": " << why;
    EXPECT_GT(std::filesystem::file_size(folder / (name + ".png")), 1000u);
    const auto svg = Svg(chart, &why);
    ASSERT_TRUE(svg) << why;
    EXPECT_TRUE(svg->starts_with("<svg"));
    EXPECT_NE(svg->find("</svg>"), std::string::npos);
    EXPECT_EQ(svg->find("<script"), std::string::npos);
  }
}

TEST(Chart, WhereNoPictureCanBeWrittenItIsSaid) {
  std::string why;
  EXPECT_FALSE(Draw(Lines(), "/nowhere/at/all", "chart", &why));
  EXPECT_NE(why, "");
}

}  // namespace
}  // namespace kestrelline::charts

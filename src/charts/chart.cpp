// SPDX-License-Identifier: Apache-2.0
#include "charts/chart.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace kestrelline::charts {
namespace {

constexpr std::size_t kMostName = 60;
constexpr int kMostSpanRows = 6;  // of labels, so that those side by side do not cover each other
constexpr const char* kColours[] = {"#1b7f5c", "#1f5fa8", "#c0392b", "#d98c10",
                                    "#6c4ba3", "#555555", "#0f8b8d", "#a0522d"};

// A gnuplot string in single quotes, in which nothing means anything but the quote: that becomes an
// apostrophe.
std::string Quoted(const std::string& text) {
  std::string quoted = "'";
  for (const char c : text.substr(0, kMostName)) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      quoted += ' ';
    } else {
      quoted += c == '\'' ? std::string("\u2019") : std::string(1, c);
    }
  }
  return quoted + "'";
}

// Where gnuplot takes the string for a format.
std::string Tic(const std::string& text) {
  std::string quoted;
  for (const char c : Quoted(text)) quoted += c == '%' ? std::string("%%") : std::string(1, c);
  return quoted;
}

std::string Number(double value) {
  if (!std::isfinite(value)) return "NaN";
  char text[40];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

std::string Names(const char* axis, const std::vector<std::pair<double, std::string>>& names, bool slanted) {
  if (names.empty()) return "";
  std::string text = std::string("set ") + axis + "tics (";
  for (std::size_t i = 0; i < names.size(); ++i)
    text += (i ? ", " : "") + Tic(names[i].second) + " " + Number(names[i].first);
  return text + (slanted ? ") rotate by -25 left\n" : ")\n");
}

std::string Block(std::size_t number, const Series& series, const Chart& chart) {
  std::string text = "$data" + std::to_string(number) + " << EOD\n";
  for (const Point& p : series.points) {
    const bool gap = !std::isfinite(p.y) || (chart.log_y && p.y <= 0);
    text += gap ? "\n" : Number(p.x) + " " + Number(p.y) + " " + Number(p.low) + " " + Number(p.high) + "\n";
  }
  if (series.points.empty()) text += "NaN NaN NaN NaN\n";
  return text + "EOD\n";
}

// Bands behind the lines, and their names in rows above them.
std::string Spans(const std::vector<Span>& spans) {
  std::string text;
  int object = 0;
  std::vector<double> row_ends(kMostSpanRows, -1e300);
  double last = 0;
  for (const Span& span : spans) last = std::max(last, span.to);
  for (const Span& span : spans) {
    text += "set object " + std::to_string(++object) + " rectangle from " + Number(span.from) +
            ", graph 0 to " + Number(span.to) +
            ", graph 1 fillcolor rgb '#f0e0c0' fillstyle solid 0.45 noborder behind\n";
    // A label takes about a hundredth of the width for each letter.
    const double width = last * 0.011 * static_cast<double>(std::min(span.label.size(), kMostName));
    int row = 0;
    while (row + 1 < kMostSpanRows && row_ends[static_cast<std::size_t>(row)] > span.from) ++row;
    row_ends[static_cast<std::size_t>(row)] = span.from + width;
    text += "set label " + std::to_string(object) + " " + Quoted(span.label) + " at " + Number(span.from) +
            ", graph " + Number(1.03 + 0.045 * row) + " font ',8' textcolor rgb '#7a5c1e'\n";
  }
  return text;
}

}  // namespace

std::string Script(const Chart& chart, Format format) {
  const bool svg = format == Format::kSvg;
  int height = 420;
  if (chart.kind == Chart::Kind::kIntervals) height = 140 + 26 * static_cast<int>(chart.y_names.size());
  if (!chart.spans.empty()) height += 110;
  std::string name;  // of the picture's parts: several stand on one page
  for (const char c : chart.title)
    if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')) name += c;
  const std::string size = "900," + std::to_string(height);
  std::string text = svg ? "set terminal svg noenhanced size " + size + " dynamic font 'sans,12' name 'k" +
                               name + "' background rgb 'white'\n"
                         : "set terminal pngcairo noenhanced size " + size + " font 'sans,10'\n";
  text += "set title " + Quoted(chart.title) + (chart.spans.empty() ? "\n" : " offset 0,6\n");
  text += "set xlabel " + Quoted(chart.x_label) + "\nset ylabel " + Quoted(chart.y_label) +
          "\nset grid back linecolor rgb '#dddddd'\nset border 3\nset tics nomirror\nset encoding utf8\n";
  if (!chart.spans.empty())
    text += "set tmargin at screen " + Number(1 - 150.0 / height) + "\n" + Spans(chart.spans);
  if (chart.log_y) text += "set logscale y 10\n";
  text += Names("x", chart.x_names, chart.x_names.size() > 6) + Names("y", chart.y_names, false);
  std::size_t longest = 0;
  for (const auto& [at, label] : chart.y_names)
    longest = std::max(longest, std::min(label.size(), kMostName));
  if (longest > 8) text += "set lmargin " + std::to_string(longest + 4) + "\n";
  for (std::size_t i = 0; i < chart.series.size(); ++i) text += Block(i, chart.series[i], chart);
  std::string plot;
  for (std::size_t i = 0; i < chart.series.size(); ++i) {
    const std::string data = "$data" + std::to_string(i),
                      colour = std::string(" linecolor rgb '") + kColours[i % std::size(kColours)] + "'";
    const std::string title = " title " + Quoted(chart.series[i].name);
    plot += i ? ", " : "plot ";
    switch (chart.kind) {
      case Chart::Kind::kLines:
        plot += data + " using 1:2 with lines linewidth 1.6" + colour + title;
        break;
      case Chart::Kind::kIntervals:
        plot +=
            data + " using 2:1:3:4 with xerrorbars linewidth 1.6 pointtype 7 pointsize 0.7" + colour + title;
        break;
      case Chart::Kind::kHeat:
        plot += data + " using 1:2:4 with image notitle, " + data +
                " using 1:2:(sprintf('%.4g', $4)) with labels notitle";
        break;
    }
  }
  if (chart.kind == Chart::Kind::kIntervals) {
    text += "set yrange [-0.6:" + Number(static_cast<double>(chart.y_names.size()) - 0.4) +
            "]\nset arrow from 0, graph 0 to 0, graph 1 nohead linecolor rgb '#888888' dashtype 2\n";
    if (chart.series.size() < 2) text += "unset key\n";
  } else if (chart.kind == Chart::Kind::kHeat) {
    text += "set palette defined (0 '#fdf6e3', 0.5 '#7fb8a4', 1 '#1b5f7c')\nunset grid\nset autoscale fix\n";
  } else {
    text += chart.spans.empty() ? "set key outside right top\n" : "set key outside right center\n";
    if (!chart.log_y) text += "set autoscale noextend\nset offsets graph 0, 0, 0.04, 0.04\n";
  }
  if (plot.empty()) return text + "set xrange [0:1]\nset yrange [0:1]\nplot NaN notitle\n";
  return text + plot + "\n";
}

}  // namespace kestrelline::charts
